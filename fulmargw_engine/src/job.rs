//! Executions that the workers run, and their results.

use crate::table::server::ServerId;
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

/// Retry delay that a refusal recommends when no better one is known.
pub const RETRY_AFTER: Duration = Duration::from_millis(200);

/// An execution that waits for a worker.
#[derive(Debug)]
pub struct Job<B, A> {
    /// Request to run.
    pub request: Arc<Request<B>>,
    /// Operation to run for the request.
    pub operation: Operation,
    /// Time at which the job was queued.
    pub queued_at: Instant,
    /// Channel for the result.
    pub reply: oneshot::Sender<Result<Completion<A>, Failure>>,
}

/// What to run for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// A read outside a transaction, on data that includes the position.
    Read(Position),
    /// A write that is a whole transaction, with its attempt number.
    Write(u64),
    /// The begin of a transaction that writes, with its attempt number.
    Begin(u64),
    /// The begin of a read-only transaction, on data that includes the position.
    BeginReadOnly(Position),
    /// A statement of the transaction that pins a connection to this server.
    Statement(ServerId),
    /// The end of the transaction that pins a connection to this server.
    End(ServerId),
}

impl Operation {
    /// Returns the position that the response must include.
    pub fn required_position(&self) -> Position {
        match self {
            Self::Read(position) | Self::BeginReadOnly(position) => *position,
            _ => Position::default(),
        }
    }

    /// Reports whether the operation needs a connection that is bound to the primary's term.
    pub fn needs_primary_term(&self) -> bool {
        matches!(self, Self::Write(_) | Self::Begin(_))
    }

    /// Reports whether the operation begins a transaction, which then pins the connection to
    /// the caller.
    pub fn begins_transaction(&self) -> bool {
        matches!(self, Self::Begin(_) | Self::BeginReadOnly(_))
    }

    /// Returns the server of the open transaction that the operation belongs to, if any.
    pub fn pinned_server(&self) -> Option<&ServerId> {
        match self {
            Self::Statement(server_id) | Self::End(server_id) => Some(server_id),
            _ => None,
        }
    }

    /// Returns the cost in the fair queue; a write takes about twice the work of a read.
    pub fn cost(&self) -> u32 {
        if self.needs_primary_term() { 2 } else { 1 }
    }
}

/// Returns the urgency of a consistency class.
pub fn urgency(class: Class) -> Urgency {
    match class {
        Class::Write | Class::Current => Urgency::Urgent,
        Class::Aged(_) => Urgency::Browse,
    }
}

/// A finished execution.
#[derive(Debug)]
pub struct Completion<A> {
    /// Reply of the backend server.
    pub reply: Reply<A>,
    /// Where it ran.
    pub target: Target,
}

/// Backend server of an execution, and why it was chosen.
#[derive(Debug, Clone)]
pub struct Target {
    /// Backend server.
    pub server_id: ServerId,
    /// Routing choice; `None` inside a transaction, which stays on its server.
    pub choice: Option<Choice>,
    /// Term to which the connection is bound; 0 for a connection that only reads.
    pub term: Term,
}

impl Target {
    /// Returns the role in which the server was used. Statements inside a transaction count as
    /// run by the primary.
    pub fn served_by(&self) -> ServedBy {
        self.choice
            .map_or(ServedBy::Primary, |choice| choice.served_by)
    }
}

/// Why an execution has no reply.
#[derive(Debug)]
pub enum Failure {
    /// The execution was not started.
    Refused(Refusal),
    /// The backend server or the connection failed.
    Failed(Error, Target),
}

/// Builds a refusal with the default retry delay.
pub fn refusal(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after: RETRY_AFTER,
    }
}
