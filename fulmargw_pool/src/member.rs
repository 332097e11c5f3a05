//! The hosts of the fleet, which share rates and connections, and the reports of the other ones.

use crate::holder::Holders;
use fulmargw_model::name::Name;
use fulmargw_peer::report::{Endpoint, Promotion, Report};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash as _, Hasher as _},
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// Time since its last report for which a host counts as alive; [`Members::peer_timeout`] is longer
/// in a large fleet.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Minimum time between two rounds of reports.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of hosts to which a host reports in one round; each of them responds with its own report.
pub const FANOUT: usize = 4;
/// Number of peers above which the interval between rounds grows with their number.
const MAX_PEERS_AT_FULL_RATE: u32 = 16;
/// Number of rounds per peer without a report after which a peer counts as unresponsive. Two hosts
/// exchange reports once in an eighth as many rounds as there are hosts.
const PEER_TIMEOUT_ROUNDS: f64 = 0.4;
/// Number of hosts from which on each of them calls the platform less often.
pub const LARGE_FLEET: u32 = 10;
/// Timeouts of a small fleet, whose hosts renew their member rows every few seconds.
pub const SMALL_FLEET_TIMEOUTS: Timeouts = Timeouts {
    share: Duration::from_secs(6),
    removal: Duration::from_secs(8),
};
/// Timeouts of a fleet of [`LARGE_FLEET`] hosts or more.
pub const LARGE_FLEET_TIMEOUTS: Timeouts = Timeouts {
    share: Duration::from_secs(10),
    removal: Duration::from_secs(15),
};
/// Time without a report of a peer after which the member rows are read more often.
const MIN_UNRESPONSIVE_TIME: Duration = Duration::from_secs(2);

/// For how long a host that neither renews its member row nor reports keeps its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Time without a renewal or a report of a peer after which it stops using its share.
    pub share: Duration,
    /// Time after which its peers remove it from the list, and use its share. It must be longer
    /// than `share`.
    pub removal: Duration,
}

/// Time after joining before a host uses its share. Meanwhile its peers learn of it.
pub const JOIN_DELAY: Duration = Duration::from_secs(3);

/// Time for which a host that has not reported yet may be chosen as a holder.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// Prefix of the keys of member rows.
pub const KEY_PREFIX: &str = "member/";

/// Content of a member row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Addresses at which its peers reach it.
    pub endpoint: Endpoint,
    /// Identifier of this run of its process.
    pub incarnation: u64,
}

/// Another host of the fleet.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Addresses at which this host reaches it.
    pub endpoint: Endpoint,
    /// Its last report, and when this host received it.
    pub report: Option<(Report, Instant)>,
    /// Revision of its member row, and when this host first read it.
    pub row: Option<(u64, Instant)>,
    /// Time at which this host learned of it.
    pub discovered_at: Instant,
}

/// All hosts of the fleet.
#[derive(Debug)]
pub struct Members {
    own: Name,
    /// Index of the first peer in the next round of reports.
    next_peer: usize,
    /// Peers by name.
    pub peers: BTreeMap<Name, Peer>,
    /// Time of the last renewal of this host's member row.
    pub renewed_at: Option<Instant>,
    /// Time at which this host's member row was first written, or at which a peer first reported
    /// that it counts this host.
    pub joined_at: Option<Instant>,
    /// Latest known promotions by service.
    pub promotions: BTreeMap<Name, Promotion>,
    /// Whether this host is stopping.
    pub is_stopping: bool,
    /// Choice of the hosts that run the statements of services.
    pub holders: Holders,
    /// Revisions of claim rows by key, and when this host first read them.
    pub claims: BTreeMap<String, (u64, Instant)>,
}

impl Peer {
    /// Reports whether the host has reported within the last `within` and is not stopping.
    #[must_use]
    pub fn is_alive(&self, within: Duration, now: Instant) -> bool {
        let report = self.report.as_ref();
        let is_stopping = report.is_some_and(|(report, _)| report.is_stopping);
        self.has_reported(within, now) && !is_stopping
    }

    /// Reports whether the host has reported within the last `within`.
    #[must_use]
    pub fn has_reported(&self, within: Duration, now: Instant) -> bool {
        self.report
            .as_ref()
            .is_some_and(|(_, at)| now.saturating_duration_since(*at) <= within)
    }
}

impl Members {
    /// Returns a list of this host alone.
    #[must_use]
    pub fn new(own: Name) -> Self {
        Self {
            own,
            next_peer: 0,
            peers: BTreeMap::new(),
            renewed_at: None,
            joined_at: None,
            promotions: BTreeMap::new(),
            is_stopping: false,
            holders: Holders::new(),
            claims: BTreeMap::new(),
        }
    }

    /// Returns the number of hosts in the fleet, including this one.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX)
    }

    /// Returns the names of the hosts in the fleet, including this one.
    #[must_use]
    pub fn names(&self) -> Vec<Name> {
        let mut names: Vec<Name> = self.peers.keys().cloned().collect();
        names.push(self.own.clone());
        names.sort_unstable();
        names
    }

    /// Returns a digest of the names of all hosts.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.names().hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the digest in the last report of the peer that receives reports at `address`.
    #[must_use]
    pub fn reported_digest(&self, address: SocketAddr) -> Option<u64> {
        let mut peers = self.peers.values();
        let peer = peers.find(|peer| peer.endpoint.reports == address)?;
        peer.report
            .as_ref()
            .map(|(report, _)| report.members_digest)
    }

    /// Returns the timeouts for the present number of hosts.
    #[must_use]
    pub fn timeouts(&self) -> Timeouts {
        if self.count() < LARGE_FLEET {
            SMALL_FLEET_TIMEOUTS
        } else {
            LARGE_FLEET_TIMEOUTS
        }
    }

    /// Reports whether a peer has not reported for long enough that it may have failed.
    #[must_use]
    pub fn has_unresponsive_peer(&self, now: Instant) -> bool {
        let timeout = self.peer_timeout().max(MIN_UNRESPONSIVE_TIME);
        self.peers.values().any(|peer| {
            let is_new = now.saturating_duration_since(peer.discovered_at) < timeout;
            !is_new && !peer.has_reported(timeout, now)
        })
    }

    /// Returns the time since its last report for which a peer counts as alive. It grows with the
    /// number of peers, because each host reports only to a few of them at a time.
    #[must_use]
    pub fn peer_timeout(&self) -> Duration {
        let peers = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        PEER_TIMEOUT.max(
            REPORT_INTERVAL
                .saturating_mul(peers)
                .mul_f64(PEER_TIMEOUT_ROUNDS),
        )
    }

    /// Returns the time between two rounds of reports.
    #[must_use]
    pub fn report_interval(&self) -> Duration {
        let peers = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        REPORT_INTERVAL.max(REPORT_INTERVAL.saturating_mul(peers) / MAX_PEERS_AT_FULL_RATE)
    }

    /// Returns the addresses of the peers in the next round of reports.
    pub fn next_round(&mut self) -> Vec<SocketAddr> {
        let count = self.peers.len();
        let start = self.next_peer;
        self.next_peer = (self.next_peer + FANOUT) % count.max(1);
        let from_start = self.peers.values().cycle().skip(start);
        from_start
            .take(FANOUT.min(count))
            .map(|peer| peer.endpoint.reports)
            .collect()
    }

    /// Returns the name and address of the host that runs the statements of a service; `None` if it
    /// is this one.
    pub fn holder(&mut self, service: &Name, now: Instant) -> Option<(Name, SocketAddr)> {
        let timeout = self.peer_timeout();
        let hosts = self.peers.keys().chain([&self.own]);
        // A host that has not reported yet may be the holder: a failed connection to it excludes
        // it.
        let is_new = |peer: &Peer| {
            peer.report.is_none()
                && now.saturating_duration_since(peer.discovered_at) < FIRST_REPORT_TIMEOUT
        };
        let is_alive = |host: &Name| match self.peers.get(host) {
            Some(peer) => peer.is_alive(timeout, now) || is_new(peer),
            None => !self.is_stopping,
        };
        let host = self.holders.choose(service, hosts, is_alive, now)?;
        let peer = self.peers.get(&host)?;
        Some((host, peer.endpoint.statements))
    }

    /// Returns the names of the hosts that are alive, including this one.
    #[must_use]
    pub fn alive(&self, now: Instant) -> Vec<Name> {
        let timeout = self.peer_timeout();
        let peers = self.peers.iter();
        let alive = peers.filter(|(_, peer)| peer.is_alive(timeout, now));
        let mut names: Vec<Name> = alive.map(|(name, _)| name.clone()).collect();
        names.push(self.own.clone());
        names
    }

    /// Adds a peer, or updates its addresses. Returns whether it was added.
    pub fn add_peer(&mut self, name: &Name, endpoint: Endpoint, now: Instant) -> bool {
        if *name == self.own {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.endpoint = endpoint;
            return false;
        }
        let peer = Peer {
            endpoint,
            report: None,
            row: None,
            discovered_at: now,
        };
        self.peers.insert(name.clone(), peer);
        self.holders.clear_rankings();
        true
    }

    /// Records a report of a peer. Returns whether the list of hosts changed.
    pub fn record_report(&mut self, report: Report, now: Instant) -> bool {
        let mut changed = self.add_peer(&report.host, report.endpoint, now);
        let lists_this_host = report.members.iter().any(|(name, _)| *name == self.own);
        let counts_this_host = lists_this_host || report.members_digest == self.digest();
        if counts_this_host && self.joined_at.is_none() {
            // The peers have kept this host's share since before its restart.
            self.joined_at = Some(now.checked_sub(JOIN_DELAY).unwrap_or(now));
        }
        for (name, endpoint) in &report.members {
            if !self.peers.contains_key(name) {
                changed |= self.add_peer(name, *endpoint, now);
            }
        }
        if let Some(peer) = self.peers.get_mut(&report.host) {
            peer.report = Some((report, now));
        }
        changed
    }

    /// Applies the member rows, given with their revisions. Returns whether the list of hosts
    /// changed.
    pub fn apply_rows(&mut self, rows: &BTreeMap<Name, (Record, u64)>, now: Instant) -> bool {
        let mut changed = false;
        for (name, (record, revision)) in rows {
            changed |= self.add_peer(name, record.endpoint, now);
            if let Some(peer) = self.peers.get_mut(name)
                && peer.row.is_none_or(|(known, _)| known != *revision)
            {
                peer.row = Some((*revision, now));
            }
        }
        let own = &self.own;
        let Timeouts { removal, .. } = self.timeouts();
        let before = self.peers.len();
        self.peers.retain(|name, peer| {
            let is_new = now.saturating_duration_since(peer.discovered_at) < removal;
            name == own || rows.contains_key(name) || peer.has_reported(PEER_TIMEOUT, now) || is_new
        });
        if self.peers.len() != before {
            self.holders.clear_rankings();
            changed = true;
        }
        changed
    }

    /// Returns the names of peers that have neither renewed their member rows nor reported to any
    /// host, with the revisions of these rows.
    #[must_use]
    pub fn expired_rows(&self, now: Instant) -> Vec<(Name, u64)> {
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        let Timeouts { removal, .. } = self.timeouts();
        let has_reported_to_peer = |name: &Name| {
            self.peers.values().any(|peer| {
                peer.report.as_ref().is_some_and(|(report, at)| {
                    elapsed(*at) <= PEER_TIMEOUT && report.reachable_hosts.contains(name)
                })
            })
        };
        let unresponsive = self
            .peers
            .iter()
            .filter(|(name, peer)| !peer.has_reported(removal, now) && !has_reported_to_peer(name));
        unresponsive
            .filter_map(|(name, peer)| {
                let (revision, seen) = peer.row?;
                (elapsed(seen) >= removal).then(|| (name.clone(), revision))
            })
            .collect()
    }

    /// Reports whether this host may use its share.
    #[must_use]
    pub fn has_share(&self, now: Instant) -> bool {
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        let has_joined = self.joined_at.is_some_and(|at| elapsed(at) >= JOIN_DELAY);
        let has_renewed = self
            .renewed_at
            .is_some_and(|at| elapsed(at) < self.timeouts().share);
        let in_contact = self
            .peers
            .values()
            .any(|peer| peer.has_reported(PEER_TIMEOUT, now));
        has_joined && (has_renewed || in_contact)
    }

    /// Records the revision of a claim row, and returns for how long this host has known it.
    pub fn claim_age(&mut self, key: &str, revision: u64, now: Instant) -> Duration {
        let known = self.claims.entry(key.to_owned()).or_insert((revision, now));
        if known.0 != revision {
            *known = (revision, now);
        }
        now.saturating_duration_since(known.1)
    }

    /// Records a promotion. Returns whether it is newer than the latest known one of its service.
    pub fn record_promotion(&mut self, promoted: &Promotion) -> bool {
        let known = self.promotions.get(&promoted.service);
        if known.is_some_and(|known| known.token >= promoted.token) {
            return false;
        }
        self.promotions
            .insert(promoted.service.clone(), promoted.clone());
        true
    }

    /// Reports whether a primary has responded to a peer recently.
    #[must_use]
    pub fn responds_to_peers(&self, server: &Name, now: Instant) -> bool {
        self.peers.values().any(|peer| {
            peer.report.as_ref().is_some_and(|(report, at)| {
                now.saturating_duration_since(*at) <= PEER_TIMEOUT
                    && report.responsive_primaries.contains(server)
            })
        })
    }
}
