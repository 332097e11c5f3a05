//! Calls to peers that run statements for this host.

use super::{BarrierReport, ForwardClient, Outcome, Sample, Transaction, TransactionId};
use crate::{
    codec,
    connection::{Connection, Stub, Target},
};
use fulmargw_model::{
    execution::{Kind, Request},
    name::Name,
    position::Position,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tarpc::{client::RpcError, context};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout, timeout_at},
};
use tokio_util::task::AbortOnDropHandle;

/// Timeout for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval of pings while a connection is in use.
const PING_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a response to a ping after which a peer counts as unresponsive: it gets no new
/// statements, and reads are retried elsewhere. A process that has used up its CPU quota is paused
/// for up to 100 ms.
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without a response to pings after which the connection is replaced, which gives up the
/// writes and transactions that the peer runs. A peer that was only slow responds before. It is
/// shorter than the time after which that peer rolls back the transactions of an absent host.
const UNRESPONSIVE_LIMIT: Duration = Duration::from_millis(1_200);
/// Time beyond the timeout of a statement that a peer gets to report its outcome.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// Cause of an error of an unresponsive peer.
const NO_RESPONSE_TO_PINGS: &str = "no response to pings";

/// A failed call to a peer.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// no connection to host {peer}, nothing was sent: {cause}
    Unreachable {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause of the failure.
        cause: String,
    },
    /// host {peer} did not respond: {cause}
    Lost {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause of the failure.
        cause: String,
    },
}

impl std::error::Error for Error {}

/// The connections to all peers; each is opened by the first call that needs it.
#[derive(Debug, Clone, Default)]
pub struct Client {
    /// No other lock is taken while this one is held, so it has no rank in the lock order.
    peers: Arc<Mutex<HashMap<SocketAddr, Arc<Peer>>>>,
}

/// A peer, which is pinged while its connection is in use.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    connection: Connection<ForwardClient>,
    use_count: watch::Sender<usize>,
    /// Whether the peer has not responded to the last ping.
    is_unresponsive: watch::Sender<bool>,
    _ping_task: AbortOnDropHandle<()>,
}

/// Counts one use of the connection to a peer until it is dropped.
#[derive(Debug)]
struct PeerGuard(Arc<Peer>);

impl PeerGuard {
    fn new(peer: Arc<Peer>) -> Self {
        peer.use_count.send_modify(|count| *count += 1);
        Self(peer)
    }
}

impl Drop for PeerGuard {
    fn drop(&mut self) {
        self.0
            .use_count
            .send_modify(|count| *count = count.saturating_sub(1));
    }
}

/// A transaction that is open on a peer and bound to one connection to it.
#[derive(Debug)]
pub struct RemoteTransaction {
    /// Host of the transaction.
    pub host: Name,
    id: TransactionId,
    stub: Stub<ForwardClient>,
    peer: PeerGuard,
}

impl Client {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Closes the connections to peers that are not in `addresses`, once they are not in use.
    pub fn retain(&self, addresses: &[SocketAddr]) {
        self.peers()
            .retain(|address, _| addresses.contains(address));
    }

    /// Forwards a statement that belongs to no open transaction. Returns its outcome and the
    /// transaction that it opened, if any.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if the statement was not sent, [`Error::Lost`] if it may have run.
    pub async fn run(
        &self,
        host: &Name,
        address: SocketAddr,
        request: Request,
    ) -> Result<(Outcome, Option<RemoteTransaction>), Error> {
        let peer = PeerGuard::new(self.peer(address));
        let stub = peer.0.stub().await?;
        if *peer.0.is_unresponsive.borrow() {
            return Err(peer.0.unreachable_error(NO_RESPONSE_TO_PINGS.to_owned()));
        }
        let outcome = peer.0.run(&stub, request, None).await?;
        let remote = match &outcome {
            Outcome::Answered {
                transaction: Transaction::Open(transaction),
                ..
            } => Some(RemoteTransaction {
                host: host.clone(),
                id: *transaction,
                stub,
                peer,
            }),
            _ => None,
        };
        Ok((outcome, remote))
    }

    /// Requests from a peer whether a backend server responds to it.
    ///
    /// # Errors
    ///
    /// If the peer does not respond within `limit`.
    pub async fn reaches(
        &self,
        address: SocketAddr,
        service: Name,
        server: Name,
        limit: Duration,
    ) -> Result<bool, Error> {
        self.call(address, limit, async |client, context| {
            client.reaches(context, service, server).await
        })
        .await
    }

    /// Returns the last log position that a peer knows to be acknowledged by the primary of a
    /// service.
    ///
    /// # Errors
    ///
    /// If the peer does not respond within `limit`.
    pub async fn acknowledged_position(
        &self,
        address: SocketAddr,
        service: Name,
        limit: Duration,
    ) -> Result<Option<Position>, Error> {
        self.call(address, limit, async |client, context| {
            client.acknowledged(context, service).await
        })
        .await
    }

    /// Returns a peer's newest sample of the log position of the primary of a service.
    ///
    /// # Errors
    ///
    /// If the peer does not respond within `limit`.
    pub async fn sample(
        &self,
        address: SocketAddr,
        service: Name,
        limit: Duration,
    ) -> Result<Option<Sample>, Error> {
        self.call(address, limit, async |client, context| {
            client.sample(context, service).await
        })
        .await
    }

    /// Raises the commit barrier of a service on a peer for a time. Returns `None` if the peer knows a
    /// barrier or promotion with a greater fencing token.
    ///
    /// # Errors
    ///
    /// If the peer does not respond within `limit`; the barrier may be up there.
    pub async fn raise_barrier(
        &self,
        address: SocketAddr,
        service: Name,
        token: u64,
        period: Duration,
        limit: Duration,
    ) -> Result<Option<BarrierReport>, Error> {
        self.call(address, limit, async |client, context| {
            client.raise_barrier(context, service, token, period).await
        })
        .await
    }

    /// Lifts the commit barrier of a service on a peer, unless it has a greater fencing token.
    ///
    /// # Errors
    ///
    /// If the peer does not respond within `limit`.
    pub async fn lift_barrier(
        &self,
        address: SocketAddr,
        service: Name,
        token: u64,
        limit: Duration,
    ) -> Result<(), Error> {
        self.call(address, limit, async |client, context| {
            client.lift_barrier(context, service, token).await
        })
        .await
    }

    async fn call<T, F>(&self, address: SocketAddr, limit: Duration, send: F) -> Result<T, Error>
    where
        F: AsyncFnOnce(ForwardClient, context::Context) -> Result<T, RpcError>,
    {
        let deadline = Instant::now() + limit;
        let peer = self.peer(address);
        let called = timeout_at(deadline, async {
            let stub = peer.stub().await?;
            let response = send(stub.client, codec::context(deadline)).await;
            response.map_err(|cause| peer.lost_error(&cause))
        });
        called.await.map_err(|_| peer.lost_error(&"timeout"))?
    }

    /// Checks that a peer responds; otherwise its connection is replaced, unless it is in use.
    ///
    /// # Errors
    ///
    /// If the peer does not respond in time.
    pub async fn ping(&self, address: SocketAddr) -> Result<(), Error> {
        let peer = self.peer(address);
        let stub = peer.stub().await?;
        if ping(&stub).await {
            return Ok(());
        }
        if *peer.use_count.borrow() == 0 {
            peer.connection.report_unresponsive(&stub);
        }
        Err(peer.lost_error(&"timeout"))
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Peer>>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn peer(&self, address: SocketAddr) -> Arc<Peer> {
        let mut peers = self.peers();
        let peer = peers.entry(address).or_insert_with(|| Peer::new(address));
        Arc::clone(peer)
    }
}

impl RemoteTransaction {
    /// Forwards a statement of the transaction. Returns its outcome and the transaction, if it
    /// is still open.
    ///
    /// # Errors
    ///
    /// If the connection failed; the transaction is rolled back with it.
    pub async fn run(self, request: Request) -> Result<(Outcome, Option<Self>), Error> {
        let id = Some(self.id);
        let outcome = self.peer.0.run(&self.stub, request, id).await?;
        let is_open = matches!(
            &outcome,
            Outcome::Answered {
                transaction: Transaction::Open(_),
                ..
            }
        );
        Ok((outcome, is_open.then_some(self)))
    }

    /// Rolls back the transaction.
    pub async fn roll_back(self) {
        let context = codec::context(Instant::now() + PING_TIMEOUT);
        let released = self.stub.client.release(context, self.id).await;
        if let Err(cause) = released {
            // The peer rolls back all open transactions of a connection that closes.
            log::info!(event = "release_failed", host = self.host.as_str(), cause:% = cause; "rollback request failed; the host rolls back the transaction when the connection closes");
        }
    }
}

impl Peer {
    fn new(address: SocketAddr) -> Arc<Self> {
        let connection = Connection::new(Target {
            address,
            source: None,
            timeout: CONNECT_TIMEOUT,
        });
        let (use_count, use_count_receiver) = watch::channel(0);
        let is_unresponsive = watch::Sender::new(false);
        let pings = Pings {
            peer: address,
            connection: connection.clone(),
            use_count: use_count_receiver,
            is_unresponsive: is_unresponsive.clone(),
        };
        let task = tokio::spawn(pings.run());
        Arc::new(Self {
            address,
            connection,
            use_count,
            is_unresponsive,
            _ping_task: AbortOnDropHandle::new(task),
        })
    }

    async fn stub(&self) -> Result<Stub<ForwardClient>, Error> {
        let connected = timeout(CONNECT_TIMEOUT, self.connection.stub()).await;
        let cause = match connected {
            Ok(Ok(stub)) => return Ok(stub),
            Ok(Err(cause)) => cause,
            Err(_) => "timeout while connecting".to_owned(),
        };
        Err(self.unreachable_error(cause))
    }

    async fn run(
        &self,
        stub: &Stub<ForwardClient>,
        request: Request,
        transaction: Option<TransactionId>,
    ) -> Result<Outcome, Error> {
        let deadline = Instant::now() + request.remaining + RESPONSE_MARGIN;
        let is_read = transaction.is_none() && request.statement.kind == Kind::Read;
        let response = stub
            .client
            .run(codec::context(deadline), request, transaction);
        let response = tokio::select! {
            response = timeout_at(deadline, response) => response,
            () = self.wait_until_unresponsive(), if is_read => {
                return Err(self.lost_error(&NO_RESPONSE_TO_PINGS));
            }
        };
        match response {
            Ok(Ok(outcome)) => Ok(outcome),
            Ok(Err(RpcError::Shutdown)) => Err(self.lost_error(&"the connection broke")),
            Ok(Err(cause)) => Err(self.lost_error(&cause)),
            Err(_) => Err(self.lost_error(&"timeout")),
        }
    }

    async fn wait_until_unresponsive(&self) {
        let mut is_unresponsive = self.is_unresponsive.subscribe();
        // The sender lives as long as this peer.
        let _ = is_unresponsive
            .wait_for(|is_unresponsive| *is_unresponsive)
            .await;
    }

    fn unreachable_error(&self, cause: String) -> Error {
        Error::Unreachable {
            peer: self.address,
            cause,
        }
    }

    fn lost_error(&self, cause: &impl ToString) -> Error {
        Error::Lost {
            peer: self.address,
            cause: cause.to_string(),
        }
    }
}

/// Pings of one peer.
struct Pings {
    peer: SocketAddr,
    connection: Connection<ForwardClient>,
    use_count: watch::Receiver<usize>,
    is_unresponsive: watch::Sender<bool>,
}

impl Pings {
    /// Pings the peer while its connection is in use. Records whether it responds, and has the
    /// connection replaced if it does not for [`UNRESPONSIVE_LIMIT`].
    async fn run(mut self) {
        let mut unresponsive_since: Option<Instant> = None;
        while self.use_count.wait_for(|count| *count > 0).await.is_ok() {
            sleep(PING_INTERVAL).await;
            // Most statements have ended by then. Nobody would use the result of a ping.
            if *self.use_count.borrow() == 0 {
                self.is_unresponsive.send_replace(false);
                unresponsive_since = None;
                continue;
            }
            let Some(stub) = self.connection.connected_stub() else {
                self.is_unresponsive.send_replace(false);
                unresponsive_since = None;
                continue;
            };
            let sent = Instant::now();
            let is_responsive = ping(&stub).await;
            if is_responsive || *self.use_count.borrow() == 0 {
                self.is_unresponsive.send_replace(false);
                unresponsive_since = None;
                continue;
            }
            let since = *unresponsive_since.get_or_insert(sent);
            if !self.is_unresponsive.send_replace(true) {
                log::info!(event = "host_silent", host:% = self.peer; "host does not respond to pings; sending it no new statements");
            }
            if since.elapsed() >= UNRESPONSIVE_LIMIT {
                log::info!(event = "host_given_up", host:% = self.peer, unresponsive_ms = since.elapsed().as_millis(); "host still does not respond to pings; replacing the connection to it");
                self.connection.report_unresponsive(&stub);
            }
        }
    }
}

async fn ping(stub: &Stub<ForwardClient>) -> bool {
    let context = codec::context(Instant::now() + PING_TIMEOUT);
    let response = timeout(PING_TIMEOUT, stub.client.ping(context)).await;
    matches!(response, Ok(Ok(())))
}
