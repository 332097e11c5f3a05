//! What a host knows of the log of a primary, and since when.

use fulmargw_model::position::Position;
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Shortest time between two samples that are kept.
const SPACING: Duration = Duration::from_millis(40);
/// Samples that are kept; they span the staleness bounds in use.
const CAPACITY: usize = 128;

/// A position that includes every commit acknowledged before the sample was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Time at which the primary was asked, by the runtime's clock.
    pub asked: Instant,
    /// The same time by the clock that counts suspension.
    pub asked_since_boot: Duration,
    /// Position that the primary told.
    pub position: Position,
}

/// The present time by both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// By the runtime's clock.
    pub now: Instant,
    /// By the clock that counts suspension.
    pub since_boot: Duration,
}

impl Moment {
    /// Reads both clocks.
    #[must_use]
    pub fn now() -> Self {
        Self {
            now: Instant::now(),
            since_boot: crate::clock::since_boot(),
        }
    }
}

impl Sample {
    /// Returns the greater age by the two clocks.
    #[must_use]
    pub fn age(&self, moment: Moment) -> Duration {
        let running = moment.now.saturating_duration_since(self.asked);
        let elapsed = moment.since_boot.saturating_sub(self.asked_since_boot);
        running.max(elapsed)
    }
}

/// Recent samples of one service.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    samples: VecDeque<Sample>,
}

impl Freshness {
    /// Adds a sample. A later term replaces all samples of earlier ones, whose positions may
    /// belong to entries that the promotion removed.
    pub fn add(&mut self, sample: Sample) {
        if let Some(last) = self.samples.back() {
            if sample.position.term < last.position.term || sample.asked <= last.asked {
                return;
            }
            if sample.position.term > last.position.term {
                self.samples.clear();
            } else if sample.asked.saturating_duration_since(last.asked) < SPACING {
                return;
            }
        }
        if self.samples.len() >= CAPACITY {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Returns the oldest sample that is not older than `bound`: its position is the one that
    /// replicas are most likely to have applied.
    #[must_use]
    pub fn within(&self, bound: Duration, moment: Moment) -> Option<Sample> {
        let fresh = |sample: &&Sample| sample.age(moment) <= bound;
        self.samples.iter().find(fresh).copied()
    }

    /// Returns the age of the newest sample.
    #[must_use]
    pub fn newest_age(&self, moment: Moment) -> Option<Duration> {
        self.samples.back().map(|sample| sample.age(moment))
    }
}
