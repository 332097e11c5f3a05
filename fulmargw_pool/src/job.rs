//! One execution of a statement, as workers see it.

use crate::{connection::Connection, dialect::Dialect};
use fulmargw_model::{
    name::Name,
    work::{Key, NotRun, Order, Place, Reply},
};
use fulmargw_peer::forward::RemoteTransaction;
use std::fmt;
use tokio::{sync::oneshot, time::Instant};

/// A statement that waits for a worker.
pub struct Job<D: Dialect> {
    /// What to run.
    pub order: Order,
    /// Time at which it was queued.
    pub queued: Instant,
    /// Time after which its answer is of no use.
    pub deadline: Instant,
    /// Connection of the open transaction.
    pub held: Option<Held<D>>,
    /// Where the result goes.
    pub reply: oneshot::Sender<Done<D>>,
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
pub struct Held<D: Dialect> {
    /// Server that it leads to.
    pub key: Key,
    /// The connection.
    pub connection: Box<Connection<D>>,
}

/// Where an open transaction is.
#[derive(Debug)]
pub enum Pin<D: Dialect> {
    /// On a connection of this host.
    Own(Held<D>),
    /// On a connection of another host.
    Other(Box<RemoteTransaction>),
}

/// How an execution ended.
#[derive(Debug)]
pub enum Done<D: Dialect> {
    /// The server answered.
    Answered {
        /// Its answer.
        reply: Reply,
        /// Where it ran and what was known.
        place: Box<Place>,
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
