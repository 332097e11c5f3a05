//! Statements of sessions on their way to a backend server, and their answers.

use crate::{name::Name, position::Position};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{borrow::Cow, collections::BTreeMap, sync::Arc, time::Duration};

/// Text of a caller that is forwarded unchanged.
pub type Text = Bytes;

/// State of a session's transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction failed; only its end is accepted.
    Failed,
}

/// Outcome codes of statements.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
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

/// What a prepared name runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Template {
    /// Whether it writes.
    pub writes: bool,
    /// Text after the name in the statement that prepares it.
    pub text: Text,
    /// Name on connections to backend servers; it follows from the shape, so that sessions
    /// which prepare the same shape share it and others never collide with it.
    pub shared_name: Text,
}

/// Variables of a session by name.
pub type Variables = BTreeMap<Text, Text>;

/// The whole answer to one command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Rows of the result.
    pub rows: Vec<Text>,
    /// Signature of the server, or the error.
    #[serde(rename = "end")]
    pub result: Result<Text, (Code, Text)>,
    /// State of the connection's transaction afterwards.
    pub state: TransactionState,
    /// Last position of the server's log.
    pub position: Option<Position>,
}

/// What reads of a route may see.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// Every commit that was acknowledged before the read began.
    Current,
    /// Every commit that was acknowledged longer ago than this.
    Bounded(Duration),
    /// As `Bounded`, and every commit of the same session.
    Session(Duration),
}

/// What a statement may see.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Visibility {
    /// Rule of its route.
    pub consistency: Consistency,
    /// Last commit of its session.
    #[serde(rename = "session")]
    pub last_commit: Option<Position>,
}

impl Visibility {
    /// Asks for every commit, which only the primary has for certain, if `to_primary`.
    pub fn require_current_if(&mut self, to_primary: bool) {
        if to_primary {
            self.consistency = Consistency::Current;
        }
    }
}

/// A statement to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Identifier that the caller gave.
    pub id: Text,
    /// Text to send.
    pub text: Text,
    /// Template that must be prepared on the connection.
    #[serde(rename = "shape")]
    pub template: Option<Template>,
    /// How it relates to transactions.
    pub kind: Kind,
}

impl Statement {
    /// Returns the caller's identifier as text for log lines.
    #[must_use]
    pub fn request(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.id)
    }
}

/// How a statement relates to transactions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A read outside of a transaction.
    Read,
    /// A write outside of a transaction.
    Write,
    /// The first statement of a transaction.
    #[serde(rename = "First")]
    FirstInTransaction {
        /// Whether the transaction only reads.
        read_only: bool,
    },
    /// A later statement of a transaction.
    #[serde(rename = "Inside")]
    InTransaction,
    /// The end of a transaction that keeps its writes.
    Commit,
    /// The end of a transaction without effect.
    Rollback,
}

impl Kind {
    /// Reports whether only the primary can run it.
    #[must_use]
    pub fn needs_primary(self) -> bool {
        matches!(
            self,
            Self::Write | Self::FirstInTransaction { read_only: false }
        )
    }

    /// Reports whether a success of it means that a commit was acknowledged.
    #[must_use]
    pub fn commits(self) -> bool {
        matches!(self, Self::Write | Self::Commit)
    }
}

/// Where and on what knowledge a statement ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trace {
    /// Host that sent it.
    pub host: Name,
    /// Server that it was sent to.
    pub key: ServerId,
    /// Whether it was asked as the primary.
    pub as_primary: bool,
    /// Position that the server had to include.
    #[serde(rename = "after")]
    pub min_position: Option<Position>,
    /// Age of that position.
    #[serde(rename = "age")]
    pub position_age: Duration,
    /// Time in the queue.
    pub waited: Duration,
    /// Time for opening a connection, zero if one was open.
    pub opened: Duration,
}

/// Why a statement certainly did not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun {
    /// Server that turned it away, if it got that far.
    pub server: Option<Name>,
    /// Code of the cause.
    pub code: Code,
}

/// Place of a server in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerId {
    /// Service that the server belongs to.
    pub service: Name,
    /// Identifier of the server.
    pub server: Name,
}

/// A statement with what a host needs to run it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Service that runs it.
    pub service: Name,
    /// Account on whose behalf it runs.
    pub account: Name,
    /// What to run.
    #[serde(rename = "work")]
    pub statement: Statement,
    /// What it may see.
    #[serde(rename = "sight")]
    pub visibility: Visibility,
    /// Session values that must be in force.
    #[serde(rename = "values")]
    pub variables: Arc<Variables>,
    /// Whether it goes before others.
    pub is_urgent: bool,
    /// Latency objective of its route.
    pub objective: Duration,
    /// Time after which its answer is of no use.
    pub remaining: Duration,
    /// Server that just turned it away.
    pub avoid: Option<Name>,
}
