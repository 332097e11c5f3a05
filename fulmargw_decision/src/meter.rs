//! Counts events over the last seconds.

use std::time::Duration;
use tokio::time::Instant;

const SLOTS: usize = 8;
const SLOT: Duration = Duration::from_millis(250);

/// The time that a meter looks back.
pub const WINDOW: Duration = Duration::from_secs(2);

/// A rate meter over the last [`WINDOW`].
#[derive(Debug, Clone)]
pub struct Meter {
    counts: [u32; SLOTS],
    current: usize,
    since: Instant,
}

impl Meter {
    /// Makes a meter that has counted nothing.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            counts: [0; SLOTS],
            current: 0,
            since: now,
        }
    }

    /// Counts an event.
    pub fn add(&mut self, now: Instant) {
        self.turn(now);
        self.counts[self.current] = self.counts[self.current].saturating_add(1);
    }

    /// Returns the events per second.
    pub fn per_second(&mut self, now: Instant) -> f64 {
        self.turn(now);
        let total: f64 = self.counts.iter().copied().map(f64::from).sum();
        total / WINDOW.as_secs_f64()
    }

    fn turn(&mut self, now: Instant) {
        if now.saturating_duration_since(self.since) >= WINDOW * 2 {
            *self = Self::new(now);
            return;
        }
        while now >= self.since + SLOT {
            self.since += SLOT;
            self.current = (self.current + 1) % SLOTS;
            self.counts[self.current] = 0;
        }
    }
}
