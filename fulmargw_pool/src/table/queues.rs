//! Queues of waiting jobs, by service.

use crate::{dialect::Dialect, job::Job, scheduling::Load};
use fulmargw_decision::queue::{Capacity, Priority, Queue};
use fulmargw_model::name::Name;
use std::collections::{BTreeMap, VecDeque};

/// Queues of waiting jobs, by service.
#[derive(Debug)]
pub struct Queues<D: Dialect> {
    bound: Capacity,
    services: BTreeMap<Name, Queue<Job<D>, Priority>>,
    /// What is known of the work of each service.
    loads: BTreeMap<Name, Load>,
    /// Jobs of open transactions, which are pinned to their connections.
    pub pinned: VecDeque<Job<D>>,
    /// Offset of the service that is served first, so that none is starved.
    offset: usize,
}

impl<D: Dialect> Queues<D> {
    /// Returns empty queues.
    #[must_use]
    pub fn new(bound: Capacity) -> Self {
        Self {
            bound,
            services: BTreeMap::new(),
            loads: BTreeMap::new(),
            pinned: VecDeque::new(),
            offset: 0,
        }
    }

    /// Returns the queue of a service.
    pub fn service(&mut self, name: &Name) -> &mut Queue<Job<D>, Priority> {
        let bound = self.bound;
        self.services
            .entry(name.clone())
            .or_insert_with(|| Queue::new(bound))
    }

    /// Returns what is known of the work of a service, with its queue.
    pub fn load(&mut self, name: &Name) -> (&mut Load, &mut Queue<Job<D>, Priority>) {
        let bound = self.bound;
        let load = self.loads.entry(name.clone()).or_default();
        let queue = self.services.entry(name.clone());
        (load, queue.or_insert_with(|| Queue::new(bound)))
    }

    /// Returns the services with waiting jobs, starting with another one at each call.
    pub fn rotation(&mut self) -> Vec<Name> {
        let waiting = self.services.iter().filter(|(_, queue)| !queue.is_empty());
        let mut names: Vec<Name> = waiting.map(|(name, _)| name.clone()).collect();
        if !names.is_empty() {
            self.offset = (self.offset + 1) % names.len();
            names.rotate_left(self.offset);
        }
        names
    }

    /// Returns the number of waiting jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        let waiting: usize = self.services.values().map(Queue::len).sum();
        waiting + self.pinned.len()
    }

    /// Reports whether no job is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
