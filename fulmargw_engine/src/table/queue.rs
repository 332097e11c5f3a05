//! Queues of waiting requests.

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
    /// Requests of open transactions, in the order of arrival. They bypass the fair queues.
    pub pinned: VecDeque<Pinned<T>>,
    capacity: Capacity,
    next_ticket: u64,
    /// Rotates the order of the services.
    turn: usize,
}

/// Queue and retry budget of one service.
#[derive(Debug)]
pub struct Service<T> {
    /// Queue that is fair between client accounts.
    pub queue: Queue<T>,
    /// Retry budget.
    pub budget: Budget,
}

/// A waiting request of an open transaction.
#[derive(Debug)]
pub struct Pinned<T> {
    /// Identifies the request in the queue.
    pub ticket: u64,
    /// The request.
    pub item: T,
}

/// Where a waiting request is queued.
#[derive(Debug, Clone)]
pub enum Location {
    /// In the fair queue of a service.
    Fair(Name, Ticket),
    /// In the queue of open transactions.
    Pinned(u64),
}

impl<T> Queues<T> {
    /// Creates empty queues.
    pub fn new(capacity: Capacity) -> Self {
        Self {
            services: BTreeMap::new(),
            pinned: VecDeque::new(),
            capacity,
            next_ticket: 0,
            turn: 0,
        }
    }

    /// Returns the queue and retry budget of a service.
    pub fn service(&mut self, service: &Name) -> &mut Service<T> {
        let capacity = self.capacity;
        self.services
            .entry(service.clone())
            .or_insert_with(|| Service {
                queue: Queue::new(capacity),
                budget: Budget::new(Instant::now()),
            })
    }

    /// Adds a request of an open transaction.
    pub fn push_pinned(&mut self, item: T) -> Location {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.pinned.push_back(Pinned { ticket, item });
        Location::Pinned(ticket)
    }

    /// Removes a request, if it still waits.
    pub fn remove(&mut self, location: &Location) -> Option<T> {
        match location {
            Location::Fair(service, ticket) => {
                self.services.get_mut(service)?.queue.remove(*ticket)
            }
            Location::Pinned(ticket) => {
                let index = self.pinned.iter().position(|it| it.ticket == *ticket)?;
                self.pinned.remove(index).map(|pinned| pinned.item)
            }
        }
    }

    /// Returns the services with waiting requests. Each call starts with another service, so that
    /// none of them is always last.
    pub fn services_in_turn(&mut self) -> Vec<Name> {
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
