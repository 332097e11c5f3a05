//! The servers of one service, and the writes that wait for a majority of them.

use crate::table::backend::{Backend, Observation, Order};
use fulmargw_decision::{
    promotion::{self, Reachability},
    routing::{self, Candidate},
    staleness::History,
};
use fulmargw_model::{
    backend_server::{Role, Status},
    name::Name,
    position::{Position, Term},
    service::Service,
};
use std::{mem, sync::Arc, time::Duration};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::Instant,
};

/// Time for which a replica is not expected to catch up after a read waited for it in vain.
const BEHIND: Duration = Duration::from_millis(200);

/// Why a position was not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unconfirmed {
    /// A majority promised a greater term first.
    Superseded,
    /// The deadline passed.
    Late,
}

/// A position that waits for a majority.
#[derive(Debug)]
pub struct Pending {
    /// Position to confirm.
    pub position: Position,
    /// Where the result goes.
    pub reply: oneshot::Sender<Result<(), Unconfirmed>>,
}

/// The primary of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Primary {
    /// Name of the server.
    pub server: Name,
    /// Its term.
    pub term: Term,
}

/// The servers of one service.
#[derive(Debug)]
pub struct Group<K> {
    /// Servers in the order of the configuration.
    pub backends: Vec<Backend<K>>,
    /// Number of members that make a majority.
    pub majority: usize,
    /// Greatest term of a primary that was seen; primaries of earlier terms are replaced.
    pub reign: Term,
    /// Positions of the primary over time.
    pub history: History,
    /// Positions that wait for a majority.
    pub pending: Vec<Pending>,
    /// Wakes tasks that wait for a change of the group.
    pub changed: Arc<Notify>,
}

impl<K> Group<K> {
    /// Makes a group without servers.
    pub fn new() -> Self {
        Self {
            backends: Vec::new(),
            majority: 1,
            reign: Term(0),
            history: History::new(1),
            pending: Vec::new(),
            changed: Arc::new(Notify::new()),
        }
    }

    /// Takes over the servers of a service and returns the new ones.
    pub fn apply(&mut self, service: &Service) -> Vec<(Name, mpsc::UnboundedReceiver<Order>)> {
        let before = self.names();
        self.backends.retain_mut(|member| {
            let configured = service.server(&member.server.name);
            let kept = configured.is_some_and(|it| it.address == member.server.address);
            if !kept {
                member.stop.cancel();
            }
            kept
        });
        let mut added = Vec::new();
        for server in &service.servers {
            if let Some(member) = self.backend(&server.name) {
                member.server = server.clone();
                member.refill.notify_one();
                continue;
            }
            let (orders, inbox) = mpsc::unbounded_channel();
            self.backends.push(Backend::new(server.clone(), orders));
            added.push((server.name.clone(), inbox));
        }
        self.majority = service.majority();
        if self.names() != before {
            self.history = History::new(self.majority);
        }
        self.changed.notify_waiters();
        added
    }

    fn names(&self) -> Vec<Name> {
        let names = self.backends.iter();
        names.map(|member| member.server.name.clone()).collect()
    }

    /// Stops the tasks of all servers.
    pub fn stop(&mut self) {
        for member in &self.backends {
            member.stop.cancel();
        }
        self.changed.notify_waiters();
    }

    /// Returns a server.
    pub fn backend(&mut self, server: &Name) -> Option<&mut Backend<K>> {
        let mut members = self.backends.iter_mut();
        members.find(|member| member.server.name == *server)
    }

    fn index(&self, server: &Name) -> Option<usize> {
        let mut members = self.backends.iter();
        members.position(|member| member.server.name == *server)
    }

    /// Returns what routing needs of each server.
    pub fn views(&self, now: Instant) -> Vec<Candidate<'_>> {
        let views = self.backends.iter();
        views.map(|member| self.view(member, now)).collect()
    }

    fn view<'a>(&'a self, member: &'a Backend<K>, now: Instant) -> Candidate<'a> {
        let applied = member.status().map(|status| status.applied);
        let replaced = member
            .status()
            .is_some_and(|status| status.role == Role::Primary && status.term < self.reign);
        let hopeless = member
            .behind
            .is_some_and(|behind| now.saturating_duration_since(behind) < BEHIND);
        let wait = match (applied, member.seen) {
            (Some(applied), Some(seen)) if !hopeless => self.history.lag(applied, seen.asked),
            _ => Duration::MAX,
        };
        Candidate {
            zone: &member.server.zone,
            draining: member.server.leaving,
            responsive: member.reach == Reachability::Answering && !replaced,
            status: member.status(),
            status_age: member.seen.map_or(Duration::MAX, |seen| {
                now.saturating_duration_since(seen.asked)
            }),
            staleness: member.status().and_then(|status| self.bound(&status, now)),
            expected_lag: wait,
            running: member.load.running,
            free_slots: member.server.slots.saturating_sub(member.load.running),
        }
    }

    /// Returns an upper bound of the age of a server's data.
    pub fn bound(&self, status: &Status, now: Instant) -> Option<Duration> {
        match status.role {
            Role::Primary => self.history.primary_proof_age(status.term, now),
            Role::Replica => self.history.max_staleness(status.applied, now),
        }
    }

    /// Returns the primary that accepts writes.
    pub fn primary(&self) -> Option<Primary> {
        let views = self.views(Instant::now());
        let member = &self.backends[routing::primary(&views)?];
        Some(Primary {
            server: member.server.name.clone(),
            term: member.status()?.term,
        })
    }

    /// Stores a status and decides what it proves.
    pub fn store(&mut self, server: &Name, seen: Observation) {
        let Some(index) = self.index(server) else {
            return;
        };
        let member = &mut self.backends[index];
        if member.seen.is_some_and(|last| last.asked > seen.asked) {
            return;
        }
        member.seen = Some(seen);
        if member.reach != Reachability::Answering {
            member.refill.notify_one();
        }
        member.reach = Reachability::Answering;
        member.failing = None;
        if seen.status.role == Role::Primary {
            self.reign = self.reign.max(seen.status.term);
        }
        self.sample(index, seen);
        self.assign();
        self.resolve();
        self.changed.notify_waiters();
    }

    fn sample(&mut self, index: usize, seen: Observation) {
        let status = seen.status;
        if status.role == Role::Primary && status.promised == status.term {
            let position = Position {
                term: status.term,
                index: status.received.index,
            };
            self.history
                .record_sample(seen.asked, seen.answered, position);
        } else {
            self.history
                .record_confirmation(index, seen.asked, status.promised);
        }
    }

    /// Notes that a server cannot be reached.
    pub fn lose(&mut self, server: &Name, reach: Reachability) -> Vec<K> {
        let Some(member) = self.backend(server) else {
            return Vec::new();
        };
        member.reach = reach;
        member.cut();
        let closed = member.close_idle();
        self.changed.notify_waiters();
        closed
    }

    /// Tells each server the term of its work connections.
    ///
    /// A server that is about to be promoted keeps its coming term until another server is the
    /// primary of that term or a later one.
    fn assign(&mut self) {
        let views: Vec<_> = self.backends.iter().map(Backend::view).collect();
        let leader = promotion::latest_primary(&views);
        let reigning = leader.and_then(|leader| views[leader].status);
        let Some(term) = reigning.map(|status| status.term) else {
            return;
        };
        for (index, member) in self.backends.iter_mut().enumerate() {
            let leads = leader == Some(index);
            let wanted = if leads { term } else { Term(0) };
            let keeps = !leads && member.term > term;
            if keeps || member.term == wanted {
                continue;
            }
            if member.term != Term(0) {
                member.cut();
            }
            member.term = wanted;
            member.refill.notify_one();
        }
    }

    /// Prepares connections on the server that is about to become the primary of `term`.
    pub fn designate(&mut self, server: &Name, term: Term) {
        if let Some(member) = self.backend(server) {
            member.term = term;
            member.refill.notify_one();
        }
    }

    /// Adds a position that waits for a majority.
    pub fn wait(&mut self, pending: Pending) {
        self.pending.push(pending);
        self.resolve();
        if !self.pending.is_empty() {
            for member in &self.backends {
                member.nudge.notify_one();
            }
        }
    }

    /// Returns the greatest position that a replica could confirm next.
    pub fn pending_for(&self, server: &Name) -> Option<Position> {
        let index = self.index(server)?;
        let status = self.backends[index].status()?;
        if status.role == Role::Primary {
            return None;
        }
        let open = |pending: &&Pending| {
            let position = pending.position;
            !pending.reply.is_closed()
                && status.promised <= position.term
                && !holds(&status, position)
        };
        let positions = self.pending.iter().filter(open).map(|it| it.position);
        positions.max_by_key(|position| (position.term, position.index))
    }

    fn resolve(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let statuses: Vec<_> = self.backends.iter().filter_map(Backend::status).collect();
        let majority = self.majority;
        let pending = mem::take(&mut self.pending);
        for waiting in pending {
            match verdict(&statuses, majority, waiting.position) {
                Some(result) => {
                    // The submitter may have gone; then nobody needs the result.
                    let _ = waiting.reply.send(result);
                }
                None if waiting.reply.is_closed() => {}
                None => self.pending.push(waiting),
            }
        }
    }
}

/// Reports whether a replica durably holds an entry of the primary of the entry's term.
///
/// The term of the last log entry must be equal: a log of a later term need not contain an
/// entry that was never acknowledged.
fn holds(status: &Status, position: Position) -> bool {
    status.role == Role::Replica
        && status.received.term == position.term
        && status.received.index >= position.index
        && status.promised <= position.term
}

fn verdict(
    statuses: &[Status],
    majority: usize,
    position: Position,
) -> Option<Result<(), Unconfirmed>> {
    let holding = statuses.iter().filter(|status| holds(status, position));
    if holding.count() + 1 >= majority {
        return Some(Ok(()));
    }
    let promised = statuses.iter();
    let promised = promised.filter(|status| status.promised > position.term);
    (promised.count() >= majority).then_some(Err(Unconfirmed::Superseded))
}
