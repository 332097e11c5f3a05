//! Settings of the pool, one section of the settings file each.

use fulmargw_model::name::Name;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// All sections that the pool reads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity and addresses of this host.
    pub host: Host,
    /// The platform's services.
    pub platform: Platform,
    /// Bounds that the users set.
    pub limits: Limits,
}

/// Identity and addresses of this host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Name, unique in the fleet; a host that is replaced in place keeps it.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address for callers.
    pub front_address: SocketAddr,
    /// Address for the balancer's question whether this host is ready.
    pub ready_address: SocketAddr,
    /// Address for other hosts.
    pub peer_address: SocketAddr,
    /// Address for metrics and the state dump.
    pub metrics_address: SocketAddr,
    /// Addresses of other hosts to start with; they may be out of date.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// The platform's services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Address for orders to backend servers.
    pub order_address: SocketAddr,
}

/// Bounds that the users set.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Memory of the process, in megabytes.
    pub memory_mb: u64,
    /// File descriptors of the process.
    pub file_descriptors: u32,
    /// Processor cores.
    pub cores: u32,
    /// Time for a graceful stop, in seconds.
    pub grace_s: f64,
    /// Time after which a leaving backend server must get no new work, in milliseconds.
    pub drain_timeout_ms: u64,
    /// Part by which an account may exceed its share for a moment.
    pub quota_overage: f64,
    /// Requests by which an account may exceed its share for a moment.
    pub quota_slack: f64,
}

/// Part of the tolerated excess of an account that is used; the rest covers requests that
/// arrive at a server later than they were admitted.
const USED_TOLERANCE: f64 = 0.6;
/// Taken off a staleness bound, for the way from the caller and the resolution of clocks.
const STALENESS_MARGIN: Duration = Duration::from_millis(50);
/// Fewest connections to a server that a host can work with.
const LEAST_CONNECTIONS: u32 = 2;
/// Statements on a server, running and waiting there, for each of its slots.
const QUEUE_DEPTH: u32 = 6;
/// Least number of statements that one of a few hosts runs on one server at the same time; more
/// than one keeps the server busy while an answer is on its way.
const LEAST_RUNNING: u32 = 2;
/// Number of hosts above which one statement of each is enough to keep a server busy.
const MANY_HOSTS: u32 = 16;
/// Time before the end of the drain period at which a leaving server gets no new work.
const DRAIN_MARGIN: Duration = Duration::from_millis(1_500);

impl Limits {
    /// Returns the time for a graceful stop.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.grace_s).unwrap_or(Duration::ZERO)
    }

    /// Returns the time for which a leaving primary may get new work.
    #[must_use]
    pub fn drain_use(&self) -> Duration {
        Duration::from_millis(self.drain_timeout_ms).saturating_sub(DRAIN_MARGIN)
    }

    /// Returns the margin of staleness bounds.
    #[must_use]
    pub fn staleness_margin(&self) -> Duration {
        STALENESS_MARGIN
    }

    /// Returns the factor of rates and bursts that is within the tolerated excess.
    #[must_use]
    pub fn quota_factor(&self) -> f64 {
        1.0 + self.quota_overage.max(0.0) * USED_TOLERANCE
    }

    /// Returns the requests that are added to a burst within the tolerated excess.
    #[must_use]
    pub fn quota_extra(&self) -> f64 {
        self.quota_slack.max(0.0) * USED_TOLERANCE
    }

    /// Returns the most statements of this host that run on a server at the same time.
    ///
    /// All hosts together fill the slots of a server and part of its own queue; more would be
    /// turned away, and tried again at the cost of others.
    #[must_use]
    pub fn running_share(&self, slots: u32, hosts: u32) -> u32 {
        let part = slots.saturating_mul(QUEUE_DEPTH) / hosts.max(1);
        let least = if hosts > MANY_HOSTS { 1 } else { LEAST_RUNNING };
        part.clamp(least, slots.max(least))
    }

    /// Returns this host's part of a connection limit.
    #[must_use]
    pub fn connection_share(&self, limit: u32, hosts: u32) -> u32 {
        (limit / hosts.max(1)).max(LEAST_CONNECTIONS)
    }
}
