//! Parsing and result columns of the group functions, which hosts call to control a server.
//!
//! Section 5 of `docs/design.md` specifies them.

use super::error::Error;
use fulmargw_model::{
    backend_server::{Role, Status},
    position::{Position, Term},
};
use std::time::Duration;

const STATUS_COLUMNS: &[&str] = &[
    "role",
    "term",
    "promised",
    "received_term",
    "received_index",
    "applied_term",
    "applied_index",
    "silence_ms",
];

/// A group function with its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Function {
    /// `group_status()`
    Status,
    /// `group_fence(term)`
    Fence(Term),
    /// `group_promote(term)`
    Promote(Term),
    /// `group_wait(level, term, index, timeout_ms)`
    Wait {
        /// Whether to wait until the position is received; otherwise until it is applied.
        received: bool,
        /// Position to wait for.
        position: Position,
        /// Longest time to wait.
        timeout: Duration,
    },
    /// `group_record(id, attempt)`
    Record(String, u64),
    /// `group_position()`
    Position,
    /// `group_cancel(id, attempt)`
    Cancel(String, u64),
}

/// Returns the names of the result columns of a function.
pub fn columns(name: &str) -> &'static [&'static str] {
    match name {
        "group_record" => &["id", "attempt"],
        "group_position" => &["term", "index"],
        "group_cancel" => &["committed", "term", "index"],
        _ => STATUS_COLUMNS,
    }
}

impl Function {
    /// Parses a call.
    pub fn parse(name: &str, arguments: &[String]) -> Result<Self, Error> {
        let texts: Vec<&str> = arguments.iter().map(String::as_str).collect();
        match (name, texts.as_slice()) {
            ("group_status", []) => Ok(Self::Status),
            ("group_fence", [term]) => Ok(Self::Fence(Term(parse_number(term)?))),
            ("group_promote", [term]) => Ok(Self::Promote(Term(parse_number(term)?))),
            ("group_wait", [level, term, index, timeout]) => Ok(Self::Wait {
                received: *level == "received",
                position: Position {
                    term: Term(parse_number(term)?),
                    index: parse_number(index)?,
                },
                timeout: Duration::from_millis(parse_number(timeout)?),
            }),
            ("group_record", [id, attempt]) => {
                Ok(Self::Record((*id).to_owned(), parse_number(attempt)?))
            }
            ("group_position", []) => Ok(Self::Position),
            ("group_cancel", [id, attempt]) => {
                Ok(Self::Cancel((*id).to_owned(), parse_number(attempt)?))
            }
            _ => Err(Error::syntax("unknown group function or wrong arguments")),
        }
    }
}

fn parse_number(text: &str) -> Result<u64, Error> {
    text.parse()
        .map_err(|_| Error::syntax("an argument is not a number"))
}

/// Returns a status as the result row of a group function.
pub fn status_row(status: &Status) -> Vec<String> {
    let role = match status.role {
        Role::Primary => "primary",
        Role::Replica => "replica",
    };
    vec![
        role.to_owned(),
        status.term.0.to_string(),
        status.promised.0.to_string(),
        status.received.term.0.to_string(),
        status.received.index.to_string(),
        status.applied.term.0.to_string(),
        status.applied.index.to_string(),
        status.silence.as_millis().to_string(),
    ]
}
