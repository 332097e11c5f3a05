//! What a server notes for the checks of an experiment.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The most start-up texts that are kept.
const MAX_STARTUP_TEXTS: usize = 256;

/// Counts and texts since the start of the process.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Observation {
    /// Open connections.
    pub connections: usize,
    /// Greatest number of connections at one time, refused ones included.
    pub peak_connections: usize,
    /// Connections above the limit, which were refused.
    pub violations: u64,
    /// Password messages, of which there must be none.
    pub passwords: u64,
    /// Values of start-up parameters, among which no key of a caller may be.
    pub startup_texts: BTreeSet<String>,
    /// Statements that ran on a slot.
    pub statements: u64,
    /// Transactions that stored something.
    pub commits: u64,
}

impl Observation {
    /// Counts a new connection and reports whether it is within `limit`.
    pub fn record_connection(&mut self, limit: usize) -> bool {
        self.connections += 1;
        self.peak_connections = self.peak_connections.max(self.connections);
        let within = self.connections <= limit;
        if !within {
            self.violations += 1;
        }
        within
    }

    /// Notes the values of start-up parameters.
    pub fn record_startup_texts<'a>(&mut self, values: impl Iterator<Item = &'a String>) {
        for value in values {
            if self.startup_texts.len() < MAX_STARTUP_TEXTS {
                self.startup_texts.insert(value.clone());
            }
        }
    }
}
