//! Listening sockets of a process.

use crate::{serve::error::Error, settings::Settings};
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Name of the listener for the peer protocol, in errors.
pub const PEER: &str = "peer";
/// Name of the listener for documents, in errors.
pub const DOCUMENT: &str = "document";
/// Name of the listener for callers, in errors.
pub const CALLER: &str = "caller";
/// Name of the listener for the operator interface, in errors.
pub const OPERATOR: &str = "operator";

/// The listening sockets of a process.
#[derive(Debug)]
pub struct Listeners {
    /// Listener for the peer protocol.
    pub peer: TcpListener,
    /// HTTP listener from which peers fetch documents.
    pub document: TcpListener,
    /// Listener for callers.
    pub caller: TcpListener,
    /// HTTP listener for operators and the balancer.
    pub operator: TcpListener,
}

impl Listeners {
    /// Binds all addresses of the settings. The peer address is bound first, because success
    /// proves that no older process of this host is still running and using its shares.
    ///
    /// # Errors
    ///
    /// Returns an error with the first address that cannot be bound.
    pub async fn bind(settings: &Settings) -> Result<Self, Error> {
        Ok(Self {
            peer: bind(PEER, settings.host.peer_address).await?,
            document: bind(DOCUMENT, settings.host.document_address).await?,
            operator: bind(OPERATOR, settings.operator.address).await?,
            caller: bind(CALLER, settings.frontend.address).await?,
        })
    }
}

async fn bind(listener: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| Error::Bind {
            listener,
            address,
            cause,
        })
}
