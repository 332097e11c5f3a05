//! Forwarding of statements to a peer, which runs them for this host.

mod client;
mod server;
mod size;

pub use self::{
    client::{Client, Error, RemoteTransaction},
    server::serve,
};
use fulmargw_decision::placement::Obstacle;
use fulmargw_model::{
    abort,
    execution::{NotRun, Reply, Request, Trace},
    name::Name,
    position::Position,
};
use serde::{Deserialize, Serialize};
use std::{fmt::Debug, time::Duration};

/// Number of an open transaction, unique on the connection between the two hosts.
pub type TransactionId = u64;

/// What has become of the transaction of a forwarded statement that a server has answered.
///
/// It is encoded as the number, the cause or nothing. Hosts of an earlier version send the number or nothing,
/// and nothing also for a transaction that they have rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Transaction {
    /// It is open.
    Open(TransactionId),
    /// The host rolled it back while the statement ran.
    RolledBack(abort::Cause),
    /// None is open: the statement was one of its own, or the server has ended the transaction.
    Ended,
}

/// Outcome of a forwarded statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The backend server responded.
    Answered {
        /// Its response.
        reply: Reply,
        /// Where and under which conditions the statement ran.
        #[serde(rename = "place")]
        trace: Box<Trace>,
        /// What has become of the transaction of the statement.
        transaction: Transaction,
    },
    /// The statement certainly did not run.
    NotRun(NotRun),
    /// The statement was sent and got no response; whether it ran is unknown.
    Lost {
        /// Backend server that the statement was sent to.
        server: Option<Name>,
        /// True if the deadline passed, false if the connection broke.
        timed_out: bool,
    },
    /// The statement did not run, because the executing host runs no statements of the service
    /// for its peers at present.
    #[serde(rename = "Elsewhere")]
    NotServing,
    /// The statement did not run, because another zone should run it.
    PassedOn(Obstacle),
}

/// A log position of a primary that includes every commit acknowledged before it was requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The log position.
    pub position: Position,
    /// Time since it was requested from the primary, by the clock that shows the greater one.
    pub age: Duration,
}

/// What a host reports once its commit barrier is up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BarrierReport {
    /// Latest log position that the host knows to be acknowledged.
    pub acknowledged: Option<Position>,
    /// Whether no commit that the host has sent is still without a response.
    pub is_settled: bool,
}

/// RPC methods for forwarded statements.
#[tarpc::service]
pub trait Forward {
    /// Runs a statement, inside an open transaction if one is given.
    async fn run(order: Request, transaction: Option<TransactionId>) -> Outcome;

    /// Rolls back an open transaction.
    async fn release(transaction: TransactionId);

    /// Reports whether a backend server responds to this host.
    async fn reaches(service: Name, server: Name) -> bool;

    /// Returns the last log position that this host knows to be acknowledged by the primary of
    /// a service; `None` if it may not cover what the host itself has acknowledged.
    async fn acknowledged(service: Name) -> Option<Position>;

    /// Responds at once, which shows that this host is running.
    async fn ping();

    /// Returns the newest sample of the log position of the primary of a service.
    async fn sample(service: Name) -> Option<Sample>;

    /// Raises the commit barrier of a service for a time. Returns `None` if a barrier or promotion
    /// with a greater fencing token is known.
    async fn raise_barrier(service: Name, token: u64, period: Duration) -> Option<BarrierReport>;

    /// Lifts the commit barrier of a service, unless it has a greater fencing token.
    async fn lift_barrier(service: Name, token: u64);
}

/// Creates an executor for each connection from a peer.
pub trait Handler: Send + Sync + 'static {
    /// Type of the executors.
    type Executor: Executor;

    /// Creates the executor of a new connection.
    fn executor(&self) -> Self::Executor;
}

/// Runs the statements of one connection from a peer and keeps its open transactions.
pub trait Executor: Debug + Send + Sync + 'static {
    /// Runs a statement, inside an open transaction if one is given.
    fn run(
        &self,
        request: Request,
        transaction: Option<TransactionId>,
    ) -> impl Future<Output = Outcome> + Send;

    /// Rolls back an open transaction.
    fn roll_back(&self, transaction: TransactionId);

    /// Reports whether a backend server responds to this host.
    fn reaches(&self, service: Name, server: Name) -> impl Future<Output = bool> + Send;

    /// Returns the last log position that this host knows to be acknowledged by the primary of
    /// a service; `None` if it may not cover what the host itself has acknowledged.
    fn acknowledged_position(&self, service: Name) -> Option<Position>;

    /// Returns the newest sample of the log position of the primary of a service, and has newer ones
    /// taken for some time.
    fn sample(&self, service: Name) -> Option<Sample>;

    /// Raises the commit barrier of a service for a time. Returns `None` if a barrier or promotion
    /// with a greater fencing token is known.
    fn raise_barrier(
        &self,
        service: Name,
        token: u64,
        period: Duration,
    ) -> impl Future<Output = Option<BarrierReport>> + Send;

    /// Lifts the commit barrier of a service, unless it has a greater fencing token.
    fn lift_barrier(&self, service: Name, token: u64);

    /// Reports whether a transaction is open.
    fn has_open_transactions(&self) -> bool;

    /// Rolls back all transactions. One that is opened later is rolled back at once.
    fn close(&self);
}
