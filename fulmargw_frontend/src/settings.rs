//! Limits of caller connections.

use std::time::Duration;

/// Limits of caller connections and of their requests.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time in which a caller must complete the start-up.
    pub startup_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Time after which a connection without a request in an open transaction is closed. It is
    /// shorter because the transaction holds a connection to a backend server.
    pub transaction_idle_timeout: Duration,
    /// Time in which a caller must take an answer.
    pub write_timeout: Duration,
    /// Greatest length of one message or of one batch, in bytes.
    pub maximum_frame_bytes: usize,
    /// Open connections per caller address.
    pub connections_per_address: usize,
    /// Time within which a request must have an outcome.
    pub deadline: Duration,
    /// Time that an open transaction has to end on a graceful shutdown.
    pub drain: Duration,
    /// Time that a running request has to end after its key was withdrawn. Together with the
    /// spread of the configuration it stays within the goal of 2 s.
    pub withdrawal_grace: Duration,
    /// Named prepared statements per session.
    pub prepared_statements: usize,
    /// Length of all prepared statements of a session, in bytes.
    pub prepared_bytes: usize,
    /// Server version that callers are told.
    pub server_version: String,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            startup_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_mins(10),
            transaction_idle_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(30),
            maximum_frame_bytes: 16 * 1024 * 1024,
            connections_per_address: 10_000,
            deadline: Duration::from_secs(5),
            drain: Duration::from_secs(10),
            withdrawal_grace: Duration::from_millis(500),
            prepared_statements: 256,
            prepared_bytes: 1024 * 1024,
            server_version: "16.0".into(),
        }
    }
}
