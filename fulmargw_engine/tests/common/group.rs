//! State of an in-memory database group with terms, promises, a replicated log and faults.

use fulmargw_backend::connection::{Kind, Settlement};
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

/// Time from a commit on the primary until a replica has the entry.
pub const REPLICATION: Duration = Duration::from_millis(3);

/// A database group that connections of several engines share.
#[derive(Debug, Clone)]
pub struct World(Arc<Mutex<Group>>);

#[derive(Debug)]
pub struct Group {
    pub nodes: BTreeMap<Name, Node>,
    /// Every commit with its value, also of lost logs, in order.
    pub commits: Vec<(Id, u64)>,
    /// Number of the next connection.
    pub next: u64,
    /// Connections that never answer again.
    pub silent: BTreeSet<u64>,
    /// Number of coming commits whose answer is lost.
    pub lost_answers: u32,
    /// Number of coming writes that are lost before they run.
    pub lost_requests: u32,
    /// Whether a promotion writes a log entry.
    pub promotion_entry: bool,
}

#[derive(Debug)]
pub struct Node {
    pub role: Role,
    pub term: Term,
    pub promised: Term,
    pub log: Vec<Entry>,
    /// Entries that reads see.
    pub applied: usize,
    /// Time between receipt and application on a replica.
    pub lag: Duration,
    pub heard: Instant,
    /// Whether the process runs.
    pub alive: bool,
    /// Whether other members can reach it.
    pub linked: bool,
    /// Whether hosts can reach it; messages are lost without a sign otherwise.
    pub reachable: bool,
    /// Counts the lives of the process.
    pub life: u32,
    /// Numbers of all connections that were opened to the node.
    pub numbers: Vec<u64>,
    pub connections: u32,
    pub most_connections: u32,
    pub running: u32,
    pub most_running: u32,
    /// Time that a statement takes.
    pub work: Duration,
    /// Statements that the node has run.
    pub statements: u32,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    pub term: Term,
    pub at: Instant,
    pub content: Content,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Content {
    Commit(Id, u64, Vec<u64>),
    Cancel(Id, u64),
    Promotion,
}

impl World {
    /// Makes a group whose first server is the primary of term 1.
    pub fn new(servers: &[&str]) -> Self {
        let node = |(number, name): (usize, &&str)| {
            let role = if number == 0 {
                Role::Primary
            } else {
                Role::Replica
            };
            (Name::new(name), Node::new(role))
        };
        Self(Arc::new(Mutex::new(Group {
            nodes: servers.iter().enumerate().map(node).collect(),
            commits: Vec::new(),
            next: 0,
            silent: BTreeSet::new(),
            lost_answers: 0,
            lost_requests: 0,
            promotion_entry: true,
        })))
    }

    /// Locks the group after replication has caught up with the time.
    pub fn lock(&self) -> MutexGuard<'_, Group> {
        // A failed assertion may hold the lock while connections are dropped.
        let group = self.0.lock();
        let mut group = group.unwrap_or_else(PoisonError::into_inner);
        group.replicate();
        group
    }

    /// Changes a server; replication up to now follows the old state.
    pub fn change(&self, server: &str, change: impl FnOnce(&mut Node)) {
        change(self.lock().nodes.get_mut(server).unwrap());
    }

    /// Ends the process of a server.
    pub fn kill(&self, server: &str) {
        self.change(server, |node| {
            node.alive = false;
            node.life += 1;
        });
    }

    /// Cuts a server off from hosts and members.
    pub fn partition(&self, server: &str) {
        self.change(server, |node| {
            node.linked = false;
            node.reachable = false;
        });
    }

    /// Ends every fault; a process that was killed starts again as a replica.
    pub fn heal(&self) {
        let mut group = self.lock();
        for node in group.nodes.values_mut() {
            if !node.alive {
                node.alive = true;
                node.role = Role::Replica;
            }
            node.linked = true;
            node.reachable = true;
            node.lag = Duration::ZERO;
        }
    }

    /// Makes all but the first connection to a server silent; the first is the control
    /// connection.
    pub fn silence_work(&self, server: &str) {
        let mut group = self.lock();
        let numbers = group.nodes[server].numbers.clone();
        group.silent.extend(numbers.into_iter().skip(1));
    }

    /// Promotes a server as another host would, with a commit of `value` right afterwards.
    pub fn promote(&self, server: &str, term: Term, value: u64) {
        let mut group = self.lock();
        for (name, node) in &mut group.nodes {
            if name.as_str() == server {
                node.role = Role::Primary;
                node.term = term;
                node.append(Content::Promotion);
                node.append(Content::Commit(Id::random(), 1, vec![value]));
            }
            if node.linked {
                node.promised = term;
            }
        }
    }

    /// Returns the primary of the greatest term.
    pub fn primary(&self) -> Name {
        let group = self.lock();
        let primaries = group.nodes.iter();
        let primaries = primaries.filter(|(_, node)| node.role == Role::Primary);
        primaries
            .max_by_key(|(_, node)| node.term)
            .unwrap()
            .0
            .clone()
    }

    /// Returns the values in the log of the present primary.
    pub fn values(&self) -> Vec<u64> {
        let primary = self.primary();
        let group = self.lock();
        let log = group.nodes[&primary].log.clone();
        values(&log)
    }
}

/// Returns the values that log entries put.
pub fn values(log: &[Entry]) -> Vec<u64> {
    let put = log.iter().filter_map(|entry| match &entry.content {
        Content::Commit(_, _, values) => Some(values.clone()),
        _ => None,
    });
    put.flatten().collect()
}

impl Group {
    /// Copies the log of each primary to the members that accept it.
    fn replicate(&mut self) {
        let now = Instant::now();
        let leads = |node: &Node| node.role == Role::Primary && node.alive && node.linked;
        let nodes = self.nodes.iter().filter(|(_, node)| leads(node));
        let primaries: Vec<_> = nodes
            .map(|(name, node)| (name.clone(), node.term))
            .collect();
        for (name, term) in primaries {
            // The log is moved out for the copy because a clone for each call is slow.
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
            heard: Instant::now(),
            alive: true,
            linked: true,
            reachable: true,
            life: 0,
            numbers: Vec::new(),
            connections: 0,
            most_connections: 0,
            running: 0,
            most_running: 0,
            work: Duration::ZERO,
            statements: 0,
        }
    }

    fn receive(&mut self, term: Term, log: &[Entry], now: Instant) {
        let accepts = self.alive && self.linked && self.promised <= term;
        if !accepts || (self.role == Role::Primary && self.term == term) {
            return;
        }
        let arrived = |entry: &&Entry| entry.at + REPLICATION <= now;
        // Logs with an equal entry are equal up to it.
        let shorter = self.log.len().min(log.len());
        let same = |length: &usize| *length == 0 || self.log[length - 1] == log[length - 1];
        let common = (0..=shorter).rev().find(same).unwrap_or_default();
        // Entries that the node has are kept, so that it never loses what it confirmed.
        let new = log[common..].iter().take_while(arrived).cloned();
        self.log.truncate(common);
        self.log.extend(new);
        self.role = Role::Replica;
        self.term = term;
        self.promised = term;
        self.heard = now;
    }

    fn apply(&mut self, now: Instant) {
        let lag = if self.role == Role::Primary {
            Duration::ZERO
        } else {
            REPLICATION + self.lag
        };
        let kept = self.applied.min(self.log.len());
        let due = self.log[kept..].iter();
        self.applied = kept + due.take_while(|entry| entry.at + lag <= now).count();
    }

    /// Reports whether the node is the primary of `term` and may write.
    pub fn leads(&self, term: Term) -> bool {
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
                self.heard.elapsed()
            },
        }
    }

    pub fn append(&mut self, content: Content) -> Position {
        self.log.push(Entry {
            term: self.term,
            at: Instant::now(),
            content,
        });
        self.applied = self.log.len();
        Position {
            term: self.term,
            index: self.log.len() as u64,
        }
    }

    /// Checks a record as `group_record` does.
    pub fn check_record(&self, id: &Id, attempt: u64) -> Result<(), Kind> {
        if let Some(position) = self.committed(id) {
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

    fn committed(&self, id: &Id) -> Option<Position> {
        let is = |entry: &Entry| matches!(&entry.content, Content::Commit(of, _, _) if of == id);
        let index = self.log.iter().position(is)?;
        Some(Position {
            term: self.log[index].term,
            index: index as u64 + 1,
        })
    }

    pub fn cancel(&mut self, id: &Id, attempt: u64) -> Settlement {
        if let Some(position) = self.committed(id) {
            return Settlement {
                committed: true,
                position,
            };
        }
        Settlement {
            committed: false,
            position: self.append(Content::Cancel(id.clone(), attempt)),
        }
    }
}
