//! Messages of sessions, independent of their encoding.

use crate::statement::Query;
use bytes::Bytes;
use fulmargw_model::{
    name::Name,
    position::{Position, Term},
};

/// Text of a caller that is forwarded unchanged.
pub type Text = Bytes;

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
    Broken(Code),
}

/// What answers a caller, and what a backend server sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// A row of a result.
    Row(Text),
    /// The statement is done; the text is the server's signature, or `-`.
    Complete(Text),
    /// The statement or the start failed.
    Error(Code, Text),
    /// The session takes the next statement.
    Ready(State, Option<Position>),
}

/// State of a session's transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction failed; only its end is accepted.
    Failed,
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

/// Outcome codes of statements.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Code {
    /// Not run: no slot is free.
    Busy,
    /// Not run: the log of the server lacks the position.
    Lagging,
    /// Not run: the server does not lead.
    ReadOnly,
    /// Not run: the server is another one.
    Misrouted,
    /// Not run: too many connections.
    TooMany,
    /// Not run: the prepared name is unknown.
    UnknownName,
    /// Nothing of the transaction is kept.
    Aborted,
    /// It ran and failed.
    Failed,
    /// It ran and took too long.
    Timeout,
    /// It may have taken effect.
    InDoubt,
    /// The key is not accepted.
    Denied,
    /// No route has the name of the database.
    UnknownDatabase,
    /// The message is too long.
    TooLarge,
    /// The message or statement is not understood.
    Malformed,
    /// A code that this version does not know.
    Other(Name),
}

impl Code {
    /// Reports whether a server that gives this code has certainly not run the statement.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Lagging
                | Self::ReadOnly
                | Self::Misrouted
                | Self::TooMany
                | Self::UnknownName
        )
    }

    /// Short label for log lines and metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Lagging => "lagging",
            Self::ReadOnly => "read_only",
            Self::Misrouted => "misrouted",
            Self::TooMany => "too_many",
            Self::UnknownName => "unknown_name",
            Self::Aborted => "aborted",
            Self::Failed => "failed",
            Self::Timeout => "timeout",
            Self::InDoubt => "in_doubt",
            Self::Denied => "denied",
            Self::UnknownDatabase => "unknown_database",
            Self::TooLarge => "too_large",
            Self::Malformed => "malformed",
            Self::Other(_) => "other",
        }
    }
}
