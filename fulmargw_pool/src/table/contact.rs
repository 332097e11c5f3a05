//! Contact of this host with the witnesses of a service, without which it passes on no commits.

use super::barrier::{PERIOD, Wait};
use crate::clock;
use fulmargw_decision::contact::{LAPSE_TIME, VALIDITY};
use std::{mem, time::Duration};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

// A witness knows its age only up to `PERIOD`, see `Start::age`. It must be known for longer than a request
// that the witness may have forgotten proves contact.
const _: () = assert!(PERIOD.as_millis() > LAPSE_TIME.as_millis());

/// Age of the contact at which it is renewed. A try takes 1.05 s at most, so that the next one begins before
/// contact ends.
const RENEWAL_AGE: Duration = Duration::from_secs(1);
/// Delay after a try that failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time since the last commit for which the contact is renewed, so that the next commit need not wait.
const USE_PERIOD: Duration = Duration::from_secs(10);

/// The contact of this host for one service. Times are since boot: a host that was suspended must not
/// trust what it knew before.
#[derive(Debug, Default)]
pub struct Contact {
    /// Time at which the last request was sent that proved contact.
    proved_at: Option<Duration>,
    /// Time of the last commit that needed contact.
    wanted_at: Option<Duration>,
    /// Time of the last try to renew it that failed, if none has succeeded since.
    failed_at: Option<Duration>,
    /// Whether a try is under way.
    is_renewing: bool,
    /// Whether contact has been reported as lost.
    is_reported: bool,
    /// Time at which contact was last proved after it had ended.
    regained_at: Option<Instant>,
    /// Cancelled, and replaced, when contact is proved.
    proved: CancellationToken,
}

impl Contact {
    /// Reports whether commits may be passed on.
    #[must_use]
    pub fn is_valid(&self, now: Duration) -> bool {
        self.proved_at
            .is_some_and(|at| now.saturating_sub(at) < VALIDITY)
    }

    /// Reports whether commits must wait although this host goes on trying to prove contact.
    #[must_use]
    pub fn is_lost(&self, now: Duration) -> bool {
        self.is_used(now) && self.failed_at.is_some() && !self.is_valid(now)
    }

    fn is_used(&self, now: Duration) -> bool {
        self.wanted_at
            .is_some_and(|at| now.saturating_sub(at) < USE_PERIOD)
    }

    /// Reports whether contact had ended, and was regained, since `instant`.
    #[must_use]
    pub fn was_regained_since(&self, instant: Instant) -> bool {
        self.regained_at.is_some_and(|at| at >= instant)
    }

    /// Records that a commit needs contact.
    pub fn want(&mut self, now: Duration) {
        self.wanted_at = Some(now);
    }

    /// Records that a commit needs contact. Returns what it waits for; `None` if this host is in contact.
    pub fn require(&mut self, now: Instant) -> Option<Wait> {
        let since_boot = clock::since_boot();
        self.want(since_boot);
        (!self.is_valid(since_boot)).then(|| self.wait(now))
    }

    /// Returns what a commit waits for without contact.
    #[must_use]
    pub fn wait(&self, now: Instant) -> Wait {
        // The time is only a bound after which the state is looked at again.
        Wait::new(now + VALIDITY, self.proved.clone())
    }

    /// Reports whether contact has to be proved now, and marks the try as under way.
    pub fn start_renewal(&mut self, now: Duration) -> bool {
        let elapsed = |at: Duration| now.saturating_sub(at);
        let is_fresh = self.proved_at.is_some_and(|at| elapsed(at) < RENEWAL_AGE);
        let is_delayed = self.failed_at.is_some_and(|at| elapsed(at) < RETRY_DELAY);
        let is_due = self.is_used(now) && !is_fresh && !is_delayed && !self.is_renewing;
        self.is_renewing |= is_due;
        is_due
    }

    /// Records that contact is proved by responses to requests that were sent at `sent_at`. Returns whether
    /// it had been reported as lost.
    pub fn record_proof(&mut self, sent_at: Duration, now: Duration) -> bool {
        let was_valid = self.is_valid(now);
        self.is_renewing = false;
        self.proved_at = self.proved_at.max(Some(sent_at));
        self.failed_at = None;
        if !self.is_valid(now) {
            return false;
        }
        if !was_valid {
            self.regained_at = Some(Instant::now());
        }
        mem::take(&mut self.proved).cancel();
        mem::take(&mut self.is_reported)
    }

    /// Records that a try has failed. Returns whether contact has to be reported as lost.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        self.is_renewing = false;
        self.failed_at = Some(now);
        self.is_lost(now) && !mem::replace(&mut self.is_reported, true)
    }
}
