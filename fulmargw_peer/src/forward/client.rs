//! Calls to hosts that run statements for this one.

use super::{ForwardClient, Outcome, TransactionId};
use crate::link::{Link, Opened, Target};
use fulmargw_model::{execution::Request, name::Name, position::Position};
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

/// Longest time for opening a connection to a host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between two pings while a host works for this one.
const PING_INTERVAL: Duration = Duration::from_millis(100);
/// Time without an answer to a ping after which a host counts as silent. A host whose processor
/// share is used up pauses for up to a tenth of a second.
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that a host gets beyond the order's own to report the outcome.
const REPORT_TIME: Duration = Duration::from_millis(200);

/// A failed call to another host.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// no connection to host {peer}, nothing was sent: {cause}
    Unreachable {
        /// Address of the host.
        peer: SocketAddr,
        /// What happened.
        cause: String,
    },
    /// host {peer} did not answer: {cause}
    Lost {
        /// Address of the host.
        peer: SocketAddr,
        /// What happened.
        cause: String,
    },
}

impl std::error::Error for Error {}

/// The connections to hosts that run statements; they are opened when they are needed.
#[derive(Debug, Clone, Default)]
pub struct Client {
    /// Nothing else is locked while this is locked, so it needs no rank.
    lines: Arc<Mutex<HashMap<SocketAddr, Arc<Line>>>>,
}

/// A connection that is pinged while it is in use.
#[derive(Debug)]
struct Line {
    peer: SocketAddr,
    link: Link<ForwardClient>,
    uses: watch::Sender<usize>,
    _pings: AbortOnDropHandle<()>,
}

/// A use of a line, which keeps it pinged.
#[derive(Debug)]
struct Use(Arc<Line>);

impl Use {
    fn of(line: Arc<Line>) -> Self {
        line.uses.send_modify(|uses| *uses += 1);
        Self(line)
    }
}

impl Drop for Use {
    fn drop(&mut self) {
        self.0
            .uses
            .send_modify(|uses| *uses = uses.saturating_sub(1));
    }
}

/// A transaction that is open on another host, over one connection to it.
#[derive(Debug)]
pub struct RemoteTransaction {
    /// The host.
    pub host: Name,
    transaction: TransactionId,
    stub: Opened<ForwardClient>,
    line: Use,
}

impl Client {
    /// Makes a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Closes the connections to hosts that are not in `addresses`, once they are not in use.
    pub fn retain(&self, addresses: &[SocketAddr]) {
        self.lines()
            .retain(|address, _| addresses.contains(address));
    }

    /// Has a host run a statement that belongs to no open transaction.
    ///
    /// # Errors
    ///
    /// Whether the order was sent when the call failed.
    pub async fn run(
        &self,
        host: &Name,
        peer: SocketAddr,
        order: Request,
    ) -> Result<(Outcome, Option<RemoteTransaction>), Error> {
        let line = Use::of(self.line(peer));
        let stub = line.0.stub().await?;
        let outcome = line.0.run(&stub, order, None).await?;
        let remote = match &outcome {
            Outcome::Answered {
                transaction: Some(transaction),
                ..
            } => Some(RemoteTransaction {
                host: host.clone(),
                transaction: *transaction,
                stub,
                line,
            }),
            _ => None,
        };
        Ok((outcome, remote))
    }

    /// Reports whether a host gets answers from a backend server.
    ///
    /// # Errors
    ///
    /// If the host does not answer in time.
    pub async fn reaches(
        &self,
        peer: SocketAddr,
        service: Name,
        server: Name,
        limit: Duration,
    ) -> Result<bool, Error> {
        self.ask(peer, limit, async |client, context| {
            client.reaches(context, service, server).await
        })
        .await
    }

    /// Returns what a host knows to be acknowledged by the primary of a service.
    ///
    /// # Errors
    ///
    /// If the host does not answer in time.
    pub async fn acknowledged_position(
        &self,
        peer: SocketAddr,
        service: Name,
        limit: Duration,
    ) -> Result<Option<Position>, Error> {
        self.ask(peer, limit, async |client, context| {
            client.acknowledged(context, service).await
        })
        .await
    }

    async fn ask<A, F>(&self, peer: SocketAddr, limit: Duration, question: F) -> Result<A, Error>
    where
        F: AsyncFnOnce(ForwardClient, context::Context) -> Result<A, RpcError>,
    {
        let deadline = Instant::now() + limit;
        let line = self.line(peer);
        let asked = timeout_at(deadline, async {
            let stub = line.stub().await?;
            let answer = question(stub.client, context_of(deadline)).await;
            answer.map_err(|cause| line.lost(&cause))
        });
        asked.await.map_err(|_| line.lost(&"timeout"))?
    }

    /// Reports whether a host answers.
    ///
    /// # Errors
    ///
    /// If the host does not answer in time.
    pub async fn ping(&self, peer: SocketAddr) -> Result<(), Error> {
        let line = self.line(peer);
        let stub = line.stub().await?;
        if ping(&stub).await {
            return Ok(());
        }
        line.link.suspect(&stub);
        Err(line.lost(&"timeout"))
    }

    fn lines(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Line>>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn line(&self, peer: SocketAddr) -> Arc<Line> {
        let mut lines = self.lines();
        let line = lines.entry(peer).or_insert_with(|| Line::open(peer));
        Arc::clone(line)
    }
}

impl RemoteTransaction {
    /// Runs a statement of the transaction; it comes back if it is still open.
    ///
    /// # Errors
    ///
    /// The connection failed, and the transaction is rolled back with it.
    pub async fn run(self, order: Request) -> Result<(Outcome, Option<Self>), Error> {
        let transaction = Some(self.transaction);
        let outcome = self.line.0.run(&self.stub, order, transaction).await?;
        let is_open = matches!(
            &outcome,
            Outcome::Answered {
                transaction: Some(_),
                ..
            }
        );
        Ok((outcome, is_open.then_some(self)))
    }

    /// Rolls the transaction back.
    pub async fn roll_back(self) {
        let context = context_of(Instant::now() + PING_TIMEOUT);
        let released = self.stub.client.release(context, self.transaction).await;
        if let Err(cause) = released {
            // A broken connection rolls its transactions back by itself.
            log::info!(event = "release_failed", host = self.host.as_str(), cause:% = cause; "connection to a host broke");
        }
    }
}

impl Line {
    fn open(peer: SocketAddr) -> Arc<Self> {
        let link = Link::new(Target {
            address: peer,
            source: None,
            timeout: CONNECT_TIMEOUT,
        });
        let (uses, demand) = watch::channel(0);
        let pings = tokio::spawn(watch_over(peer, link.clone(), demand));
        Arc::new(Self {
            peer,
            link,
            uses,
            _pings: AbortOnDropHandle::new(pings),
        })
    }

    async fn stub(&self) -> Result<Opened<ForwardClient>, Error> {
        let opened = timeout(CONNECT_TIMEOUT, self.link.stub()).await;
        let cause = match opened {
            Ok(Ok(stub)) => return Ok(stub),
            Ok(Err(cause)) => cause,
            Err(_) => "timeout while connecting".to_owned(),
        };
        Err(Error::Unreachable {
            peer: self.peer,
            cause,
        })
    }

    async fn run(
        &self,
        stub: &Opened<ForwardClient>,
        order: Request,
        transaction: Option<TransactionId>,
    ) -> Result<Outcome, Error> {
        let deadline = Instant::now() + order.remaining + REPORT_TIME;
        let answer = stub.client.run(context_of(deadline), order, transaction);
        match timeout_at(deadline, answer).await {
            Ok(Ok(outcome)) => Ok(outcome),
            Ok(Err(RpcError::Shutdown)) => Err(self.lost(&"the connection broke")),
            Ok(Err(cause)) => Err(self.lost(&cause)),
            Err(_) => Err(self.lost(&"timeout")),
        }
    }

    fn lost(&self, cause: &impl ToString) -> Error {
        Error::Lost {
            peer: self.peer,
            cause: cause.to_string(),
        }
    }
}

/// Pings a host while this one waits for it, and gives the connection up if it is silent.
async fn watch_over(
    peer: SocketAddr,
    link: Link<ForwardClient>,
    mut demand: watch::Receiver<usize>,
) {
    while demand.wait_for(|uses| *uses > 0).await.is_ok() {
        sleep(PING_INTERVAL).await;
        let Some(stub) = link.opened() else {
            continue;
        };
        if !ping(&stub).await && *demand.borrow() > 0 {
            log::info!(event = "host_silent", host:% = peer; "giving up the connection to a host");
            link.suspect(&stub);
        }
    }
}

async fn ping(stub: &Opened<ForwardClient>) -> bool {
    let context = context_of(Instant::now() + PING_TIMEOUT);
    let answered = timeout(PING_TIMEOUT, stub.client.ping(context)).await;
    matches!(answered, Ok(Ok(())))
}

fn context_of(deadline: Instant) -> context::Context {
    let mut context = context::current();
    context.deadline = deadline.into_std();
    context
}
