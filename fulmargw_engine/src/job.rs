//! One execution of a request, as workers see it.

use crate::table::server::Key;
use fulmargw_backend::connection::{Error, Reply};
use fulmargw_decision::{
    queue::Urgency,
    routing::{Choice, ServedBy},
};
use fulmargw_model::{
    outcome::{Reason, Refusal},
    position::{Position, Term},
    request::{Class, Request},
};
use std::{sync::Arc, time::Duration};
use tokio::{sync::oneshot, time::Instant};

/// Time after which a caller may try again when no better time is known.
pub const RETRY_AFTER: Duration = Duration::from_millis(200);

/// A request that waits for a worker.
#[derive(Debug)]
pub struct Job<B, A> {
    /// Request to run.
    pub request: Arc<Request<B>>,
    /// What to run of it.
    pub work: Work,
    /// Time at which it was queued.
    pub queued: Instant,
    /// Where the result goes.
    pub reply: oneshot::Sender<Result<Done<A>, Failure>>,
}

/// What to run of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// A read outside of a transaction that includes the position.
    Read(Position),
    /// A whole transaction with this attempt number.
    Write(u64),
    /// The begin of a transaction that writes, with its attempt number.
    Begin(u64),
    /// The begin of a transaction that only reads data that includes the position.
    BeginRead(Position),
    /// A statement of the transaction that holds a connection to this server.
    Inside(Key),
    /// The end of the transaction that holds a connection to this server.
    End(Key),
}

impl Work {
    /// Returns the position that the answer must include.
    pub fn required(&self) -> Position {
        match self {
            Self::Read(required) | Self::BeginRead(required) => *required,
            _ => Position::default(),
        }
    }

    /// Reports whether it needs a connection of the primary's term.
    pub fn needs_term(&self) -> bool {
        matches!(self, Self::Write(_) | Self::Begin(_))
    }

    /// Reports whether the connection may stay with the caller afterwards.
    pub fn begins(&self) -> bool {
        matches!(self, Self::Begin(_) | Self::BeginRead(_))
    }

    /// Returns the server that holds the transaction, if one is open.
    pub fn pinned(&self) -> Option<&Key> {
        match self {
            Self::Inside(key) | Self::End(key) => Some(key),
            _ => None,
        }
    }

    /// Returns the cost in the fair queue; a write takes about twice the work of a read.
    pub fn cost(&self) -> u32 {
        if self.needs_term() { 2 } else { 1 }
    }
}

/// Returns the urgency of a class.
pub fn urgency(class: Class) -> Urgency {
    match class {
        Class::Write | Class::Current => Urgency::Urgent,
        Class::Aged(_) => Urgency::Browse,
    }
}

/// A finished execution.
#[derive(Debug)]
pub struct Done<A> {
    /// Reply of the backend server.
    pub reply: Reply<A>,
    /// Where it ran.
    pub place: Place,
}

/// Where and why an execution ran.
#[derive(Debug, Clone)]
pub struct Place {
    /// Backend server.
    pub key: Key,
    /// Choice of the server; `None` inside a transaction.
    pub choice: Option<Choice>,
    /// Term of the connection.
    pub term: Term,
}

impl Place {
    /// Returns the part of the server, which counts as primary inside a transaction that
    /// writes.
    pub fn by(&self) -> ServedBy {
        self.choice
            .map_or(ServedBy::Primary, |choice| choice.served_by)
    }
}

/// An execution without a reply.
#[derive(Debug)]
pub enum Failure {
    /// It was not started.
    Refused(Refusal),
    /// The backend server or the connection failed.
    Failed(Error, Place),
}

/// Makes a refusal with the usual time to try again.
pub fn refusal(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after: RETRY_AFTER,
    }
}
