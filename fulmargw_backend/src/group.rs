//! Statements that call the group functions of a backend server, and their results.

use crate::connection::{Cancellation, Kind, Level};
use bytes::{Buf, Bytes};
use fulmargw_model::{
    backend_server::{Role, Status},
    position::{Position, Term},
    request::Id,
};
use std::time::Duration;

/// Asks for the state of the server.
pub const STATUS: &str = "SELECT * FROM group_status()";

/// Asks for the position of the last commit on the connection.
pub const POSITION: &str = "SELECT * FROM group_position()";

/// Asks the server to promise a term.
#[must_use]
pub fn fence(term: Term) -> String {
    format!("SELECT * FROM group_fence({})", term.0)
}

/// Makes the server the primary of a term.
#[must_use]
pub fn promote(term: Term) -> String {
    format!("SELECT * FROM group_promote({})", term.0)
}

/// Waits until the server reached a position.
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

/// Records a request in the open transaction.
#[must_use]
pub fn record(id: &Id, attempt: u64) -> String {
    format!("SELECT * FROM group_record({}, {attempt})", literal(id))
}

/// Settles whether an attempt of a request ran.
#[must_use]
pub fn cancel(id: &Id, attempt: u64) -> String {
    format!("SELECT * FROM group_cancel({}, {attempt})", literal(id))
}

fn literal(id: &Id) -> String {
    format!("'{}'", id.0.replace('\'', "''"))
}

/// An error that a backend server reported.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
#[displaydoc("{code}: {message}")]
pub struct Fault {
    /// SQLSTATE code.
    pub code: String,
    /// Message text.
    pub message: String,
    /// Detail text, empty if there is none.
    pub detail: String,
}

impl Fault {
    /// Returns the meaning of the SQLSTATE codes of the group functions.
    #[must_use]
    pub fn kind(&self) -> Option<Kind> {
        let mut numbers = numbers(&self.detail);
        match self.code.as_str() {
            "GR001" => Some(Kind::WrongTerm),
            "GR002" => numbers.next().map(|term| Kind::Promised(Term(term))),
            "GR003" => Some(Kind::Lagging),
            "GR004" => position_of(&mut numbers).map(Kind::Duplicate),
            "GR005" => numbers.next().map(Kind::Cancelled),
            _ => None,
        }
    }

    /// Returns the meaning of a refused connection.
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

/// Returns the unsigned numbers in a text, in order.
fn numbers(text: &str) -> impl Iterator<Item = u64> {
    text.split(|character: char| !character.is_ascii_digit())
        .filter_map(|digits| digits.parse().ok())
}

fn position_of(numbers: &mut impl Iterator<Item = u64>) -> Option<Position> {
    Some(Position {
        term: Term(numbers.next()?),
        index: numbers.next()?,
    })
}

/// The columns of a `DataRow` in text format; a null column ends the row.
#[derive(Debug)]
pub struct Row {
    columns: Bytes,
}

impl Row {
    /// Reads the payload of a `DataRow`.
    #[must_use]
    pub fn new(mut payload: Bytes) -> Self {
        let count = payload.try_get_u16().unwrap_or_default();
        let columns = if count == 0 { Bytes::new() } else { payload };
        Self { columns }
    }

    /// Reads the next column as text.
    fn text(&mut self) -> Option<String> {
        let length = usize::try_from(self.columns.try_get_i32().ok()?).ok()?;
        if self.columns.len() < length {
            return None;
        }
        String::from_utf8(self.columns.split_to(length).into()).ok()
    }

    fn number(&mut self) -> Option<u64> {
        self.text()?.parse().ok()
    }

    /// Reads the columns of a status.
    pub fn status(&mut self) -> Option<Status> {
        let role = match self.text()?.as_str() {
            "primary" => Role::Primary,
            "replica" => Role::Replica,
            _ => return None,
        };
        Some(Status {
            role,
            term: Term(self.number()?),
            promised: Term(self.number()?),
            received: self.position()?,
            applied: self.position()?,
            silence: Duration::from_millis(self.number()?),
        })
    }

    /// Reads a term and an index.
    pub fn position(&mut self) -> Option<Position> {
        Some(Position {
            term: Term(self.number()?),
            index: self.number()?,
        })
    }

    /// Reads whether an attempt committed, and the position.
    pub fn cancellation(&mut self) -> Option<Cancellation> {
        let committed = match self.text()?.as_str() {
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
