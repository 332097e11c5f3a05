//! Statements of callers.

use crate::message::Text;

/// A statement with the identifier and the text that are forwarded unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// Identifier that the caller gave.
    pub id: Text,
    /// Whole text of the statement.
    pub text: Text,
    /// What it asks for.
    pub statement: Statement,
}

/// What a statement asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
    },
    /// Ends a transaction and keeps its writes.
    Commit,
    /// Ends a transaction without effect.
    Rollback,
    /// Reads an item.
    Read,
    /// Writes an item.
    Write,
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: Text,
        /// The value.
        value: Text,
    },
    /// Gives a shape a name.
    Prepare {
        /// Name that the caller chose.
        name: Text,
        /// What it runs.
        shape: Shape,
    },
    /// Runs a prepared shape.
    Execute {
        /// Name that the caller chose.
        name: Text,
        /// Arguments, as text.
        arguments: Text,
    },
    /// Drops a prepared name.
    Deallocate {
        /// Name that the caller chose.
        name: Text,
    },
    /// A text that is no statement of callers.
    Unknown,
}

/// What a prepared name runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shape {
    /// Whether it writes.
    pub writes: bool,
    /// Text after the name in the statement that prepares it.
    pub text: Text,
    /// Name on connections to backend servers; it follows from the shape, so that sessions
    /// which prepare the same shape share it and others never collide with it.
    pub shared_name: Text,
}
