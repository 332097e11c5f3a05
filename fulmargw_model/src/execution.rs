//! Execution of statements on backend servers: requests, replies and outcome codes.

use crate::{name::Name, position::Position};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{borrow::Cow, collections::BTreeMap, sync::Arc, time::Duration};

/// Bytes from a caller or server that are forwarded unchanged.
pub type Text = Bytes;

/// Transaction state of a session or connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A statement of the transaction failed; the server accepts only commit or rollback.
    Failed,
}

/// Error codes of statements.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Code {
    /// Not executed: the server has no free slot.
    Busy,
    /// Not executed: the log of the server does not reach the required position yet.
    Lagging,
    /// Not executed: the server is not the primary.
    ReadOnly,
    /// Not executed: the statement was meant for another server.
    Misrouted,
    /// Not executed: the server has too many connections.
    TooMany,
    /// Not executed: no statement is prepared under this name.
    UnknownName,
    /// The transaction was rolled back.
    Aborted,
    /// The statement was executed and failed.
    Failed,
    /// The statement was executed and timed out.
    Timeout,
    /// Unknown whether the statement took effect.
    InDoubt,
    /// The API key is not valid.
    Denied,
    /// No route is configured under the database name.
    UnknownDatabase,
    /// The message exceeds the size limit.
    TooLarge,
    /// The message or statement cannot be parsed.
    Malformed,
    /// A code that this version does not know.
    Other(Name),
}

impl Code {
    /// Reports whether a server that returns this code has certainly not executed the statement.
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

    /// Returns the label used in log lines and metrics.
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

/// A statement template that a session has prepared under a name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Template {
    /// Whether the statement writes.
    pub writes: bool,
    /// Text that follows the name in the command that prepares the statement.
    pub text: Text,
    /// Name on backend connections. It is derived from the template, so that sessions with the
    /// same template share one prepared statement and different templates never collide.
    pub shared_name: Text,
}

/// Session variables by name.
pub type Variables = BTreeMap<Text, Text>;

/// The complete response to one command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Rows of the result.
    pub rows: Vec<Text>,
    /// Signature of the server, or an error code and its message.
    #[serde(rename = "end")]
    pub result: Result<Text, (Code, Text)>,
    /// Transaction state of the connection after the command.
    pub state: TransactionState,
    /// Last log position of the server.
    pub position: Option<Position>,
}

/// The consistency that a route guarantees to its reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// A read sees every commit that was acknowledged before the read began.
    Current,
    /// A read sees every commit that was acknowledged longer ago than this duration.
    Bounded(Duration),
    /// As `Bounded`, and a read also sees every earlier commit of its own session.
    Session(Duration),
}

/// Which commits a statement must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Visibility {
    /// Consistency of the route.
    pub consistency: Consistency,
    /// Log position of the session's last commit.
    #[serde(rename = "session")]
    pub last_commit: Option<Position>,
}

impl Visibility {
    /// Raises the consistency to [`Consistency::Current`] if `to_primary` is set, so that the
    /// statement runs on the primary, the only server that certainly has every commit.
    pub fn require_current_if(&mut self, to_primary: bool) {
        if to_primary {
            self.consistency = Consistency::Current;
        }
    }
}

/// A statement to execute.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Request identifier from the caller.
    pub id: Text,
    /// Text that is sent to the server.
    pub text: Text,
    /// Template that must be prepared on the connection before the statement is sent.
    #[serde(rename = "shape")]
    pub template: Option<Template>,
    /// Kind of the statement.
    pub kind: Kind,
}

impl Statement {
    /// Returns the request identifier as text for log lines.
    #[must_use]
    pub fn request(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.id)
    }
}

/// The kind of a statement and its place in a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A read outside a transaction.
    Read,
    /// A write outside a transaction.
    Write,
    /// The first statement of a transaction.
    #[serde(rename = "First")]
    FirstInTransaction {
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// A later statement of a transaction.
    #[serde(rename = "Inside")]
    InTransaction,
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
}

impl Kind {
    /// Reports whether only the primary can execute the statement.
    #[must_use]
    pub fn needs_primary(self) -> bool {
        matches!(
            self,
            Self::Write | Self::FirstInTransaction { read_only: false }
        )
    }

    /// Reports whether a successful reply acknowledges a commit.
    #[must_use]
    pub fn commits(self) -> bool {
        matches!(self, Self::Write | Self::Commit)
    }
}

/// Where a statement was executed, and the routing decision behind it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trace {
    /// Host that sent the statement to the server.
    pub host: Name,
    /// Server that executed it.
    #[serde(rename = "key")]
    pub server_id: ServerId,
    /// Whether the server was chosen as the primary.
    pub as_primary: bool,
    /// Log position that the server had to reach before execution.
    #[serde(rename = "after")]
    pub min_position: Option<Position>,
    /// Age of `min_position` when the server was chosen.
    #[serde(rename = "age")]
    pub position_age: Duration,
    /// Time spent in the queue.
    pub waited: Duration,
    /// Time spent opening a connection; zero if an open one was used.
    pub opened: Duration,
}

/// Why a statement was certainly not executed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun {
    /// Server that rejected the statement, if it was sent to one.
    pub server: Option<Name>,
    /// Error code.
    pub code: Code,
    /// Time after which the caller should try again, if it is known.
    #[serde(default)]
    pub retry_after: Option<Duration>,
}

/// Identifies a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerId {
    /// Service that the server belongs to.
    pub service: Name,
    /// Identifier of the server within the service.
    pub server: Name,
}

/// A statement with the context that a host needs to execute it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Service that executes the statement.
    pub service: Name,
    /// Client account that the statement counts against.
    pub account: Name,
    /// Statement to execute.
    #[serde(rename = "work")]
    pub statement: Statement,
    /// Commits that it must see.
    #[serde(rename = "sight")]
    pub visibility: Visibility,
    /// Session variables that must be set on the connection.
    #[serde(rename = "values")]
    pub variables: Arc<Variables>,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Time left before the caller gives up.
    pub remaining: Duration,
    /// Server that rejected the previous attempt.
    pub avoid: Option<Name>,
    /// Zone whose servers may run the statement; any if it is not set.
    #[serde(default)]
    pub target: Option<Target>,
    /// Regions whose servers may run it; `None` for all. Hosts exchange requests as lists of fields, so
    /// that only the last one may be left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub regions: Option<Arc<[Name]>>,
}

/// The availability zone in which a statement is to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the zone.
    pub zone: Name,
    /// Whether the executing host may pass the statement on to another zone instead.
    pub may_pass_on: bool,
}

impl Request {
    /// Returns the zone whose servers alone may run the statement; `None` if any may. A statement that
    /// needs the primary follows it to another zone.
    #[must_use]
    pub fn binding_zone(&self) -> Option<&Name> {
        let target = self.target.as_ref().filter(|_| !self.needs_primary())?;
        Some(&target.zone)
    }

    /// Reports whether only the primary can run the statement.
    #[must_use]
    pub fn needs_primary(&self) -> bool {
        let is_current = self.visibility.consistency == Consistency::Current;
        is_current || self.statement.kind.needs_primary()
    }
}
