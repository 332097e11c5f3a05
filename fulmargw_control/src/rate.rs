//! Admission of requests within the rates of their client accounts.

use crate::{
    account::{Accounts, Entry},
    agent::Agent,
    peers::Peers,
    table::Standing,
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

/// Bounds of the time after which a refused caller should try again.
const SHORTEST_RETRY: Duration = Duration::from_millis(10);
const LONGEST_RETRY: Duration = Duration::from_secs(5);

/// Shortest wait for a token, the resolution of the timer. A billionth of a missing token
/// would otherwise round to no wait at all, and the task would spin.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// Longest time after which a waiting request looks for lenders again.
const RETRY: Duration = Duration::from_millis(50);

/// Time for which tokens are fetched ahead of demand.
pub(crate) const LOOKAHEAD: Duration = Duration::from_millis(20);

/// Why a request got no token at this moment.
#[derive(Debug)]
enum Obstacle {
    Refused(Refusal),
    Short(Shortage),
}

/// How a request comes to its account's bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    /// On arrival: it is counted as offered and does not overtake waiting requests.
    First,
    /// As the first of the waiting requests.
    Next,
}

impl<S: Store, P: Peers> Agent<S, P> {
    /// Takes one request out of the account's share, waiting for tokens up to the deadline
    /// and the bound of the settings.
    ///
    /// # Errors
    ///
    /// If this host has no valid lease, the account is not configured, or no token came in
    /// time.
    pub async fn admit(&self, account: &Name, deadline: Instant) -> Result<(), Refusal> {
        match self.try_take(account, Attempt::First) {
            Ok(()) => Ok(()),
            Err(Obstacle::Refused(refusal)) => Err(refusal),
            Err(Obstacle::Short(_)) => self.wait_for_token(account, deadline).await,
        }
    }

    async fn wait_for_token(&self, account: &Name, deadline: Instant) -> Result<(), Refusal> {
        let limit = deadline.min(Instant::now() + self.shared.settings.admit_wait());
        let waiting = self.enqueue(account)?;
        self.start_borrowing(account);
        let Ok(Ok(_permit)) = timeout_at(limit, waiting.turn.acquire()).await else {
            return Err(self.refuse(account));
        };
        self.take_in_turn(account, limit, &waiting.changed).await
    }

    async fn take_in_turn(
        &self,
        account: &Name,
        limit: Instant,
        changed: &Notify,
    ) -> Result<(), Refusal> {
        loop {
            let shortage = match self.try_take(account, Attempt::Next) {
                Ok(()) => return Ok(()),
                Err(Obstacle::Refused(refusal)) => return Err(refusal),
                Err(Obstacle::Short(shortage)) => shortage,
            };
            if Instant::now() >= limit {
                return Err(self.refuse(account));
            }
            self.start_borrowing(account);
            let refilled = Instant::now() + shortage.wait.clamp(SHORTEST_WAIT, RETRY);
            tokio::select! {
                () = changed.notified() => {}
                () = sleep_until(refilled.min(limit)) => {}
            }
        }
    }

    fn try_take(&self, account: &Name, attempt: Attempt) -> Result<(), Obstacle> {
        let fleet = self.shared.fleet.lock();
        let now = Instant::now();
        let standing = fleet.standing(now).filter(Standing::has_share);
        let Some(standing) = standing else {
            return Err(Obstacle::Refused(refusal(Reason::Lease)));
        };
        let mut accounts = self.shared.accounts.lock();
        accounts.belong_to(&standing.life, now);
        let Some(entry) = accounts.entries.get_mut(account) else {
            return Err(Obstacle::Refused(refusal(Reason::Key)));
        };
        let taken = entry.take(&standing, attempt, now);
        let prefetch = taken.is_ok() && entry.is_running_low(&standing, now);
        drop(accounts);
        drop(fleet);
        if prefetch {
            self.start_borrowing(account);
        }
        taken
    }

    /// Adds a request to those that wait, unless more wait than can be admitted in time.
    fn enqueue(&self, account: &Name) -> Result<Waiting<'_, S, P>, Refusal> {
        let limit = self.shared.settings.admit_wait();
        let mut accounts = self.shared.accounts.lock();
        let Some(entry) = accounts.entries.get_mut(account) else {
            return Err(refusal(Reason::Key));
        };
        let in_time = entry.account.rate * limit.as_secs_f64() + 1.0;
        if f64::from(entry.waiting) >= in_time {
            return Err(entry.refuse(Instant::now()));
        }
        entry.waiting += 1;
        Ok(Waiting {
            agent: self,
            account: account.clone(),
            turn: entry.turn.clone(),
            changed: entry.changed.clone(),
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

/// A waiting request, counted until it is dropped.
struct Waiting<'a, S: Store, P: Peers> {
    agent: &'a Agent<S, P>,
    account: Name,
    turn: Arc<Semaphore>,
    changed: Arc<Notify>,
}

impl<S: Store, P: Peers> Drop for Waiting<'_, S, P> {
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
        standing: &Standing,
        attempt: Attempt,
        now: Instant,
    ) -> Result<(), Obstacle> {
        let first = attempt == Attempt::First;
        if first {
            self.offered.add(now);
        }
        if first && self.waiting > 0 {
            return Err(Obstacle::Short(Shortage {
                missing: 1.0,
                wait: Duration::ZERO,
            }));
        }
        let share = self.share(standing);
        self.bucket.take(share, now).map_err(Obstacle::Short)?;
        self.counters.admitted.increment(1);
        if !first {
            self.counters.waited.increment(1);
        }
        Ok(())
    }

    /// Reports whether requests come faster than the own share and will soon have to wait.
    fn is_running_low(&mut self, standing: &Standing, now: Instant) -> bool {
        let offered = self.offered.per_second(now);
        let soon = offered * LOOKAHEAD.as_secs_f64();
        offered > self.share(standing).rate && self.bucket.available() < soon
    }

    fn refuse(&mut self, now: Instant) -> Refusal {
        self.counters.refused.increment(1);
        if self.is_inside_rate(now) {
            self.counters.refused_inside_rate.increment(1);
        }
        let seconds = (f64::from(self.waiting) + 1.0) / self.account.rate;
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_RETRY);
        Refusal {
            reason: Reason::Rate,
            retry_after: wait.clamp(SHORTEST_RETRY, LONGEST_RETRY),
        }
    }

    /// Reports whether the requests offered here and, as far as lenders told recently, on
    /// other hosts are within the rate.
    fn is_inside_rate(&mut self, now: Instant) -> bool {
        let recent = self
            .lenders
            .values()
            .filter(|lender| now < lender.at + meter::WINDOW);
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
