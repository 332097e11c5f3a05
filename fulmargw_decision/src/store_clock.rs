//! Age of changes that a store delivers, by the store's own steady clock.

use std::time::Duration;

/// Time for which an estimate of the store's clock is kept. Clocks that run at slightly different
/// speeds stay within milliseconds of each other for so long.
const ESTIMATE_RETENTION: Duration = Duration::from_mins(1);

/// A call to the store for changes since its last response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// Time at which it was sent, by this host's clock.
    pub sent: Duration,
    /// Whether the store responds as soon as there is a change, and not at once.
    pub waits: bool,
}

/// A response of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Response {
    /// Era of the store, whose clock starts anew in each.
    pub era: u64,
    /// Time at which it was sent, by the store's clock.
    pub sent: Duration,
    /// Time at which it was received, by this host's clock.
    pub received: Duration,
}

impl Response {
    /// Returns the time of the store's clock at a time of this host's, as if the response had been
    /// delivered at once.
    fn estimate(&self, at: Duration) -> Duration {
        let sent = self.sent + at;
        sent.saturating_sub(self.received)
    }
}

/// Follows the clock of the store. Times of this host are those of a clock that includes suspension.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreClock {
    last: Option<Response>,
    /// The response that was delivered fastest of late.
    fastest: Option<Response>,
}

impl StoreClock {
    /// Records a response. Returns the greatest age, on arrival, of a change that it delivers and
    /// that the last response did not; `None` if there was none in this era.
    pub fn record(&mut self, call: Call, response: Response) -> Option<Duration> {
        let last = self.last.replace(response);
        let last = last.filter(|last| last.era == response.era);
        self.keep_fastest(response);
        let last = last?;
        let since_last = response.sent.saturating_sub(last.sent);
        let unwatched = if call.waits {
            // The store has responded to a change during the call at once.
            let started = self.estimate(call.sent)?;
            started.saturating_sub(last.sent).min(since_last)
        } else {
            since_last
        };
        let in_transit = self.estimate(response.received)?;
        Some(unwatched + in_transit.saturating_sub(response.sent))
    }

    /// Returns the time since the last response.
    #[must_use]
    pub fn silence(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.last?.received))
    }

    /// Returns the time of the store's clock at a time of this host's, by the fastest response.
    fn estimate(&self, at: Duration) -> Option<Duration> {
        Some(self.fastest?.estimate(at))
    }

    fn keep_fastest(&mut self, response: Response) {
        let is_kept = self.fastest.is_some_and(|fastest| {
            fastest.era == response.era
                && response.received.saturating_sub(fastest.received) < ESTIMATE_RETENTION
                && fastest.estimate(response.received) >= response.sent
        });
        if !is_kept {
            self.fastest = Some(response);
        }
    }
}
