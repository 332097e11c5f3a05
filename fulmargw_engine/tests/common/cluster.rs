//! In-memory database group with terms, promises, a replicated log and injected faults.

use fulmargw_backend::connection::{Cancellation, Kind};
use fulmargw_model::{
    backend_server::{Role, Status},
    name::Name,
    position::{Position, Term},
    request::Id,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

/// Time from a commit on the primary until a replica receives the entry.
pub const REPLICATION_DELAY: Duration = Duration::from_millis(3);

/// Handle of a database group that connections of several engines share.
#[derive(Debug, Clone)]
pub struct Cluster(Arc<Mutex<State>>);

#[derive(Debug)]
pub struct State {
    pub nodes: BTreeMap<Name, Node>,
    /// Every commit with its value in order, including those whose log entry was lost later.
    pub commits: Vec<(Id, u64)>,
    /// Number of the next connection.
    pub next_connection: u64,
    /// Connections that never respond again.
    pub unresponsive_connections: BTreeSet<u64>,
    /// Number of coming commits whose response is dropped.
    pub responses_to_drop: u32,
    /// Number of coming writes that are dropped before they run.
    pub requests_to_drop: u32,
    /// Whether a promotion appends a log entry.
    pub logs_promotions: bool,
}

#[derive(Debug)]
pub struct Node {
    pub role: Role,
    pub term: Term,
    pub promised: Term,
    pub log: Vec<Entry>,
    /// Number of log entries that reads see.
    pub applied: usize,
    /// Time from receipt to application of an entry on a replica.
    pub lag: Duration,
    /// Time at which the node last received from a primary.
    pub heard_at: Instant,
    /// Whether the process runs.
    pub alive: bool,
    /// Whether the other nodes can reach the node.
    pub reachable_by_nodes: bool,
    /// Whether hosts can reach the node. If not, messages are lost without an error.
    pub reachable_by_hosts: bool,
    /// Number of times that the process was killed.
    pub incarnation: u32,
    /// Numbers of all connections that were opened to the node.
    pub connection_numbers: Vec<u64>,
    pub connections: u32,
    pub peak_connections: u32,
    pub running: u32,
    pub peak_running: u32,
    /// Time that a statement takes.
    pub run_time: Duration,
    /// Number of statements that the node has run.
    pub statements: u32,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    pub term: Term,
    pub appended_at: Instant,
    pub content: Content,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Content {
    /// Commit of an attempt of a request, with the values that it put.
    Commit(Id, u64, Vec<u64>),
    /// Cancellation of all attempts of a request up to a number.
    Cancel(Id, u64),
    Promotion,
}

impl Cluster {
    /// Creates a group whose first server is the primary of term 1.
    pub fn new(servers: &[&str]) -> Self {
        let node = |(number, name): (usize, &&str)| {
            let role = if number == 0 {
                Role::Primary
            } else {
                Role::Replica
            };
            (Name::new(name), Node::new(role))
        };
        Self(Arc::new(Mutex::new(State {
            nodes: servers.iter().enumerate().map(node).collect(),
            commits: Vec::new(),
            next_connection: 0,
            unresponsive_connections: BTreeSet::new(),
            responses_to_drop: 0,
            requests_to_drop: 0,
            logs_promotions: true,
        })))
    }

    /// Locks the state after replicating everything that is due by now.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        // A test that fails an assertion poisons the lock, and still drops its connections.
        let state = self.0.lock();
        let mut state = state.unwrap_or_else(PoisonError::into_inner);
        state.replicate();
        state
    }

    /// Changes a node; replication up to now follows its old state.
    pub fn change(&self, server: &str, change: impl FnOnce(&mut Node)) {
        change(self.lock().nodes.get_mut(server).unwrap());
    }

    /// Ends the process of a node.
    pub fn kill(&self, server: &str) {
        self.change(server, |node| {
            node.alive = false;
            node.incarnation += 1;
        });
    }

    /// Isolates a node from hosts and the other nodes.
    pub fn partition(&self, server: &str) {
        self.change(server, |node| {
            node.reachable_by_nodes = false;
            node.reachable_by_hosts = false;
        });
    }

    /// Ends every fault; a process that was killed starts again as a replica.
    pub fn heal(&self) {
        let mut state = self.lock();
        for node in state.nodes.values_mut() {
            if !node.alive {
                node.alive = true;
                node.role = Role::Replica;
            }
            node.reachable_by_nodes = true;
            node.reachable_by_hosts = true;
            node.lag = Duration::ZERO;
        }
    }

    /// Makes all connections to a node unresponsive except the first one, which is the control
    /// connection.
    pub fn make_work_connections_unresponsive(&self, server: &str) {
        let mut state = self.lock();
        let numbers = state.nodes[server].connection_numbers.clone();
        state
            .unresponsive_connections
            .extend(numbers.into_iter().skip(1));
    }

    /// Promotes a node as another host would, and commits `value` on it right afterwards.
    pub fn promote(&self, server: &str, term: Term, value: u64) {
        let mut state = self.lock();
        for (name, node) in &mut state.nodes {
            if name.as_str() == server {
                node.role = Role::Primary;
                node.term = term;
                node.append(Content::Promotion);
                node.append(Content::Commit(Id::random(), 1, vec![value]));
            }
            if node.reachable_by_nodes {
                node.promised = term;
            }
        }
    }

    /// Returns the primary of the greatest term.
    pub fn primary(&self) -> Name {
        let state = self.lock();
        let primaries = state.nodes.iter();
        let primaries = primaries.filter(|(_, node)| node.role == Role::Primary);
        primaries
            .max_by_key(|(_, node)| node.term)
            .unwrap()
            .0
            .clone()
    }

    /// Returns the values in the log of the current primary.
    pub fn values(&self) -> Vec<u64> {
        let primary = self.primary();
        let state = self.lock();
        let log = state.nodes[&primary].log.clone();
        values(&log)
    }
}

/// Returns the values that the commits in a log put.
pub fn values(log: &[Entry]) -> Vec<u64> {
    let put = log.iter().filter_map(|entry| match &entry.content {
        Content::Commit(_, _, values) => Some(values.clone()),
        _ => None,
    });
    put.flatten().collect()
}

impl State {
    /// Copies the log of each primary to the nodes that accept it.
    fn replicate(&mut self) {
        let now = Instant::now();
        let replicates =
            |node: &Node| node.role == Role::Primary && node.alive && node.reachable_by_nodes;
        let nodes = self.nodes.iter().filter(|(_, node)| replicates(node));
        let primaries: Vec<_> = nodes
            .map(|(name, node)| (name.clone(), node.term))
            .collect();
        for (name, term) in primaries {
            // The log is moved out during the copy, because cloning it on each call is slow.
            let primary = self.nodes.get_mut(&name).unwrap();
            let log = mem::take(&mut primary.log);
            for node in self.nodes.iter_mut().filter(|(other, _)| **other != name) {
                node.1.receive(term, &log, now);
            }
            self.nodes.get_mut(&name).unwrap().log = log;
        }
        for node in self.nodes.values_mut() {
            node.apply(now);
        }
    }
}

impl Node {
    fn new(role: Role) -> Self {
        Self {
            role,
            term: Term(1),
            promised: Term(1),
            log: Vec::new(),
            applied: 0,
            lag: Duration::ZERO,
            heard_at: Instant::now(),
            alive: true,
            reachable_by_nodes: true,
            reachable_by_hosts: true,
            incarnation: 0,
            connection_numbers: Vec::new(),
            connections: 0,
            peak_connections: 0,
            running: 0,
            peak_running: 0,
            run_time: Duration::ZERO,
            statements: 0,
        }
    }

    /// Receives the log of the primary of `term`, if the node accepts that primary.
    fn receive(&mut self, term: Term, log: &[Entry], now: Instant) {
        let accepts = self.alive && self.reachable_by_nodes && self.promised <= term;
        if !accepts || (self.role == Role::Primary && self.term == term) {
            return;
        }
        let arrived = |entry: &&Entry| entry.appended_at + REPLICATION_DELAY <= now;
        // Two logs with the same entry at an index are equal up to that index.
        let shorter = self.log.len().min(log.len());
        let same = |length: &usize| *length == 0 || self.log[length - 1] == log[length - 1];
        let common = (0..=shorter).rev().find(same).unwrap_or_default();
        // The common prefix is kept, so that the node never loses an entry that it confirmed.
        let new = log[common..].iter().take_while(arrived).cloned();
        self.log.truncate(common);
        self.log.extend(new);
        self.role = Role::Replica;
        self.term = term;
        self.promised = term;
        self.heard_at = now;
    }

    fn apply(&mut self, now: Instant) {
        let lag = if self.role == Role::Primary {
            Duration::ZERO
        } else {
            REPLICATION_DELAY + self.lag
        };
        let kept = self.applied.min(self.log.len());
        let due = self.log[kept..].iter();
        self.applied = kept
            + due
                .take_while(|entry| entry.appended_at + lag <= now)
                .count();
    }

    /// Reports whether the node is the primary of `term` and may write.
    pub fn is_primary_of(&self, term: Term) -> bool {
        self.role == Role::Primary && self.term == term && self.promised == term
    }

    pub fn status(&self) -> Status {
        let position = |length: usize| Position {
            term: self.log[..length]
                .last()
                .map_or(Term(0), |entry| entry.term),
            index: length as u64,
        };
        Status {
            role: self.role,
            term: self.term,
            promised: self.promised,
            received: position(self.log.len()),
            applied: position(self.applied),
            silence: if self.role == Role::Primary {
                Duration::ZERO
            } else {
                self.heard_at.elapsed()
            },
        }
    }

    pub fn append(&mut self, content: Content) -> Position {
        self.log.push(Entry {
            term: self.term,
            appended_at: Instant::now(),
            content,
        });
        self.applied = self.log.len();
        Position {
            term: self.term,
            index: self.log.len() as u64,
        }
    }

    /// Checks whether an attempt may be recorded, as the SQL function `group_record` does.
    pub fn check_record(&self, id: &Id, attempt: u64) -> Result<(), Kind> {
        if let Some(position) = self.committed_position(id) {
            return Err(Kind::Duplicate(position));
        }
        let cancelled = self.log.iter().filter_map(|entry| match &entry.content {
            Content::Cancel(of, number) if of == id => Some(*number),
            _ => None,
        });
        match cancelled.max() {
            Some(number) if number >= attempt => Err(Kind::Cancelled(number)),
            _ => Ok(()),
        }
    }

    fn committed_position(&self, id: &Id) -> Option<Position> {
        let is = |entry: &Entry| matches!(&entry.content, Content::Commit(of, _, _) if of == id);
        let index = self.log.iter().position(is)?;
        Some(Position {
            term: self.log[index].term,
            index: index as u64 + 1,
        })
    }

    pub fn cancel(&mut self, id: &Id, attempt: u64) -> Cancellation {
        if let Some(position) = self.committed_position(id) {
            return Cancellation {
                committed: true,
                position,
            };
        }
        Cancellation {
            committed: false,
            position: self.append(Content::Cancel(id.clone(), attempt)),
        }
    }
}
