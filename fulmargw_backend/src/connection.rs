//! What the engine needs of a connection to a backend server.

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
    /// Connection that it opens.
    type Connection: Connection;

    /// Opens a connection that is bound to `term`; term 0 only allows reads and control.
    fn connect(
        &self,
        server: &Server,
        term: Term,
    ) -> impl Future<Output = Result<Self::Connection, Error>> + Send;
}

/// An open connection. After an error it must be dropped, unless [`Error::is_reusable`].
///
/// Dropping the future of a call leaves an unread answer behind; the connection then reports
/// an error on every later call, so that an answer never reaches another caller.
pub trait Connection: Send + 'static {
    /// Content of a request.
    type Body: Send + Sync + 'static;
    /// Content of an answer.
    type Answer: Send + 'static;

    /// Runs one task and reads its whole answer.
    fn run(
        &mut self,
        task: Task<'_, Self::Body>,
    ) -> impl Future<Output = Result<Reply<Self::Answer>, Error>> + Send;

    /// Asks for the state of the server.
    fn status(&mut self) -> impl Future<Output = Result<Status, Error>> + Send;

    /// Makes the server promise `term`, after which it refuses lower terms.
    fn fence(&mut self, term: Term) -> impl Future<Output = Result<Status, Error>> + Send;

    /// Makes the server the primary of `term`, which it has promised.
    fn promote(&mut self, term: Term) -> impl Future<Output = Result<Status, Error>> + Send;

    /// Waits until the server holds `position` at `level` and has promised no greater term.
    fn wait(
        &mut self,
        level: Level,
        position: Position,
        timeout: Duration,
    ) -> impl Future<Output = Result<Status, Error>> + Send;

    /// Settles whether an attempt of a request ran.
    fn cancel(
        &mut self,
        id: &Id,
        attempt: u64,
    ) -> impl Future<Output = Result<Cancellation, Error>> + Send;
}

/// How far a log entry must have got on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// Durable in the log.
    Received,
    /// Visible to reads.
    Applied,
}

/// Work for one connection.
#[derive(Debug)]
pub enum Task<'a, B> {
    /// A body outside of a transaction that changes nothing, run after the server has applied
    /// `after` within the timeout.
    Read {
        /// Position that must be applied first; `None` asks for no check.
        min_position: Option<(Position, Duration)>,
        /// Whether the reply has the state of the server after the body.
        with_status: bool,
        /// Body to run.
        body: &'a B,
    },
    /// A body that is a whole transaction: begin, record, body, commit, position.
    Write {
        /// Request to record.
        id: &'a Id,
        /// Attempt to record.
        attempt: u64,
        /// Body to run.
        body: &'a B,
    },
    /// A body that begins a transaction, followed by the record.
    Begin {
        /// Request to record; `None` in a transaction that only reads.
        record: Option<(&'a Id, u64)>,
        /// Body to run.
        body: &'a B,
    },
    /// A body inside an open transaction.
    InTransaction {
        /// Body to run.
        body: &'a B,
    },
    /// A body that ends a transaction, followed by the position.
    End {
        /// Body to run.
        body: &'a B,
    },
}

/// The whole answer to a task.
#[derive(Debug)]
pub struct Reply<A> {
    /// Messages for the caller; those of wrapping statements are left out.
    pub answer: A,
    /// Transaction state after the task.
    pub transaction: TransactionState,
    /// Position of the commit, if the task committed a transaction with a record.
    pub committed: Option<Position>,
    /// State of the server after a read that asked for it; its log includes all that the
    /// read has seen.
    pub status: Option<Status>,
}

/// State of the transaction on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction failed and accepts only its end.
    Failed,
}

/// Whether an attempt ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cancellation {
    /// True if the request committed, false if the attempt is cancelled for good.
    pub committed: bool,
    /// Position of the commit or of the cancelling entry.
    pub position: Position,
}

/// A failed call, with the step and the backend server at which it arose.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
#[displaydoc("{step} at backend server {server}: {kind}")]
pub struct Error {
    /// Step that failed.
    pub step: Step,
    /// Backend server that was asked.
    pub server: Name,
    /// What happened.
    pub kind: Kind,
}

impl std::error::Error for Error {}

impl Error {
    /// Reports whether the connection can be used again after this error.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        matches!(
            self.kind,
            Kind::Promised(_) | Kind::Lagging | Kind::Duplicate(_) | Kind::Cancelled(_)
        )
    }

    /// Reports whether the server certainly ran nothing of the task.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        !matches!(
            self.kind,
            Kind::Timeout | Kind::Closed(_) | Kind::Protocol(_) | Kind::TooLarge(_)
        ) || self.step == Step::Connect
    }
}

/// What happened in a failed call.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Kind {
    /// the connection was refused: {0}
    Refused(String),
    /// the server has too many connections
    TooManyConnections,
    /// no answer in time
    Timeout,
    /// the connection was closed: {0}
    Closed(String),
    /// unexpected message: {0}
    Protocol(String),
    /// the server is not the primary of the connection's term
    WrongTerm,
    /// the server promised term {0:?}
    Promised(Term),
    /// the server did not reach the position in time
    Lagging,
    /// the request already committed at {0:?}
    Duplicate(Position),
    /// attempts up to {0} are cancelled
    Cancelled(u64),
    /// the answer is larger than {0} bytes
    TooLarge(usize),
}
