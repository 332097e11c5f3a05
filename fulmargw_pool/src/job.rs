//! One execution of a statement, as workers see it.

use crate::{
    catalog::Consistency,
    connection::{Connection, Reply, Values},
    dialect::Dialect,
    message::{Code, Text},
    statement::Shape,
    table::Key,
};
use fulmargw_model::{name::Name, position::Position};
use std::{fmt, sync::Arc, time::Duration};
use tokio::{sync::oneshot, time::Instant};

/// A statement that waits for a worker.
pub struct Job<D: Dialect> {
    /// Service that runs it.
    pub service: Name,
    /// Account on whose behalf it runs.
    pub account: Name,
    /// What to run.
    pub work: Work,
    /// What it may see.
    pub sight: Sight,
    /// Session values that must be in force.
    pub values: Arc<Values>,
    /// Time at which it was queued.
    pub queued: Instant,
    /// Time after which its answer is of no use.
    pub deadline: Instant,
    /// Server that just turned it away.
    pub avoid: Option<Name>,
    /// Connection of the open transaction.
    pub held: Option<Held<D>>,
    /// Where the result goes.
    pub reply: oneshot::Sender<Done<D>>,
}

impl<D: Dialect> fmt::Debug for Job<D> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Job")
            .field("service", &self.service)
            .field("account", &self.account)
            .finish_non_exhaustive()
    }
}

/// What a statement may see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sight {
    /// Rule of its route.
    pub consistency: Consistency,
    /// Last commit of its session.
    pub session: Option<Position>,
}

impl Sight {
    /// Asks for every commit, which only the primary has for certain, if `to_primary`.
    pub fn settle(&mut self, to_primary: bool) {
        if to_primary {
            self.consistency = Consistency::Current;
        }
    }
}

/// A statement to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// Identifier that the caller gave.
    pub id: Text,
    /// Text to send.
    pub text: Text,
    /// Shape that must be prepared on the connection.
    pub shape: Option<Shape>,
    /// How it relates to transactions.
    pub kind: Kind,
}

/// How a statement relates to transactions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A read outside of a transaction.
    Read,
    /// A write outside of a transaction.
    Write,
    /// The first statement of a transaction.
    First {
        /// Whether the transaction only reads.
        read_only: bool,
    },
    /// A later statement of a transaction.
    Inside,
    /// The end of a transaction that keeps its writes.
    Commit,
    /// The end of a transaction without effect.
    Rollback,
}

impl Kind {
    /// Reports whether only the primary can run it.
    #[must_use]
    pub fn needs_primary(self) -> bool {
        matches!(self, Self::Write | Self::First { read_only: false })
    }

    /// Reports whether a success of it means that a commit was acknowledged.
    #[must_use]
    pub fn commits(self) -> bool {
        matches!(self, Self::Write | Self::Commit)
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

/// How an execution ended.
#[derive(Debug)]
pub enum Done<D: Dialect> {
    /// The server answered.
    Answered {
        /// Its answer.
        reply: Reply,
        /// Where it ran and what was known.
        place: Place,
        /// The connection, if a transaction is open on it.
        held: Option<Held<D>>,
    },
    /// It certainly did not run.
    NotRun(NotRun),
    /// It was sent and not answered; the connection is closed.
    Lost {
        /// Where it was sent.
        place: Place,
        /// Whether the deadline passed, and not the connection broke.
        timed_out: bool,
    },
}

/// Where and on what knowledge a statement ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Server that it was sent to.
    pub key: Key,
    /// Whether it was asked as the primary.
    pub as_primary: bool,
    /// Position that the server had to include.
    pub after: Option<Position>,
    /// Age of that position.
    pub age: Duration,
    /// Time in the queue.
    pub waited: Duration,
}

/// Why a statement certainly did not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotRun {
    /// Server that turned it away, if it got that far.
    pub server: Option<Name>,
    /// Code of the cause.
    pub code: Code,
}
