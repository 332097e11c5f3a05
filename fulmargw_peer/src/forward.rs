//! Statements that a host runs on behalf of another, over one connection between the two.

mod client;
mod server;

pub use self::{
    client::{Client, Error, RemoteTransaction},
    server::serve,
};
use fulmargw_model::{
    execution::{NotRun, Reply, Request, Trace},
    name::Name,
    position::Position,
};
use serde::{Deserialize, Serialize};
use std::fmt::Debug;

/// Number of an open transaction on its connection between two hosts.
pub type TransactionId = u64;

/// How a host ran an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The backend server answered.
    Answered {
        /// Its answer.
        reply: Reply,
        /// Where it ran and what was known.
        place: Box<Trace>,
        /// The open transaction, if there is one.
        transaction: Option<TransactionId>,
    },
    /// It certainly did not run.
    NotRun(NotRun),
    /// It was sent and not answered.
    Lost {
        /// Backend server that it was sent to.
        server: Option<Name>,
        /// Whether the deadline passed, and not the connection broke.
        timed_out: bool,
    },
    /// It did not run, and this host takes no work of the service now.
    #[serde(rename = "Elsewhere")]
    NotServing,
}

/// The remote procedures.
#[tarpc::service]
pub trait Forward {
    /// Runs a statement, inside an open transaction if one is named.
    async fn run(order: Request, transaction: Option<TransactionId>) -> Outcome;

    /// Rolls an open transaction back.
    async fn release(transaction: TransactionId);

    /// Reports whether a backend server answers this host.
    async fn reaches(service: Name, server: Name) -> bool;

    /// Returns what this host knows to be acknowledged by the primary of a service.
    async fn acknowledged(service: Name) -> Option<Position>;

    /// Shows that this host runs.
    async fn ping();
}

/// Opens a visitor for each connection from another host.
pub trait Handler: Send + Sync + 'static {
    /// What runs the orders of one connection.
    type Executor: Executor;

    /// Opens a visitor.
    fn executor(&self) -> Self::Executor;
}

/// Runs the orders of one connection and keeps its open transactions.
pub trait Executor: Debug + Send + Sync + 'static {
    /// Runs a statement.
    fn run(
        &self,
        order: Request,
        transaction: Option<TransactionId>,
    ) -> impl Future<Output = Outcome> + Send;

    /// Rolls a transaction back.
    fn roll_back(&self, transaction: TransactionId);

    /// Reports whether a backend server answers this host.
    fn reaches(&self, service: Name, server: Name) -> impl Future<Output = bool> + Send;

    /// Returns what this host knows to be acknowledged by the primary of a service.
    fn acknowledged_position(&self, service: Name) -> Option<Position>;

    /// Reports whether a transaction is open.
    fn has_open_transactions(&self) -> bool;

    /// Rolls all transactions back; later ones are rolled back at once.
    fn close(&self);
}
