//! Faults that tests and experiments inject into a server.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The faults of a server; the default is none.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Fault {
    /// Delay with which a replica applies received entries, in milliseconds.
    pub apply_delay_ms: u64,
    /// Delay with which the primary sends entries, in milliseconds.
    pub replication_delay_ms: u64,
    /// Time for which a statement occupies a slot, in microseconds.
    pub statement_us: u64,
    /// Whether and when the process exits during the next commit that stores something.
    pub exit: Option<Exit>,
}

/// The point of a commit at which the process exits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exit {
    /// Before the entry is in the log.
    BeforeCommit,
    /// After a replica has confirmed the entry, without a response to the client.
    AfterCommit,
}

/// A change of faults; a fault that is absent stays as it is.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Change {
    /// See [`Fault::apply_delay_ms`].
    pub apply_delay_ms: Option<u64>,
    /// See [`Fault::replication_delay_ms`].
    pub replication_delay_ms: Option<u64>,
    /// See [`Fault::statement_us`].
    pub statement_us: Option<u64>,
    /// See [`Fault::exit`].
    pub exit: Option<Exit>,
}

impl Fault {
    /// Applies a change.
    pub fn apply(&mut self, change: &Change) {
        let set = |value: &mut u64, new: Option<u64>| *value = new.unwrap_or(*value);
        set(&mut self.apply_delay_ms, change.apply_delay_ms);
        set(&mut self.replication_delay_ms, change.replication_delay_ms);
        set(&mut self.statement_us, change.statement_us);
        self.exit = change.exit.or(self.exit);
    }

    /// Returns [`Self::apply_delay_ms`] as a duration.
    #[must_use]
    pub fn apply_delay(&self) -> Duration {
        Duration::from_millis(self.apply_delay_ms)
    }

    /// Returns [`Self::replication_delay_ms`] as a duration.
    #[must_use]
    pub fn replication_delay(&self) -> Duration {
        Duration::from_millis(self.replication_delay_ms)
    }

    /// Returns [`Self::statement_us`] as a duration.
    #[must_use]
    pub fn statement_time(&self) -> Duration {
        Duration::from_micros(self.statement_us)
    }
}
