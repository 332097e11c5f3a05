//! Refusals and errors that this host generates itself.

use crate::message::Response;
use fulmargw_model::execution::{Code, Kind, Statement, Text};
use std::time::Duration;

/// A refusal or error that this host generates itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Failure {
    pub(super) code: Code,
    pub(super) cause: &'static str,
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
