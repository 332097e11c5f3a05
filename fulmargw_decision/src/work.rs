//! Estimates the service time of each kind of statement from completed statements.
//!
//! An exponentially weighted mean with the mean deviation. The expected wait is a sum over many
//! statements, which depends on the mean only, so that a histogram would not add to it.

use crate::decay::Rate;
use fulmargw_model::{execution, name::Name};
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Number of completed statements over which the mean is weighted.
const WINDOW: u32 = 32;
/// Number of completed statements from which on an estimate is used.
const MIN_SAMPLES: u32 = 20;
/// Age of the last sample from which on an estimate is not used any more.
const MAX_AGE: Duration = Duration::from_secs(30);
/// A sample counts as at most this multiple of the mean, so that a single statement that was stuck
/// does not distort the estimate of short ones. A lasting change still shows within a window.
const MAX_SAMPLE_FACTOR: f64 = 4.0;
/// Largest cost in the deficit round robin.
const MAX_COST: u32 = 4;
/// Time over which the occupied slots are averaged. It spans a few statements of a kind that
/// arrives twice a second, and is shorter than a burst.
const OCCUPANCY_TIME: Duration = Duration::from_secs(4);

/// The place of a statement in its transaction, as far as its service time depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A read outside a transaction.
    Read,
    /// A write outside a transaction.
    Write,
    /// The first statement of a transaction.
    First,
    /// A later statement of a transaction, or its end.
    Inside,
}

impl From<execution::Kind> for Class {
    fn from(kind: execution::Kind) -> Self {
        match kind {
            execution::Kind::Read => Self::Read,
            execution::Kind::Write => Self::Write,
            execution::Kind::FirstInTransaction { .. } => Self::First,
            _ => Self::Inside,
        }
    }
}

/// A kind of statement with an estimate of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Kind {
    /// Priority of its route.
    pub priority: u32,
    /// Its place in a transaction.
    pub class: Class,
}

/// Estimated service time of a kind of statement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Weighted mean.
    pub mean: Duration,
    /// Weighted mean deviation from the mean.
    pub deviation: Duration,
    /// Number of completed statements.
    pub samples: u32,
    /// Time of the last one.
    pub updated_at: Instant,
}

impl Estimate {
    fn new(sample: Duration, now: Instant) -> Self {
        Self {
            mean: sample,
            deviation: Duration::ZERO,
            samples: 1,
            updated_at: now,
        }
    }

    fn add(&mut self, sample: Duration, now: Instant) {
        if now.saturating_duration_since(self.updated_at) >= MAX_AGE {
            // One sample must not make an estimate of long ago reliable again.
            *self = Self::new(sample, now);
            return;
        }
        self.samples = self.samples.saturating_add(1);
        self.updated_at = now;
        let weight = 1.0 / f64::from(self.samples.min(WINDOW));
        let mean = self.mean.as_secs_f64();
        let bound = if self.samples > MIN_SAMPLES {
            mean * MAX_SAMPLE_FACTOR
        } else {
            f64::INFINITY
        };
        let difference = sample.as_secs_f64().min(bound) - mean;
        let deviation = self.deviation.as_secs_f64();
        self.mean = seconds(mean + weight * difference);
        self.deviation = seconds(deviation + weight * (difference.abs() - deviation));
    }

    /// Reports whether there are enough recent samples to decide by the estimate.
    #[must_use]
    pub fn is_reliable(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.updated_at);
        self.samples >= MIN_SAMPLES && age < MAX_AGE
    }
}

/// What is known of the work of one service's statements.
#[derive(Debug, Default)]
pub struct Profile {
    /// Estimates over all servers, each weighted by the statements that it completes.
    kinds: BTreeMap<Kind, Estimate>,
    servers: BTreeMap<Name, Server>,
}

/// What is known of the work on one server.
#[derive(Debug, Default)]
struct Server {
    kinds: BTreeMap<Kind, Estimate>,
    /// Occupied slots by priority.
    occupied: BTreeMap<u32, Rate>,
}

impl Profile {
    /// Records that a server completed a statement.
    pub fn record(&mut self, kind: Kind, server: &Name, work: Duration, now: Instant) {
        add(&mut self.kinds, kind, work, now);
        if !self.servers.contains_key(server) {
            self.servers.insert(server.clone(), Server::default());
        }
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        add(&mut server.kinds, kind, work, now);
        let occupancy = server.occupied.entry(kind.priority);
        let occupancy = occupancy.or_insert_with(|| Rate::new(OCCUPANCY_TIME, now));
        occupancy.add(work, now);
    }

    /// Returns the estimated work of a kind on the servers that run it; `None` if there are few
    /// recent samples.
    #[must_use]
    pub fn work(&self, kind: Kind, now: Instant) -> Option<Duration> {
        let estimate = self.kinds.get(&kind)?;
        estimate.is_reliable(now).then_some(estimate.mean)
    }

    /// Returns the cost of a kind in the deficit round robin, from 1 to [`MAX_COST`], in proportion
    /// to the work of the kinds of its priority; `None` if there are few recent samples.
    #[must_use]
    pub fn cost(&self, kind: Kind, now: Instant) -> Option<u32> {
        let work = self.work(kind, now)?;
        let largest = largest(&self.kinds, kind.priority, now)?;
        (1..=MAX_COST).find(|cost| work * MAX_COST <= largest * *cost)
    }

    /// Returns the number of slots of a server that statements of a higher priority than
    /// `priority` have occupied lately.
    #[must_use]
    pub fn occupied_above(&self, server: &Name, priority: u32, now: Instant) -> f64 {
        let Some(server) = self.servers.get(server) else {
            return 0.0;
        };
        let above = server.occupied.range(..priority);
        above.map(|(_, occupancy)| occupancy.slots(now)).sum()
    }

    /// Returns the number of slots of a server that statements of a priority have occupied lately.
    #[must_use]
    pub fn occupied(&self, server: &Name, priority: u32, now: Instant) -> f64 {
        let server = self.servers.get(server);
        let occupied = server.and_then(|server| server.occupied.get(&priority));
        occupied.map_or(0.0, |occupied| occupied.slots(now))
    }

    /// Returns the largest estimated work of a priority's statements outside of transactions on a
    /// server; zero if there are few recent samples.
    #[must_use]
    pub fn longest_work(&self, server: &Name, priority: u32, now: Instant) -> Duration {
        let Some(server) = self.servers.get(server) else {
            return Duration::ZERO;
        };
        largest(&server.kinds, priority, now).unwrap_or_default()
    }

    /// Returns the estimates of each server.
    pub fn estimates(&self) -> impl Iterator<Item = (&Name, Kind, Estimate)> {
        self.servers.iter().flat_map(|(name, server)| {
            let kinds = server.kinds.iter();
            kinds.map(move |(kind, estimate)| (name, *kind, *estimate))
        })
    }

    /// Drops what is known of servers that are no longer registered.
    pub fn retain_servers(&mut self, is_registered: impl Fn(&Name) -> bool) {
        self.servers.retain(|name, _| is_registered(name));
    }
}

/// Returns the largest estimated work of a priority's statements that wait in the queue.
fn largest(kinds: &BTreeMap<Kind, Estimate>, priority: u32, now: Instant) -> Option<Duration> {
    let [first, last] = [Class::Read, Class::First].map(|class| Kind { priority, class });
    let kinds = kinds.range(first..=last);
    let reliable = kinds.filter(|(_, estimate)| estimate.is_reliable(now));
    reliable.map(|(_, estimate)| estimate.mean).max()
}

fn add(kinds: &mut BTreeMap<Kind, Estimate>, kind: Kind, work: Duration, now: Instant) {
    kinds
        .entry(kind)
        .and_modify(|estimate| estimate.add(work, now))
        .or_insert_with(|| Estimate::new(work, now));
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or_default()
}
