//! Timed samples of a primary's log position, from which bounds on staleness follow.

use fulmargw_model::position::Position;
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Minimum time between two samples that are kept.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum number of samples; together they span the staleness bounds in use.
const MAX_SAMPLES: usize = 128;

/// A log position that includes every commit acknowledged before the sample was requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Time at which it was requested from the primary, by the runtime's clock.
    pub requested_at: Instant,
    /// The same time by the clock that includes suspension.
    pub requested_since_boot: Duration,
    /// Log position that the primary reported.
    pub position: Position,
}

/// The present time by both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// By the runtime's clock.
    pub now: Instant,
    /// By the clock that includes suspension, as time since boot.
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
    /// Returns a sample that another host passed on, which had the age `age` after `requested`, the
    /// time at which it was requested from that host; `None` if that is before the clocks begin.
    ///
    /// The age is counted from before the request was sent, so the time in transit only makes the
    /// sample appear older.
    #[must_use]
    pub fn passed_on(position: Position, age: Duration, requested: Moment) -> Option<Self> {
        Some(Self {
            requested_at: requested.now.checked_sub(age)?,
            requested_since_boot: requested.since_boot.checked_sub(age)?,
            position,
        })
    }

    /// Returns the age by the clock that shows the greater one.
    #[must_use]
    pub fn age(&self, moment: Moment) -> Duration {
        let running = moment.now.saturating_duration_since(self.requested_at);
        let elapsed = moment.since_boot.saturating_sub(self.requested_since_boot);
        running.max(elapsed)
    }
}

/// Recent samples of one service.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    samples: VecDeque<Sample>,
}

impl Freshness {
    /// Adds a sample. A sample of a later term replaces all samples of earlier terms: their
    /// positions may be those of log entries that the promotion removed.
    pub fn add(&mut self, sample: Sample) {
        if let Some(last) = self.samples.back() {
            if sample.position.term < last.position.term || sample.requested_at <= last.requested_at
            {
                return;
            }
            if sample.position.term > last.position.term {
                self.samples.clear();
            } else if sample
                .requested_at
                .saturating_duration_since(last.requested_at)
                < MIN_SAMPLE_INTERVAL
            {
                return;
            }
        }
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Returns the oldest sample that is not older than `bound`. Of all valid positions, replicas
    /// are most likely to have applied this one.
    #[must_use]
    pub fn within(&self, bound: Duration, moment: Moment) -> Option<Sample> {
        // The samples are in the order of their age.
        let first = self
            .samples
            .partition_point(|sample| sample.age(moment) > bound);
        self.samples.get(first).copied()
    }

    /// Returns the newest sample.
    #[must_use]
    pub fn newest(&self) -> Option<Sample> {
        self.samples.back().copied()
    }

    /// Returns the age of the newest sample.
    #[must_use]
    pub fn newest_age(&self, moment: Moment) -> Option<Duration> {
        self.samples.back().map(|sample| sample.age(moment))
    }
}
