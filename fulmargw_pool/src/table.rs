//! Shared tables: waiting jobs, and backend servers with their connections.

use crate::{
    backend::{Registry, Role, Server},
    belief::Belief,
    connection::Connection,
    dialect::Dialect,
    freshness::Freshness,
    job::Job,
    routing::{Room, View},
};
use fulmargw_decision::queue::{Bound, Queue};
use fulmargw_model::{name::Name, position::Position, work::Key};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Time for which a server whose promotion was ordered may still say that it does not lead.
pub const TAKEOVER_TIME: Duration = Duration::from_secs(4);

/// Time without a statement after which a host gives a service up to the holder, which needs the
/// connections.
pub const HOLD_TIME: Duration = Duration::from_millis(250);

/// Waiting jobs, by service.
#[derive(Debug)]
pub struct Queues<D: Dialect> {
    bound: Bound,
    services: BTreeMap<Name, Queue<Job<D>>>,
    /// Jobs of open transactions, which already have their connections.
    pub held: VecDeque<Job<D>>,
    /// Service that is looked at first, so that none is starved.
    turn: usize,
}

impl<D: Dialect> Queues<D> {
    /// Makes empty queues.
    #[must_use]
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            services: BTreeMap::new(),
            held: VecDeque::new(),
            turn: 0,
        }
    }

    /// Returns the queue of a service.
    pub fn service(&mut self, name: &Name) -> &mut Queue<Job<D>> {
        let bound = self.bound;
        self.services
            .entry(name.clone())
            .or_insert_with(|| Queue::new(bound))
    }

    /// Returns the services with waiting jobs, starting at another one each time.
    pub fn turn(&mut self) -> Vec<Name> {
        let waiting = self.services.iter().filter(|(_, queue)| !queue.is_empty());
        let mut names: Vec<Name> = waiting.map(|(name, _)| name.clone()).collect();
        if !names.is_empty() {
            self.turn = (self.turn + 1) % names.len();
            names.rotate_left(self.turn);
        }
        names
    }

    /// Returns the number of waiting jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        let waiting: usize = self.services.values().map(Queue::len).sum();
        waiting + self.held.len()
    }

    /// Reports whether no job waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

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

/// One backend server.
#[derive(Debug)]
pub struct Member<D: Dialect> {
    /// What the registry says of it.
    pub server: Server,
    /// What its answers say of it.
    pub belief: Belief,
    /// Time since which the registry says that it will leave.
    pub draining: Option<Instant>,
    /// Statements of this host that run there.
    pub running: u32,
    /// Connections that are open or about to be.
    pub open: u32,
    /// What this host may use of it.
    pub shares: Shares,
    /// Whether this host holds the service.
    is_held: bool,
    idle: Vec<Connection<D>>,
}

/// What this host may use of a server, by whether it holds the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shares {
    /// While it runs statements of the service.
    pub holder: Share,
    /// While another host does.
    pub standby: Share,
}

/// What one host may use of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Most connections.
    pub connections: u32,
    /// Most statements at the same time.
    pub running: u32,
}

/// A connection to use, or the permission to open one.
#[derive(Debug)]
pub enum Lent<D: Dialect> {
    /// An idle connection.
    Idle(Box<Connection<D>>),
    /// A connection has to be opened; the idle one that it replaces is closed first.
    Open(Option<Box<Connection<D>>>),
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
        drain_use: Duration,
        now: Instant,
    ) -> Vec<View> {
        // A leaving primary serves until another one leads, but not beyond its time.
        let stays = |member: &Member<D>| {
            member.draining.is_none_or(|since| {
                self.lead.as_ref() == Some(&member.server.id)
                    && now.saturating_duration_since(since) < drain_use
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

impl<D: Dialect> Member<D> {
    fn new(server: Server, shares: Shares, is_held: bool) -> Self {
        Self {
            draining: server.is_draining.then(Instant::now),
            server,
            belief: Belief::new(),
            running: 0,
            open: 0,
            shares,
            is_held,
            idle: Vec::new(),
        }
    }

    /// Takes a newer entry of the registry; another life or address closes idle connections.
    fn replace(&mut self, server: Server) {
        let is_other = server.address != self.server.address
            || server.born_unix_ms != self.server.born_unix_ms;
        if is_other {
            self.close_idle();
            self.belief = Belief::new();
        }
        if server.is_draining {
            self.draining.get_or_insert_with(Instant::now);
        } else {
            self.draining = None;
        }
        self.server = server;
    }

    /// Returns what this host may use of the server now.
    #[must_use]
    pub fn share(&self) -> Share {
        if self.is_held {
            self.shares.holder
        } else {
            self.shares.standby
        }
    }

    fn room(&self, account: &Name, now: Instant) -> Room {
        if self.idle.iter().any(|idle| idle.account == *account) {
            Room::Idle
        } else if !self.belief.may_open(now) {
            Room::Full
        } else if self.open < self.share().connections || !self.idle.is_empty() {
            Room::Opening
        } else {
            Room::Full
        }
    }

    /// Lends a connection of an account, or the permission to open one.
    pub fn lend(&mut self, account: &Name) -> Option<Lent<D>> {
        while let Some(place) = self.idle.iter().rposition(|idle| idle.account == *account) {
            let connection = self.idle.remove(place);
            if !connection.is_stale() {
                self.running += 1;
                return Some(Lent::Idle(Box::new(connection)));
            }
            self.open = self.open.saturating_sub(1);
        }
        let replaced = if self.open < self.share().connections {
            self.open += 1;
            None
        } else if self.idle.is_empty() {
            return None;
        } else {
            Some(Box::new(self.idle.remove(0)))
        };
        self.running += 1;
        Some(Lent::Open(replaced))
    }

    /// Takes a connection that no transaction holds, whoever it was opened for.
    pub fn take_any(&mut self) -> Option<Connection<D>> {
        while let Some(connection) = self.idle.pop() {
            if !connection.is_stale() {
                return Some(connection);
            }
            self.open = self.open.saturating_sub(1);
        }
        None
    }

    /// Takes back a connection for later use, or drops it if too many are open.
    ///
    /// Half of the share stays closed while it is not needed: a server counts the connections
    /// of a host that lost power for seconds, and the host needs new ones as soon as it is back.
    pub fn restore(&mut self, connection: Connection<D>) {
        let spare = self.open > self.share().connections.div_ceil(2);
        if !spare {
            self.idle.push(connection);
            return;
        }
        self.open = self.open.saturating_sub(1);
        if !self.idle.is_empty() {
            // The connection that was not used for the longest time goes.
            self.idle.remove(0);
            self.idle.push(connection);
        }
    }

    /// Counts a connection that is closed.
    pub fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Counts a statement that no longer runs.
    pub fn finished(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Closes the idle connections.
    pub fn close_idle(&mut self) {
        let closed = u32::try_from(self.idle.len()).unwrap_or(u32::MAX);
        self.idle.clear();
        self.open = self.open.saturating_sub(closed);
    }
}
