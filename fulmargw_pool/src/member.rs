//! The hosts that share rates and connections, and what they report.

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

/// Time for which a host that reported counts as alive.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Shortest time between two rounds of reports.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Hosts to which a host reports in a round; the answers are reports as well.
pub const FANOUT: usize = 4;
/// Number of other hosts above which rounds are further apart.
const SLOWED_HOSTS: u32 = 16;
/// Rounds, as a part of the number of hosts, after which a host that did not report counts as
/// gone: two hosts meet once in an eighth as many rounds as there are hosts.
const HEARING_ROUNDS: f64 = 0.4;
/// Number of hosts from which on each of them calls the platform less often.
pub const LARGE_FLEET: u32 = 10;
/// Times of a few hosts, which renew their rows every few seconds.
pub const SMALL_FLEET_TIMEOUTS: Timeouts = Timeouts {
    share: Duration::from_secs(6),
    removal: Duration::from_secs(8),
};
/// Times of many hosts.
pub const LARGE_FLEET_TIMEOUTS: Timeouts = Timeouts {
    share: Duration::from_secs(10),
    removal: Duration::from_secs(15),
};
/// Time without a report after which the rows are read more often.
const MISSED: Duration = Duration::from_secs(2);

/// For how long a host without a sign of life keeps its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Time without renewal or contact after which it uses no share.
    pub share: Duration,
    /// Time after which others take it off the list; it is longer.
    pub removal: Duration,
}

/// Time after joining before the own share is used, in which the others learn of it.
pub const JOIN_DELAY: Duration = Duration::from_secs(3);

/// Time for which a listed host that was not heard yet counts as one that runs statements.
const NEW_TIME: Duration = Duration::from_secs(3);

/// Prefix of the keys of members' rows.
pub const KEY_PREFIX: &str = "member/";

/// Content of a member's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Where other hosts reach it.
    pub endpoint: Endpoint,
    /// Identifier of the life of its process.
    pub incarnation: u64,
}

/// Another host.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Where this host reaches it.
    pub endpoint: Endpoint,
    /// Last report and its time.
    pub report: Option<(Report, Instant)>,
    /// Version of its row, and when this host first saw it.
    pub row: Option<(u64, Instant)>,
    /// Time at which this host learned of it.
    pub discovered_at: Instant,
}

/// All hosts.
#[derive(Debug)]
pub struct Members {
    own: Name,
    /// Place of the next host to report to.
    round: usize,
    /// Other hosts by name.
    pub peers: BTreeMap<Name, Peer>,
    /// Time of the last renewal of the own row.
    pub renewed_at: Option<Instant>,
    /// Time at which the own row was written first, or a peer confirmed that it counts this host.
    pub joined_at: Option<Instant>,
    /// Promotions that this host knows, by service.
    pub promotions: BTreeMap<Name, Promotion>,
    /// Whether this host stops.
    pub is_stopping: bool,
    /// Hosts that run the statements of services.
    pub holders: Holders,
    /// Versions of claims of services by key, and when this host first saw them.
    pub claims: BTreeMap<String, (u64, Instant)>,
}

impl Peer {
    /// Reports whether the host was heard within a time and does not stop.
    #[must_use]
    pub fn is_alive(&self, within: Duration, now: Instant) -> bool {
        let report = self.report.as_ref();
        let is_stopping = report.is_some_and(|(report, _)| report.is_stopping);
        self.has_reported(within, now) && !is_stopping
    }

    /// Reports whether the host was heard within a time.
    #[must_use]
    pub fn has_reported(&self, within: Duration, now: Instant) -> bool {
        self.report
            .as_ref()
            .is_some_and(|(_, at)| now.saturating_duration_since(*at) <= within)
    }
}

impl Members {
    /// Makes a list of this host alone.
    #[must_use]
    pub fn new(own: Name) -> Self {
        Self {
            own,
            round: 0,
            peers: BTreeMap::new(),
            renewed_at: None,
            joined_at: None,
            promotions: BTreeMap::new(),
            is_stopping: false,
            holders: Holders::new(),
            claims: BTreeMap::new(),
        }
    }

    /// Returns the number of hosts that share, with this one.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX)
    }

    /// Returns the names of the hosts that share, with this one.
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

    /// Returns the digest that the host with this address for reports told last.
    #[must_use]
    pub fn reported_digest(&self, address: SocketAddr) -> Option<u64> {
        let mut peers = self.peers.values();
        let peer = peers.find(|peer| peer.endpoint.reports == address)?;
        peer.report
            .as_ref()
            .map(|(report, _)| report.members_digest)
    }

    /// Returns for how long hosts keep their shares.
    #[must_use]
    pub fn timeouts(&self) -> Timeouts {
        if self.count() < LARGE_FLEET {
            SMALL_FLEET_TIMEOUTS
        } else {
            LARGE_FLEET_TIMEOUTS
        }
    }

    /// Reports whether a host may have vanished.
    #[must_use]
    pub fn has_silent_peer(&self, now: Instant) -> bool {
        let missed = self.peer_timeout().max(MISSED);
        self.peers.values().any(|peer| {
            let is_new = now.saturating_duration_since(peer.discovered_at) < missed;
            !is_new && !peer.has_reported(missed, now)
        })
    }

    /// Returns the time for which a host that reported counts as alive. With many hosts each
    /// reports to a few others at a time.
    #[must_use]
    pub fn peer_timeout(&self) -> Duration {
        let others = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        PEER_TIMEOUT.max(
            REPORT_INTERVAL
                .saturating_mul(others)
                .mul_f64(HEARING_ROUNDS),
        )
    }

    /// Returns the time between two rounds of reports.
    #[must_use]
    pub fn report_interval(&self) -> Duration {
        let others = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        REPORT_INTERVAL.max(REPORT_INTERVAL.saturating_mul(others) / SLOWED_HOSTS)
    }

    /// Returns the hosts of the next round of reports.
    pub fn next_round(&mut self) -> Vec<SocketAddr> {
        let count = self.peers.len();
        let start = self.round;
        self.round = (self.round + FANOUT) % count.max(1);
        let all = self.peers.values().cycle().skip(start);
        all.take(FANOUT.min(count))
            .map(|peer| peer.endpoint.reports)
            .collect()
    }

    /// Returns the host that runs the statements of a service; `None` if it is this one.
    pub fn holder(&mut self, service: &Name, now: Instant) -> Option<(Name, SocketAddr)> {
        let hearing = self.peer_timeout();
        let hosts = self.peers.keys().chain([&self.own]);
        // A host that was not heard yet is tried: its connection shows whether it works.
        let is_new = |peer: &Peer| {
            peer.report.is_none() && now.saturating_duration_since(peer.discovered_at) < NEW_TIME
        };
        let is_alive = |host: &Name| match self.peers.get(host) {
            Some(peer) => peer.is_alive(hearing, now) || is_new(peer),
            None => !self.is_stopping,
        };
        let host = self.holders.choose(service, hosts, is_alive, now)?;
        let peer = self.peers.get(&host)?;
        Some((host, peer.endpoint.statements))
    }

    /// Returns the names of hosts that are alive, with this one.
    #[must_use]
    pub fn alive(&self, now: Instant) -> Vec<Name> {
        let hearing = self.peer_timeout();
        let peers = self.peers.iter();
        let heard = peers.filter(|(_, peer)| peer.is_alive(hearing, now));
        let mut names: Vec<Name> = heard.map(|(name, _)| name.clone()).collect();
        names.push(self.own.clone());
        names
    }

    /// Adds a host, or notes its new address.
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

    /// Notes a report. Returns whether the list of hosts changed.
    pub fn record_report(&mut self, report: Report, now: Instant) -> bool {
        let mut changed = self.add_peer(&report.host, report.endpoint, now);
        let lists_this_host = report.members.iter().any(|(name, _)| *name == self.own);
        let counts_this_host = lists_this_host || report.members_digest == self.digest();
        if counts_this_host && self.joined_at.is_none() {
            // The others have kept this host's share since its earlier life.
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

    /// Notes the rows of members. Returns whether the list of hosts changed.
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

    /// Returns members without a sign of life, with the versions of their rows.
    #[must_use]
    pub fn expired_rows(&self, now: Instant) -> Vec<(Name, u64)> {
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        let Timeouts { removal, .. } = self.timeouts();
        let heard_by_others = |name: &Name| {
            self.peers.values().any(|peer| {
                peer.report.as_ref().is_some_and(|(report, at)| {
                    elapsed(*at) <= PEER_TIMEOUT && report.reachable_hosts.contains(name)
                })
            })
        };
        let silent = self
            .peers
            .iter()
            .filter(|(name, peer)| !peer.has_reported(removal, now) && !heard_by_others(name));
        silent
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
        let settled = self.joined_at.is_some_and(|at| elapsed(at) >= JOIN_DELAY);
        let renewed = self
            .renewed_at
            .is_some_and(|at| elapsed(at) < self.timeouts().share);
        let in_contact = self
            .peers
            .values()
            .any(|peer| peer.has_reported(PEER_TIMEOUT, now));
        settled && (renewed || in_contact)
    }

    /// Notes the version of a claim, and returns for how long this host has known it.
    pub fn claim_age(&mut self, key: &str, revision: u64, now: Instant) -> Duration {
        let known = self.claims.entry(key.to_owned()).or_insert((revision, now));
        if known.0 != revision {
            *known = (revision, now);
        }
        now.saturating_duration_since(known.1)
    }

    /// Notes a promotion; returns whether it is newer than the one known.
    pub fn record_promotion(&mut self, promoted: &Promotion) -> bool {
        let known = self.promotions.get(&promoted.service);
        if known.is_some_and(|known| known.token >= promoted.token) {
            return false;
        }
        self.promotions
            .insert(promoted.service.clone(), promoted.clone());
        true
    }

    /// Reports whether another host heard from a primary recently.
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
