//! Errors that this host reports to callers, with their SQLSTATE codes.

use fulmargw_model::{
    name::Name,
    outcome::{Reason, Refusal, Step},
    position::Position,
    request::Id,
};
use pgwire::messages::response::ErrorResponse;
use std::time::Duration;

/// An error for a caller.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
#[displaydoc("{code}: {message}")]
pub struct Failure {
    /// SQLSTATE code.
    pub code: &'static str,
    /// Message text.
    pub message: String,
    /// Detail text. It starts with `not run` if it is certain that the request did not run.
    pub detail: String,
    /// Hint text: names the request as in the state dump. Empty if there is no request.
    pub hint: String,
}

impl std::error::Error for Failure {}

impl Failure {
    /// SQLSTATE code of a protocol violation. Such an error ends the session.
    pub const PROTOCOL_VIOLATION: &str = "08P01";

    fn new(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            detail: "not run".into(),
            hint: String::new(),
        }
    }

    /// Names the request in the hint, so that operators can find it in the state dump.
    #[must_use]
    pub fn with_request(mut self, request: &Id, service: &Name) -> Self {
        self.hint = format!("request {}, service {service}", request.0);
        self
    }

    /// A refused request or caller.
    #[must_use]
    pub fn refused(refusal: &Refusal) -> Self {
        let mut failure = Self::new(sqlstate(refusal.reason), refusal.reason.to_string());
        if refusal.retry_after > Duration::ZERO {
            let milliseconds = refusal.retry_after.as_millis();
            failure.detail = format!("not run; retry after {milliseconds} ms");
        }
        failure
    }

    /// A request that is in doubt: it is not known whether it ran.
    #[must_use]
    pub fn in_doubt(step: Step) -> Self {
        Self {
            code: "08007",
            message: format!("it is not known whether the request ran; failed step: {step}"),
            detail: String::new(),
            hint: String::new(),
        }
    }

    /// A request that was still running when the account's key was withdrawn.
    #[must_use]
    pub fn withdrawn_while_running(refusal: &Refusal) -> Self {
        Self {
            detail:
                "the key was withdrawn during the request; it is not known whether the request ran"
                    .into(),
            ..Self::refused(refusal)
        }
    }

    /// A request whose identifier was used by an earlier request that committed.
    #[must_use]
    pub fn already_ran(position: Position) -> Self {
        Self {
            code: "FG001",
            message: "a request with this id already ran".into(),
            detail: format!("committed at {}/{}", position.term.0, position.index),
            hint: String::new(),
        }
    }

    /// A statement or message that is not supported.
    #[must_use]
    pub fn unsupported(what: &str) -> Self {
        Self::new("0A000", format!("{what} is not supported"))
    }

    /// A statement in a transaction that has already failed.
    #[must_use]
    pub fn failed_transaction() -> Self {
        Self::new(
            "25P02",
            "the transaction failed and was rolled back; statements are ignored until it ends",
        )
    }

    /// A value of a setting that cannot be parsed.
    #[must_use]
    pub fn malformed_value(setting: &str) -> Self {
        Self::new("22023", format!("malformed value of setting {setting}"))
    }

    /// A setting that does not exist.
    #[must_use]
    pub fn unknown_setting(name: &str) -> Self {
        let name: String = name.chars().take(64).collect();
        Self::new("42704", format!("setting fulmar.{name} does not exist"))
    }

    /// A prepared statement or portal that does not exist.
    #[must_use]
    pub fn unknown_name(what: &str) -> Self {
        Self::new("26000", format!("{what} does not exist"))
    }

    /// More than a limit of this host allows.
    #[must_use]
    pub fn limit_exceeded(what: &str, limit: usize) -> Self {
        Self::new("54000", format!("more than {limit} {what}"))
    }

    /// A message that violates the protocol.
    #[must_use]
    pub fn protocol_violation(what: &str) -> Self {
        Self::new(
            Self::PROTOCOL_VIOLATION,
            format!("protocol violation: {what}"),
        )
    }

    /// A statement that is not UTF-8.
    #[must_use]
    pub fn invalid_encoding() -> Self {
        Self::new("22021", "the statement is not valid UTF-8")
    }

    /// Too many connections from one address.
    #[must_use]
    pub fn too_many_connections() -> Self {
        Self::new("53300", "too many connections from this address")
    }

    /// The process or the account has as many sessions as it may have.
    #[must_use]
    pub fn too_many_sessions() -> Self {
        Self::new("53300", "too many sessions")
    }

    /// Others needed the memory of an incomplete message.
    #[must_use]
    pub fn out_of_memory() -> Self {
        Self::new("53200", "this host has no memory for the message")
    }

    /// This host has no configuration yet.
    #[must_use]
    pub fn not_configured() -> Self {
        Self::new("57P03", "this host has no configuration yet")
    }

    /// This host is shutting down.
    #[must_use]
    pub fn shutting_down() -> Self {
        Self::new("57P01", "this host is shutting down")
    }

    /// The caller sent no request within the idle timeout.
    #[must_use]
    pub fn idle_timeout() -> Self {
        Self::new("57P05", "the connection was idle for too long")
    }

    /// The caller sent no request in an open transaction within the idle timeout for transactions.
    #[must_use]
    pub fn transaction_idle_timeout() -> Self {
        Self::new("25P03", "the transaction was idle for too long")
    }

    /// Adds to the message that the transaction of the request is rolled back.
    #[must_use]
    pub fn with_rollback(mut self) -> Self {
        self.message.push_str("; the transaction is rolled back");
        self
    }

    /// Returns the message for an error that leaves the connection open.
    #[must_use]
    pub fn response(&self) -> ErrorResponse {
        self.with_severity("ERROR")
    }

    /// Returns the message for an error that ends the connection.
    #[must_use]
    pub fn fatal(&self) -> ErrorResponse {
        self.with_severity("FATAL")
    }

    fn with_severity(&self, severity: &str) -> ErrorResponse {
        let mut fields = vec![
            (b'S', severity.into()),
            (b'V', severity.into()),
            (b'C', self.code.into()),
            (b'M', self.message.clone()),
        ];
        if !self.detail.is_empty() {
            fields.push((b'D', self.detail.clone()));
        }
        if !self.hint.is_empty() {
            fields.push((b'H', self.hint.clone()));
        }
        ErrorResponse::new(fields)
    }
}

/// Returns the SQLSTATE code of a refusal.
fn sqlstate(reason: Reason) -> &'static str {
    match reason {
        Reason::Key => "28P01",
        Reason::Route => "3D000",
        Reason::Rate => "53400",
        Reason::QueueFull | Reason::Deadline => "53300",
        Reason::Unsupported => "0A000",
        Reason::NoPrimary
        | Reason::Position
        | Reason::Lease
        | Reason::Leaving
        | Reason::Connection => "57P03",
    }
}
