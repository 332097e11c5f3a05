//! Event rate over a sliding window.

use std::time::Duration;
use tokio::time::Instant;

const BUCKETS: usize = 8;
const BUCKET_WIDTH: Duration = Duration::from_millis(250);

/// Length of the sliding window.
pub const WINDOW: Duration = Duration::from_secs(2);

/// Counts events in a ring of time buckets that covers the last [`WINDOW`].
#[derive(Debug, Clone)]
pub struct Meter {
    counts: [u32; BUCKETS],
    current: usize,
    current_start: Instant,
}

impl Meter {
    /// Creates an empty meter.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            counts: [0; BUCKETS],
            current: 0,
            current_start: now,
        }
    }

    /// Counts an event.
    pub fn add(&mut self, now: Instant) {
        self.advance(now);
        self.counts[self.current] = self.counts[self.current].saturating_add(1);
    }

    /// Returns the rate over the window, in events per second.
    pub fn per_second(&mut self, now: Instant) -> f64 {
        self.advance(now);
        let total: f64 = self.counts.iter().copied().map(f64::from).sum();
        total / WINDOW.as_secs_f64()
    }

    /// Advances the ring to `now` and clears the buckets that it passes.
    fn advance(&mut self, now: Instant) {
        if now.saturating_duration_since(self.current_start) >= WINDOW * 2 {
            *self = Self::new(now);
            return;
        }
        while now >= self.current_start + BUCKET_WIDTH {
            self.current_start += BUCKET_WIDTH;
            self.current = (self.current + 1) % BUCKETS;
            self.counts[self.current] = 0;
        }
    }
}
