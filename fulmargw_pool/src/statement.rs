//! Statements that callers send.

use fulmargw_model::execution::{Template, Text};

/// A statement with the identifier and text that are forwarded unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// Request identifier that the caller chose.
    pub id: Text,
    /// Full text of the statement.
    pub text: Text,
    /// Parsed statement.
    pub statement: Statement,
}

/// A parsed statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls back the open transaction.
    Rollback,
    /// Reads a row.
    Read,
    /// Writes a row.
    Write,
    /// Sets a session variable.
    Set {
        /// Name of the variable.
        name: Text,
        /// New value.
        value: Text,
    },
    /// Prepares a statement template under a name.
    Prepare {
        /// Name of the prepared statement, chosen by the caller.
        name: Text,
        /// Statement template that the name stands for.
        template: Template,
    },
    /// Executes a prepared statement.
    Execute {
        /// Name of the prepared statement, chosen by the caller.
        name: Text,
        /// Arguments as text.
        arguments: Text,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// Name of the prepared statement, chosen by the caller.
        name: Text,
    },
    /// Text that is not a valid statement.
    Unknown,
}
