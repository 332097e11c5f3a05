//! Mean duration of the statements of a service, from which waiting times are estimated.

use std::time::Duration;

/// Weight of one statement in the mean.
const WEIGHT: f64 = 0.05;
/// Mean duration before any statement has completed.
const INITIAL_MEAN: Duration = Duration::from_millis(20);

/// Exponentially weighted mean of the durations of statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    mean: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self { mean: INITIAL_MEAN }
    }
}

impl Pace {
    /// Adds the duration of a statement.
    pub fn record(&mut self, duration: Duration) {
        self.mean = self.mean.mul_f64(1.0 - WEIGHT) + duration.mul_f64(WEIGHT);
    }

    /// Returns the mean duration.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.mean
    }
}
