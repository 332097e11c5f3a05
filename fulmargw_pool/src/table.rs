//! Shared tables: waiting jobs, and backend servers with their connections.

mod backend;
mod queues;

pub use self::{
    backend::{Backend, Checkout, Share, Shares},
    queues::Queues,
};
use crate::{
    backend::{Registry, Role, Server},
    dialect::Dialect,
    freshness::Freshness,
    routing::Candidate,
};
use fulmargw_model::{execution::ServerId, name::Name, position::Position};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time for which a server whose promotion was ordered may still say that it does not lead.
pub const PROMOTION_GRACE: Duration = Duration::from_secs(4);

/// Time without a statement after which a host gives a service up to the holder, which needs the
/// connections.
pub const HOLDER_IDLE_TIMEOUT: Duration = Duration::from_millis(250);

/// Backend servers by service.
#[derive(Debug)]
pub struct Servers<D: Dialect> {
    /// Groups by the name of their service.
    pub groups: BTreeMap<Name, Group<D>>,
}

/// Backend servers of one service.
#[derive(Debug)]
pub struct Group<D: Dialect> {
    /// Server that is believed to lead.
    pub primary_id: Option<Name>,
    /// Time at which its promotion was ordered, if it was.
    ordered: Option<Instant>,
    /// Samples of the primary's position.
    pub freshness: Freshness,
    /// Position of the primary's log when it last acknowledged a commit, as far as any host told.
    pub acknowledged: Option<Position>,
    /// Time of the last read that needed a sample.
    pub sample_requested: Option<Instant>,
    /// Time of the last statement outside of an open transaction, while this host holds the
    /// service.
    held: Option<Instant>,
    /// Servers by identifier.
    pub backends: BTreeMap<Name, Backend<D>>,
}

impl<D: Dialect> Servers<D> {
    /// Makes an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self {
            groups: BTreeMap::new(),
        }
    }

    /// Returns a server.
    pub fn backend(&mut self, key: &ServerId) -> Option<&mut Backend<D>> {
        let group = self.groups.get_mut(&key.service)?;
        group.backends.get_mut(&key.server)
    }

    /// Brings the table in line with the registry and returns the changes of health.
    pub fn reconcile(
        &mut self,
        registry: &Registry,
        shares: impl Fn(&Server) -> Shares,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for server in registry.values() {
            let group = self.groups.entry(server.service.clone()).or_default();
            group.update(server, shares(server), &mut changes);
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
            group.forget_lead(&mut changes);
        }
        changes
    }
}

impl<D: Dialect> Default for Servers<D> {
    fn default() -> Self {
        Self::new()
    }
}

/// A change of what the host believes of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It is registered.
    Added(Server),
    /// Its state, address or life changed.
    Changed(Server),
    /// It is no longer registered.
    Removed(Server),
    /// It is believed to lead from now on.
    PrimaryChanged(Server),
    /// It led and is gone.
    PrimaryRemoved(Name),
}

impl<D: Dialect> Default for Group<D> {
    fn default() -> Self {
        Self {
            primary_id: None,
            ordered: None,
            freshness: Freshness::default(),
            acknowledged: None,
            sample_requested: None,
            held: None,
            backends: BTreeMap::new(),
        }
    }
}

impl<D: Dialect> Group<D> {
    fn update(&mut self, server: &Server, shares: Shares, changes: &mut Vec<Change>) {
        let became_primary = match self.backends.get_mut(&server.id) {
            None => {
                let backend = Backend::new(server.clone(), shares, self.held.is_some());
                self.backends.insert(server.id.clone(), backend);
                changes.push(Change::Added(server.clone()));
                server.role == Role::Primary && self.primary_id.is_none()
            }
            Some(backend) => {
                backend.shares = shares;
                if backend.server == *server {
                    return;
                }
                let became = server.role == Role::Primary && backend.server.role != Role::Primary;
                backend.replace(server.clone());
                changes.push(Change::Changed(server.clone()));
                became
            }
        };
        if became_primary && self.primary_id.as_ref() != Some(&server.id) {
            self.primary_id = Some(server.id.clone());
            changes.push(Change::PrimaryChanged(server.clone()));
        }
    }

    /// Notes the position of the primary's log after it acknowledged a commit.
    pub fn acknowledge(&mut self, position: Position) {
        let known = self.acknowledged.unwrap_or_default();
        self.acknowledged = Some(known.join(position));
    }

    /// Notes that this host runs a statement of the service, which makes it the holder.
    pub fn record_use(&mut self, now: Instant) {
        if self.held.replace(now).is_none() {
            self.backends
                .values_mut()
                .for_each(|backend| backend.is_held = true);
        }
    }

    /// Reports whether this host held the service, and no statements came for a time.
    #[must_use]
    pub fn is_unused(&self, now: Instant) -> bool {
        self.held
            .is_some_and(|at| now.saturating_duration_since(at) >= HOLDER_IDLE_TIMEOUT)
    }

    /// Closes the connections that a holder needs.
    pub fn release(&mut self) {
        self.held = None;
        for backend in self.backends.values_mut() {
            backend.is_held = false;
            backend.close_idle();
        }
    }

    fn forget_lead(&mut self, changes: &mut Vec<Change>) {
        let Some(lead) = self.primary_id.clone() else {
            return;
        };
        if self.backends.contains_key(&lead) {
            return;
        }
        changes.push(Change::PrimaryRemoved(lead));
        self.primary_id = self
            .backends
            .values()
            .find(|backend| backend.server.role == Role::Primary)
            .map(|backend| backend.server.id.clone());
    }

    /// Believes that a server leads because its promotion was ordered. Returns whether that is
    /// new.
    pub fn set_promoted(&mut self, server: &Name, now: Instant) -> bool {
        let changes =
            self.backends.contains_key(server) && self.primary_id.as_ref() != Some(server);
        if changes {
            self.primary_id = Some(server.clone());
            self.ordered = Some(now);
        }
        changes
    }

    /// Notes that a server which was believed to lead does not, and returns the server that
    /// registered as the primary, if another one did.
    pub fn reject_primary(&mut self, server: &Name, now: Instant) -> Option<Name> {
        let taking_over = self
            .ordered
            .is_some_and(|at| now.saturating_duration_since(at) < PROMOTION_GRACE);
        if self.primary_id.as_ref() != Some(server) || taking_over {
            return None;
        }
        let other = self.backends.values().find(|backend| {
            let registered = backend.server.role == Role::Primary && backend.server.id != *server;
            registered && backend.health.trouble(now).is_none()
        })?;
        self.primary_id = Some(other.server.id.clone());
        self.primary_id.clone()
    }

    /// Returns the primary, if one is known.
    #[must_use]
    pub fn primary(&self) -> Option<&Backend<D>> {
        self.backends.get(self.primary_id.as_ref()?)
    }

    /// Returns the servers as routing sees them, for work of an account.
    #[must_use]
    pub fn candidates(
        &self,
        zone: &Name,
        account: &Name,
        drain_window: Duration,
        now: Instant,
    ) -> Vec<Candidate> {
        // A leaving primary serves until another one leads, but not beyond its time.
        let stays = |backend: &Backend<D>| {
            backend.draining.is_none_or(|since| {
                self.primary_id.as_ref() == Some(&backend.server.id)
                    && now.saturating_duration_since(since) < drain_window
            })
        };
        let candidate = |backend: &Backend<D>| Candidate {
            id: backend.server.id.clone(),
            is_primary: self.primary_id.as_ref() == Some(&backend.server.id),
            is_same_zone: backend.server.zone == *zone,
            is_usable: backend.health.is_usable(now) && stays(backend),
            availability: backend.availability(account, now),
            running: backend.running,
            max_running: backend.share().running,
            applied: backend.health.applied,
            recent_lag: backend.health.recent_lag(now),
        };
        self.backends.values().map(candidate).collect()
    }
}
