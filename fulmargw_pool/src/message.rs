//! Messages between callers, this host and backend servers, independent of the wire encoding.

use crate::statement::Query;
use fulmargw_model::{
    execution::{Code, Text, TransactionState},
    name::Name,
    position::{Position, Term},
};

/// A message from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Opens a session on a database.
    Start {
        /// Name of the database.
        database: Name,
        /// API key of the caller; empty if it has none.
        key: Text,
    },
    /// Runs a statement.
    Query(Query),
    /// Ends the session.
    Terminate,
    /// A message that cannot be parsed. The session continues with the next message.
    Malformed,
    /// A message that is too long or violates the framing. No further message can be read.
    FramingError(Code),
}

/// A message to a caller or from a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// A row of the result.
    Row(Text),
    /// The statement succeeded. The text is the signature of the server, or `-`.
    Complete(Text),
    /// The statement or the opening of the session failed.
    Error(Code, Text),
    /// The session accepts the next statement.
    Ready(TransactionState, Option<Position>),
}

/// A message from this host to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Opens a connection.
    Start {
        /// Service to which the server belongs.
        service: Name,
        /// Client account on whose behalf the connection is opened.
        account: Name,
        /// Expected identifier of the server.
        server: Name,
    },
    /// Executes a statement of a caller.
    Run {
        /// Request identifier that the caller chose.
        id: Text,
        /// Minimum log position that the server must have applied.
        after: Option<Position>,
        /// Text of the statement.
        text: Text,
    },
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
        /// Minimum log position that the server must have applied.
        after: Option<Position>,
    },
    /// Rolls back the transaction.
    Rollback,
    /// Resets session variables and removes prepared statements.
    Reset,
    /// Sets a session variable.
    Set(Text, Text),
    /// Prepares a statement template under a name.
    Prepare(Text, Text),
    /// Requests the status of the server.
    Status,
    /// Pauses replication on a replica. The term is greater than every term known so far.
    Pause(Term),
    /// Resumes replication on a replica.
    Resume,
}
