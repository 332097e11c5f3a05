//! The lanes of one level of a queue, served by deficit round robin.

use super::{Backlog, Demand, Entry, Readiness, Ticket};
use crate::decay::Rate;
use fulmargw_model::name::Name;
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Cost that a lane may spend in one round.
const QUANTUM: u32 = 4;
/// Time over which the dispatches of a lane are averaged.
const DRAIN_TIME: Duration = Duration::from_secs(1);
/// Number of dispatches of a lane from which on their average is used.
const MIN_DISPATCHED: usize = 12;
/// Number of items that a search looks at, after the first that could be dispatched, for one that
/// can start at once.
const LOOK_AHEAD: usize = 32;
/// The lanes of one level.
#[derive(Debug)]
pub(super) struct Scheduler<T> {
    /// Non-empty lanes, the next one to serve first.
    lanes: VecDeque<Lane<T>>,
    item_count: usize,
    /// Estimated work of all lanes.
    work: Work,
}

#[derive(Debug)]
struct Lane<T> {
    account: Name,
    /// Deficit counter: cost that the lane may still spend in this round.
    deficit: u32,
    /// Estimated work of the waiting items.
    work: Work,
    /// Work that was dispatched since the lane began to wait, by whether it needs the primary.
    drains: [Drain; 2],
    waiting: VecDeque<Waiting<T>>,
}

#[derive(Debug)]
struct Waiting<T> {
    ticket: Ticket,
    cost: u32,
    queued_at: Instant,
    deadline: Instant,
    demand: Demand,
    item: T,
}

/// Running sums of estimated work, by whether only the primary can run it.
#[derive(Debug, Clone, Copy, Default)]
struct Work {
    primary_only: Duration,
    any_server: Duration,
}

/// Estimated work of the items that a lane has had dispatched since it began to wait.
#[derive(Debug, Clone, Copy)]
struct Drain {
    rate: Rate,
    dispatched: usize,
}

impl Drain {
    fn new(now: Instant) -> Self {
        Self {
            rate: Rate::new(DRAIN_TIME, now),
            dispatched: 0,
        }
    }

    fn add(&mut self, work: Duration, now: Instant) {
        self.rate.add(work, now);
        self.dispatched += 1;
    }

    fn slots(&self, now: Instant) -> Option<f64> {
        let slots = self.rate.slots_since_start(now);
        (self.dispatched >= MIN_DISPATCHED && slots > 0.0).then_some(slots)
    }
}

impl Work {
    fn get(self, primary_only: bool) -> Duration {
        if primary_only {
            self.primary_only
        } else {
            self.any_server
        }
    }

    fn part(&mut self, primary_only: bool) -> &mut Duration {
        if primary_only {
            &mut self.primary_only
        } else {
            &mut self.any_server
        }
    }

    fn add(&mut self, demand: &Demand) {
        *self.part(demand.primary_only) += demand.work;
    }

    fn subtract(&mut self, demand: &Demand) {
        let part = self.part(demand.primary_only);
        *part = part.saturating_sub(demand.work);
    }
}

impl<T> Scheduler<T> {
    pub(super) fn new() -> Self {
        Self {
            lanes: VecDeque::new(),
            item_count: 0,
            work: Work::default(),
        }
    }

    /// Returns the number of items.
    pub(super) fn len(&self) -> usize {
        self.item_count
    }

    /// Returns the account and length of each lane.
    pub(super) fn lengths(&self) -> impl Iterator<Item = (&Name, usize)> {
        let lanes = self.lanes.iter();
        lanes.map(|lane| (&lane.account, lane.waiting.len()))
    }

    /// Returns the estimated work of all items that need the primary, or of all others.
    pub(super) fn work(&self, primary_only: bool) -> Duration {
        self.work.get(primary_only)
    }

    /// Returns the work of this level that goes before a new item of an account.
    pub(super) fn backlog(&self, account: &Name, demand: &Demand, now: Instant) -> Backlog {
        let work = |lane: &Lane<T>| lane.work.get(demand.primary_only);
        let lane = self.lanes.iter().find(|lane| lane.account == *account);
        let own = lane.map_or(Duration::ZERO, work);
        // In the same rounds each other account is served as much as this one.
        let share = own + demand.work;
        let others = self.lanes.iter().filter(|lane| lane.account != *account);
        let others: Duration = others.map(|lane| work(lane).min(share)).sum();
        Backlog {
            higher: Duration::ZERO,
            level: own + others,
            own,
            own_slots: lane.and_then(|lane| lane.drain(demand.primary_only).slots(now)),
        }
    }

    /// Adds an item, or returns it if its lane is full.
    pub(super) fn push<L>(
        &mut self,
        entry: Entry<T, L>,
        demand: Demand,
        ticket: Ticket,
        lane_capacity: usize,
    ) -> Result<(), T> {
        let lane = self.lane(&entry.account, entry.queued_at);
        if lane.waiting.len() >= lane_capacity {
            return Err(entry.item);
        }
        lane.work.add(&demand);
        lane.waiting.push_back(Waiting {
            ticket,
            cost: entry.cost.clamp(1, QUANTUM),
            queued_at: entry.queued_at,
            deadline: entry.deadline,
            demand,
            item: entry.item,
        });
        self.work.add(&demand);
        self.item_count += 1;
        Ok(())
    }

    fn lane(&mut self, account: &Name, now: Instant) -> &mut Lane<T> {
        let known = self.lanes.iter().position(|lane| lane.account == *account);
        let index = known.unwrap_or(self.lanes.len());
        if known.is_none() {
            self.lanes.push_back(Lane {
                account: account.clone(),
                deficit: 0,
                work: Work::default(),
                drains: [Drain::new(now); 2],
                waiting: VecDeque::new(),
            });
        }
        &mut self.lanes[index]
    }

    pub(super) fn pop<U>(
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
        let taken = self.lanes[lane].take(item, now)?;
        self.forget(&taken);
        self.finish_turn(lane, now);
        Some((taken.item, choice))
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

    /// Drops a lane if it is empty, and moves it to the end if its turn is over.
    fn finish_turn(&mut self, index: usize, now: Instant) {
        let lane = &self.lanes[index];
        let is_empty = lane.waiting.is_empty();
        if !is_empty && lane.keeps_turn(now) {
            return;
        }
        if let Some(lane) = self.lanes.remove(index)
            && !is_empty
        {
            self.lanes.push_back(lane);
        }
    }

    /// Returns the length of the longest lane.
    pub(super) fn longest(&self) -> usize {
        let lengths = self.lanes.iter().map(|lane| lane.waiting.len());
        lengths.max().unwrap_or_default()
    }

    /// Removes the newest item of the longest lane.
    pub(super) fn shed(&mut self) -> Option<T> {
        let lanes = self.lanes.iter_mut();
        let longest = lanes.max_by_key(|lane| lane.waiting.len())?;
        let newest = longest.waiting.len().checked_sub(1)?;
        let shed = longest.remove(newest)?;
        self.forget(&shed);
        self.drop_empty();
        Some(shed.item)
    }

    /// Removes an item.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let removed = self.lanes.iter_mut().find_map(|lane| {
            let index = lane.waiting.iter().position(|it| it.ticket == ticket)?;
            lane.remove(index)
        })?;
        self.forget(&removed);
        self.drop_empty();
        Some(removed.item)
    }

    /// Takes a removed item out of the sums.
    fn forget(&mut self, removed: &Waiting<T>) {
        self.item_count -= 1;
        self.work.subtract(&removed.demand);
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
        let has_backlog = oldest.is_some_and(|oldest| {
            now.saturating_duration_since(oldest.queued_at) > oldest.demand.backlog_age
        });
        (0..count).map(move |index| {
            if has_backlog {
                count - 1 - index
            } else {
                index
            }
        })
    }

    /// Reports whether the deficit counter allows a further item in this turn.
    ///
    /// It has to pay for the next item, or a lane whose costs differ would keep its turn for ever.
    /// Items of unknown work, whose costs are constant, need only a rest.
    fn keeps_turn(&self, now: Instant) -> bool {
        let next = self.order(now).next();
        let next = next.and_then(|index| self.waiting.get(index));
        let needed = match next {
            Some(next) if !next.demand.work.is_zero() => next.cost,
            _ => 1,
        };
        self.deficit >= needed
    }

    fn drain(&self, primary_only: bool) -> &Drain {
        &self.drains[usize::from(primary_only)]
    }

    /// Removes an item and charges its cost to the deficit counter.
    fn take(&mut self, index: usize, now: Instant) -> Option<Waiting<T>> {
        let taken = self.remove(index)?;
        let drain = &mut self.drains[usize::from(taken.demand.primary_only)];
        drain.add(taken.demand.work, now);
        if self.deficit < taken.cost {
            self.deficit += QUANTUM;
        }
        self.deficit -= taken.cost;
        Some(taken)
    }

    /// Removes an item without a charge.
    fn remove(&mut self, index: usize) -> Option<Waiting<T>> {
        let removed = self.waiting.remove(index)?;
        self.work.subtract(&removed.demand);
        Some(removed)
    }
}
