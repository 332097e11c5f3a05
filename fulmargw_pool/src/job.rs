//! One execution of a statement, as workers see it.

use crate::{connection::Connection, dialect::Dialect};
use fulmargw_model::{
    execution::{NotRun, Reply, Request, ServerId, Trace},
    name::Name,
};
use fulmargw_peer::forward::RemoteTransaction;
use std::fmt;
use tokio::{sync::oneshot, time::Instant};

/// A statement that waits for a worker.
pub struct Job<D: Dialect> {
    /// What to run.
    pub order: Request,
    /// Time at which it was queued.
    pub queued: Instant,
    /// Time after which its answer is of no use.
    pub deadline: Instant,
    /// Connection of the open transaction.
    pub pinned: Option<PooledConnection<D>>,
    /// Where the result goes.
    pub reply: oneshot::Sender<Outcome<D>>,
}

impl<D: Dialect> fmt::Debug for Job<D> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Job")
            .field("service", &self.order.service)
            .field("account", &self.order.account)
            .finish_non_exhaustive()
    }
}

/// A connection with an open transaction.
#[derive(Debug)]
pub struct PooledConnection<D: Dialect> {
    /// Server that it leads to.
    pub key: ServerId,
    /// The connection.
    pub connection: Box<Connection<D>>,
}

/// Where an open transaction is.
#[derive(Debug)]
pub enum Pin<D: Dialect> {
    /// On a connection of this host.
    Local(PooledConnection<D>),
    /// On a connection of another host.
    Remote(Box<RemoteTransaction>),
}

/// How an execution ended.
#[derive(Debug)]
pub enum Outcome<D: Dialect> {
    /// The server answered.
    Answered {
        /// Its answer.
        reply: Reply,
        /// Where it ran and what was known.
        place: Box<Trace>,
        /// The open transaction, if there is one.
        pin: Option<Pin<D>>,
    },
    /// It certainly did not run.
    NotRun(NotRun),
    /// It was sent and not answered; the connection is closed.
    Lost {
        /// Backend server that it was sent to, if this host knows.
        server: Option<Name>,
        /// Whether the deadline passed, and not the connection broke.
        timed_out: bool,
    },
}
