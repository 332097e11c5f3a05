//! Calls to other hosts.

use crate::{
    document,
    link::{Link, Opened, Target},
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

/// Settings of the calls to other hosts.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Longest time for one call, in milliseconds; a silent connection is replaced then.
    pub timeout_ms: u64,
    /// Longest time for sending or fetching a document, in milliseconds.
    pub document_timeout_ms: u64,
    /// Local address of outgoing connections; any if it is missing.
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
    /// Call that failed.
    pub step: &'static str,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// What happened.
    pub cause: String,
}

impl std::error::Error for Error {}

/// The connections to all peers; they are opened when they are needed.
#[derive(Debug, Clone)]
pub struct Connections {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    documents: document::Client,
    /// Nothing else is locked while this is locked, so it needs no rank.
    links: Mutex<HashMap<SocketAddr, Link<ControlClient>>>,
}

/// One call: what it does, where, and for how long.
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
    /// Makes an empty set.
    ///
    /// # Errors
    ///
    /// If the HTTP client for documents cannot be made.
    pub fn new(settings: &Settings) -> Result<Self, document::BuildError> {
        let timeout = Duration::from_millis(settings.document_timeout_ms);
        Ok(Self {
            shared: Arc::new(Shared {
                settings: settings.clone(),
                documents: document::Client::new(timeout, settings.source)?,
                links: Mutex::default(),
            }),
        })
    }

    /// Closes the connections to peers that are not in `addresses`.
    pub fn retain(&self, addresses: &[SocketAddr]) {
        let mut links = self.links();
        links.retain(|address, _| addresses.contains(address));
    }

    /// Asks a peer to confirm the lease.
    ///
    /// # Errors
    ///
    /// If there is no answer in time.
    pub async fn confirm(
        &self,
        peer: SocketAddr,
        question: LeaseRequest,
    ) -> Result<LeaseResponse, Error> {
        self.call(self.short("confirm", peer), async |client, context| {
            client.confirm(context, question).await
        })
        .await
    }

    /// Asks a peer for its consent to a removal.
    ///
    /// # Errors
    ///
    /// If there is no answer in time.
    pub async fn consent(&self, peer: SocketAddr, removal: RemovalRequest) -> Result<bool, Error> {
        self.call(self.short("consent", peer), async |client, context| {
            client.consent(context, removal).await
        })
        .await
    }

    /// Tells a peer of a coming version.
    ///
    /// # Errors
    ///
    /// If there is no answer in time.
    pub async fn note(&self, peer: SocketAddr, note: VersionNotice) -> Result<bool, Error> {
        self.call(self.short("note", peer), async |client, context| {
            client.note(context, note).await
        })
        .await
    }

    /// Asks a peer for tokens.
    ///
    /// # Errors
    ///
    /// If there is no answer in time.
    pub async fn borrow(
        &self,
        peer: SocketAddr,
        demand: LoanRequest,
    ) -> Result<LoanResponse, Error> {
        self.call(self.short("borrow", peer), async |client, context| {
            client.borrow(context, demand).await
        })
        .await
    }

    /// Tells a peer of a new primary.
    ///
    /// # Errors
    ///
    /// If there is no answer in time.
    pub async fn announce(
        &self,
        peer: SocketAddr,
        announcement: Announcement,
    ) -> Result<(), Error> {
        self.call(self.short("announce", peer), async |client, context| {
            client.announce(context, announcement).await
        })
        .await
    }

    /// Sends a configuration document and returns the version that the peer has then.
    ///
    /// # Errors
    ///
    /// If there is no answer in time.
    pub async fn push(
        &self,
        peer: SocketAddr,
        configuration: Arc<Configuration>,
    ) -> Result<Version, Error> {
        let call = Call {
            timeout: Duration::from_millis(self.shared.settings.document_timeout_ms),
            ..self.short("push", peer)
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
    /// If there is no answer in time or the peer has no document.
    pub async fn configuration(&self, peer: SocketAddr) -> Result<Configuration, Error> {
        self.shared.documents.configuration(peer).await
    }

    /// Fetches the fleet record of a peer.
    ///
    /// # Errors
    ///
    /// If there is no answer in time or the peer has no record.
    pub async fn fleet(&self, peer: SocketAddr) -> Result<Fleet, Error> {
        self.shared.documents.fleet(peer).await
    }

    fn short(&self, step: &'static str, peer: SocketAddr) -> Call {
        Call {
            step,
            peer,
            timeout: Duration::from_millis(self.shared.settings.timeout_ms),
        }
    }

    fn links(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Link<ControlClient>>> {
        self.shared
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn link(&self, peer: SocketAddr) -> Link<ControlClient> {
        let target = Target {
            address: peer,
            source: self.shared.settings.source,
            timeout: Duration::from_millis(self.shared.settings.timeout_ms),
        };
        let mut links = self.links();
        links
            .entry(peer)
            .or_insert_with(|| Link::new(target))
            .clone()
    }

    async fn call<A, F, W>(&self, call: Call, send: F) -> Result<A, Error>
    where
        F: FnOnce(ControlClient, context::Context) -> W,
        W: Future<Output = Result<A, RpcError>>,
    {
        let link = self.link(call.peer);
        let deadline = Instant::now() + call.timeout;
        let stub = timeout_at(deadline, link.stub())
            .await
            .map_err(|_| call.error(&"timeout while connecting"))?
            .map_err(|cause| call.error(&cause))?;
        let answer = send(stub.client.clone(), context(deadline));
        match timeout_at(deadline, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(cause)) => Err(failed(call, &link, &stub, &cause)),
            Err(_) => Err(failed(call, &link, &stub, &"timeout")),
        }
    }
}

fn failed(
    call: Call,
    link: &Link<ControlClient>,
    stub: &Opened<ControlClient>,
    cause: &impl ToString,
) -> Error {
    link.suspect(stub);
    call.error(cause)
}

fn context(deadline: Instant) -> context::Context {
    let mut context = context::current();
    context.deadline = deadline.into_std();
    context
}
