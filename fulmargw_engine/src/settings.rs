//! Settings of the engine.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of the engine. Durations are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Number of worker tasks.
    pub worker_count: usize,
    /// Time between two probes of a backend server.
    pub probe_interval_ms: u64,
    /// Longest time that a probe may take.
    pub probe_timeout_ms: u64,
    /// Longest time that opening a connection may take.
    pub connect_timeout_ms: u64,
    /// Longest time that one task may run on a backend server.
    pub statement_timeout_ms: u64,
    /// Longest time that a replica may take to reach the position that a read requires.
    pub replica_patience_ms: u64,
    /// Longest time that an explicit transaction may last.
    pub transaction_limit_ms: u64,
    /// Time for which running work may finish after this host lost its lease. It must be less
    /// than the 1,500 ms after which other hosts use the freed connections.
    pub lease_grace_ms: u64,
    /// Most waiting requests of one client account and urgency.
    pub lane_bound: usize,
    /// Most waiting requests of one service.
    pub queue_bound: usize,
    /// Whether a violated invariant stops the task instead of only being counted.
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
    /// Returns the time between two probes.
    #[must_use]
    pub fn probe_interval(&self) -> Duration {
        Duration::from_millis(self.probe_interval_ms.max(1))
    }

    /// Returns the longest time of a probe.
    #[must_use]
    pub fn probe_timeout(&self) -> Duration {
        Duration::from_millis(self.probe_timeout_ms)
    }

    /// Returns the longest time to open a connection.
    #[must_use]
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// Returns the longest time of one task.
    #[must_use]
    pub fn statement_timeout(&self) -> Duration {
        Duration::from_millis(self.statement_timeout_ms)
    }

    /// Returns the longest wait for a replica's position.
    #[must_use]
    pub fn replica_patience(&self) -> Duration {
        Duration::from_millis(self.replica_patience_ms)
    }

    /// Returns the longest time of an explicit transaction.
    #[must_use]
    pub fn transaction_limit(&self) -> Duration {
        Duration::from_millis(self.transaction_limit_ms)
    }

    /// Returns the time for running work after the lease was lost.
    #[must_use]
    pub fn lease_grace(&self) -> Duration {
        Duration::from_millis(self.lease_grace_ms)
    }
}
