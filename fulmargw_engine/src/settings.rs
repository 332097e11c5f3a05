//! Settings of the engine.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of the engine. Durations are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Number of worker tasks.
    pub worker_count: usize,
    /// Interval between two probes of a backend server.
    pub probe_interval_ms: u64,
    /// Timeout of a probe, and of any other call on a control connection.
    pub probe_timeout_ms: u64,
    /// Timeout for opening a connection.
    pub connect_timeout_ms: u64,
    /// Timeout of one execution on a backend server.
    pub statement_timeout_ms: u64,
    /// Longest time that a replica may take to reach the position that a read requires.
    pub replica_patience_ms: u64,
    /// Longest time that an explicit transaction may last.
    pub transaction_limit_ms: u64,
    /// Time for which running work may finish after this host lost its lease. It must be less
    /// than the 1,500 ms after which peers use the freed connections.
    pub lease_grace_ms: u64,
    /// Maximum number of waiting requests for each client account and urgency.
    pub lane_bound: usize,
    /// Maximum number of waiting requests of one service.
    pub queue_bound: usize,
    /// Whether a violated invariant panics instead of only being counted.
    pub strict: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            worker_count: 64,
            probe_interval_ms: 100,
            probe_timeout_ms: 300,
            connect_timeout_ms: 200,
            statement_timeout_ms: 2_000,
            replica_patience_ms: 50,
            transaction_limit_ms: 30_000,
            lease_grace_ms: 1_000,
            lane_bound: 64,
            queue_bound: 1_024,
            strict: cfg!(debug_assertions),
        }
    }
}

impl Settings {
    /// Returns the interval between two probes, at least 1 ms.
    #[must_use]
    pub fn probe_interval(&self) -> Duration {
        Duration::from_millis(self.probe_interval_ms.max(1))
    }

    /// Returns the timeout of a call on a control connection.
    #[must_use]
    pub fn probe_timeout(&self) -> Duration {
        Duration::from_millis(self.probe_timeout_ms)
    }

    /// Returns the timeout for opening a connection.
    #[must_use]
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// Returns the timeout of one execution.
    #[must_use]
    pub fn statement_timeout(&self) -> Duration {
        Duration::from_millis(self.statement_timeout_ms)
    }

    /// Returns the longest time that a read waits for a replica to reach its position.
    #[must_use]
    pub fn replica_patience(&self) -> Duration {
        Duration::from_millis(self.replica_patience_ms)
    }

    /// Returns the longest time that an explicit transaction may last.
    #[must_use]
    pub fn transaction_limit(&self) -> Duration {
        Duration::from_millis(self.transaction_limit_ms)
    }

    /// Returns the time for which running work may finish after the lease was lost.
    #[must_use]
    pub fn lease_grace(&self) -> Duration {
        Duration::from_millis(self.lease_grace_ms)
    }
}
