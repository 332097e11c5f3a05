//! Limits of caller connections.

use std::time::Duration;

/// Limits of caller connections and of their requests.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time within which a caller must complete the start-up.
    pub startup_timeout: Duration,
    /// Time without a request after which a connection without an open transaction is closed.
    pub idle_timeout: Duration,
    /// Time without a request after which a connection with an open transaction is closed. It is
    /// shorter than `idle_timeout` because the transaction occupies a backend connection.
    pub transaction_idle_timeout: Duration,
    /// Time within which a caller must read a response.
    pub write_timeout: Duration,
    /// Maximum length of a message and of a batch, in bytes.
    pub maximum_frame_bytes: usize,
    /// Maximum number of open connections per caller IP address.
    pub connections_per_address: usize,
    /// Time within which a request must be executed or refused.
    pub deadline: Duration,
    /// Time that callers have to end their open transactions after a graceful shutdown starts.
    pub drain: Duration,
    /// Time that a running request has to end after its key was withdrawn. This time and the
    /// distribution of the configuration together stay within the goal of 2 s for the withdrawal
    /// of a key.
    pub withdrawal_grace: Duration,
    /// Maximum number of named prepared statements per session.
    pub prepared_statements: usize,
    /// Maximum total length of the prepared statements of a session, in bytes.
    pub prepared_bytes: usize,
    /// PostgreSQL server version reported to callers.
    pub server_version: String,
    /// Time within which a message must be complete once it has begun.
    pub message_timeout: Duration,
    /// Memory for messages of more than 16 KiB, of all callers together, in bytes.
    pub message_memory_bytes: u64,
    /// Maximum number of sessions.
    pub sessions: usize,
    /// Maximum number of sessions of a client account.
    pub sessions_per_account: usize,
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
            message_timeout: Duration::from_secs(20),
            message_memory_bytes: 50_000_000,
            sessions: 10_000,
            sessions_per_account: 8_750,
        }
    }
}
