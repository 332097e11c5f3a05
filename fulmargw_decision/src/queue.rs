//! Fair queue of requests that wait for a backend server.

mod level;
mod scheduler;

pub use self::level::{Level, Priority, Urgency};
use self::scheduler::Scheduler;
use fulmargw_model::name::Name;
use std::time::Duration;
use tokio::time::Instant;

/// Age of the oldest item of a lane above which the newest items go first (adaptive LIFO).
///
/// In the order of arrival a backlog makes every item wait as long as its submitter allows, and all
/// of them are late. In reverse order most are served in time, and the others would have been late
/// anyway.
const BACKLOG_AGE: Duration = Duration::from_millis(80);
/// One of this many dispatched requests is of a lower level while one of that level waits.
const LOWER_LEVEL_INTERVAL: u32 = 8;

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
pub struct Entry<T, L = Urgency> {
    /// Client account in whose lane the item is queued.
    pub account: Name,
    /// Level of the item.
    pub urgency: L,
    /// Cost in the deficit round robin, from 1 to 4.
    pub cost: u32,
    /// Time at which the item arrived.
    pub queued_at: Instant,
    /// Time after which the item is not dispatched any more.
    pub deadline: Instant,
    /// The item itself.
    pub item: T,
}

/// What is expected of an item that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Expected time for which the item occupies a slot; zero if it is not known.
    pub work: Duration,
    /// Whether only the primary can run the item.
    pub primary_only: bool,
    /// Age of the oldest item of a lane above which the newest items go first.
    pub backlog_age: Duration,
}

/// The work that goes before a new item of an account. Counts what needs the primary if the item
/// needs it, and what does not otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Backlog {
    /// Estimated work of the higher levels.
    pub higher: Duration,
    /// Estimated work of the account itself and, of each other account of its level, as much as the
    /// account itself has.
    pub level: Duration,
    /// Estimated work of the account itself.
    pub own: Duration,
    /// Average number of slots that the account has got since it began to wait; `None` if few of
    /// its items have been dispatched since.
    pub own_slots: Option<f64>,
}

impl Backlog {
    /// Reports whether no known work goes before the item.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.higher.is_zero() && self.level.is_zero()
    }
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            work: Duration::ZERO,
            primary_only: false,
            backlog_age: BACKLOG_AGE,
        }
    }
}

/// A queue with one lane per client account and level, served by deficit round robin.
///
/// Higher levels go first. A lower level with waiting items gets one of
/// [`LOWER_LEVEL_INTERVAL`] dispatches.
#[derive(Debug)]
pub struct Queue<T, L = Urgency> {
    /// The levels that have had items, the highest first.
    levels: Vec<Rung<T, L>>,
    capacity: Capacity,
    next_ticket: u64,
}

/// One level of a queue.
#[derive(Debug)]
struct Rung<T, L> {
    level: L,
    lanes: Scheduler<T>,
    /// Items of higher levels dispatched in a row while an item of this level waited.
    passed_over: u32,
}

impl<T, L: Level> Queue<T, L> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(capacity: Capacity) -> Self {
        Self {
            levels: Vec::new(),
            capacity,
            next_ticket: 0,
        }
    }

    /// Returns the number of queued items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.levels.iter().map(|rung| rung.lanes.len()).sum()
    }

    /// Reports whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the account, level and length of each lane.
    pub fn lanes(&self) -> impl Iterator<Item = (&Name, L, usize)> {
        self.levels.iter().flat_map(|rung| {
            let lanes = rung.lanes.lengths();
            lanes.map(|(account, length)| (account, rung.level, length))
        })
    }

    /// Adds an item of unknown work and returns its ticket and the item that was shed in return,
    /// if any.
    ///
    /// A full lane sheds the new item. A full queue sheds the newest item of its longest lane,
    /// so that an account that overloads the queue loses its own requests first.
    pub fn push(&mut self, entry: Entry<T, L>) -> (Ticket, Option<T>) {
        self.push_estimated(entry, Demand::default())
    }

    /// As [`Self::push`], for an item whose work is estimated.
    pub fn push_estimated(&mut self, entry: Entry<T, L>, demand: Demand) -> (Ticket, Option<T>) {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let lane_capacity = self.capacity.per_lane;
        let lanes = self.lanes_of(entry.urgency);
        if let Err(rejected) = lanes.push(entry, demand, ticket, lane_capacity) {
            return (ticket, Some(rejected));
        }
        let shed = (self.len() > self.capacity.total).then(|| self.shed());
        (ticket, shed.flatten())
    }

    /// Returns the work that goes before a new item of an account.
    ///
    /// The time that this takes grows with the number of accounts that wait, not with that of
    /// items.
    #[must_use]
    pub fn backlog(&self, level: L, account: &Name, demand: &Demand, now: Instant) -> Backlog {
        let higher = self.levels.iter().take_while(|rung| rung.level < level);
        let higher: Duration = higher
            .map(|rung| rung.lanes.work(demand.primary_only))
            .sum();
        let own = self.levels.iter().find(|rung| rung.level == level);
        let own = own.map(|rung| rung.lanes.backlog(account, demand, now));
        let own = own.unwrap_or_default();
        Backlog { higher, ..own }
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

    /// As [`Self::pop`], but an item that can start at once goes before one of the same level that
    /// needs preparation.
    pub fn pop_ready_first<U>(
        &mut self,
        now: Instant,
        mut choose: impl FnMut(&T) -> Option<(U, Readiness)>,
    ) -> Option<(T, U)> {
        // Levels that have been passed over often enough go first, then the others.
        for due in [true, false] {
            for index in 0..self.levels.len() {
                let rung = &mut self.levels[index];
                if rung.is_due() != due {
                    continue;
                }
                if let Some(taken) = rung.lanes.pop(now, &mut choose) {
                    self.record_dispatch(index);
                    return Some(taken);
                }
            }
        }
        None
    }

    /// Removes an item that has not been dispatched.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let mut levels = self.levels.iter_mut();
        levels.find_map(|rung| rung.lanes.remove(ticket))
    }

    /// Counts a dispatch of the level at `index` for the lower levels that wait.
    fn record_dispatch(&mut self, index: usize) {
        self.levels[index].passed_over = 0;
        for lower in &mut self.levels[index + 1..] {
            lower.passed_over = if lower.lanes.len() > 0 {
                lower.passed_over + 1
            } else {
                0
            };
        }
    }

    fn lanes_of(&mut self, level: L) -> &mut Scheduler<T> {
        let found = self.levels.binary_search_by_key(&level, |rung| rung.level);
        let index = found.unwrap_or_else(|index| {
            let rung = Rung {
                level,
                lanes: Scheduler::new(),
                passed_over: 0,
            };
            self.levels.insert(index, rung);
            index
        });
        &mut self.levels[index].lanes
    }

    /// Sheds the newest item of the longest lane; of two levels with equal lanes the lower one
    /// loses it.
    fn shed(&mut self) -> Option<T> {
        let levels = self.levels.iter_mut();
        let longest = levels.max_by_key(|rung| rung.lanes.longest())?;
        longest.lanes.shed()
    }
}

impl<T, L> Rung<T, L> {
    /// Reports whether the next dispatch belongs to this level.
    fn is_due(&self) -> bool {
        self.passed_over + 1 >= LOWER_LEVEL_INTERVAL
    }
}
