//! Queued statements and the outcomes of their execution.

use crate::{connection::Connection, dialect::Dialect};
use fulmargw_model::{
    abort,
    execution::{NotRun, Reply, Request, ServerId, Trace},
    name::Name,
};
use fulmargw_peer::forward::RemoteTransaction;
use std::fmt;
use tokio::{sync::oneshot, time::Instant};

/// A statement that is queued for a worker.
pub struct Job<D: Dialect> {
    /// Statement and what is needed to run it.
    pub request: Request,
    /// Time at which the job was queued.
    pub queued: Instant,
    /// Time after which the caller no longer waits for the response.
    pub deadline: Instant,
    /// Connection to which the transaction of the statement is pinned.
    pub pinned: Option<PooledConnection<D>>,
    /// Receives the outcome.
    pub reply: oneshot::Sender<Outcome<D>>,
}

impl<D: Dialect> fmt::Debug for Job<D> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Job")
            .field("service", &self.request.service)
            .field("account", &self.request.account)
            .finish_non_exhaustive()
    }
}

/// A connection that is checked out of the pool of a backend server.
#[derive(Debug)]
pub struct PooledConnection<D: Dialect> {
    /// Backend server to which it is connected.
    pub server_id: ServerId,
    /// The connection.
    pub connection: Box<Connection<D>>,
}

/// The connection to which an open transaction is pinned.
#[derive(Debug)]
pub enum Pin<D: Dialect> {
    /// A connection of this host.
    Local(PooledConnection<D>),
    /// A connection of a peer, which runs the statements of the transaction.
    Remote(Box<RemoteTransaction>),
}

/// What has become of the transaction of a statement that a server has answered.
#[derive(Debug)]
pub enum Transaction<D: Dialect> {
    /// It is open, on this connection.
    Open(Pin<D>),
    /// A host rolled it back while the statement ran.
    RolledBack(abort::Cause),
    /// None is open: the statement was one of its own, or the server has ended the transaction.
    Ended,
}

impl<D: Dialect> Transaction<D> {
    /// Returns what has become of the transaction of a statement that does not end it.
    ///
    /// A success with which no transaction is open is no success for a caller, which would go on as if
    /// its transaction was open. A host of an earlier version sends it when it has rolled the transaction back.
    #[must_use]
    pub fn after_inner_statement(self, succeeded: bool) -> Self {
        match self {
            Self::Ended if succeeded => Self::RolledBack(abort::Cause::Disconnected),
            transaction => transaction,
        }
    }
}

/// How the execution of a statement ended.
#[derive(Debug)]
pub enum Outcome<D: Dialect> {
    /// The backend server responded.
    Answered {
        /// Response of the server.
        reply: Reply,
        /// Where and under which conditions the statement ran.
        trace: Box<Trace>,
        /// What has become of its transaction.
        transaction: Transaction<D>,
    },
    /// The statement certainly did not run.
    NotRun(NotRun),
    /// The statement was sent and got no response. The connection is closed.
    Lost {
        /// Backend server to which it was sent, if this host knows it.
        server: Option<Name>,
        /// Whether the deadline passed rather than the connection failing.
        timed_out: bool,
    },
}
