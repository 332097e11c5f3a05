//! State of the control plane for operators, without API keys.

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

/// State of the control plane of a host at one moment.
#[derive(Debug, Clone, Serialize)]
pub struct State {
    /// Name of the host.
    pub host: Name,
    /// Instance of this host; `None` before joining and after a removal.
    pub own: Option<Instance>,
    /// Newest known fleet record.
    pub fleet: Option<Arc<Fleet>>,
    /// Time for which the lease is still valid, in milliseconds.
    pub lease_valid_ms: u64,
    /// Number of hosts among which each limit is divided; `None` without a share.
    pub divisor: Option<u32>,
    /// Instances to whose removal this host has consented.
    #[serde(rename = "refused")]
    pub revoked: Vec<Instance>,
    /// Time since the last response of each member, in milliseconds.
    #[serde(rename = "heard_ms")]
    pub response_age_ms: BTreeMap<Name, u64>,
    /// Configuration version in force; `None` before the first one was obtained.
    pub version: Option<Version>,
    /// Whether the configuration is recent enough for keyed routes.
    pub current: bool,
    /// Newer versions that this host knows of but has not obtained, with the time since it
    /// learned of them in milliseconds.
    #[serde(rename = "notes_ms")]
    pub newer_versions_ms: BTreeMap<u64, u64>,
    /// Time since the last successful read of the store, in milliseconds.
    pub store_read_ms: Option<u64>,
    /// Token buckets by client account.
    pub accounts: BTreeMap<Name, Bucket>,
}

/// Token bucket of a client account on this host.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Bucket {
    /// Tokens that can be used now, including borrowed ones.
    pub available: f64,
    /// Tokens lent to peers.
    pub lent: f64,
    /// Requests that wait for tokens.
    pub waiting: u32,
    /// Offered load on this host, in requests per second.
    pub offered: f64,
}

impl<S: Store, P: Peers> Agent<S, P> {
    /// Returns the current state.
    #[must_use]
    pub fn dump(&self) -> State {
        let now = Instant::now();
        let age = |since: Instant| milliseconds(now.saturating_duration_since(since));
        let configuration = self.shared.configuration.lock();
        let fleet = self.shared.fleet.lock();
        let mut accounts = self.shared.accounts.lock();
        let entitlement = fleet.entitlement(now);
        let buckets = accounts.entries.iter_mut().map(|(name, entry)| {
            let bucket = Bucket {
                available: entry.bucket.available(),
                lent: entry.bucket.lent(),
                waiting: entry.waiting,
                offered: entry.offered.per_second(now),
            };
            (name.clone(), bucket)
        });
        let newer_versions = configuration
            .newer
            .iter()
            .map(|(version, newer)| (version.0, age(newer.since)));
        let responses = fleet
            .responded_at
            .iter()
            .map(|(name, responded)| (name.clone(), age(*responded)));
        State {
            host: self.shared.host.name.clone(),
            own: fleet.instance.clone(),
            fleet: fleet.record.clone(),
            lease_valid_ms: entitlement
                .as_ref()
                .map_or(0, |entitlement| milliseconds(entitlement.valid_until - now)),
            divisor: entitlement
                .filter(crate::table::Entitlement::has_share)
                .map(|entitlement| entitlement.share_divisor),
            revoked: fleet.revoked.iter().cloned().collect(),
            response_age_ms: responses.collect(),
            version: configuration
                .document
                .as_ref()
                .map(|document| document.version),
            current: configuration.is_current(now),
            newer_versions_ms: newer_versions.collect(),
            store_read_ms: configuration.store_read_at.map(age),
            accounts: buckets.collect(),
        }
    }
}

fn milliseconds(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
