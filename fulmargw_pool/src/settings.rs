//! Settings of the pool, one section of the settings file each.

use crate::table::Share;
use fulmargw_model::name::Name;
use fulmargw_peer::report::Endpoint;
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
    /// Address for reports of other hosts.
    pub peer_address: SocketAddr,
    /// Address for statements that this host runs for others.
    pub statement_address: SocketAddr,
    /// Where other hosts reach `peer_address`, if that differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_peer_address: Option<SocketAddr>,
    /// Where other hosts reach `statement_address`, if that differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_statement_address: Option<SocketAddr>,
    /// Address for metrics and the state dump.
    pub metrics_address: SocketAddr,
    /// Addresses of other hosts to start with; they may be out of date.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

impl Host {
    /// Returns where other hosts reach this one.
    #[must_use]
    pub fn endpoint(&self) -> Endpoint {
        Endpoint {
            reports: self.advertised_peer_address.unwrap_or(self.peer_address),
            statements: self
                .advertised_statement_address
                .unwrap_or(self.statement_address),
        }
    }
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
/// Part of the tolerated requests that the hosts add to an account's share when they start.
const OPENING_TOLERANCE: f64 = 0.4;
/// File descriptors that are kept for files, hosts, the platform and listeners.
const OTHER_DESCRIPTORS: u32 = 400;
/// Memory of a session with a statement that is under way, in KiB.
const SESSION_KIB: u64 = 32;
const KIB_PER_MB: u64 = 976;
/// Taken off a staleness bound, for the way from the caller and the resolution of clocks.
const STALENESS_MARGIN: Duration = Duration::from_millis(50);
/// Fewest connections to a server that a host can work with.
const LEAST_CONNECTIONS: u32 = 2;
/// Statements that the holder of a service runs on a server beyond its slots, so that the
/// server is not idle while an answer is on its way.
const AHEAD: u32 = 1;
/// Statements that a host which is not the holder runs on one server at the same time.
const STANDBY_RUNNING: u32 = 2;
/// One part in this many of a connection limit is left to hosts that are not the holder.
const STANDBY_PART: u32 = 4;
/// Time before the end of the drain period at which a leaving server gets no new work.
const DRAIN_MARGIN: Duration = Duration::from_millis(1_500);

impl Limits {
    /// Returns the time for a graceful stop.
    #[must_use]
    pub fn grace_period(&self) -> Duration {
        Duration::try_from_secs_f64(self.grace_s).unwrap_or(Duration::ZERO)
    }

    /// Returns the most sessions of callers, within the file descriptors and memory of the process.
    #[must_use]
    pub fn sessions(&self) -> usize {
        let sockets = self.file_descriptors.saturating_sub(OTHER_DESCRIPTORS) / 2;
        let memory = self.memory_mb / 2 * KIB_PER_MB / SESSION_KIB;
        usize::try_from(memory.min(sockets.into())).unwrap_or(usize::MAX)
    }

    /// Returns the time for which a leaving primary may get new work.
    #[must_use]
    pub fn drain_window(&self) -> Duration {
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

    /// Returns the requests of an account that all hosts together admit at their start, beyond its
    /// share.
    #[must_use]
    pub fn quota_opening(&self) -> f64 {
        self.quota_slack.max(0.0) * OPENING_TOLERANCE
    }

    /// Returns what this host may use of a server while it holds the service.
    #[must_use]
    pub fn holder_share(&self, slots: u32, connection_limit: u32, hosts: u32) -> Share {
        let reserve = if hosts > 1 {
            connection_limit / STANDBY_PART
        } else {
            0
        };
        Share {
            connections: (connection_limit - reserve).max(LEAST_CONNECTIONS),
            running: slots + AHEAD,
        }
    }

    /// Returns what this host may use of a server while another one holds the service.
    #[must_use]
    pub fn standby_share(&self, connection_limit: u32, hosts: u32) -> Share {
        let part = connection_limit / STANDBY_PART / hosts.max(1);
        Share {
            connections: part.max(LEAST_CONNECTIONS),
            running: STANDBY_RUNNING,
        }
    }
}
