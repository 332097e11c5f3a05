//! Statements of callers.

use fulmargw_model::execution::{Template, Text};

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
        shape: Template,
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
