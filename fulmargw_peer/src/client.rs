//! RPC calls to peers.

use crate::{
    codec,
    connection::{Connection, Stub, Target},
    document,
    message::{
        Announcement, LeaseRequest, LeaseResponse, LoanRequest, LoanResponse, RemovalRequest,
        VersionNotice,
    },
    service::ControlClient,
};
use fulmargw_model::{
    configuration::{Configuration, Version},
    fleet::Fleet,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tarpc::{client::RpcError, context};
use tokio::time::{Instant, timeout_at};

/// Settings of the calls to peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Timeout of one call, in milliseconds. A connection whose call times out is replaced.
    pub timeout_ms: u64,
    /// Timeout for sending or fetching a configuration document or fleet record, in
    /// milliseconds.
    pub document_timeout_ms: u64,
    /// Local address of outgoing connections; any if it is not set.
    pub source: Option<IpAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            timeout_ms: 300,
            document_timeout_ms: 1_000,
            source: None,
        }
    }
}

/// A failed call to a peer.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
#[displaydoc("{step} at host {peer}: {cause}")]
pub struct Error {
    /// Name of the call that failed.
    pub step: &'static str,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Cause of the failure.
    pub cause: String,
}

impl std::error::Error for Error {}

/// The connections to all peers; each is opened by the first call that needs it.
#[derive(Debug, Clone)]
pub struct Connections {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    documents: document::Client,
    /// No other lock is taken while this one is held, so it has no rank in the lock order.
    connections: Mutex<HashMap<SocketAddr, Connection<ControlClient>>>,
}

/// Name, peer and timeout of one call.
#[derive(Debug, Clone, Copy)]
struct Call {
    step: &'static str,
    peer: SocketAddr,
    timeout: Duration,
}

impl Call {
    fn error(self, cause: &impl ToString) -> Error {
        Error {
            step: self.step,
            peer: self.peer,
            cause: cause.to_string(),
        }
    }
}

impl Connections {
    /// Creates the set of connections; none is open yet.
    ///
    /// # Errors
    ///
    /// If the HTTP client for documents cannot be created.
    pub fn new(settings: &Settings) -> Result<Self, document::BuildError> {
        let timeout = Duration::from_millis(settings.document_timeout_ms);
        Ok(Self {
            shared: Arc::new(Shared {
                settings: settings.clone(),
                documents: document::Client::new(timeout, settings.source)?,
                connections: Mutex::default(),
            }),
        })
    }

    /// Closes the connections to peers that are not in `addresses`.
    pub fn retain(&self, addresses: &[SocketAddr]) {
        let mut connections = self.connections();
        connections.retain(|address, _| addresses.contains(address));
    }

    /// Requests a confirmation of this host's lease from a peer.
    ///
    /// # Errors
    ///
    /// If there is no response in time.
    pub async fn confirm(
        &self,
        peer: SocketAddr,
        request: LeaseRequest,
    ) -> Result<LeaseResponse, Error> {
        self.call(self.new_call("confirm", peer), async |client, context| {
            client.confirm(context, request).await
        })
        .await
    }

    /// Requests a peer's consent to the removal of a member.
    ///
    /// # Errors
    ///
    /// If there is no response in time.
    pub async fn consent(&self, peer: SocketAddr, request: RemovalRequest) -> Result<bool, Error> {
        self.call(self.new_call("consent", peer), async |client, context| {
            client.consent(context, request).await
        })
        .await
    }

    /// Sends a peer advance notice of a configuration version.
    ///
    /// # Errors
    ///
    /// If there is no response in time.
    pub async fn send_notice(
        &self,
        peer: SocketAddr,
        notice: VersionNotice,
    ) -> Result<bool, Error> {
        self.call(self.new_call("note", peer), async |client, context| {
            client.note(context, notice).await
        })
        .await
    }

    /// Requests a loan of rate tokens from a peer.
    ///
    /// # Errors
    ///
    /// If there is no response in time.
    pub async fn borrow(
        &self,
        peer: SocketAddr,
        request: LoanRequest,
    ) -> Result<LoanResponse, Error> {
        self.call(self.new_call("borrow", peer), async |client, context| {
            client.borrow(context, request).await
        })
        .await
    }

    /// Announces a new primary to a peer.
    ///
    /// # Errors
    ///
    /// If there is no response in time.
    pub async fn announce(
        &self,
        peer: SocketAddr,
        announcement: Announcement,
    ) -> Result<(), Error> {
        self.call(self.new_call("announce", peer), async |client, context| {
            client.announce(context, announcement).await
        })
        .await
    }

    /// Sends a configuration document and returns the version that the peer then has in force.
    ///
    /// # Errors
    ///
    /// If there is no response in time.
    pub async fn push(
        &self,
        peer: SocketAddr,
        configuration: Arc<Configuration>,
    ) -> Result<Version, Error> {
        let call = Call {
            timeout: Duration::from_millis(self.shared.settings.document_timeout_ms),
            ..self.new_call("push", peer)
        };
        self.call(call, async |client, context| {
            client.push(context, configuration).await
        })
        .await
    }

    /// Fetches the configuration document of a peer.
    ///
    /// # Errors
    ///
    /// If there is no response in time or the peer has no document.
    pub async fn configuration(&self, peer: SocketAddr) -> Result<Configuration, Error> {
        self.shared.documents.configuration(peer).await
    }

    /// Fetches the fleet record of a peer.
    ///
    /// # Errors
    ///
    /// If there is no response in time or the peer has no record.
    pub async fn fleet(&self, peer: SocketAddr) -> Result<Fleet, Error> {
        self.shared.documents.fleet(peer).await
    }

    fn new_call(&self, step: &'static str, peer: SocketAddr) -> Call {
        Call {
            step,
            peer,
            timeout: Duration::from_millis(self.shared.settings.timeout_ms),
        }
    }

    fn connections(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Connection<ControlClient>>> {
        self.shared
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn connection(&self, peer: SocketAddr) -> Connection<ControlClient> {
        let target = Target {
            address: peer,
            source: self.shared.settings.source,
            timeout: Duration::from_millis(self.shared.settings.timeout_ms),
        };
        let mut connections = self.connections();
        connections
            .entry(peer)
            .or_insert_with(|| Connection::new(target))
            .clone()
    }

    async fn call<T, F, Fut>(&self, call: Call, send: F) -> Result<T, Error>
    where
        F: FnOnce(ControlClient, context::Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let connection = self.connection(call.peer);
        let deadline = Instant::now() + call.timeout;
        let stub = timeout_at(deadline, connection.stub())
            .await
            .map_err(|_| call.error(&"timeout while connecting"))?
            .map_err(|cause| call.error(&cause))?;
        let response = send(stub.client.clone(), codec::context(deadline));
        match timeout_at(deadline, response).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(cause)) => Err(replace_connection(call, &connection, &stub, &cause)),
            Err(_) => Err(replace_connection(call, &connection, &stub, &"timeout")),
        }
    }
}

/// Has the connection of a failed call replaced and returns the error of the call.
fn replace_connection(
    call: Call,
    connection: &Connection<ControlClient>,
    stub: &Stub<ControlClient>,
    cause: &impl ToString,
) -> Error {
    connection.report_unresponsive(stub);
    call.error(cause)
}
