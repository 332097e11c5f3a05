//! Interface through which the engine uses connections to backend servers.

use fulmargw_model::{
    backend_server::{Server, Status},
    name::Name,
    outcome::Step,
    position::{Position, Term},
    request::Id,
};
use std::{future::Future, time::Duration};

/// Opens connections to backend servers.
pub trait Connector: Clone + Send + Sync + 'static {
    /// Type of the connections.
    type Connection: Connection;

    /// Opens a connection on which the server accepts statements only as the primary of `term`.
    /// A connection with term 0 can only read and call the group functions.
    fn connect(
        &self,
        server: &Server,
        term: Term,
    ) -> impl Future<Output = Result<Self::Connection, Error>> + Send;
}

/// An open connection. After an error it must be dropped, unless [`Error::is_reusable`].
///
/// If the future of a call is dropped, its response stays unread. Every later call on the
/// connection then fails, so that a response never reaches another caller.
pub trait Connection: Send + 'static {
    /// Body of a request.
    type Body: Send + Sync + 'static;
    /// Body of a response.
    type Answer: Send + 'static;

    /// Runs one task and reads its whole response.
    fn run(
        &mut self,
        task: Task<'_, Self::Body>,
    ) -> impl Future<Output = Result<Reply<Self::Answer>, Error>> + Send;

    /// Queries the status of the server.
    fn status(&mut self) -> impl Future<Output = Result<Status, Error>> + Send;

    /// Makes the server promise `term`, after which it refuses smaller terms.
    fn fence(&mut self, term: Term) -> impl Future<Output = Result<Status, Error>> + Send;

    /// Makes the server the primary of `term`, which it must have promised.
    fn promote(&mut self, term: Term) -> impl Future<Output = Result<Status, Error>> + Send;

    /// Waits until the log of the server has reached `position` at `level`. Fails if the server
    /// has promised a greater term.
    fn wait(
        &mut self,
        level: Level,
        position: Position,
        timeout: Duration,
    ) -> impl Future<Output = Result<Status, Error>> + Send;

    /// Cancels an attempt of a request, unless it has committed.
    fn cancel(
        &mut self,
        id: &Id,
        attempt: u64,
    ) -> impl Future<Output = Result<Cancellation, Error>> + Send;
}

/// State that a log entry must have reached on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// The entry is durable in the log.
    Received,
    /// The entry is visible to reads.
    Applied,
}

/// Statements to run on one connection, and the statements that this host adds around them.
#[derive(Debug)]
pub enum Task<'a, B> {
    /// A read-only body outside of a transaction, sent together with a wait for `min_position`. If
    /// the server does not apply that position in time, the response to the body is discarded.
    Read {
        /// Log position that must be applied first, and the time to wait for it. `None` disables
        /// the check.
        min_position: Option<(Position, Duration)>,
        /// Whether the reply contains the status of the server after the body.
        with_status: bool,
        /// Body to run.
        body: &'a B,
    },
    /// A body that is a whole transaction. This host adds the begin and the record of the request
    /// before it, and the commit and a query for the log position after it.
    Write {
        /// Request to record.
        id: &'a Id,
        /// Attempt to record.
        attempt: u64,
        /// Body to run.
        body: &'a B,
    },
    /// A body that begins a transaction, followed by the record of the request.
    Begin {
        /// Request and attempt to record; `None` in a read-only transaction.
        record: Option<(&'a Id, u64)>,
        /// Body to run.
        body: &'a B,
    },
    /// A body inside an open transaction.
    InTransaction {
        /// Body to run.
        body: &'a B,
    },
    /// A body that ends a transaction, followed by a query for the log position.
    End {
        /// Body to run.
        body: &'a B,
    },
}

/// The whole response to a task.
#[derive(Debug)]
pub struct Reply<A> {
    /// Response for the caller, without the responses to the statements that this host added.
    pub answer: A,
    /// Transaction state after the task.
    pub transaction: TransactionState,
    /// Log position of the commit, if the task committed a transaction with a record.
    pub committed: Option<Position>,
    /// Status of the server after a read with `with_status`. Its log position includes every
    /// commit that the read has seen.
    pub status: Option<Status>,
}

/// State of the transaction on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A statement of the transaction failed; only its end is accepted.
    Failed,
}

/// Result of cancelling an attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cancellation {
    /// True if the request had committed, false if the attempt is cancelled permanently.
    pub committed: bool,
    /// Log position of the commit or of the entry that cancels the attempt.
    pub position: Position,
}

/// Error of a call, with the step and the backend server at which it occurred.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
#[displaydoc("{step} at backend server {server}: {kind}")]
pub struct Error {
    /// Step that failed.
    pub step: Step,
    /// Backend server of the connection.
    pub server: Name,
    /// Cause of the error.
    pub kind: Kind,
}

impl std::error::Error for Error {}

impl Error {
    /// Returns whether the connection can be used again after this error.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        matches!(
            self.kind,
            Kind::Promised(_) | Kind::Lagging | Kind::Duplicate(_) | Kind::Cancelled(_)
        )
    }

    /// Returns whether it is certain that the task changed no data on the server.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        !matches!(
            self.kind,
            Kind::Timeout | Kind::Closed(_) | Kind::Protocol(_) | Kind::TooLarge(_)
        ) || self.step == Step::Connect
    }
}

/// Cause of a failed call.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Kind {
    /// the connection was refused: {0}
    Refused(String),
    /// the server has too many connections
    TooManyConnections,
    /// no response in time
    Timeout,
    /// the connection was closed: {0}
    Closed(String),
    /// unexpected message: {0}
    Protocol(String),
    /// the server is not the primary of the connection's term
    WrongTerm,
    /// the server has promised term {0:?}
    Promised(Term),
    /// the server did not reach the log position in time
    Lagging,
    /// the request already committed at {0:?}
    Duplicate(Position),
    /// attempts up to {0} are cancelled
    Cancelled(u64),
    /// the response is larger than {0} bytes
    TooLarge(usize),
}
