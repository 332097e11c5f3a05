//! Fair queue of waiting requests.

use fulmargw_model::name::Name;
use serde::Serialize;
use std::collections::VecDeque;
use tokio::time::Instant;

/// Cost that a lane may spend in one round.
const QUANTUM: u32 = 4;
/// One of this many dispatches is a browse request when one waits.
const BROWSE_INTERVAL: u32 = 8;

/// How soon a request must run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Writes and current reads.
    Urgent,
    /// Aged reads.
    Browse,
}

/// Limits of a queue.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Most items of one lane.
    pub per_lane: usize,
    /// Most items of all lanes together.
    pub total: usize,
}

/// The place of an item in a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

/// An item to add.
#[derive(Debug)]
pub struct Entry<T> {
    /// Client account whose lane it joins.
    pub account: Name,
    /// How soon it must run.
    pub urgency: Urgency,
    /// Cost against the quota of the account, from 1 to 4.
    pub cost: u32,
    /// Time after which it is of no use.
    pub deadline: Instant,
    /// The item itself.
    pub item: T,
}

/// A queue with a lane per client account and urgency, served by deficit round robin.
#[derive(Debug)]
pub struct Queue<T> {
    urgent: Round<T>,
    browse: Round<T>,
    /// Urgent dispatches since the last browse dispatch while a browse request waited.
    passed: u32,
    bound: Capacity,
    next: u64,
}

#[derive(Debug)]
struct Round<T> {
    /// Lanes with items, the next one to serve first.
    lanes: VecDeque<Lane<T>>,
    length: usize,
}

#[derive(Debug)]
struct Lane<T> {
    account: Name,
    quota: u32,
    waiting: VecDeque<Waiting<T>>,
}

#[derive(Debug)]
struct Waiting<T> {
    ticket: Ticket,
    cost: u32,
    deadline: Instant,
    item: T,
}

impl<T> Queue<T> {
    /// Makes an empty queue.
    #[must_use]
    pub fn new(bound: Capacity) -> Self {
        Self {
            urgent: Round::new(),
            browse: Round::new(),
            passed: 0,
            bound,
            next: 0,
        }
    }

    /// Returns the number of waiting items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.urgent.length + self.browse.length
    }

    /// Reports whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the length of each lane.
    pub fn lanes(&self) -> impl Iterator<Item = (&Name, Urgency, usize)> {
        let urgent = self.urgent.lanes.iter();
        let browse = self.browse.lanes.iter();
        urgent
            .map(|lane| (&lane.account, Urgency::Urgent, lane.waiting.len()))
            .chain(browse.map(|lane| (&lane.account, Urgency::Browse, lane.waiting.len())))
    }

    /// Adds an item and returns its ticket and the item that was shed for it, if any.
    ///
    /// A full lane sheds the new item. A full queue sheds the newest item of the longest lane,
    /// so that an account that sends too much loses its own requests first.
    pub fn push(&mut self, entry: Entry<T>) -> (Ticket, Option<T>) {
        let ticket = Ticket(self.next);
        self.next += 1;
        let lane_bound = self.bound.per_lane;
        let round = self.round(entry.urgency);
        let lane = round.lane(&entry.account);
        if lane.waiting.len() >= lane_bound {
            return (ticket, Some(entry.item));
        }
        lane.waiting.push_back(Waiting {
            ticket,
            cost: entry.cost.clamp(1, QUANTUM),
            deadline: entry.deadline,
            item: entry.item,
        });
        round.length += 1;
        let shed = (self.len() > self.bound.total).then(|| self.shed());
        (ticket, shed.flatten())
    }

    /// Takes the next item in fair order for which `choose` returns a choice.
    ///
    /// Items whose deadline has passed are left for their submitters to remove.
    pub fn pop<U>(
        &mut self,
        now: Instant,
        mut choose: impl FnMut(&T) -> Option<U>,
    ) -> Option<(T, U)> {
        let browse_first = self.passed + 1 >= BROWSE_INTERVAL;
        if browse_first && let Some(taken) = self.pop_browse(now, &mut choose) {
            return Some(taken);
        }
        if let Some(taken) = self.urgent.pop(now, &mut choose) {
            self.passed = if self.browse.length > 0 {
                self.passed + 1
            } else {
                0
            };
            return Some(taken);
        }
        if browse_first {
            return None;
        }
        self.pop_browse(now, &mut choose)
    }

    fn pop_browse<U>(
        &mut self,
        now: Instant,
        choose: impl FnMut(&T) -> Option<U>,
    ) -> Option<(T, U)> {
        let taken = self.browse.pop(now, choose)?;
        self.passed = 0;
        Some(taken)
    }

    /// Removes an item that still waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let removed = self.urgent.remove(ticket);
        removed.or_else(|| self.browse.remove(ticket))
    }

    fn round(&mut self, urgency: Urgency) -> &mut Round<T> {
        match urgency {
            Urgency::Urgent => &mut self.urgent,
            Urgency::Browse => &mut self.browse,
        }
    }

    fn shed(&mut self) -> Option<T> {
        let browse_is_longer = self.browse.longest() >= self.urgent.longest();
        if browse_is_longer {
            self.browse.shed()
        } else {
            self.urgent.shed()
        }
    }
}

impl<T> Round<T> {
    fn new() -> Self {
        Self {
            lanes: VecDeque::new(),
            length: 0,
        }
    }

    fn lane(&mut self, account: &Name) -> &mut Lane<T> {
        let known = self.lanes.iter().position(|lane| lane.account == *account);
        let index = known.unwrap_or(self.lanes.len());
        if known.is_none() {
            self.lanes.push_back(Lane {
                account: account.clone(),
                quota: 0,
                waiting: VecDeque::new(),
            });
        }
        &mut self.lanes[index]
    }

    fn pop<U>(&mut self, now: Instant, mut choose: impl FnMut(&T) -> Option<U>) -> Option<(T, U)> {
        for _ in 0..self.lanes.len() {
            let lane = self.lanes.front_mut()?;
            if let Some(taken) = lane.pop(now, &mut choose) {
                self.length -= 1;
                self.leave_front();
                return Some(taken);
            }
            // A lane whose items have no free server keeps its quota but gathers no more.
            self.lanes.rotate_left(1);
        }
        None
    }

    /// Drops the first lane if it is empty and moves it to the end if its quota is spent.
    fn leave_front(&mut self) {
        let Some(lane) = self.lanes.front() else {
            return;
        };
        if lane.waiting.is_empty() {
            self.lanes.pop_front();
        } else if lane.quota == 0 {
            self.lanes.rotate_left(1);
        }
    }

    fn longest(&self) -> usize {
        let lengths = self.lanes.iter().map(|lane| lane.waiting.len());
        lengths.max().unwrap_or_default()
    }

    fn shed(&mut self) -> Option<T> {
        let lanes = self.lanes.iter_mut();
        let longest = lanes.max_by_key(|lane| lane.waiting.len())?;
        let shed = longest.waiting.pop_back()?;
        self.length -= 1;
        self.drop_empty();
        Some(shed.item)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<T> {
        for lane in &mut self.lanes {
            let place = lane.waiting.iter().position(|it| it.ticket == ticket);
            if let Some(removed) = place.and_then(|place| lane.waiting.remove(place)) {
                self.length -= 1;
                self.drop_empty();
                return Some(removed.item);
            }
        }
        None
    }

    fn drop_empty(&mut self) {
        self.lanes.retain(|lane| !lane.waiting.is_empty());
    }
}

impl<T> Lane<T> {
    fn pop<U>(&mut self, now: Instant, mut choose: impl FnMut(&T) -> Option<U>) -> Option<(T, U)> {
        let (place, choice) = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, waiting)| waiting.deadline > now)
            .find_map(|(place, waiting)| Some((place, choose(&waiting.item)?)))?;
        let taken = self.waiting.remove(place)?;
        if self.quota < taken.cost {
            self.quota += QUANTUM;
        }
        self.quota -= taken.cost;
        Some((taken.item, choice))
    }
}
