//! Servers of one service, and the log positions that wait for confirmation by a majority.

use crate::table::backend::{Backend, Command, Observation};
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

/// Time for which reads do not wait for a replica again after one has waited in vain for the
/// replica to apply its position.
const LAG_HOLDOFF: Duration = Duration::from_millis(200);

/// Why a position was not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unconfirmed {
    /// A majority promised a greater term first.
    Superseded,
    /// The deadline passed, or the service is no longer configured.
    DeadlinePassed,
}

/// A position that waits for confirmation by a majority.
#[derive(Debug)]
pub struct Pending {
    /// Position to confirm.
    pub position: Position,
    /// Channel for the result.
    pub reply: oneshot::Sender<Result<(), Unconfirmed>>,
}

/// The primary of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Primary {
    /// Name of the server.
    pub server: Name,
    /// Term of the primary.
    pub term: Term,
}

/// The servers of one service.
#[derive(Debug)]
pub struct Group<K> {
    /// Servers in the order of the configuration.
    pub backends: Vec<Backend<K>>,
    /// Number of servers that make a majority.
    pub majority: usize,
    /// Greatest term of a primary in any observation; primaries of earlier terms were replaced.
    pub latest_term: Term,
    /// Positions of the primary over time.
    pub history: History,
    /// Positions that wait for confirmation by a majority.
    pub pending: Vec<Pending>,
    /// Wakes tasks that wait for a change of the group.
    pub changed: Arc<Notify>,
}

impl<K> Group<K> {
    /// Creates a group without servers.
    pub fn new() -> Self {
        Self {
            backends: Vec::new(),
            majority: 1,
            latest_term: Term(0),
            history: History::new(1),
            pending: Vec::new(),
            changed: Arc::new(Notify::new()),
        }
    }

    /// Applies the servers of a service, and returns the new ones with the receivers of their
    /// commands.
    pub fn apply(&mut self, service: &Service) -> Vec<(Name, mpsc::UnboundedReceiver<Command>)> {
        let old_names = self.names();
        self.backends.retain_mut(|backend| {
            let configured = service.server(&backend.server.name);
            let kept = configured.is_some_and(|it| it.address == backend.server.address);
            if !kept {
                backend.stop.cancel();
            }
            kept
        });
        let mut added = Vec::new();
        for server in &service.servers {
            if let Some(backend) = self.backend(&server.name) {
                backend.server = server.clone();
                backend.wake_pool.notify_one();
                continue;
            }
            let (sender, receiver) = mpsc::unbounded_channel();
            self.backends.push(Backend::new(server.clone(), sender));
            added.push((server.name.clone(), receiver));
        }
        self.majority = service.majority();
        if self.names() != old_names {
            self.history = History::new(self.majority);
        }
        self.changed.notify_waiters();
        added
    }

    fn names(&self) -> Vec<Name> {
        let names = self.backends.iter();
        names.map(|backend| backend.server.name.clone()).collect()
    }

    /// Stops the tasks of all servers.
    pub fn stop(&mut self) {
        for backend in &self.backends {
            backend.stop.cancel();
        }
        self.changed.notify_waiters();
    }

    /// Returns a server.
    pub fn backend(&mut self, server: &Name) -> Option<&mut Backend<K>> {
        let mut backends = self.backends.iter_mut();
        backends.find(|backend| backend.server.name == *server)
    }

    fn index(&self, server: &Name) -> Option<usize> {
        let mut backends = self.backends.iter();
        backends.position(|backend| backend.server.name == *server)
    }

    /// Returns each server as a candidate for routing.
    pub fn candidates(&self, now: Instant) -> Vec<Candidate<'_>> {
        let backends = self.backends.iter();
        backends
            .map(|backend| self.candidate(backend, now))
            .collect()
    }

    fn candidate<'a>(&'a self, backend: &'a Backend<K>, now: Instant) -> Candidate<'a> {
        let applied = backend.status().map(|status| status.applied);
        let replaced = backend
            .status()
            .is_some_and(|status| status.role == Role::Primary && status.term < self.latest_term);
        let recently_lagged = backend
            .lagged_at
            .is_some_and(|lagged_at| now.saturating_duration_since(lagged_at) < LAG_HOLDOFF);
        let expected_lag = match (applied, backend.observation) {
            (Some(applied), Some(observation)) if !recently_lagged => {
                self.history.lag(applied, observation.requested_at)
            }
            _ => Duration::MAX,
        };
        Candidate {
            zone: &backend.server.zone,
            draining: backend.server.leaving,
            responsive: backend.reachability == Reachability::Answering && !replaced,
            status: backend.status(),
            status_age: backend.observation.map_or(Duration::MAX, |observation| {
                now.saturating_duration_since(observation.requested_at)
            }),
            staleness: backend
                .status()
                .and_then(|status| self.max_staleness(&status, now)),
            expected_lag,
            running: backend.load.running,
            free_slots: backend.server.slots.saturating_sub(backend.load.running),
        }
    }

    /// Returns an upper bound of the age of a server's data; `None` if unknown.
    pub fn max_staleness(&self, status: &Status, now: Instant) -> Option<Duration> {
        match status.role {
            Role::Primary => self.history.primary_proof_age(status.term, now),
            Role::Replica => self.history.max_staleness(status.applied, now),
        }
    }

    /// Returns the primary that accepts writes, if one is known.
    pub fn primary(&self) -> Option<Primary> {
        let candidates = self.candidates(Instant::now());
        let backend = &self.backends[routing::primary(&candidates)?];
        Some(Primary {
            server: backend.server.name.clone(),
            term: backend.status()?.term,
        })
    }

    /// Records an observation of a server, and updates everything that depends on it: staleness
    /// history, terms of the connections, and pending positions.
    pub fn record_observation(&mut self, server: &Name, observation: Observation) {
        let Some(index) = self.index(server) else {
            return;
        };
        let backend = &mut self.backends[index];
        if backend
            .observation
            .is_some_and(|last| last.requested_at > observation.requested_at)
        {
            return;
        }
        backend.observation = Some(observation);
        if backend.reachability != Reachability::Answering {
            backend.wake_pool.notify_one();
        }
        backend.reachability = Reachability::Answering;
        backend.failing_since = None;
        if observation.status.role == Role::Primary {
            self.latest_term = self.latest_term.max(observation.status.term);
        }
        self.update_history(index, observation);
        self.assign_terms();
        self.complete_pending();
        self.changed.notify_waiters();
    }

    fn update_history(&mut self, index: usize, observation: Observation) {
        let status = observation.status;
        if status.role == Role::Primary && status.promised == status.term {
            let position = Position {
                term: status.term,
                index: status.received.index,
            };
            self.history.record_sample(
                observation.requested_at,
                observation.responded_at,
                position,
            );
        } else {
            self.history
                .record_confirmation(index, observation.requested_at, status.promised);
        }
    }

    /// Marks a server as unreachable, aborts the statements that run on it, and returns its idle
    /// connections, which are already counted as closing.
    pub fn mark_unreachable(&mut self, server: &Name, reachability: Reachability) -> Vec<K> {
        let Some(backend) = self.backend(server) else {
            return Vec::new();
        };
        backend.reachability = reachability;
        backend.abort_running();
        let closed = backend.close_idle();
        self.changed.notify_waiters();
        closed
    }

    /// Assigns each server the term to which its new work connections are bound.
    ///
    /// A server that is about to be promoted keeps its coming term until another server is the
    /// primary of that term or a later one.
    fn assign_terms(&mut self) {
        let backends: Vec<_> = self
            .backends
            .iter()
            .map(Backend::promotion_backend)
            .collect();
        let latest_primary = promotion::latest_primary(&backends);
        let primary_status =
            latest_primary.and_then(|latest_primary| backends[latest_primary].status);
        let Some(term) = primary_status.map(|status| status.term) else {
            return;
        };
        for (index, backend) in self.backends.iter_mut().enumerate() {
            let is_primary = latest_primary == Some(index);
            let assigned = if is_primary { term } else { Term(0) };
            let keeps_coming_term = !is_primary && backend.primary_term > term;
            if keeps_coming_term || backend.primary_term == assigned {
                continue;
            }
            if backend.primary_term != Term(0) {
                backend.abort_running();
            }
            backend.primary_term = assigned;
            backend.wake_pool.notify_one();
        }
    }

    /// Has the pool open connections for `term` to the server that is about to become the
    /// primary of that term; term 0 undoes it.
    pub fn prepare_promotion(&mut self, server: &Name, term: Term) {
        if let Some(backend) = self.backend(server) {
            backend.primary_term = term;
            backend.wake_pool.notify_one();
        }
    }

    /// Adds a position that waits for confirmation by a majority.
    pub fn add_pending(&mut self, pending: Pending) {
        self.pending.push(pending);
        self.complete_pending();
        if !self.pending.is_empty() {
            for backend in &self.backends {
                backend.wake_monitor.notify_one();
            }
        }
    }

    /// Returns the greatest pending position that a replica has not received yet, if any.
    pub fn next_pending_position(&self, server: &Name) -> Option<Position> {
        let index = self.index(server)?;
        let status = self.backends[index].status()?;
        if status.role == Role::Primary {
            return None;
        }
        let missing = |pending: &&Pending| {
            let position = pending.position;
            !pending.reply.is_closed()
                && status.promised <= position.term
                && !holds(&status, position)
        };
        let positions = self.pending.iter().filter(missing).map(|it| it.position);
        positions.max_by_key(|position| (position.term, position.index))
    }

    /// Replies to the pending positions whose result is known.
    fn complete_pending(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let statuses: Vec<_> = self.backends.iter().filter_map(Backend::status).collect();
        let majority = self.majority;
        let pending = mem::take(&mut self.pending);
        for waiting in pending {
            match confirmation(&statuses, majority, waiting.position) {
                Some(result) => {
                    // If the receiver is dropped, nobody waits for the result.
                    let _ = waiting.reply.send(result);
                }
                None if waiting.reply.is_closed() => {}
                None => self.pending.push(waiting),
            }
        }
    }
}

/// Reports whether a replica durably holds the log entry at a position, as the primary of the
/// position's term wrote it.
///
/// The last log entry of the replica must be of the same term: a log that ends in a later term
/// need not contain an entry that was never acknowledged.
fn holds(status: &Status, position: Position) -> bool {
    status.role == Role::Replica
        && status.received.term == position.term
        && status.received.index >= position.index
        && status.promised <= position.term
}

/// Returns whether a majority, the primary included, holds a position; `None` if that is not
/// decided yet.
fn confirmation(
    statuses: &[Status],
    majority: usize,
    position: Position,
) -> Option<Result<(), Unconfirmed>> {
    let holding = statuses.iter().filter(|status| holds(status, position));
    if holding.count() + 1 >= majority {
        return Some(Ok(()));
    }
    let promised_later = statuses.iter();
    let promised_later = promised_later.filter(|status| status.promised > position.term);
    (promised_later.count() >= majority).then_some(Err(Unconfirmed::Superseded))
}
