//! Admission of requests within the rate limits of their client accounts.

use crate::{
    account::{Accounts, Entry},
    agent::Agent,
    peers::Peers,
    table::Entitlement,
};
use fulmargw_decision::{meter, rate::Shortage};
use fulmargw_model::{
    name::Name,
    outcome::{Reason, Refusal},
};
use fulmargw_platform::store::Store;
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::{Notify, Semaphore},
    time::{Instant, sleep_until, timeout_at},
};

/// Bounds of the retry delay that a refused caller is given.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Shortest wait for a token, the resolution of the timer. Without it, the wait for a billionth
/// of a token would round to zero and the task would spin.
const MIN_TOKEN_WAIT: Duration = Duration::from_millis(1);

/// Longest wait for a token before the waiting request starts to borrow again.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(50);

/// Time for which tokens are borrowed ahead of the offered load.
pub(crate) const PREFETCH_TIME: Duration = Duration::from_millis(20);

/// Why a request got no token.
#[derive(Debug)]
enum Failure {
    /// The request is refused.
    Refused(Refusal),
    /// The request may wait for tokens.
    NoToken(Shortage),
}

/// Whether a request tries to take a token for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    /// On arrival. It counts towards the offered load and doesn't overtake waiting requests.
    First,
    /// As the first of the waiting requests.
    Queued,
}

impl<S: Store, P: Peers> Agent<S, P> {
    /// Takes one token of the account for a request. Waits for tokens until the deadline, but
    /// at most for the time in the settings.
    ///
    /// # Errors
    ///
    /// If this host has no valid lease, the account is not configured, or no token became
    /// available in time.
    pub async fn admit(&self, account: &Name, deadline: Instant) -> Result<(), Refusal> {
        match self.try_take(account, Attempt::First) {
            Ok(()) => Ok(()),
            Err(Failure::Refused(refusal)) => Err(refusal),
            Err(Failure::NoToken(_)) => self.wait_for_token(account, deadline).await,
        }
    }

    async fn wait_for_token(&self, account: &Name, deadline: Instant) -> Result<(), Refusal> {
        let deadline = deadline.min(Instant::now() + self.shared.settings.admit_wait());
        let waiting = self.enqueue(account)?;
        self.start_borrowing(account);
        let Ok(Ok(_permit)) = timeout_at(deadline, waiting.queue.acquire()).await else {
            return Err(self.refuse(account));
        };
        self.take_as_first(account, deadline, &waiting.refilled)
            .await
    }

    /// Waits for a token as the first of the waiting requests.
    async fn take_as_first(
        &self,
        account: &Name,
        deadline: Instant,
        refilled: &Notify,
    ) -> Result<(), Refusal> {
        loop {
            let shortage = match self.try_take(account, Attempt::Queued) {
                Ok(()) => return Ok(()),
                Err(Failure::Refused(refusal)) => return Err(refusal),
                Err(Failure::NoToken(shortage)) => shortage,
            };
            if Instant::now() >= deadline {
                return Err(self.refuse(account));
            }
            self.start_borrowing(account);
            let retry_at = Instant::now() + shortage.wait.clamp(MIN_TOKEN_WAIT, MAX_TOKEN_WAIT);
            tokio::select! {
                () = refilled.notified() => {}
                () = sleep_until(retry_at.min(deadline)) => {}
            }
        }
    }

    fn try_take(&self, account: &Name, attempt: Attempt) -> Result<(), Failure> {
        let fleet = self.shared.fleet.lock();
        let now = Instant::now();
        let entitlement = fleet.entitlement(now).filter(Entitlement::has_share);
        let Some(entitlement) = entitlement else {
            return Err(Failure::Refused(refusal(Reason::Lease)));
        };
        let mut accounts = self.shared.accounts.lock();
        accounts.assign_to(&entitlement.instance, now);
        let Some(entry) = accounts.entries.get_mut(account) else {
            return Err(Failure::Refused(refusal(Reason::Key)));
        };
        let taken = entry.take(&entitlement, attempt, now);
        let prefetch = taken.is_ok() && entry.is_running_low(&entitlement, now);
        drop(accounts);
        drop(fleet);
        if prefetch {
            self.start_borrowing(account);
        }
        taken
    }

    /// Counts a request as waiting, or refuses it if more requests wait than the rate can admit
    /// in time.
    fn enqueue(&self, account: &Name) -> Result<WaitGuard<'_, S, P>, Refusal> {
        let wait = self.shared.settings.admit_wait();
        let mut accounts = self.shared.accounts.lock();
        let Some(entry) = accounts.entries.get_mut(account) else {
            return Err(refusal(Reason::Key));
        };
        let admissible = entry.account.rate * wait.as_secs_f64() + 1.0;
        if f64::from(entry.waiting) >= admissible {
            return Err(entry.refuse(Instant::now()));
        }
        entry.waiting += 1;
        Ok(WaitGuard {
            agent: self,
            account: account.clone(),
            queue: entry.queue.clone(),
            refilled: entry.refilled.clone(),
        })
    }

    fn refuse(&self, account: &Name) -> Refusal {
        let mut accounts = self.shared.accounts.lock();
        accounts
            .entries
            .get_mut(account)
            .map_or(refusal(Reason::Key), |entry| entry.refuse(Instant::now()))
    }
}

/// Counts a request as waiting until it is dropped.
struct WaitGuard<'a, S: Store, P: Peers> {
    agent: &'a Agent<S, P>,
    account: Name,
    queue: Arc<Semaphore>,
    refilled: Arc<Notify>,
}

impl<S: Store, P: Peers> Drop for WaitGuard<'_, S, P> {
    fn drop(&mut self) {
        let mut accounts = self.agent.shared.accounts.lock();
        accounts.stop_waiting(&self.account);
    }
}

impl Accounts {
    fn stop_waiting(&mut self, account: &Name) {
        if let Some(entry) = self.entries.get_mut(account) {
            entry.waiting = entry.waiting.saturating_sub(1);
        }
    }
}

impl Entry {
    fn take(
        &mut self,
        entitlement: &Entitlement,
        attempt: Attempt,
        now: Instant,
    ) -> Result<(), Failure> {
        let first = attempt == Attempt::First;
        if first {
            self.offered.add(now);
        }
        if first && self.waiting > 0 {
            return Err(Failure::NoToken(Shortage {
                missing: 1.0,
                wait: Duration::ZERO,
            }));
        }
        let share = self.share(entitlement);
        self.bucket.take(share, now).map_err(Failure::NoToken)?;
        self.counters.admitted.increment(1);
        if !first {
            self.counters.waited.increment(1);
        }
        Ok(())
    }

    /// Reports whether the offered load exceeds the share of this host and uses up the bucket
    /// within [`PREFETCH_TIME`].
    fn is_running_low(&mut self, entitlement: &Entitlement, now: Instant) -> bool {
        let offered = self.offered.per_second(now);
        let soon = offered * PREFETCH_TIME.as_secs_f64();
        offered > self.share(entitlement).rate && self.bucket.available() < soon
    }

    fn refuse(&mut self, now: Instant) -> Refusal {
        self.counters.refused.increment(1);
        if self.is_within_rate(now) {
            self.counters.refused_inside_rate.increment(1);
        }
        let seconds = (f64::from(self.waiting) + 1.0) / self.account.rate;
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER);
        Refusal {
            reason: Reason::Rate,
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    /// Reports whether the offered load of this host and of the lenders that responded recently
    /// is within the rate of the account.
    fn is_within_rate(&mut self, now: Instant) -> bool {
        let recent = self
            .lenders
            .values()
            .filter(|lender| now < lender.responded_at + meter::WINDOW);
        let elsewhere: f64 = recent.map(|lender| lender.offered).sum();
        self.offered.per_second(now) + elsewhere <= self.account.rate
    }
}

fn refusal(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after: Duration::from_millis(250),
    }
}
