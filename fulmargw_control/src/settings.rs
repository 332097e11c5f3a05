//! Settings of the control plane.

use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Settings of an agent. Times on which the safety of leases depends are constants, not
/// settings.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Interval of lease requests to each member, in milliseconds.
    pub confirm_interval_ms: u64,
    /// Interval of reads of the store, in milliseconds.
    pub poll_interval_ms: u64,
    /// Timeout of one read of the store, in milliseconds; a commit has twice this time.
    pub store_timeout_ms: u64,
    /// Time without a response after which a member is unresponsive, in milliseconds.
    pub suspect_ms: u64,
    /// Time without a response and without an entry in the platform's host list after which a
    /// member counts as vanished, in milliseconds.
    pub vanished_after_ms: u64,
    /// Longest wait of a request for tokens, in milliseconds.
    pub admit_wait_ms: u64,
    /// Delay between two borrowing rounds for one account, in milliseconds.
    pub borrow_interval_ms: u64,
    /// Number of hosts among which connection limits are assumed to be divided when a patch is
    /// validated.
    pub holders: u32,
    /// Document addresses of peers, from which the configuration is fetched at startup
    /// while the store is unreachable.
    pub seeds: Vec<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            confirm_interval_ms: 250,
            poll_interval_ms: 500,
            store_timeout_ms: 400,
            suspect_ms: 1_500,
            vanished_after_ms: 30_000,
            admit_wait_ms: 1_000,
            borrow_interval_ms: 10,
            holders: 4,
            seeds: Vec::new(),
        }
    }
}

impl Settings {
    pub(crate) fn confirm_interval(&self) -> Duration {
        Duration::from_millis(self.confirm_interval_ms)
    }

    pub(crate) fn poll_interval(&self) -> Duration {
        Duration::from_millis(self.poll_interval_ms)
    }

    pub(crate) fn store_timeout(&self) -> Duration {
        Duration::from_millis(self.store_timeout_ms)
    }

    pub(crate) fn suspect_timeout(&self) -> Duration {
        Duration::from_millis(self.suspect_ms)
    }

    pub(crate) fn vanished_after(&self) -> Duration {
        Duration::from_millis(self.vanished_after_ms)
    }

    pub(crate) fn admit_wait(&self) -> Duration {
        Duration::from_millis(self.admit_wait_ms)
    }

    pub(crate) fn borrow_interval(&self) -> Duration {
        Duration::from_millis(self.borrow_interval_ms)
    }
}
