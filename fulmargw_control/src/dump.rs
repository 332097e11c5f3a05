//! State of the control part for operators, without keys.

use crate::{agent::Agent, peers::Peers};
use fulmargw_model::{
    configuration::Version,
    fleet::{Fleet, Instance},
    name::Name,
};
use fulmargw_platform::store::Store;
use serde::Serialize;
use std::{collections::BTreeMap, sync::Arc};
use tokio::time::Instant;

/// What a host knows and uses at one moment.
#[derive(Debug, Clone, Serialize)]
pub struct State {
    /// Name of the host.
    pub host: Name,
    /// Own life; none before joining and after a removal.
    pub own: Option<Instance>,
    /// Fleet record last seen.
    pub fleet: Option<Arc<Fleet>>,
    /// Time for which the lease is still valid, in milliseconds.
    pub lease_valid_ms: u64,
    /// Hosts that share each limit; none without a share.
    pub divisor: Option<u32>,
    /// Lives to whose removal this host consented.
    pub refused: Vec<Instance>,
    /// Time since each member answered, in milliseconds.
    pub heard_ms: BTreeMap<Name, u64>,
    /// Configuration version in force; none before the first one was obtained.
    pub version: Option<Version>,
    /// Whether the configuration is recent enough for keyed routes.
    pub current: bool,
    /// Versions heard of but not obtained, and their ages in milliseconds.
    pub notes_ms: BTreeMap<u64, u64>,
    /// Time since the last successful read of the store, in milliseconds.
    pub store_read_ms: Option<u64>,
    /// Buckets by account.
    pub accounts: BTreeMap<Name, Bucket>,
}

/// Tokens of an account on this host.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Bucket {
    /// Tokens that can be used now, own and borrowed.
    pub available: f64,
    /// Tokens lent to other hosts.
    pub lent: f64,
    /// Requests that wait for tokens.
    pub waiting: u32,
    /// Requests per second that arrived recently.
    pub offered: f64,
}

impl<S: Store, P: Peers> Agent<S, P> {
    /// Returns the state at this moment.
    #[must_use]
    pub fn dump(&self) -> State {
        let now = Instant::now();
        let age = |since: Instant| milliseconds(now.saturating_duration_since(since));
        let configuration = self.shared.configuration.lock();
        let fleet = self.shared.fleet.lock();
        let mut accounts = self.shared.accounts.lock();
        let standing = fleet.standing(now);
        let buckets = accounts.entries.iter_mut().map(|(name, entry)| {
            let bucket = Bucket {
                available: entry.bucket.available(),
                lent: entry.bucket.lent(),
                waiting: entry.waiting,
                offered: entry.offered.per_second(now),
            };
            (name.clone(), bucket)
        });
        let notes = configuration
            .heard
            .iter()
            .map(|(version, heard)| (version.0, age(heard.since)));
        let heard = fleet
            .heard
            .iter()
            .map(|(name, heard)| (name.clone(), age(*heard)));
        State {
            host: self.shared.host.name.clone(),
            own: fleet.own.clone(),
            fleet: fleet.record.clone(),
            lease_valid_ms: standing
                .as_ref()
                .map_or(0, |standing| milliseconds(standing.until - now)),
            divisor: standing
                .filter(crate::table::Standing::has_share)
                .map(|standing| standing.divisor),
            refused: fleet.refused.iter().cloned().collect(),
            heard_ms: heard.collect(),
            version: configuration
                .document
                .as_ref()
                .map(|document| document.version),
            current: configuration.is_current(now),
            notes_ms: notes.collect(),
            store_read_ms: configuration.read.map(age),
            accounts: buckets.collect(),
        }
    }
}

fn milliseconds(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
