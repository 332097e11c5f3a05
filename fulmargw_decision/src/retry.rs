//! Retry budget and backoff.

use serde::Serialize;
use std::time::Duration;
use tokio::time::Instant;

/// Span over which requests and retries are counted; two spans are kept.
const SPAN: Duration = Duration::from_secs(10);
/// Retries that are allowed in addition to the share of requests.
const RESERVE: u64 = 10;
/// One retry is allowed for this many requests.
const REQUESTS_PER_RETRY: u64 = 10;
/// Bound of the first random delay.
const FIRST_DELAY: Duration = Duration::from_millis(10);
/// Greatest bound of a random delay.
const GREATEST_DELAY: Duration = Duration::from_millis(200);

/// Limits retries to a share of the requests, so that retries cannot multiply an overload.
#[derive(Debug, Clone)]
pub struct Budget {
    began: Instant,
    current: Count,
    previous: Count,
}

/// Requests and retries of one span.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Count {
    requests: u64,
    retries: u64,
}

impl Budget {
    /// Makes a budget that has seen no request.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            current: Count::default(),
            previous: Count::default(),
        }
    }

    /// Counts a new request.
    pub fn record_request(&mut self, now: Instant) {
        self.advance(now);
        self.current.requests += 1;
    }

    /// Takes one retry out of the budget; false if none is left.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.advance(now);
        let requests = self.previous.requests + self.current.requests;
        let retries = self.previous.retries + self.current.retries;
        let allowed = retries < requests / REQUESTS_PER_RETRY + RESERVE;
        if allowed {
            self.current.retries += 1;
        }
        allowed
    }

    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.began);
        if passed < SPAN {
            return;
        }
        self.previous = if passed < 2 * SPAN {
            self.current
        } else {
            Count::default()
        };
        self.current = Count::default();
        self.began = now;
    }
}

/// Returns the bound of the random delay before the retry with this number, from 0.
#[must_use]
pub fn max_delay(retry: u32) -> Duration {
    FIRST_DELAY
        .saturating_mul(1 << retry.min(8))
        .min(GREATEST_DELAY)
}

/// Returns the delay before a retry: full jitter, with `random` uniform in 0.0 to 1.0.
///
/// Another value of `random` counts as 1.0.
#[must_use]
pub fn delay(retry: u32, random: f64) -> Duration {
    let share = if (0.0..=1.0).contains(&random) {
        random
    } else {
        1.0
    };
    max_delay(retry).mul_f64(share)
}
