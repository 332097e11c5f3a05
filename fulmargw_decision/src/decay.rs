//! Averages over the recent past.

use std::time::Duration;
use tokio::time::Instant;

/// Work done per time, as an average number of slots, weighted towards the last `window`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rate {
    window: Duration,
    since: Instant,
    slots: f64,
    at: Instant,
}

impl Rate {
    /// Starts with no work at `now`.
    pub(crate) fn new(window: Duration, now: Instant) -> Self {
        Self {
            window,
            since: now,
            slots: 0.0,
            at: now,
        }
    }

    /// Records that work was done.
    pub(crate) fn add(&mut self, work: Duration, now: Instant) {
        self.slots = self.slots(now) + work.as_secs_f64() / self.window.as_secs_f64();
        self.at = now;
    }

    /// Returns the average, which counts the time before the start as idle.
    pub(crate) fn slots(&self, now: Instant) -> f64 {
        self.slots * self.remainder(self.at, now)
    }

    /// Returns the average since the start.
    pub(crate) fn slots_since_start(&self, now: Instant) -> f64 {
        let seen = 1.0 - self.remainder(self.since, now);
        if seen > 0.0 {
            self.slots(now) / seen
        } else {
            0.0
        }
    }

    /// Returns the weight that is left of `from` at `now`.
    fn remainder(&self, from: Instant, now: Instant) -> f64 {
        let age = now.saturating_duration_since(from);
        (-age.as_secs_f64() / self.window.as_secs_f64()).exp()
    }
}
