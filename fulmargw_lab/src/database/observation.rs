//! Counts and texts that a server records for the checks of tests and experiments.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Greatest number of start-up texts that are kept.
const MAX_STARTUP_TEXTS: usize = 256;

/// Counts and texts since the start of the process.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Observation {
    /// Number of open connections.
    pub connections: usize,
    /// Greatest number of connections open at the same time, including refused ones.
    pub peak_connections: usize,
    /// Number of connections that were refused because the limit was reached.
    pub violations: u64,
    /// Number of password messages; a client must not send any.
    pub passwords: u64,
    /// Values of start-up parameters, which must not include the API key of a caller.
    pub startup_texts: BTreeSet<String>,
    /// Number of statements that occupied a slot.
    pub statements: u64,
    /// Number of committed transactions that stored something.
    pub commits: u64,
}

impl Observation {
    /// Counts a new connection if it is within `limit`, and returns whether it was counted.
    ///
    /// The check and the count are one step: of two new connections that wait for a closed one to
    /// be noticed, only one may take its place.
    pub fn admit(&mut self, limit: usize) -> bool {
        let is_within_limit = self.connections < limit;
        if is_within_limit {
            self.record_open();
        }
        is_within_limit
    }

    /// Counts a new connection that exceeds the limit.
    pub fn record_violation(&mut self) {
        self.record_open();
        self.violations += 1;
    }

    fn record_open(&mut self) {
        self.connections += 1;
        self.peak_connections = self.peak_connections.max(self.connections);
    }

    /// Records the values of start-up parameters.
    pub fn record_startup_texts<'a>(&mut self, values: impl Iterator<Item = &'a String>) {
        for value in values {
            if self.startup_texts.len() < MAX_STARTUP_TEXTS {
                self.startup_texts.insert(value.clone());
            }
        }
    }
}
