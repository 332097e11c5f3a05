//! Listening sockets of a process.

use crate::{serve::error::Error, settings::Settings};
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Name of the peer protocol's listener in errors and logs.
pub const PEER: &str = "peer";
/// Name of the document listener in errors and logs.
pub const DOCUMENT: &str = "document";
/// Name of the callers' listener in errors and logs.
pub const CALLER: &str = "caller";
/// Name of the operator interface's listener in errors and logs.
pub const OPERATOR: &str = "operator";

/// All listening sockets of a process.
#[derive(Debug)]
pub struct Listeners {
    /// Peer protocol.
    pub peer: TcpListener,
    /// Documents for other hosts.
    pub document: TcpListener,
    /// Callers.
    pub caller: TcpListener,
    /// Operators and the balancer.
    pub operator: TcpListener,
}

impl Listeners {
    /// Binds all addresses of the settings. The peer address comes first: having bound it
    /// proves that no older process of this host still uses its shares.
    ///
    /// # Errors
    ///
    /// The first address that cannot be bound.
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
