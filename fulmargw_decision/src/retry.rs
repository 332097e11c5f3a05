//! Retry budget and backoff.

use serde::Serialize;
use std::time::Duration;
use tokio::time::Instant;

/// Interval over which requests and retries are counted. The budget is computed from the current
/// and the previous interval.
const INTERVAL: Duration = Duration::from_secs(10);
/// Number of retries that are allowed regardless of the number of requests.
const MIN_RETRIES: u64 = 10;
/// Number of requests that allow one further retry.
const REQUESTS_PER_RETRY: u64 = 10;
/// Upper bound of the delay before the first retry.
const INITIAL_DELAY: Duration = Duration::from_millis(10);
/// Maximum upper bound of a delay.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// Limits retries to a fraction of the requests, so that they cannot amplify an overload.
#[derive(Debug, Clone)]
pub struct Budget {
    interval_start: Instant,
    current: Count,
    previous: Count,
}

/// Number of requests and retries in one interval.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Count {
    requests: u64,
    retries: u64,
}

impl Budget {
    /// Creates a budget without any requests.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            interval_start: now,
            current: Count::default(),
            previous: Count::default(),
        }
    }

    /// Counts a new request.
    pub fn record_request(&mut self, now: Instant) {
        self.advance(now);
        self.current.requests += 1;
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.advance(now);
        let requests = self.previous.requests + self.current.requests;
        let retries = self.previous.retries + self.current.retries;
        let allowed = retries < requests / REQUESTS_PER_RETRY + MIN_RETRIES;
        if allowed {
            self.current.retries += 1;
        }
        allowed
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.interval_start);
        if elapsed < INTERVAL {
            return;
        }
        self.previous = if elapsed < 2 * INTERVAL {
            self.current
        } else {
            Count::default()
        };
        self.current = Count::default();
        self.interval_start = now;
    }
}

/// Returns the upper bound of the random delay before a retry; the first retry has number 0.
#[must_use]
pub fn max_delay(retry: u32) -> Duration {
    INITIAL_DELAY
        .saturating_mul(1 << retry.min(8))
        .min(MAX_DELAY)
}

/// Returns the delay before a retry, with full jitter: `random` should be uniform in 0.0 to 1.0.
///
/// A value of `random` outside this range counts as 1.0.
#[must_use]
pub fn delay(retry: u32, random: f64) -> Duration {
    let fraction = if (0.0..=1.0).contains(&random) {
        random
    } else {
        1.0
    };
    max_delay(retry).mul_f64(fraction)
}
