//! Tables that all workers share: waiting jobs, and backend servers with their connections.

pub mod adaptive;
mod backend;
pub mod barrier;
pub mod contact;
mod exclusion;
pub mod handover;
mod queues;
pub mod start;
mod succession;

pub use self::{
    backend::{Backend, Checkout, Share, Shares},
    handover::Handover,
    queues::Queues,
    succession::{Effect, Succession},
};
use crate::{
    backend::{Registry, Role, Server},
    dialect::Dialect,
    freshness::Freshness,
    health::Trouble,
    pace::Pace,
    routing::{Availability, Candidate},
};
use fulmargw_decision::evacuation::Exclusion;
use fulmargw_model::{execution::ServerId, name::Name, position::Position};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Time after a promotion for which the promoted server may still report that it is a replica.
pub const PROMOTION_GRACE: Duration = Duration::from_secs(4);

/// Time after a host has started in which the reports of its peers from before have arrived.
const REPORTS_SETTLED: Duration = Duration::from_secs(3);

/// Time without a statement after which a host that ran statements of a service closes its
/// connections, which the holder needs.
pub const HOLDER_IDLE_TIMEOUT: Duration = Duration::from_millis(250);

/// Backend servers by service.
#[derive(Debug)]
pub struct Servers<D: Dialect> {
    /// Groups by the name of their service.
    pub groups: BTreeMap<Name, Group<D>>,
    /// Whether the process knows what it has to know before it passes on commits.
    pub start: start::Start,
    /// What is known of the replacement of primaries, by the name of the service.
    pub handovers: BTreeMap<Name, Handover>,
    /// Zones whose servers get nothing.
    exclusion: Exclusion,
}

/// Database group: the backend servers of one service.
#[derive(Debug)]
pub struct Group<D: Dialect> {
    /// Identifier of the assumed primary: the server that this host takes for the primary, which
    /// the server itself may refute.
    pub primary_id: Option<Name>,
    /// Time at which this host learned of its promotion, if it was promoted.
    promoted_at: Option<Instant>,
    /// Time since which there has been no assumed primary, or it has denied to be the primary.
    without_primary_since: Option<Instant>,
    /// Promotion of the assumed primary, until that server has proved to be the primary.
    succession: Option<Succession>,
    /// Samples of the primary's log position.
    pub freshness: Freshness,
    /// Latest log position that the primary is known to have acknowledged, to this host or to one
    /// that reported it.
    pub acknowledged: Option<Position>,
    /// Whether that covers what this host acknowledged before its process started.
    covers_earlier: bool,
    /// Time at which this host learned of the service.
    known_since: Instant,
    /// Time of the last read; samples are taken for some time after it.
    pub sample_requested: Option<Instant>,
    /// Time at which a sample was last requested from another host.
    pub sample_fetched: Option<Instant>,
    /// Usual times of the work of the service.
    usual: adaptive::UsualTimes,
    /// Time of the last read that waits for a sample because it must not run on the primary.
    pub sample_needed: Option<Instant>,
    /// Time of the last statement outside of an open transaction; `None` if this host does not run
    /// statements of the service.
    last_used: Option<Instant>,
    /// Mean duration of the statements that this host runs.
    pub pace: Pace,
    /// Servers by identifier.
    pub backends: BTreeMap<Name, Backend<D>>,
}

impl<D: Dialect> Servers<D> {
    /// Returns an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self {
            groups: BTreeMap::new(),
            start: start::Start::new(Instant::now()),
            handovers: BTreeMap::new(),
            exclusion: Exclusion::default(),
        }
    }

    /// Returns a server, if it is registered.
    pub fn backend(&mut self, id: &ServerId) -> Option<&mut Backend<D>> {
        let group = self.groups.get_mut(&id.service)?;
        group.backends.get_mut(&id.server)
    }

    /// Returns the zones of the registered servers by service.
    #[must_use]
    pub fn zones(&self) -> BTreeMap<Name, BTreeSet<Name>> {
        let groups = self.groups.iter();
        let zones = groups.map(|(service, group)| {
            let servers = group.backends.values();
            let zones = servers.map(|backend| backend.server.zone.clone());
            (service.clone(), zones.collect())
        });
        zones.collect()
    }

    /// Updates the table from a registry that has just changed, and returns the changes.
    pub fn reconcile(
        &mut self,
        registry: &Registry,
        shares: impl Fn(&Server) -> Shares,
    ) -> Vec<Change> {
        self.reconcile_aged(registry, Duration::ZERO, shares)
    }

    /// Updates the table from a registry whose changes are at most this old, and returns them.
    pub fn reconcile_aged(
        &mut self,
        registry: &Registry,
        age: Duration,
        shares: impl Fn(&Server) -> Shares,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for server in registry.values() {
            let group = self.groups.entry(server.service.clone()).or_default();
            group.update(server, age, shares(server), &mut changes);
        }
        for group in self.groups.values_mut() {
            group.backends.retain(|id, backend| {
                let kept = registry
                    .get(id)
                    .is_some_and(|server| server.service == backend.server.service);
                if !kept {
                    changes.push(Change::Removed(backend.server.clone()));
                }
                kept
            });
            group.replace_removed_primary(&mut changes);
        }
        let now = Instant::now();
        self.apply_promotions(now, &mut changes);
        self.settle_claims(now, &mut changes);
        // A server that is new, or registered in another zone from now on, may be excluded.
        self.apply_exclusion();
        changes
    }
}

impl<D: Dialect> Default for Servers<D> {
    fn default() -> Self {
        Self::new()
    }
}

/// A change to the table of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The server was registered.
    Added(Server),
    /// Its registry entry changed.
    Changed(Server),
    /// The server is no longer registered.
    Removed(Server),
    /// The server is the assumed primary from now on.
    PrimaryChanged(Server),
    /// The assumed primary is no longer registered.
    PrimaryRemoved(Name),
    /// The server is the assumed primary from now on, because it was promoted before it was registered.
    PrimaryPromoted(Server),
    /// Commits of the service are held, because a promotion may be about to take effect.
    Claimed(start::Claim),
    /// The commit barrier of the service has ended, because the promoted server is registered.
    BarrierEnded(Name, barrier::Ended),
}

impl<D: Dialect> Default for Group<D> {
    fn default() -> Self {
        Self {
            primary_id: None,
            promoted_at: None,
            without_primary_since: None,
            succession: None,
            freshness: Freshness::default(),
            acknowledged: None,
            covers_earlier: false,
            known_since: Instant::now(),
            sample_requested: None,
            sample_fetched: None,
            usual: adaptive::UsualTimes::new(),
            sample_needed: None,
            last_used: None,
            pace: Pace::default(),
            backends: BTreeMap::new(),
        }
    }
}

impl<D: Dialect> Group<D> {
    fn update(
        &mut self,
        server: &Server,
        age: Duration,
        shares: Shares,
        changes: &mut Vec<Change>,
    ) {
        let is_new_primary = match self.backends.get_mut(&server.id) {
            None => {
                let backend = Backend::new(server.clone(), age, shares);
                self.backends.insert(server.id.clone(), backend);
                changes.push(Change::Added(server.clone()));
                server.role == Role::Primary && self.primary_id.is_none()
            }
            Some(backend) => {
                backend.shares = shares;
                if backend.server == *server {
                    return;
                }
                let has_become_primary =
                    server.role == Role::Primary && backend.server.role != Role::Primary;
                backend.replace(server.clone(), age);
                changes.push(Change::Changed(server.clone()));
                has_become_primary
            }
        };
        // An entry that shows the effect of an earlier promotion may come later than the news of this
        // one. Commits must not go to the server that is being replaced.
        let is_late = self.is_being_promoted(Instant::now());
        if is_new_primary && !is_late && self.primary_id.as_ref() != Some(&server.id) {
            self.primary_id = Some(server.id.clone());
            self.without_primary_since = None;
            changes.push(Change::PrimaryChanged(server.clone()));
        }
    }

    /// Records the log position of the primary after it acknowledged a commit to this host.
    pub fn acknowledge(&mut self, position: Position) {
        self.covers_earlier = true;
        self.record_acknowledged(position);
    }

    /// Records a position that a peer knows to be acknowledged.
    ///
    /// Logs are acknowledged in order, so a commit that was acknowledged after this process had started
    /// covers those that the process before it had acknowledged and that nobody remembers. A new position
    /// is one of such a commit if the reports of the peers from before have arrived.
    pub fn learn_acknowledged(&mut self, position: Position, now: Instant) {
        let is_new =
            self.acknowledged != Some(self.acknowledged.unwrap_or_default().later(position));
        let is_settled = now.saturating_duration_since(self.known_since) >= REPORTS_SETTLED;
        self.covers_earlier |= is_new && is_settled;
        self.record_acknowledged(position);
    }

    /// Returns the latest log position that was acknowledged to this host or one that reported it, if
    /// that covers what this host had acknowledged before its process started.
    #[must_use]
    pub fn exact_acknowledged(&self) -> Option<Position> {
        self.acknowledged.filter(|_| self.covers_earlier)
    }

    fn record_acknowledged(&mut self, position: Position) {
        if let Some(succession) = &mut self.succession {
            succession.acknowledge(position);
        }
        let known = self.acknowledged.unwrap_or_default();
        self.acknowledged = Some(known.later(position));
    }

    /// Records that this host runs a statement on the servers of a zone, or on any server without a
    /// zone. This makes it their holder.
    pub fn record_use(&mut self, zone: Option<&Name>, now: Instant) {
        self.last_used = Some(now);
        for backend in self.backends.values_mut() {
            if zone.is_none_or(|zone| backend.server.zone == *zone) {
                backend.last_used = Some(now);
            }
        }
    }

    /// Reports whether this host runs statements of the service on the primary, or on any server
    /// if there is no primary.
    #[must_use]
    pub fn is_in_use(&self) -> bool {
        match self.primary() {
            Some(primary) => primary.is_held(),
            None => self.last_used.is_some(),
        }
    }

    /// Returns the zones of the servers on which this host ran statements, but none for
    /// [`HOLDER_IDLE_TIMEOUT`].
    #[must_use]
    pub fn unused_zones(&self, now: Instant) -> BTreeSet<Name> {
        let backends = self.backends.values();
        let unused = backends.filter(|backend| {
            backend
                .last_used
                .is_some_and(|at| now.saturating_duration_since(at) >= HOLDER_IDLE_TIMEOUT)
        });
        unused.map(|backend| backend.server.zone.clone()).collect()
    }

    /// Stops being the holder of the servers of a zone and closes the idle connections to them, so
    /// that the new holder can open some.
    pub fn release(&mut self, zone: &Name) {
        for backend in self.backends.values_mut() {
            if backend.server.zone == *zone {
                backend.last_used = None;
                backend.close_idle();
            }
        }
        if self.backends.values().all(|backend| !backend.is_held()) {
            self.last_used = None;
        }
    }

    fn replace_removed_primary(&mut self, changes: &mut Vec<Change>) {
        let Some(primary_id) = self.primary_id.clone() else {
            return;
        };
        if self.backends.contains_key(&primary_id) {
            return;
        }
        changes.push(Change::PrimaryRemoved(primary_id));
        self.primary_id = self
            .backends
            .values()
            .find(|backend| backend.server.role == Role::Primary)
            .map(|backend| backend.server.id.clone());
        self.without_primary_since = self.primary_id.is_none().then(Instant::now);
    }

    /// Records that the assumed primary, `server`, has proved to be the primary at this log position.
    /// Returns the effect of its promotion, if this is the first proof of it.
    pub fn confirm_primary(
        &mut self,
        server: &Name,
        position: Option<Position>,
        now: Instant,
    ) -> Option<Effect> {
        self.without_primary_since = None;
        let position = position?;
        let succession = self.succession.take_if(|it| it.server == *server)?;
        Some(succession.effect(position, now))
    }

    /// Returns for how long this host has known no server that works as the primary; zero if it
    /// knows one.
    #[must_use]
    pub fn time_without_primary(&self, now: Instant) -> Duration {
        let since = self.without_primary_since;
        let missing = since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let trouble = self
            .primary()
            .and_then(|primary| primary.health.trouble(now));
        match trouble {
            Some((Trouble::Unreachable | Trouble::Silent, age)) => missing.max(age),
            // A server that does not complete commits still runs other statements.
            Some((Trouble::Stuck, _)) | None => missing,
        }
    }

    /// Makes a server the assumed primary because a host has promoted it. Returns whether this
    /// changed the assumed primary.
    pub fn set_promoted(&mut self, server: &Name, now: Instant) -> bool {
        let is_new = self.backends.contains_key(server) && self.primary_id.as_ref() != Some(server);
        if is_new {
            self.primary_id = Some(server.clone());
            self.promoted_at = Some(now);
            self.succession = Some(Succession::new(server.clone(), self.acknowledged, now));
            self.without_primary_since = None;
        }
        is_new
    }

    /// Makes a server the assumed primary because it reported to lead. Returns whether this changed the
    /// assumed primary. Until a promotion takes effect, the server that it replaces still leads.
    pub fn set_leading(&mut self, server: &Name, now: Instant) -> bool {
        !self.is_being_promoted(now) && self.set_promoted(server, now)
    }

    /// Records that the assumed primary reported to be a replica. Returns the server that replaces
    /// it: another one that is registered as the primary and has not failed.
    pub fn reject_primary(&mut self, server: &Name, now: Instant) -> Option<Name> {
        let is_recent = self
            .promoted_at
            .is_some_and(|at| now.saturating_duration_since(at) < PROMOTION_GRACE);
        if self.primary_id.as_ref() != Some(server) || is_recent {
            return None;
        }
        self.without_primary_since.get_or_insert(now);
        let other = self.backends.values().find(|backend| {
            let is_registered =
                backend.server.role == Role::Primary && backend.server.id != *server;
            is_registered && !backend.is_excluded() && backend.health.trouble(now).is_none()
        })?;
        self.primary_id = Some(other.server.id.clone());
        self.without_primary_since = None;
        self.primary_id.clone()
    }

    /// Reports whether there is an assumed primary and it is not `server`.
    #[must_use]
    pub fn has_other_primary(&self, server: &Name) -> bool {
        self.primary_id.as_ref().is_some_and(|id| id != server)
    }

    /// Reports whether a commit that this host has sent to a server has no response yet, although the
    /// server works.
    #[must_use]
    pub fn awaits_commit(&self, now: Instant) -> bool {
        let mut working = self
            .backends
            .values()
            .filter(|it| it.health.trouble(now).is_none());
        working.any(|backend| backend.health.has_outstanding_commit())
    }

    /// Reports whether a commit that this host has sent to a server has no response yet.
    #[must_use]
    pub fn has_outstanding_commit(&self) -> bool {
        let mut backends = self.backends.values();
        backends.any(|backend| backend.health.has_outstanding_commit())
    }

    /// Reports whether the assumed primary was promoted a short time ago and has not proved to be the
    /// primary yet.
    fn is_being_promoted(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PROMOTION_GRACE;
        self.succession.is_some() && self.promoted_at.is_some_and(is_recent)
    }

    /// Returns the assumed primary, if there is one.
    #[must_use]
    pub fn primary(&self) -> Option<&Backend<D>> {
        self.backends.get(self.primary_id.as_ref()?)
    }

    /// Returns the servers as candidates for the statements that wait now. Whether a connection is
    /// available depends on the account of a statement, see [`Self::set_account`]. A draining
    /// primary is usable for `drain_window`.
    #[must_use]
    pub fn candidates(&self, zone: &Name, drain_window: Duration, now: Instant) -> Vec<Candidate> {
        let backends = self.backends.values();
        let candidates = backends.map(|backend| self.candidate(backend, zone, drain_window, now));
        candidates.collect()
    }

    /// Returns one server of this group as a candidate, see [`Self::candidates`].
    #[must_use]
    pub fn candidate(
        &self,
        backend: &Backend<D>,
        zone: &Name,
        drain_window: Duration,
        now: Instant,
    ) -> Candidate {
        Candidate {
            id: backend.server.id.clone(),
            is_primary: self.is_primary(backend),
            is_same_zone: backend.server.zone == *zone,
            is_usable: backend.health.is_usable(now)
                && self.is_in_service(backend, drain_window, now)
                && backend.accepts(now)
                && (self.is_primary(backend) || !backend.is_ejected(now)),
            availability: Availability::Exhausted,
            running: backend.running,
            max_running: backend.max_running(self.is_primary(backend), now),
            slowness_percent: backend.slowness_percent(now),
            applied: backend.health.applied,
            recent_lag: backend.health.recent_lag(now),
        }
    }

    fn is_primary(&self, backend: &Backend<D>) -> bool {
        self.primary_id.as_ref() == Some(&backend.server.id)
    }

    /// Reports whether a server is not draining. A draining primary runs statements until another
    /// server is the primary, but no longer than `drain_window`.
    fn is_in_service(&self, backend: &Backend<D>, drain_window: Duration, now: Instant) -> bool {
        backend.draining_since.is_none_or(|since| {
            self.is_primary(backend) && now.saturating_duration_since(since) < drain_window
        })
    }

    /// Reports whether statements may wait for a server: it may get new ones now, or is only paused
    /// for a moment, for example because it had no free slot.
    #[must_use]
    pub fn is_awaited(&self, backend: &Backend<D>, drain_window: Duration, now: Instant) -> bool {
        let health = &backend.health;
        let is_paused = health.trouble(now).is_none();
        self.is_in_service(backend, drain_window, now) && (health.is_usable(now) || is_paused)
    }

    /// Returns the servers for which statements may wait, as far as this host knows, and whether each
    /// is the assumed primary. The assumed primary is always among them.
    pub fn awaited(
        &self,
        drain_window: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (&Backend<D>, bool)> + Clone {
        let backends = self.backends.values().map(|it| (it, self.is_primary(it)));
        backends.filter(move |(backend, is_primary)| {
            *is_primary || self.is_awaited(backend, drain_window, now)
        })
    }

    /// Reports whether a server of a zone is registered.
    #[must_use]
    pub fn has_server_in(&self, zone: &Name) -> bool {
        let mut servers = self.backends.values();
        servers.any(|backend| backend.server.zone == *zone)
    }

    /// Reports whether a server of a zone has a free slot, out of the candidates of this group.
    #[must_use]
    pub fn has_free_slot_in(&self, zone: &Name, candidates: &[Candidate]) -> bool {
        let mut servers = self.backends.values().zip(candidates);
        servers.any(|(backend, it)| backend.server.zone == *zone && it.has_free_slot())
    }

    /// Sets what depends on the statement in the candidates of this group: the connections that are
    /// available to its account, the replica `avoid` that rejected it, and the zone in which it is to
    /// run.
    pub fn set_account(
        &self,
        candidates: &mut [Candidate],
        account: &Name,
        avoid: Option<&Name>,
        zone: Option<&Name>,
        now: Instant,
    ) {
        for (candidate, backend) in candidates.iter_mut().zip(self.backends.values()) {
            let is_avoided = !candidate.is_primary && avoid == Some(&candidate.id);
            candidate.availability = if zone.is_some_and(|zone| backend.server.zone != *zone) {
                Availability::OtherZone
            } else if is_avoided {
                Availability::Avoided
            } else if candidate.has_free_slot() {
                backend.availability(account, now)
            } else {
                Availability::Exhausted
            };
        }
    }
}
