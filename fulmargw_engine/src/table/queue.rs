//! Waiting requests of each service.

use fulmargw_decision::{
    queue::{Capacity, Queue, Ticket},
    retry::Budget,
};
use fulmargw_model::name::Name;
use std::collections::{BTreeMap, VecDeque};
use tokio::time::Instant;

/// Waiting requests of all services.
#[derive(Debug)]
pub struct Queues<T> {
    services: BTreeMap<Name, Service<T>>,
    /// Requests of open transactions, which no account waits for in turn.
    pub pinned: VecDeque<Pinned<T>>,
    bound: Capacity,
    next: u64,
    turn: usize,
}

/// Queue and retry budget of one service.
#[derive(Debug)]
pub struct Service<T> {
    /// Fair queue of the service.
    pub queue: Queue<T>,
    /// Retry budget of the service.
    pub budget: Budget,
}

/// A waiting request of an open transaction.
#[derive(Debug)]
pub struct Pinned<T> {
    /// Number that finds it again.
    pub ticket: u64,
    /// The request.
    pub item: T,
}

/// The place of a waiting request.
#[derive(Debug, Clone)]
pub enum Place {
    /// In the fair queue of a service.
    Fair(Name, Ticket),
    /// Among the requests of open transactions.
    Pinned(u64),
}

impl<T> Queues<T> {
    /// Makes empty queues.
    pub fn new(bound: Capacity) -> Self {
        Self {
            services: BTreeMap::new(),
            pinned: VecDeque::new(),
            bound,
            next: 0,
            turn: 0,
        }
    }

    /// Returns the queue of a service.
    pub fn service(&mut self, service: &Name) -> &mut Service<T> {
        let bound = self.bound;
        self.services
            .entry(service.clone())
            .or_insert_with(|| Service {
                queue: Queue::new(bound),
                budget: Budget::new(Instant::now()),
            })
    }

    /// Adds a request of an open transaction.
    pub fn push_pinned(&mut self, item: T) -> Place {
        let ticket = self.next;
        self.next += 1;
        self.pinned.push_back(Pinned { ticket, item });
        Place::Pinned(ticket)
    }

    /// Removes a request that still waits.
    pub fn remove(&mut self, place: &Place) -> Option<T> {
        match place {
            Place::Fair(service, ticket) => self.services.get_mut(service)?.queue.remove(*ticket),
            Place::Pinned(ticket) => {
                let index = self.pinned.iter().position(|it| it.ticket == *ticket)?;
                self.pinned.remove(index).map(|pinned| pinned.item)
            }
        }
    }

    /// Returns the services with waiting requests; each call begins with another service.
    pub fn turn(&mut self) -> Vec<Name> {
        let waiting = |(name, service): (&Name, &Service<T>)| {
            (!service.queue.is_empty()).then(|| name.clone())
        };
        let mut names: Vec<_> = self.services.iter().filter_map(waiting).collect();
        self.turn = self.turn.wrapping_add(1);
        if !names.is_empty() {
            let start = self.turn % names.len();
            names.rotate_left(start);
        }
        names
    }

    /// Returns the queues by service.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Service<T>)> {
        self.services.iter()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        let fair = self.services.values().map(|service| service.queue.len());
        fair.sum::<usize>() + self.pinned.len()
    }
}
