//! For how long the process of a backend server that answers on a connection is known to run.
//!
//! A connection stays with one process. Two connections that are open at the same time lead to the same
//! process, because only one accepts connections at an address. So a new connection takes over what is
//! known from an older one that still got a response after the new one was open.

use tokio::time::Instant;

/// What is known of the process behind one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tenure {
    /// Time at which the connection was open.
    ready_at: Instant,
    /// Time since which the process is known to run.
    since: Instant,
    /// Time at which the last request was sent that got a response.
    alive_at: Instant,
}

/// Latest response of a server on any connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Proof {
    latest: Option<Tenure>,
}

impl Tenure {
    /// Returns what is known of the process behind a connection that has just been opened.
    #[must_use]
    pub fn new(ready_at: Instant) -> Self {
        Self {
            ready_at,
            since: ready_at,
            alive_at: ready_at,
        }
    }

    /// Returns the time since which the process is known to run.
    #[must_use]
    pub fn since(&self) -> Instant {
        self.since
    }

    /// Records that a request which was sent at `sent_at` got a response.
    pub fn record_response(&mut self, sent_at: Instant) {
        self.alive_at = self.alive_at.max(sent_at);
    }
}

impl Proof {
    /// Compares a connection with the one that got the latest response, after it got one itself. Both lead
    /// to the same process if this one was open when that request was sent.
    pub fn compare(&mut self, tenure: &mut Tenure) {
        if let Some(latest) = self.latest
            && latest.alive_at >= tenure.ready_at
            && tenure.alive_at >= latest.alive_at
        {
            tenure.since = tenure.since.min(latest.since);
        }
        if self
            .latest
            .is_none_or(|latest| tenure.alive_at >= latest.alive_at)
        {
            self.latest = Some(*tenure);
        }
    }
}
