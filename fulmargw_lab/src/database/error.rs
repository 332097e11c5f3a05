//! Errors that the server reports to its clients.

use fulmargw_model::position::{Position, Term};

/// An error response with its SQLSTATE.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
#[displaydoc("{code}: {message}")]
pub struct Error {
    /// SQLSTATE, or a code of the group functions (`GR001` and so on).
    pub code: &'static str,
    /// Message for people.
    pub message: String,
    /// Detail for programs; empty if there is none.
    pub detail: String,
}

impl std::error::Error for Error {}

impl Error {
    fn new(code: &'static str, message: &str, detail: String) -> Self {
        Self {
            code,
            message: message.to_owned(),
            detail,
        }
    }

    /// The statement or its arguments are malformed or not supported.
    pub fn syntax(message: &str) -> Self {
        Self::new("42601", message, String::new())
    }

    /// The server is not the primary of the connection's term.
    pub fn wrong_term() -> Self {
        let message = "this server is not the primary of the connection's term";
        Self::new("GR001", message, String::new())
    }

    /// A greater or equal term is promised; the detail is the promised term.
    pub fn promised(term: Term) -> Self {
        let message = "a greater or equal term was promised";
        Self::new("GR002", message, term.0.to_string())
    }

    /// The server did not reach the position within the timeout.
    pub fn lagging() -> Self {
        let message = "the position was not reached in time";
        Self::new("GR003", message, String::new())
    }

    /// The request is already committed; the detail is its position as `TERM/INDEX`.
    pub fn duplicate(position: Position) -> Self {
        let detail = format!("{}/{}", position.term.0, position.index);
        Self::new("GR004", "the request is already committed", detail)
    }

    /// The attempt is cancelled; the detail is the greatest cancelled attempt.
    pub fn cancelled(attempt: u64) -> Self {
        Self::new("GR005", "the attempt was cancelled", attempt.to_string())
    }

    /// A key that the transaction read and wrote was changed by another one.
    pub fn serialization_failure() -> Self {
        let message = "could not serialize access due to concurrent update";
        Self::new("40001", message, String::new())
    }

    /// An earlier statement of the transaction failed.
    pub fn failed_transaction() -> Self {
        let message = "current transaction is aborted, commands are ignored until it ends";
        Self::new("25P02", message, String::new())
    }

    /// The statement needs an open transaction.
    pub fn no_transaction() -> Self {
        Self::new("25P01", "there is no transaction", String::new())
    }

    /// The server is recovering after a restart.
    pub fn starting_up() -> Self {
        let message = "the database system is starting up";
        Self::new("57P03", message, String::new())
    }

    /// The connection limit is reached.
    pub fn too_many_connections() -> Self {
        Self::new("53300", "too many connections", String::new())
    }
}
