//! Fair queue of requests that wait for a backend server.

use fulmargw_model::name::Name;
use serde::Serialize;
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Cost that a lane may spend in one round.
const QUANTUM: u32 = 4;
/// Age of the oldest item of a lane above which the newest items go first (adaptive LIFO).
///
/// In the order of arrival a backlog makes every item wait as long as its submitter allows, and all
/// of them are late. In reverse order most are served in time, and the others would have been late
/// anyway.
const BACKLOG_AGE: Duration = Duration::from_millis(80);
/// Number of items that a search looks at, after the first that could be dispatched, for one that
/// can start at once.
const LOOK_AHEAD: usize = 32;
/// One of this many dispatched requests is a browse request while one waits.
const BROWSE_INTERVAL: u32 = 8;

/// The scheduling class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Requests that run first, such as writes and current reads.
    Urgent,
    /// Browsing requests, which may wait behind urgent ones, such as reads of aged data.
    Browse,
}

/// The capacity of a queue.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Maximum number of items in one lane.
    pub per_lane: usize,
    /// Maximum number of items in all lanes together.
    pub total: usize,
}

/// Identifies an item in a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

/// Whether an item can start at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It can start at once.
    Ready,
    /// It needs preparation that takes capacity, such as a new connection.
    NeedsPreparation,
}

/// An item to add.
#[derive(Debug)]
pub struct Entry<T> {
    /// Client account in whose lane the item is queued.
    pub account: Name,
    /// Scheduling class.
    pub urgency: Urgency,
    /// Cost in the deficit round robin, from 1 to 4.
    pub cost: u32,
    /// Time at which the item arrived.
    pub queued_at: Instant,
    /// Time after which the item is not dispatched any more.
    pub deadline: Instant,
    /// The item itself.
    pub item: T,
}

/// A queue with one lane per client account and urgency, served by deficit round robin.
#[derive(Debug)]
pub struct Queue<T> {
    urgent: Scheduler<T>,
    browse: Scheduler<T>,
    /// Urgent items dispatched in a row while a browse item waited.
    urgent_in_row: u32,
    capacity: Capacity,
    next_ticket: u64,
}

/// The lanes of one urgency.
#[derive(Debug)]
struct Scheduler<T> {
    /// Non-empty lanes, the next one to serve first.
    lanes: VecDeque<Lane<T>>,
    item_count: usize,
}

#[derive(Debug)]
struct Lane<T> {
    account: Name,
    /// Deficit counter: cost that the lane may still spend in this round.
    deficit: u32,
    waiting: VecDeque<Waiting<T>>,
}

#[derive(Debug)]
struct Waiting<T> {
    ticket: Ticket,
    cost: u32,
    queued_at: Instant,
    deadline: Instant,
    item: T,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(capacity: Capacity) -> Self {
        Self {
            urgent: Scheduler::new(),
            browse: Scheduler::new(),
            urgent_in_row: 0,
            capacity,
            next_ticket: 0,
        }
    }

    /// Returns the number of queued items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.urgent.item_count + self.browse.item_count
    }

    /// Reports whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the account, urgency and length of each lane.
    pub fn lanes(&self) -> impl Iterator<Item = (&Name, Urgency, usize)> {
        let urgent = self.urgent.lanes.iter();
        let browse = self.browse.lanes.iter();
        urgent
            .map(|lane| (&lane.account, Urgency::Urgent, lane.waiting.len()))
            .chain(browse.map(|lane| (&lane.account, Urgency::Browse, lane.waiting.len())))
    }

    /// Adds an item and returns its ticket and the item that was shed in return, if any.
    ///
    /// A full lane sheds the new item. A full queue sheds the newest item of its longest lane,
    /// so that an account that overloads the queue loses its own requests first.
    pub fn push(&mut self, entry: Entry<T>) -> (Ticket, Option<T>) {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let lane_capacity = self.capacity.per_lane;
        let scheduler = self.scheduler(entry.urgency);
        let lane = scheduler.lane(&entry.account);
        if lane.waiting.len() >= lane_capacity {
            return (ticket, Some(entry.item));
        }
        lane.waiting.push_back(Waiting {
            ticket,
            cost: entry.cost.clamp(1, QUANTUM),
            queued_at: entry.queued_at,
            deadline: entry.deadline,
            item: entry.item,
        });
        scheduler.item_count += 1;
        let shed = (self.len() > self.capacity.total).then(|| self.shed());
        (ticket, shed.flatten())
    }

    /// Takes the first item in fair order for which `choose` returns a value, and that value.
    ///
    /// Items whose deadline has passed are skipped; their submitters remove them.
    pub fn pop<U>(
        &mut self,
        now: Instant,
        mut choose: impl FnMut(&T) -> Option<U>,
    ) -> Option<(T, U)> {
        self.pop_ready_first(now, |item| Some((choose(item)?, Readiness::Ready)))
    }

    /// As [`Self::pop`], but an item that can start at once goes before one of the same urgency that
    /// needs preparation.
    pub fn pop_ready_first<U>(
        &mut self,
        now: Instant,
        mut choose: impl FnMut(&T) -> Option<(U, Readiness)>,
    ) -> Option<(T, U)> {
        let browse_first = self.urgent_in_row + 1 >= BROWSE_INTERVAL;
        if browse_first && let Some(taken) = self.pop_browse(now, &mut choose) {
            return Some(taken);
        }
        if let Some(taken) = self.urgent.pop(now, &mut choose) {
            self.urgent_in_row = if self.browse.item_count > 0 {
                self.urgent_in_row + 1
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
        choose: impl FnMut(&T) -> Option<(U, Readiness)>,
    ) -> Option<(T, U)> {
        let taken = self.browse.pop(now, choose)?;
        self.urgent_in_row = 0;
        Some(taken)
    }

    /// Removes an item that has not been dispatched.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let removed = self.urgent.remove(ticket);
        removed.or_else(|| self.browse.remove(ticket))
    }

    fn scheduler(&mut self, urgency: Urgency) -> &mut Scheduler<T> {
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

impl<T> Scheduler<T> {
    fn new() -> Self {
        Self {
            lanes: VecDeque::new(),
            item_count: 0,
        }
    }

    fn lane(&mut self, account: &Name) -> &mut Lane<T> {
        let known = self.lanes.iter().position(|lane| lane.account == *account);
        let index = known.unwrap_or(self.lanes.len());
        if known.is_none() {
            self.lanes.push_back(Lane {
                account: account.clone(),
                deficit: 0,
                waiting: VecDeque::new(),
            });
        }
        &mut self.lanes[index]
    }

    fn pop<U>(
        &mut self,
        now: Instant,
        choose: impl FnMut(&T) -> Option<(U, Readiness)>,
    ) -> Option<(T, U)> {
        let Found {
            mut lane,
            item,
            first_lane,
            choice,
        } = self.find(now, choose)?;
        // No item of the lanes before the first one can be dispatched. They keep their deficit
        // counters but gain nothing.
        self.lanes.rotate_left(first_lane);
        lane -= first_lane;
        let taken = self.lanes[lane].take(item)?;
        self.item_count -= 1;
        self.finish_turn(lane);
        Some((taken, choice))
    }

    /// Finds the item to dispatch.
    fn find<U>(
        &self,
        now: Instant,
        mut choose: impl FnMut(&T) -> Option<(U, Readiness)>,
    ) -> Option<Found<U>> {
        let mut first: Option<Found<U>> = None;
        let mut looked_at = 0;
        let items = self.lanes.iter().enumerate().flat_map(|(lane, content)| {
            let order = content.order(now);
            order.map(move |item| (lane, item, &content.waiting[item]))
        });
        for (lane, item, waiting) in items.filter(|(_, _, waiting)| waiting.deadline > now) {
            if first.is_some() {
                looked_at += 1;
            }
            if looked_at > LOOK_AHEAD {
                break;
            }
            let Some((choice, readiness)) = choose(&waiting.item) else {
                continue;
            };
            let first_lane = first.as_ref().map_or(lane, |found| found.lane);
            let found = Found {
                lane,
                item,
                first_lane,
                choice,
            };
            if readiness == Readiness::Ready {
                return Some(found);
            }
            first.get_or_insert(found);
        }
        first
    }

    /// Drops a lane if it is empty, and moves it to the end if its deficit counter is 0.
    fn finish_turn(&mut self, index: usize) {
        let lane = &self.lanes[index];
        let is_empty = lane.waiting.is_empty();
        if !is_empty && lane.deficit > 0 {
            return;
        }
        if let Some(lane) = self.lanes.remove(index)
            && !is_empty
        {
            self.lanes.push_back(lane);
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
        self.item_count -= 1;
        self.drop_empty();
        Some(shed.item)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<T> {
        for lane in &mut self.lanes {
            let index = lane.waiting.iter().position(|it| it.ticket == ticket);
            if let Some(removed) = index.and_then(|index| lane.waiting.remove(index)) {
                self.item_count -= 1;
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

/// An item that a search found.
#[derive(Debug)]
struct Found<U> {
    /// Index of its lane.
    lane: usize,
    /// Index of the item in the lane.
    item: usize,
    /// Index of the first lane with an item that could be dispatched.
    first_lane: usize,
    /// What the search chose for the item.
    choice: U,
}

impl<T> Lane<T> {
    /// Returns the indexes of the items in the order of dispatch: the order of arrival or, under a
    /// backlog, the reverse.
    fn order(&self, now: Instant) -> impl Iterator<Item = usize> + use<T> {
        let count = self.waiting.len();
        let oldest = self.waiting.front();
        let has_backlog = oldest
            .is_some_and(|oldest| now.saturating_duration_since(oldest.queued_at) > BACKLOG_AGE);
        (0..count).map(move |index| {
            if has_backlog {
                count - 1 - index
            } else {
                index
            }
        })
    }

    /// Removes an item and charges its cost to the deficit counter.
    fn take(&mut self, index: usize) -> Option<T> {
        let taken = self.waiting.remove(index)?;
        if self.deficit < taken.cost {
            self.deficit += QUANTUM;
        }
        self.deficit -= taken.cost;
        Some(taken.item)
    }
}
