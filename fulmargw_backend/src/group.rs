//! SQL statements that call the group functions of a backend server, and their results.
//!
//! Group functions (`group_status` and others) control replication and promotion.

use crate::connection::{Cancellation, Kind, Level};
use bytes::{Buf, Bytes};
use fulmargw_model::{
    backend_server::{Role, Status},
    position::{Position, Term},
    request::Id,
};
use std::time::Duration;

/// Queries the status of the server.
pub const STATUS: &str = "SELECT * FROM group_status()";

/// Queries the log position of the last commit on the connection.
pub const POSITION: &str = "SELECT * FROM group_position()";

/// Returns the statement that makes the server promise a term.
#[must_use]
pub fn fence(term: Term) -> String {
    format!("SELECT * FROM group_fence({})", term.0)
}

/// Returns the statement that makes the server the primary of a term.
#[must_use]
pub fn promote(term: Term) -> String {
    format!("SELECT * FROM group_promote({})", term.0)
}

/// Returns the statement that waits until the server has reached a log position.
#[must_use]
pub fn wait(level: Level, position: Position, timeout: Duration) -> String {
    let level = match level {
        Level::Received => "received",
        Level::Applied => "applied",
    };
    format!(
        "SELECT * FROM group_wait('{level}', {}, {}, {})",
        position.term.0,
        position.index,
        timeout.as_millis()
    )
}

/// Returns the statement that records a request attempt in the open transaction, so that a
/// repeated request is detected.
#[must_use]
pub fn record(id: &Id, attempt: u64) -> String {
    format!("SELECT * FROM group_record({}, {attempt})", literal(id))
}

/// Returns the statement that cancels an attempt of a request, unless it has committed.
#[must_use]
pub fn cancel(id: &Id, attempt: u64) -> String {
    format!("SELECT * FROM group_cancel({}, {attempt})", literal(id))
}

/// Returns a request identifier as an SQL string literal.
fn literal(id: &Id) -> String {
    format!("'{}'", id.0.replace('\'', "''"))
}

/// Error response of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
#[displaydoc("{code}: {message}")]
pub struct ServerError {
    /// SQLSTATE code.
    pub code: String,
    /// Message text.
    pub message: String,
    /// Detail text, empty if there is none.
    pub detail: String,
}

impl ServerError {
    /// Returns the meaning of an error of the group functions; `None` for every other error.
    #[must_use]
    pub fn kind(&self) -> Option<Kind> {
        let mut numbers = numbers(&self.detail);
        match self.code.as_str() {
            "GR001" => Some(Kind::WrongTerm),
            "GR002" => numbers.next().map(|term| Kind::Promised(Term(term))),
            "GR003" => Some(Kind::Lagging),
            "GR004" => next_position(&mut numbers).map(Kind::Duplicate),
            "GR005" => numbers.next().map(Kind::Cancelled),
            _ => None,
        }
    }

    /// Returns the meaning of an error that refused a connection.
    #[must_use]
    pub fn connect_kind(&self) -> Kind {
        match self.code.as_str() {
            "53300" => Kind::TooManyConnections,
            _ => self
                .kind()
                .unwrap_or_else(|| Kind::Refused(self.to_string())),
        }
    }
}

/// Returns the unsigned decimal numbers in a text, in order.
fn numbers(text: &str) -> impl Iterator<Item = u64> {
    text.split(|character: char| !character.is_ascii_digit())
        .filter_map(|digits| digits.parse().ok())
}

fn next_position(numbers: &mut impl Iterator<Item = u64>) -> Option<Position> {
    Some(Position {
        term: Term(numbers.next()?),
        index: numbers.next()?,
    })
}

/// Reader for the columns of a `DataRow` in text format; it stops at a null column.
#[derive(Debug)]
pub struct Row {
    columns: Bytes,
}

impl Row {
    /// Creates a reader for the payload of a `DataRow`.
    #[must_use]
    pub fn new(mut payload: Bytes) -> Self {
        let count = payload.try_get_u16().unwrap_or_default();
        let columns = if count == 0 { Bytes::new() } else { payload };
        Self { columns }
    }

    /// Reads the next column as text.
    fn next_text(&mut self) -> Option<String> {
        let length = usize::try_from(self.columns.try_get_i32().ok()?).ok()?;
        if self.columns.len() < length {
            return None;
        }
        String::from_utf8(self.columns.split_to(length).into()).ok()
    }

    fn next_number(&mut self) -> Option<u64> {
        self.next_text()?.parse().ok()
    }

    /// Reads the columns of a server status.
    pub fn status(&mut self) -> Option<Status> {
        let role = match self.next_text()?.as_str() {
            "primary" => Role::Primary,
            "replica" => Role::Replica,
            _ => return None,
        };
        Some(Status {
            role,
            term: Term(self.next_number()?),
            promised: Term(self.next_number()?),
            received: self.position()?,
            applied: self.position()?,
            silence: Duration::from_millis(self.next_number()?),
        })
    }

    /// Reads the columns of a log position: term and index.
    pub fn position(&mut self) -> Option<Position> {
        Some(Position {
            term: Term(self.next_number()?),
            index: self.next_number()?,
        })
    }

    /// Reads the result of `group_cancel`: whether the attempt committed, and a log position.
    pub fn cancellation(&mut self) -> Option<Cancellation> {
        let committed = match self.next_text()?.as_str() {
            "t" | "true" => true,
            "f" | "false" => false,
            _ => return None,
        };
        Some(Cancellation {
            committed,
            position: self.position()?,
        })
    }
}
