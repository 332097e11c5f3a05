//! Settings of the pool; each struct is one section of the settings file.

use crate::table::Share;
use fulmargw_model::name::Name;
use fulmargw_peer::report::{Endpoint, Location};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// All sections of the settings file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity and addresses of this host.
    pub host: Host,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Limits that the operator sets.
    pub limits: Limits,
    /// Scheduling of statements by priority.
    #[serde(default)]
    pub scheduling: Scheduling,
    /// Placement of statements by availability zone.
    #[serde(default)]
    pub placement: Placement,
    /// Bounds for the evacuation of zones; without them orders and home regions have no effect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuation: Option<Evacuation>,
    /// Region of each availability zone.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub zones: BTreeMap<Name, Name>,
    /// Limits of backend servers that follow their responses.
    #[serde(default)]
    pub adaptive: Adaptive,
    /// Limits of single callers.
    #[serde(default)]
    pub callers: Callers,
}

impl Settings {
    /// Returns the addresses at which peers reach this host, and its location if statements are
    /// placed by zone.
    #[must_use]
    pub fn endpoint(&self) -> Endpoint {
        let location = self.placement.by_zone.then(|| Location {
            zone: self.host.zone.clone(),
            millicores: self.limits.millicores(),
        });
        Endpoint {
            location,
            ..self.host.endpoint()
        }
    }
}

/// Placement of statements by availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Placement {
    /// Whether the statements of a service are run by one host in each zone that has servers of it.
    pub by_zone: bool,
    /// Number of hosts that each of these zones must have; with fewer, one host runs the statements
    /// on all servers of the service.
    pub min_hosts_per_zone: usize,
}

/// Default of [`Placement::min_hosts_per_zone`].
const MIN_HOSTS_PER_ZONE: usize = 4;

impl Default for Placement {
    fn default() -> Self {
        Self {
            by_zone: false,
            min_hosts_per_zone: MIN_HOSTS_PER_ZONE,
        }
    }
}

/// Bounds for the evacuation of availability zones, and for backend servers that are cold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {
    /// Time after which an order is in force on every host, in milliseconds.
    pub apply_ms: u64,
    /// Factor by which the requests to a cold server in one second may exceed its rate.
    pub cold_overage: f64,
    /// Number of further requests to a cold server in one second.
    pub cold_slack: f64,
}

impl Evacuation {
    /// Returns the time after which an order is in force on every host.
    #[must_use]
    pub fn bound(&self) -> Duration {
        Duration::from_millis(self.apply_ms)
    }
}

/// Limits of backend servers that follow their responses.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Adaptive {
    /// Whether the number of statements on a server, the choice among servers and the ejection of
    /// failing replicas follow their responses.
    pub enabled: bool,
}

/// Identity and addresses of this host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Name, unique in the fleet. A replacement of the host keeps the name.
    pub name: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Address on which callers connect.
    pub front_address: SocketAddr,
    /// Address of the readiness check for the load balancer.
    pub ready_address: SocketAddr,
    /// Address on which peers send their reports.
    pub peer_address: SocketAddr,
    /// Address on which peers forward statements to this host.
    pub statement_address: SocketAddr,
    /// Address that peers use instead of `peer_address`, if it differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_peer_address: Option<SocketAddr>,
    /// Address that peers use instead of `statement_address`, if it differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_statement_address: Option<SocketAddr>,
    /// Address that serves metrics and the state dump.
    pub metrics_address: SocketAddr,
    /// Addresses of peers to contact at startup; some may be out of date.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

impl Host {
    /// Returns the addresses at which peers reach this host.
    #[must_use]
    pub fn endpoint(&self) -> Endpoint {
        Endpoint {
            reports: self.advertised_peer_address.unwrap_or(self.peer_address),
            statements: self
                .advertised_statement_address
                .unwrap_or(self.statement_address),
            location: None,
        }
    }
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the key-value store.
    pub store_address: SocketAddr,
    /// Address that accepts promotion requests for backend servers.
    #[serde(rename = "order_address")]
    pub promotion_address: SocketAddr,
}

/// Limits that the operator sets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Memory available to the process, in megabytes.
    pub memory_mb: u64,
    /// Number of file descriptors available to the process.
    pub file_descriptors: u32,
    /// Number of processor cores available to the process.
    pub cores: u32,
    /// Processor time available to the process, in cores; `cores` if it is not set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cpu_share: Option<f64>,
    /// Time after its acknowledgement in which a version of the configuration must be in force, in
    /// milliseconds. Versions that may have taken longer are counted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration_apply_ms: Option<u64>,
    /// Interval at which backend servers write their registry entries, in milliseconds; 1,200 if it
    /// is not set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heartbeat_interval_ms: Option<u64>,
    /// Longest duration of a graceful stop, in seconds.
    pub grace_s: f64,
    /// Time after which a draining backend server must receive no new statements, in
    /// milliseconds.
    pub drain_timeout_ms: u64,
    /// Fraction of its rate and burst by which an account may briefly exceed them.
    pub quota_overage: f64,
    /// Number of further requests by which an account may briefly exceed its rate and burst.
    pub quota_slack: f64,
}

/// Scheduling of statements by priority. What is absent is on if the routes of the configuration have
/// three or more priorities.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scheduling {
    /// Whether a statement that would wait too long is refused when it arrives.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub early_refusal: Option<bool>,
    /// Whether slots are reserved for the priorities above the lowest.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reserve: Option<bool>,
    /// Part of a server's connections that the open transactions of one account may hold while
    /// other accounts wait for one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub account_connections: Option<f64>,
}

/// Limits of single callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Callers {
    /// Time within which a message must be complete once it has begun, in milliseconds.
    pub message_timeout_ms: u64,
    /// Time within which a caller must read a row or 8 KiB of a response, in milliseconds.
    pub response_timeout_ms: u64,
    /// Largest number of prepared statements of a session.
    pub prepared_statements: usize,
    /// Largest size of all prepared statements of a session, in bytes.
    pub prepared_bytes: u64,
    /// Largest number of variables of a session.
    pub variables: usize,
    /// Largest size of all variables of a session, in bytes.
    pub variable_bytes: u64,
    /// Largest number of sessions of a client account on this host; 0 for seven eighths of the
    /// host's sessions.
    pub sessions_per_account: usize,
    /// Largest number of connections of a caller's address; 0 for any number, as callers behind a
    /// balancer or a network address translation share an address.
    pub sessions_per_address: usize,
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            message_timeout_ms: 20_000,
            response_timeout_ms: 20_000,
            prepared_statements: 1_024,
            prepared_bytes: 4 * 1024 * 1024,
            variables: 1_024,
            variable_bytes: 2 * 1024 * 1024,
            sessions_per_account: 0,
            sessions_per_address: 0,
        }
    }
}

impl Callers {
    /// Returns the time within which a message must be complete.
    #[must_use]
    pub fn message_timeout(&self) -> Duration {
        Duration::from_millis(self.message_timeout_ms)
    }

    /// Returns the time within which a caller must read a part of a response.
    #[must_use]
    pub fn response_timeout(&self) -> Duration {
        Duration::from_millis(self.response_timeout_ms)
    }
}

/// Fraction of an account's allowed overage that is added to its rate and burst. The rest covers
/// requests that reach a backend server later than they were admitted.
const OVERAGE_USED: f64 = 0.6;
/// Fraction of `quota_slack` that the home hosts of an account add to their buckets at startup.
const STARTUP_OVERAGE: f64 = 0.4;
/// File descriptors reserved for files, listeners and connections to peers and the platform.
const RESERVED_DESCRIPTORS: u32 = 400;
/// Thousandths of a core in a core.
const MILLICORES_PER_CORE: f64 = 1_000.0;
/// Memory of one session with a running statement, in KiB.
const SESSION_KIB: u64 = 32;
/// KiB in a megabyte of 10^6 bytes, rounded down.
const KIB_PER_MB: u64 = 976;
/// Subtracted from a staleness limit to cover the network delay from the caller and the clock
/// resolution.
const STALENESS_MARGIN: Duration = Duration::from_millis(50);
/// Smallest number of connections to a backend server that a host can work with.
const MIN_CONNECTIONS: u32 = 2;
/// Statements that the holder of a service sends to a backend server beyond its slots, so that
/// the server is not idle while a response is in transit.
const PIPELINED_STATEMENTS: u32 = 1;
/// Statements that a host which is not the holder runs concurrently on one backend server.
const STANDBY_STATEMENTS: u32 = 2;
/// The hosts that are not the holder share one in this many connections of a server's limit.
const STANDBY_DIVISOR: u32 = 4;
/// Default of [`Limits::heartbeat_interval_ms`].
const HEARTBEAT_INTERVAL_MS: u64 = 1_200;
/// Intervals without a write after which the registry removes the entry of a backend server.
const REGISTRATION_INTERVALS: u32 = 3;
/// Longest time that the registry takes to remove an entry that is due for removal.
const REMOVAL_MARGIN: Duration = Duration::from_millis(400);
/// Time before the drain timeout at which a draining server stops receiving new statements.
const DRAIN_MARGIN: Duration = Duration::from_millis(1_500);

impl Limits {
    /// Returns the longest duration of a graceful stop.
    #[must_use]
    pub fn grace_period(&self) -> Duration {
        Duration::try_from_secs_f64(self.grace_s).unwrap_or(Duration::ZERO)
    }

    /// Returns the processor capacity in thousandths of a core, at least 1.
    #[must_use]
    pub fn millicores(&self) -> u32 {
        let cores = self.cpu_share.unwrap_or_else(|| f64::from(self.cores));
        let millicores = (cores * MILLICORES_PER_CORE).round();
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the number is clamped to the range of the type"
        )]
        let millicores = millicores.clamp(1.0, f64::from(u32::MAX)) as u32;
        millicores
    }

    /// Returns the largest number of sessions that the file descriptors and memory of the process
    /// allow.
    #[must_use]
    pub fn max_sessions(&self) -> usize {
        let sockets = self.file_descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
        let memory = self.memory_mb / 2 * KIB_PER_MB / SESSION_KIB;
        usize::try_from(memory.min(sockets.into())).unwrap_or(usize::MAX)
    }

    /// Returns the time in which a version of the configuration must be in force, if it is given.
    #[must_use]
    pub fn configuration_bound(&self) -> Option<Duration> {
        self.configuration_apply_ms.map(Duration::from_millis)
    }

    /// Returns the time after its last write by which the registry has removed the entry of a backend
    /// server.
    #[must_use]
    pub fn registration_lifetime(&self) -> Duration {
        let interval_ms = self.heartbeat_interval_ms.unwrap_or(HEARTBEAT_INTERVAL_MS);
        Duration::from_millis(interval_ms).saturating_mul(REGISTRATION_INTERVALS) + REMOVAL_MARGIN
    }

    /// Returns how long a draining primary may still receive new statements.
    #[must_use]
    pub fn drain_window(&self) -> Duration {
        Duration::from_millis(self.drain_timeout_ms).saturating_sub(DRAIN_MARGIN)
    }

    /// Returns the safety margin that is subtracted from staleness limits.
    #[must_use]
    pub fn staleness_margin(&self) -> Duration {
        STALENESS_MARGIN
    }

    /// Returns the factor by which rates and bursts are multiplied within the allowed overage.
    #[must_use]
    pub fn rate_factor(&self) -> f64 {
        1.0 + self.quota_overage.max(0.0) * OVERAGE_USED
    }

    /// Returns the number of requests that is added to a burst within the allowed overage.
    #[must_use]
    pub fn extra_burst(&self) -> f64 {
        self.quota_slack.max(0.0) * OVERAGE_USED
    }

    /// Returns the startup tokens of an account, in requests, summed over all hosts.
    #[must_use]
    pub fn startup_tokens(&self) -> f64 {
        self.quota_slack.max(0.0) * STARTUP_OVERAGE
    }

    /// Returns the share of a backend server's connections and slots that this host may use while
    /// it is the holder of the service.
    #[must_use]
    pub fn holder_share(&self, slots: u32, connection_limit: u32, hosts: u32) -> Share {
        let reserve = if hosts > 1 {
            connection_limit / STANDBY_DIVISOR
        } else {
            0
        };
        Share {
            connections: (connection_limit - reserve).max(MIN_CONNECTIONS),
            running: slots.saturating_add(PIPELINED_STATEMENTS),
        }
    }

    /// Returns the share of a backend server's connections and slots that this host may use while
    /// a peer is the holder of the service.
    #[must_use]
    pub fn standby_share(&self, connection_limit: u32, hosts: u32) -> Share {
        let part = connection_limit / STANDBY_DIVISOR / hosts.max(1);
        Share {
            connections: part.max(MIN_CONNECTIONS),
            running: STANDBY_STATEMENTS,
        }
    }
}
