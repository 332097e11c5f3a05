//! Messages of sessions, independent of their encoding.

use crate::statement::Query;
use fulmargw_model::{
    execution::{Code, Text, TransactionState},
    name::Name,
    position::{Position, Term},
};

/// What a caller sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Opens the session for a database.
    Start {
        /// Name of the database.
        database: Name,
        /// Key of the caller, empty if there is none.
        key: Text,
    },
    /// Runs a statement.
    Query(Query),
    /// Ends the session.
    Terminate,
    /// A message that cannot be understood; the session goes on with the next one.
    Malformed,
    /// A message that is too long or not framed as the protocol asks; nothing can follow.
    FramingError(Code),
}

/// What answers a caller, and what a backend server sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// A row of a result.
    Row(Text),
    /// The statement is done; the text is the server's signature, or `-`.
    Complete(Text),
    /// The statement or the start failed.
    Error(Code, Text),
    /// The session takes the next statement.
    Ready(TransactionState, Option<Position>),
}

/// What this host sends to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Opens a connection.
    Start {
        /// Service that the server belongs to.
        service: Name,
        /// Client account on whose behalf it connects.
        account: Name,
        /// Identifier that the server must have.
        server: Name,
    },
    /// Runs a statement of a caller.
    Run {
        /// Identifier that the caller gave.
        id: Text,
        /// Position that the server's log must include.
        after: Option<Position>,
        /// Text of the statement.
        text: Text,
    },
    /// Begins a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
        /// Position that the server's log must include.
        after: Option<Position>,
    },
    /// Ends a transaction without effect.
    Rollback,
    /// Drops session values and prepared names.
    Reset,
    /// Sets a session value.
    Set(Text, Text),
    /// Prepares a shape under a name.
    Prepare(Text, Text),
    /// Asks for the state of the server.
    Status,
    /// Stops a replica from receiving, with a term above the newest one.
    Pause(Term),
    /// Lets a replica receive again.
    Resume,
}
