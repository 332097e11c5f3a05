//! The hosts of the fleet, which share rates and connections, and the reports of the other ones.

mod executor;
pub mod rows;

pub use self::executor::Executor;
use self::rows::{Record, Row, Rows};
use crate::{
    holder::Holders,
    placement::Placement,
    store::{self, Revision},
};
use fulmargw_decision::gossip::{self, Age, FANOUT, Rotation, Timing};
use fulmargw_model::name::Name;
use fulmargw_peer::report::{Endpoint, Report};
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash as _, Hasher as _},
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// Time for which a report of a peer is evidence of what it saw just before, such as a response of a
/// primary. It does not grow with the fleet, because such evidence gets old.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_millis(1_600);
/// Shortest time since a host was last seen after which its peers remove it.
const MIN_REMOVAL: Duration = Duration::from_secs(8);
/// Minimum ratio of that time to the time after which a host counts as unresponsive.
const REMOVAL_PER_PEER_TIMEOUT: f64 = 1.5;
/// Time by which a host stops using its share before its peers remove it.
const SHARE_MARGIN: Duration = Duration::from_secs(2);
/// Time since a peer was last seen after which the member rows are read more often.
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

impl Timeouts {
    /// Returns the timeouts of a fleet of `hosts` hosts.
    #[must_use]
    pub fn of(hosts: u32) -> Self {
        let peer_timeout = Timing::of(hosts).peer_timeout;
        let removal = MIN_REMOVAL.max(peer_timeout.mul_f64(REMOVAL_PER_PEER_TIMEOUT));
        Self {
            share: removal.saturating_sub(SHARE_MARGIN),
            removal,
        }
    }
}

/// Time after joining before a host uses its share. Meanwhile its peers learn of it.
pub const JOIN_DELAY: Duration = Duration::from_secs(3);

/// Minimum time for which a host that was not seen yet may be chosen as a holder.
const MIN_FIRST_SEEN_TIMEOUT: Duration = Duration::from_secs(3);

/// Another host of the fleet.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Addresses at which this host reaches it.
    pub endpoint: Endpoint,
    /// Its last report, and when this host received it.
    pub report: Option<(Report, Instant)>,
    /// Time of its last report to this host or, according to peers, to any other host.
    pub last_seen: Option<Instant>,
    /// Its member row.
    pub row: Option<Row>,
    /// Time at which this host learned of it.
    pub discovered_at: Instant,
}

/// All hosts of the fleet.
#[derive(Debug)]
pub struct Members {
    own: Name,
    /// Order of the peers to which this host reports.
    rotation: Rotation,
    /// Order of the peers in other zones, if services are placed by zone; the peers in this host's
    /// zone are in `rotation` then.
    far_rotation: Rotation,
    /// Digest of the names of all hosts.
    digest: u64,
    /// Peers by name.
    pub peers: BTreeMap<Name, Peer>,
    /// Time of the last renewal of this host's member row.
    pub renewed_at: Option<Instant>,
    /// Time at which this host's member row was first written, or at which a peer first reported
    /// that it counts this host.
    pub joined_at: Option<Instant>,
    /// Whether this host is stopping.
    pub is_stopping: bool,
    /// Choice of the hosts that run the statements of services.
    pub holders: Holders,
    /// Placement of services by zone.
    pub placement: Placement,
    /// What the member rows have shown across restorations of the store.
    rows: Rows,
    /// Claim rows by key, and when this host first read them.
    claims: BTreeMap<String, (store::Row, Instant)>,
    /// Revisions of the contact rows of hosts, and when this host first read them.
    contacts: BTreeMap<Name, (Revision, Instant)>,
}

/// Returns a function that reports whether a host may run statements for others. One that was not
/// seen yet may: a failed connection to it excludes it.
fn may_hold(
    peers: &BTreeMap<Name, Peer>,
    is_stopping: bool,
    timing: Timing,
    now: Instant,
) -> impl Fn(&Name) -> bool {
    let timeout = timing.peer_timeout;
    let first_seen_timeout = timeout.max(MIN_FIRST_SEEN_TIMEOUT);
    let is_new = move |peer: &Peer| {
        peer.last_seen.is_none()
            && now.saturating_duration_since(peer.discovered_at) < first_seen_timeout
    };
    move |host| match peers.get(host) {
        Some(peer) => peer.is_alive(timeout, now) || is_new(peer),
        None => !is_stopping,
    }
}

impl Peer {
    /// Reports whether the host was seen within the last `within` and is not stopping.
    #[must_use]
    pub fn is_alive(&self, within: Duration, now: Instant) -> bool {
        let report = self.report.as_ref();
        let is_stopping = report.is_some_and(|(report, _)| report.is_stopping);
        self.is_seen(within, now) && !is_stopping
    }

    /// Reports whether the host was seen within the last `within`.
    #[must_use]
    pub fn is_seen(&self, within: Duration, now: Instant) -> bool {
        self.last_seen
            .is_some_and(|at| now.saturating_duration_since(at) <= within)
    }

    fn record_seen(&mut self, at: Instant) {
        self.last_seen = Some(self.last_seen.map_or(at, |known| known.max(at)));
    }

    /// Reports whether the host has reported to this one within the last `within`.
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
        let mut members = Self {
            own,
            rotation: Rotation::default(),
            far_rotation: Rotation::default(),
            digest: 0,
            peers: BTreeMap::new(),
            renewed_at: None,
            joined_at: None,
            is_stopping: false,
            holders: Holders::new(),
            placement: Placement::default(),
            rows: Rows::default(),
            claims: BTreeMap::new(),
            contacts: BTreeMap::new(),
        };
        members.hosts_changed();
        members
    }

    /// Returns the name of this host.
    #[must_use]
    pub fn own(&self) -> &Name {
        &self.own
    }

    /// Updates what depends on the list of hosts.
    fn hosts_changed(&mut self) {
        let mut hasher = DefaultHasher::new();
        self.names().hash(&mut hasher);
        self.digest = hasher.finish();
        self.holders.clear_rankings();
        self.placement.clear_rankings();
        self.rotation.restart();
        self.far_rotation.restart();
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
        self.digest
    }

    /// Returns how long ago each host was last seen, in the order of [`Self::names`].
    #[must_use]
    pub fn ages(&self, now: Instant) -> Vec<Age> {
        let age = |name: &Name| match self.peers.get(name) {
            None => Age::from(Duration::ZERO),
            Some(peer) => peer.last_seen.map_or(Age::UNKNOWN, |at| {
                Age::from(now.saturating_duration_since(at))
            }),
        };
        self.names().iter().map(age).collect()
    }

    /// Returns the digest in the last report of the peer that receives reports at `address`.
    ///
    /// A peer that has not reported yet is assumed to know the same hosts: in a large fleet two hosts
    /// seldom exchange reports, and the list of hosts is most of a report. If the assumption is
    /// wrong, the response has the peer's list, and this host's list is in its responses.
    #[must_use]
    pub fn assumed_digest(&self, address: SocketAddr) -> u64 {
        let mut peers = self.peers.values();
        let peer = peers.find(|peer| peer.endpoint.reports == address);
        let report = peer.and_then(|peer| peer.report.as_ref());
        report.map_or(self.digest, |(report, _)| report.members_digest)
    }

    /// Returns the timeouts for the present number of hosts.
    #[must_use]
    pub fn timeouts(&self) -> Timeouts {
        Timeouts::of(self.count())
    }

    /// Returns the intervals of reports for the present number of hosts.
    #[must_use]
    pub fn timing(&self) -> Timing {
        Timing::of(self.count())
    }

    /// Reports whether a peer has not been seen for long enough that it may have failed.
    #[must_use]
    pub fn has_unresponsive_peer(&self, now: Instant) -> bool {
        let timeout = self.timing().peer_timeout.max(MIN_UNRESPONSIVE_TIME);
        self.peers.values().any(|peer| {
            let is_new = now.saturating_duration_since(peer.discovered_at) < timeout;
            !is_new && !peer.is_seen(timeout, now)
        })
    }

    /// Reports whether this host is cut off from most of its peers: fewer than half of them have
    /// been seen. Its peers then may not see it either, so that only its member row shows them
    /// that it is alive.
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        let peer_timeout = self.timing().peer_timeout;
        let may_be_alive = |peer: &&Peer| {
            let is_new = now.saturating_duration_since(peer.discovered_at) < peer_timeout;
            is_new || peer.is_seen(peer_timeout, now)
        };
        self.peers.values().filter(may_be_alive).count() * 2 < self.peers.len()
    }

    /// Returns the addresses of the peers in the next round of reports.
    pub fn next_round(&mut self) -> Vec<SocketAddr> {
        let names = match self.peers_by_zone() {
            None => self.rotation.next(&self.own, &self.peers.keys(), FANOUT),
            Some([near, far]) => {
                let (near_count, far_count) = gossip::fanout_by_zone(near.len(), far.len());
                let own = &self.own;
                let mut names = self.rotation.next(own, &near.iter(), near_count);
                names.extend(self.far_rotation.next(own, &far.iter(), far_count));
                names
            }
        };
        let peers = names.iter().filter_map(|name| self.peers.get(name));
        peers.map(|peer| peer.endpoint.reports).collect()
    }

    /// Returns the name and address of the host that runs the statements of a service; `None` if it
    /// is this one.
    pub fn holder(&mut self, service: &Name, now: Instant) -> Option<(Name, SocketAddr)> {
        let hosts = self.peers.keys().chain([&self.own]);
        let is_alive = may_hold(&self.peers, self.is_stopping, self.timing(), now);
        let host = self.holders.choose(service, hosts, is_alive, now)?;
        let peer = self.peers.get(&host)?;
        Some((host, peer.endpoint.statements))
    }

    /// Returns the names of the hosts that are alive, including this one.
    #[must_use]
    pub fn alive(&self, now: Instant) -> Vec<Name> {
        let timeout = self.timing().peer_timeout;
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
            if peer.endpoint.location != endpoint.location {
                self.placement.clear_rankings();
                self.rotation.restart();
                self.far_rotation.restart();
            }
            peer.endpoint = endpoint;
            return false;
        }
        let peer = Peer {
            endpoint,
            report: None,
            last_seen: None,
            row: None,
            discovered_at: now,
        };
        self.peers.insert(name.clone(), peer);
        self.hosts_changed();
        true
    }

    /// Records a report of a peer. Returns whether the list of hosts changed.
    pub fn record_report(&mut self, report: Report, now: Instant) -> bool {
        let lists_this_host = report.members.iter().any(|(name, _)| *name == self.own);
        let counts_this_host = lists_this_host || report.members_digest == self.digest();
        if counts_this_host && self.joined_at.is_none() {
            // The peers have kept this host's share since before its restart.
            self.joined_at = Some(now.checked_sub(JOIN_DELAY).unwrap_or(now));
        }
        let last_seen = self.last_seen_times(&report, now);
        let mut changed = self.add_peer(&report.host, report.endpoint.clone(), now);
        let peer_timeout = self.timing().peer_timeout;
        for (name, endpoint) in &report.members {
            // A host that nobody has seen lately may have been removed. It is added again only
            // by its member row or its own report.
            let is_seen = last_seen
                .get(name)
                .is_some_and(|at| now.saturating_duration_since(*at) <= peer_timeout);
            if is_seen && !self.peers.contains_key(name) {
                changed |= self.add_peer(name, endpoint.clone(), now);
            }
        }
        for (name, at) in last_seen {
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.record_seen(at);
            }
        }
        if let Some(peer) = self.peers.get_mut(&report.host) {
            peer.record_seen(now);
            peer.report = Some((report, now));
        }
        changed
    }

    /// Returns when each host was last seen according to a report. Its ages are in the order
    /// of the listed hosts or, if it lists none, of the hosts that this host knows too.
    fn last_seen_times(&self, report: &Report, now: Instant) -> BTreeMap<Name, Instant> {
        let mut order: Vec<Name> = report.members.iter().map(|it| it.0.clone()).collect();
        order.sort_unstable();
        if order.is_empty() && report.members_digest == self.digest() {
            order = self.names();
        }
        if order.len() != report.ages.len() {
            return BTreeMap::new();
        }
        let ages = order.into_iter().zip(&report.ages);
        let known = ages.filter_map(|(name, age)| Some((name, now.checked_sub(age.duration()?)?)));
        known.collect()
    }

    /// Applies the member rows, given with their revisions. Returns whether the list of hosts
    /// changed.
    pub fn apply_rows(&mut self, rows: &BTreeMap<Name, (Record, Revision)>, now: Instant) -> bool {
        let mut changed = false;
        self.rows.start(rows, now);
        for (name, (record, revision)) in rows {
            if self.rows.is_brought_back(name, record, *revision) {
                continue;
            }
            changed |= self.add_peer(name, record.endpoint.clone(), now);
            if let Some(peer) = self.peers.get_mut(name)
                && peer.row.is_none_or(|known| known.revision != *revision)
            {
                peer.row = Some(Row {
                    incarnation: record.incarnation,
                    revision: *revision,
                    read_at: now,
                });
            }
        }
        changed | self.remove_unlisted(rows, now)
    }

    /// Removes the peers that are not listed in `rows` and have not been seen lately. Returns
    /// whether there are any.
    ///
    /// A restoration may have lost the row of a host that only its row shows to be alive. Such a
    /// host has time to write it again.
    fn remove_unlisted(&mut self, rows: &BTreeMap<Name, (Record, Revision)>, now: Instant) -> bool {
        let Timeouts { removal, .. } = self.timeouts();
        let peer_timeout = self.timing().peer_timeout;
        let removed = self.peers.extract_if(.., |name, peer| {
            let is_new = now.saturating_duration_since(peer.discovered_at) < removal;
            let may_be_lost = |row: Row| self.rows.may_be_lost(row, removal, now);
            let is_kept = is_new || peer.row.is_some_and(may_be_lost);
            !rows.contains_key(name) && !peer.is_seen(peer_timeout, now) && !is_kept
        });
        let removed: Vec<(Name, Peer)> = removed.collect();
        if removed.is_empty() {
            return false;
        }
        let last_rows = removed.into_iter();
        let last_rows = last_rows.filter_map(|(name, peer)| Some((name, peer.row?)));
        self.rows.record_removed(last_rows, now);
        self.hosts_changed();
        true
    }

    /// Returns the names of peers that have neither renewed their member rows nor reported to any
    /// host, and of removed hosts whose rows a restoration brought back, with the revisions of these
    /// rows.
    #[must_use]
    pub fn expired_rows(&self, now: Instant) -> Vec<(Name, Revision)> {
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        let Timeouts { removal, .. } = self.timeouts();
        let peers = self.peers.iter();
        let unresponsive = peers.filter(|(_, peer)| !peer.is_seen(removal, now));
        let expired = unresponsive.filter_map(|(name, peer)| {
            let row = peer.row?;
            (elapsed(row.read_at) >= removal).then(|| (name.clone(), row.revision))
        });
        expired.chain(self.rows.brought_back()).collect()
    }

    /// Reports whether this host may use its share.
    #[must_use]
    pub fn has_share(&self, now: Instant) -> bool {
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        let has_joined = self.joined_at.is_some_and(|at| elapsed(at) >= JOIN_DELAY);
        let Timeouts { share, .. } = self.timeouts();
        let has_renewed = self.renewed_at.is_some_and(|at| elapsed(at) < share);
        let peer_timeout = self.timing().peer_timeout;
        let in_contact = self
            .peers
            .values()
            .any(|peer| peer.has_reported(peer_timeout, now));
        has_joined && (has_renewed || in_contact)
    }

    /// Records a claim row, and returns for how long this host has known it.
    ///
    /// A row with the same number and content in a later era is the same claim: the copy from which
    /// the store was restored has it.
    pub fn claim_age(&mut self, row: &store::Row, now: Instant) -> Duration {
        let known = self.claims.get(&row.key);
        let known = known.filter(|(known, _)| {
            known.revision.number == row.revision.number && known.value == row.value
        });
        let since = known.map_or(now, |(_, since)| *since);
        self.claims.insert(row.key.clone(), (row.clone(), since));
        now.saturating_duration_since(since)
    }

    /// Records the contact rows, given with their revisions.
    pub fn apply_contacts(&mut self, rows: BTreeMap<Name, Revision>, now: Instant) {
        let known = std::mem::take(&mut self.contacts);
        let with_time = rows.into_iter().map(|(name, revision)| {
            let known = known.get(&name).filter(|(known, _)| *known == revision);
            let since = known.map_or(now, |(_, since)| *since);
            (name, (revision, since))
        });
        self.contacts = with_time.collect();
    }

    /// Returns the revision of the contact row of a host, if it has one.
    #[must_use]
    pub fn contact_row(&self, host: &Name) -> Option<Revision> {
        self.contacts.get(host).map(|(revision, _)| *revision)
    }

    /// Returns a host of which `is_confirmed` does not hold and that may have written its contact row within
    /// the last `within`. After a restoration of the store this may be any peer: the row may be lost.
    pub fn recent_contact(
        &self,
        within: Duration,
        is_confirmed: impl Fn(&Name) -> bool,
        now: Instant,
    ) -> Option<Name> {
        let is_recent = |since: Instant| now.saturating_duration_since(since) < within;
        let rows = self.contacts.iter();
        let recent = rows.filter(|(_, (_, since))| is_recent(*since));
        let recent = recent.map(|(name, _)| name);
        let is_restored = self.rows.era_since().is_none_or(is_recent);
        let peers = self.peers.keys().filter(|_| is_restored);
        let mut unconfirmed = recent.chain(peers).filter(|name| !is_confirmed(name));
        unconfirmed.next().cloned()
    }

    /// Reports whether a primary has responded to a peer recently.
    #[must_use]
    pub fn responds_to_peers(&self, server: &Name, now: Instant) -> bool {
        self.peers.values().any(|peer| {
            peer.report.as_ref().is_some_and(|(report, at)| {
                now.saturating_duration_since(*at) <= EVIDENCE_LIFETIME
                    && report.responsive_primaries.contains(server)
            })
        })
    }
}
