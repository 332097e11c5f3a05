//! Limits the requests to a backend server that is cold after its start.

use tokio::time::Instant;

/// Part of the allowed overage and slack that one host uses at once. The rest covers requests that
/// reach the server later than they were counted, and a change of the host that runs them.
const BURST_USED: f64 = 0.5;

/// Limit of the requests to a cold server, over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second that the server can serve while it is cold.
    pub rate: f64,
    /// Factor by which the requests of one second may exceed the rate.
    pub overage: f64,
    /// Further requests in one second.
    pub slack: f64,
}

impl Limit {
    /// Returns the largest number of requests in any one second.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        self.rate * self.overage + self.slack
    }

    fn burst(&self) -> f64 {
        let allowed = self.per_second() - self.rate;
        (allowed * BURST_USED).max(0.0)
    }

    /// Returns the rate at which requests are sent, which with the burst stays below the limit.
    fn sent_rate(&self) -> f64 {
        self.rate.min(self.per_second())
    }
}

/// Tokens for requests to one cold server. It starts empty, so that a host that takes over a service
/// adds nothing to what the previous one has sent.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    limit: Limit,
    tokens: f64,
    updated: Instant,
}

impl Bucket {
    /// Returns an empty bucket.
    #[must_use]
    pub fn new(limit: Limit, now: Instant) -> Self {
        Self {
            limit,
            tokens: 0.0,
            updated: now,
        }
    }

    /// Replaces the limit.
    pub fn set_limit(&mut self, limit: Limit, now: Instant) {
        self.refill(now);
        self.limit = limit;
        self.tokens = self.tokens.min(limit.burst().max(1.0));
    }

    /// Empties the bucket, while another host sends the requests.
    pub fn clear(&mut self, now: Instant) {
        self.tokens = self.tokens.min(0.0);
        self.updated = now;
    }

    /// Reports whether a request may be sent.
    #[must_use]
    pub fn has_token(&self, now: Instant) -> bool {
        self.available(now) >= 1.0
    }

    /// Counts requests that are sent. Those that cannot wait, as in an open transaction, may leave a
    /// debt, which later tokens pay.
    pub fn take(&mut self, requests: u32, now: Instant) {
        self.refill(now);
        self.tokens -= f64::from(requests);
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.available(now);
        self.updated = self.updated.max(now);
    }

    fn available(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated);
        let earned = elapsed.as_secs_f64() * self.limit.sent_rate();
        let capacity = self.limit.burst().max(1.0);
        (self.tokens + earned).min(capacity)
    }
}
