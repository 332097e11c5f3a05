//! Shared tables: waiting jobs, and backend servers with their connections.

mod member;
mod queues;

pub use self::{
    member::{Lent, Member, Share, Shares},
    queues::Queues,
};
use crate::{
    backend::{Registry, Role, Server},
    dialect::Dialect,
    freshness::Freshness,
    routing::View,
};
use fulmargw_model::{name::Name, position::Position, work::Key};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time for which a server whose promotion was ordered may still say that it does not lead.
pub const TAKEOVER_TIME: Duration = Duration::from_secs(4);

/// Time without a statement after which a host gives a service up to the holder, which needs the
/// connections.
pub const HOLD_TIME: Duration = Duration::from_millis(250);

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
    pub lead: Option<Name>,
    /// Time at which its promotion was ordered, if it was.
    ordered: Option<Instant>,
    /// Samples of the primary's position.
    pub freshness: Freshness,
    /// Position of the primary's log when it last acknowledged a commit, as far as any host told.
    pub acknowledged: Option<Position>,
    /// Time of the last read that needed a sample.
    pub demanded: Option<Instant>,
    /// Time of the last statement outside of an open transaction, while this host holds the
    /// service.
    held: Option<Instant>,
    /// Servers by identifier.
    pub members: BTreeMap<Name, Member<D>>,
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
    pub fn member(&mut self, key: &Key) -> Option<&mut Member<D>> {
        let group = self.groups.get_mut(&key.service)?;
        group.members.get_mut(&key.server)
    }

    /// Brings the table in line with the registry and returns the changes of belief.
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
            group.members.retain(|id, member| {
                let kept = registry
                    .get(id)
                    .is_some_and(|server| server.service == member.server.service);
                if !kept {
                    changes.push(Change::Gone(member.server.clone()));
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
    Gone(Server),
    /// It is believed to lead from now on.
    Leads(Server),
    /// It led and is gone.
    LeadGone(Name),
}

impl<D: Dialect> Default for Group<D> {
    fn default() -> Self {
        Self {
            lead: None,
            ordered: None,
            freshness: Freshness::default(),
            acknowledged: None,
            demanded: None,
            held: None,
            members: BTreeMap::new(),
        }
    }
}

impl<D: Dialect> Group<D> {
    fn update(&mut self, server: &Server, shares: Shares, changes: &mut Vec<Change>) {
        let became_primary = match self.members.get_mut(&server.id) {
            None => {
                let member = Member::new(server.clone(), shares, self.held.is_some());
                self.members.insert(server.id.clone(), member);
                changes.push(Change::Added(server.clone()));
                server.role == Role::Primary && self.lead.is_none()
            }
            Some(member) => {
                member.shares = shares;
                if member.server == *server {
                    return;
                }
                let became = server.role == Role::Primary && member.server.role != Role::Primary;
                member.replace(server.clone());
                changes.push(Change::Changed(server.clone()));
                became
            }
        };
        if became_primary && self.lead.as_ref() != Some(&server.id) {
            self.lead = Some(server.id.clone());
            changes.push(Change::Leads(server.clone()));
        }
    }

    /// Notes the position of the primary's log after it acknowledged a commit.
    pub fn acknowledge(&mut self, position: Position) {
        let known = self.acknowledged.unwrap_or_default();
        self.acknowledged = Some(known.join(position));
    }

    /// Notes that this host runs a statement of the service, which makes it the holder.
    pub fn hold(&mut self, now: Instant) {
        if self.held.replace(now).is_none() {
            self.members
                .values_mut()
                .for_each(|member| member.is_held = true);
        }
    }

    /// Reports whether this host held the service, and no statements came for a time.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        self.held
            .is_some_and(|at| now.saturating_duration_since(at) >= HOLD_TIME)
    }

    /// Closes the connections that a holder needs.
    pub fn yield_service(&mut self) {
        self.held = None;
        for member in self.members.values_mut() {
            member.is_held = false;
            member.close_idle();
        }
    }

    fn forget_lead(&mut self, changes: &mut Vec<Change>) {
        let Some(lead) = self.lead.clone() else {
            return;
        };
        if self.members.contains_key(&lead) {
            return;
        }
        changes.push(Change::LeadGone(lead));
        self.lead = self
            .members
            .values()
            .find(|member| member.server.role == Role::Primary)
            .map(|member| member.server.id.clone());
    }

    /// Believes that a server leads because its promotion was ordered. Returns whether that is
    /// new.
    pub fn order(&mut self, server: &Name, now: Instant) -> bool {
        let changes = self.members.contains_key(server) && self.lead.as_ref() != Some(server);
        if changes {
            self.lead = Some(server.clone());
            self.ordered = Some(now);
        }
        changes
    }

    /// Notes that a server which was believed to lead does not, and returns the server that
    /// registered as the primary, if another one did.
    pub fn refuted(&mut self, server: &Name, now: Instant) -> Option<Name> {
        let taking_over = self
            .ordered
            .is_some_and(|at| now.saturating_duration_since(at) < TAKEOVER_TIME);
        if self.lead.as_ref() != Some(server) || taking_over {
            return None;
        }
        let other = self.members.values().find(|member| {
            let registered = member.server.role == Role::Primary && member.server.id != *server;
            registered && member.belief.trouble(now).is_none()
        })?;
        self.lead = Some(other.server.id.clone());
        self.lead.clone()
    }

    /// Returns the primary, if one is known.
    #[must_use]
    pub fn primary(&self) -> Option<&Member<D>> {
        self.members.get(self.lead.as_ref()?)
    }

    /// Returns the servers as routing sees them, for work of an account.
    #[must_use]
    pub fn views(
        &self,
        zone: &Name,
        account: &Name,
        drain_window: Duration,
        now: Instant,
    ) -> Vec<View> {
        // A leaving primary serves until another one leads, but not beyond its time.
        let stays = |member: &Member<D>| {
            member.draining.is_none_or(|since| {
                self.lead.as_ref() == Some(&member.server.id)
                    && now.saturating_duration_since(since) < drain_window
            })
        };
        let view = |member: &Member<D>| View {
            id: member.server.id.clone(),
            is_primary: self.lead.as_ref() == Some(&member.server.id),
            is_near: member.server.zone == *zone,
            is_usable: member.belief.is_usable(now) && stays(member),
            room: member.room(account, now),
            running: member.running,
            limit: member.share().running,
            applied: member.belief.applied,
            lacked: member.belief.recent_lack(now),
        };
        self.members.values().map(view).collect()
    }
}
