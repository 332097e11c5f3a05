//! Refusals and errors that this host generates itself.

use super::RETRY_AFTER;
use crate::message::Response;
use fulmargw_budget::session::Refusal;
use fulmargw_model::{
    execution::{Code, Kind, Statement, Text},
    name::Name,
};
use std::time::Duration;

/// Largest part of a retry delay that is chosen at random.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A refusal or error that this host generates itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Error code.
    pub code: Code,
    /// Cause that the caller is told.
    pub cause: &'static str,
    retry_after: Option<Duration>,
}

impl Failure {
    pub(super) fn new(code: Code, cause: &'static str) -> Self {
        Self {
            code,
            cause,
            retry_after: None,
        }
    }

    pub(super) fn later(code: Code, cause: &'static str, retry_after: Duration) -> Self {
        Self {
            code,
            cause,
            retry_after: Some(retry_after),
        }
    }

    pub(super) fn response(&self) -> Response {
        let text = match self.retry_after {
            Some(after) => format!("{}; retry after {} ms", self.cause, after.as_millis()),
            None => self.cause.to_owned(),
        };
        Response::Error(self.code.clone(), Text::from(text))
    }
}

/// Returns the refusal of a session for which there is no place.
pub(super) fn too_many_sessions(refusal: Refusal) -> Failure {
    match refusal {
        Refusal::Full => Failure::later(
            Code::Busy,
            "the host has as many sessions as it can serve",
            RETRY_AFTER,
        ),
        Refusal::Account => Failure::new(
            Code::TooMany,
            "the account has as many sessions as it may have",
        ),
    }
}

/// Returns the refusal of a statement that certainly did not run, with the code of the last
/// rejection, the server that gave it, if one did, and the retry delay, if it is known.
pub(super) fn not_run(
    server: Option<&Name>,
    code: &Code,
    retry_after: Option<Duration>,
) -> Failure {
    if let Some(delay) = retry_after {
        return Failure::later(Code::Busy, "the service is overloaded", delay);
    }
    let is_without_primary = server.is_none() && *code == Code::ReadOnly;
    if is_without_primary {
        // Spreads the retries, so that the callers do not come back in the same moment.
        let delay = RETRY_AFTER + rand::random_range(RETRY_AFTER..=MAX_RETRY_AFTER);
        return Failure::later(Code::Busy, "no primary can be reached", delay);
    }
    Failure::later(Code::Busy, "no backend server is free", RETRY_AFTER)
}

/// Returns the error for a statement that was sent to a backend server and got no response.
pub(super) fn no_response(statement: &Statement, timed_out: bool) -> Failure {
    match statement.kind {
        Kind::FirstInTransaction { .. } => Failure::new(Code::Aborted, "the connection was lost"),
        Kind::Write => Failure::new(Code::InDoubt, "the write was sent but got no response"),
        _ if timed_out => Failure::new(
            Code::Timeout,
            "the statement got no response before its deadline",
        ),
        _ => Failure::new(Code::Aborted, "the connection was lost"),
    }
}
