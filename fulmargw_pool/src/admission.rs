//! Admission control: token buckets for the rates of client accounts.
//!
//! The rate of an account is divided among a few of the hosts, its home hosts. Every host admits
//! operations; a host that runs out of tokens borrows them from the home hosts.

use crate::{catalog::Catalog, dump, settings::Limits};
use fulmargw_decision::{
    meter::Meter,
    rate::{Bucket, GRANT_LIFETIME, Grant, Settlement, Share},
    rendezvous,
};
use fulmargw_model::{client_account::Account, name::Name};
use std::{
    collections::{BTreeMap, HashMap},
    mem,
    sync::Arc,
    time::Duration,
};
use tokio::{sync::Notify, time::Instant};

/// Number of home hosts of an account. With more of them each share of the rate gets smaller; with
/// fewer of them the loss of one host costs more of the rate.
pub const HOME_HOSTS: u8 = 4;
/// Shortest retry delay that a refused caller is given.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest retry delay that a refused caller is given.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Period of future demand for which tokens are borrowed in advance.
const BORROW_AHEAD: Duration = Duration::from_millis(60);
/// Period of its own future demand for which a lender keeps tokens back.
const LENDER_RESERVE: Duration = Duration::from_millis(80);
/// Number of expected tokens below which no loan is requested from a lender.
const MIN_EXPECTED_TOKENS: f64 = 0.9;
/// Time for which a lender that did not respond is skipped. It doubles with each further request
/// without a response, because no other loan is requested while a request is pending.
const LENDER_BACKOFF: Duration = Duration::from_millis(500);
/// Largest number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Token buckets of this host, one for each client account.
#[derive(Debug)]
pub struct Admission {
    own_host: Name,
    first_grant_id: u64,
    hosts: Vec<Name>,
    limits: Limits,
    entries: HashMap<Name, Entry>,
}

#[derive(Debug)]
struct Entry {
    /// Account with the allowed overage added to its rate and burst.
    account: Account,
    homes: Vec<Name>,
    bucket: Bucket,
    /// Tokens to add once, when this host first has a share of the rate.
    startup_tokens: f64,
    offered_load: Meter,
    waiters: u32,
    is_borrowing: bool,
    tokens_changed: Arc<Notify>,
    lenders: BTreeMap<Name, Lender>,
}

/// Latest response of a lender.
#[derive(Debug, Clone, Copy)]
struct Lender {
    remaining: f64,
    updated_at: Instant,
    /// Consecutive requests without a response.
    failures: u32,
}

impl Lender {
    /// Reports whether the lender is skipped because it did not respond.
    fn is_backing_off(&self, now: Instant) -> bool {
        let doublings = self.failures.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        self.failures > 0 && now < self.updated_at + LENDER_BACKOFF * (1 << doublings)
    }
}

/// The rate of an account does not allow an operation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Rate of the account over all hosts, in operations per second.
    pub rate: f64,
    /// Whether this host has a share of the rate.
    pub has_share: bool,
    /// Tokens available on this host.
    pub available: f64,
    /// Time until this host is expected to have a token.
    pub retry_after: Duration,
}

/// A loan to request from another host.
#[derive(Debug, Clone, PartialEq)]
pub struct LoanPlan {
    /// Host that receives the loan request.
    pub lender: Name,
    /// Number of tokens to request.
    pub tokens: f64,
    /// Earlier grants of the lender that are settled with the request.
    pub settled: Vec<Settlement>,
}

impl Admission {
    /// Creates a table without accounts. Grants are numbered from `first_grant_id`.
    #[must_use]
    pub fn new(own_host: Name, first_grant_id: u64, limits: Limits) -> Self {
        Self {
            hosts: vec![own_host.clone()],
            own_host,
            first_grant_id,
            limits,
            entries: HashMap::new(),
        }
    }

    /// Applies the accounts of a configuration.
    pub fn configure(&mut self, catalog: &Catalog, now: Instant) {
        let accounts = &catalog.accounts;
        self.entries.retain(|name, _| accounts.contains_key(name));
        for (name, account) in accounts {
            let allowed = self.with_overage(account);
            if let Some(entry) = self.entries.get_mut(name) {
                entry.account = allowed;
                continue;
            }
            let share = Share {
                rate: 0.0,
                burst: 0.0,
            };
            let entry = Entry {
                homes: homes(name, &self.hosts),
                account: allowed,
                bucket: Bucket::new(share, self.first_grant_id, now),
                startup_tokens: self.limits.startup_tokens() / f64::from(HOME_HOSTS),
                offered_load: Meter::new(now),
                waiters: 0,
                is_borrowing: false,
                tokens_changed: Arc::default(),
                lenders: BTreeMap::new(),
            };
            self.entries.insert(name.clone(), entry);
        }
    }

    /// Applies new limits, which determine the allowed overage of each account.
    pub fn set_limits(&mut self, limits: Limits, catalog: Option<&Catalog>, now: Instant) {
        self.limits = limits;
        if let Some(catalog) = catalog {
            self.configure(catalog, now);
        }
    }

    /// Describes the accounts for the state dump.
    #[must_use]
    pub fn dump_accounts(&self) -> BTreeMap<Name, dump::Account> {
        let described = self.entries.iter().map(|(name, entry)| {
            let account = dump::Account {
                rate: entry.account.rate,
                available: entry.bucket.available(),
                lent: entry.bucket.lent(),
                is_home: entry.homes.contains(&self.own_host),
            };
            (name.clone(), account)
        });
        described.collect()
    }

    /// Sets the hosts among which home hosts are chosen.
    pub fn set_hosts(&mut self, hosts: Vec<Name>) {
        self.hosts = hosts;
        for (name, entry) in &mut self.entries {
            entry.homes = homes(name, &self.hosts);
        }
    }

    /// Returns the account with the allowed overage added to its rate and burst.
    fn with_overage(&self, account: &Account) -> Account {
        let factor = self.limits.rate_factor();
        Account {
            rate: account.rate * factor,
            burst: account.burst * factor + self.limits.extra_burst(),
            keys: Vec::new(),
            name: account.name.clone(),
        }
    }

    /// Takes one token for an operation of an account. A host without a share uses borrowed tokens
    /// only.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no token is available.
    pub fn take(
        &mut self,
        account: &Name,
        attempt: Attempt,
        has_share: bool,
        now: Instant,
    ) -> Result<(), Refusal> {
        let own_host = self.own_host.clone();
        let Some(entry) = self.entries.get_mut(account) else {
            return Err(Refusal {
                rate: 0.0,
                has_share,
                available: 0.0,
                retry_after: MAX_RETRY_DELAY,
            });
        };
        if attempt == Attempt::First {
            entry.offered_load.add(now);
        }
        let share = entry.share(&own_host, has_share);
        let rate = entry.account.rate;
        entry.advance(share, now);
        entry.bucket.take(share, now).map_err(|shortage| {
            let refill = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_RETRY_DELAY);
            Refusal {
                rate,
                has_share: share.rate > 0.0,
                available: entry.bucket.available(),
                retry_after: shortage
                    .wait
                    .min(refill)
                    .clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
            }
        })
    }

    /// Returns the token of an operation that certainly has not run, so that its caller can retry
    /// within the rate of the account.
    pub fn refund(&mut self, account: &Name, has_share: bool, now: Instant) {
        let own_host = self.own_host.clone();
        if let Some(entry) = self.entries.get_mut(account) {
            let share = entry.share(&own_host, has_share);
            entry.advance(share, now);
            entry.bucket.deposit(1.0);
            entry.tokens_changed.notify_waiters();
        }
    }

    /// Counts an operation that waits for tokens, and returns a notification of new tokens.
    pub fn add_waiter(&mut self, account: &Name) -> Option<Arc<Notify>> {
        let entry = self.entries.get_mut(account)?;
        entry.waiters += 1;
        Some(Arc::clone(&entry.tokens_changed))
    }

    /// Removes an operation from the count of waiting ones.
    pub fn remove_waiter(&mut self, account: &Name) {
        if let Some(entry) = self.entries.get_mut(account) {
            entry.waiters = entry.waiters.saturating_sub(1);
        }
    }

    /// Chooses a host from which to borrow. Returns `None` if no tokens are needed, a request is
    /// pending already or no host is expected to have tokens.
    pub fn plan_loan(&mut self, account: &Name, has_share: bool, now: Instant) -> Option<LoanPlan> {
        let own_host = self.own_host.clone();
        let entry = self.entries.get_mut(account)?;
        if entry.is_borrowing {
            return None;
        }
        // Rounded down, because a borrowed token that expires unused is lost to all hosts.
        let borrow_ahead =
            (entry.offered_load.per_second(now) * BORROW_AHEAD.as_secs_f64()).floor();
        let share = entry.share(&own_host, has_share);
        entry.advance(share, now);
        let needed = f64::from(entry.waiters) + borrow_ahead - entry.bucket.available();
        let (lender, expected_tokens) = entry.best_lender(&own_host, now)?;
        if needed <= 0.0 || expected_tokens < MIN_EXPECTED_TOKENS {
            return None;
        }
        entry.is_borrowing = true;
        Some(LoanPlan {
            settled: entry.bucket.settlements(&lender),
            lender,
            tokens: needed.max(1.0),
        })
    }

    /// Records the response to a loan request that was sent at `sent`; `None` if there was none.
    pub fn record_loan(
        &mut self,
        account: &Name,
        lender: &Name,
        response: Option<(Option<Grant>, f64)>,
        sent: Instant,
        now: Instant,
    ) {
        let Some(entry) = self.entries.get_mut(account) else {
            return;
        };
        entry.is_borrowing = false;
        let failures = entry.lenders.get(lender).map_or(0, |known| known.failures);
        let known = Lender {
            remaining: response.map_or(0.0, |(_, remaining)| remaining),
            updated_at: now,
            failures: if response.is_none() { failures + 1 } else { 0 },
        };
        entry.lenders.insert(lender.clone(), known);
        if let Some((Some(grant), _)) = response {
            entry.bucket.borrow(lender, grant, sent);
        }
        entry.tokens_changed.notify_waiters();
    }

    /// Lends tokens to another host. Returns the grant and the number of tokens that can still be
    /// lent.
    pub fn lend(
        &mut self,
        account: &Name,
        tokens: f64,
        settled: &[Settlement],
        has_share: bool,
        now: Instant,
    ) -> (Option<Grant>, f64) {
        let own_host = self.own_host.clone();
        let Some(entry) = self.entries.get_mut(account) else {
            return (None, 0.0);
        };
        for settlement in settled {
            entry.bucket.settle(*settlement, now);
        }
        let share = entry.share(&own_host, has_share);
        let reserve = entry.offered_load.per_second(now) * LENDER_RESERVE.as_secs_f64();
        // Only whole tokens are lent, so that no grant ends within the token of an operation.
        entry.advance(share, now);
        let whole = (entry.bucket.available() - reserve)
            .floor()
            .min(tokens.ceil());
        let until = now + GRANT_LIFETIME;
        let grant = (whole >= 1.0)
            .then(|| entry.bucket.lend(share, whole, reserve, until, now))
            .flatten();
        (grant, (entry.bucket.available() - reserve).max(0.0))
    }
}

/// Whether an operation requests a token for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// On arrival; the operation is added to the offered load.
    First,
    /// After waiting for tokens.
    Retry,
}

impl Entry {
    fn share(&self, own_host: &Name, has_share: bool) -> Share {
        if has_share && self.homes.contains(own_host) {
            return Share::of(&self.account, self.share_divisor());
        }
        Share {
            rate: 0.0,
            burst: 0.0,
        }
    }

    /// Refills the bucket up to `now`. A bucket starts empty, because an earlier instance of this
    /// host may just have used its tokens.
    fn advance(&mut self, share: Share, now: Instant) {
        self.bucket.advance(share, now);
        if share.rate > 0.0 {
            self.bucket.deposit(mem::take(&mut self.startup_tokens));
        }
    }

    fn share_divisor(&self) -> u32 {
        u32::try_from(self.homes.len()).unwrap_or(u32::MAX)
    }

    /// Returns the other home host that is expected to have the most tokens, and their number.
    fn best_lender(&self, own_host: &Name, now: Instant) -> Option<(Name, f64)> {
        let share = Share::of(&self.account, self.share_divisor());
        let expected_tokens = |home: &Name| match self.lenders.get(home) {
            None => share.burst,
            Some(known) if known.is_backing_off(now) => 0.0,
            Some(known) if known.failures > 0 => share.burst,
            Some(known) => {
                let elapsed = now
                    .saturating_duration_since(known.updated_at)
                    .as_secs_f64();
                (known.remaining + share.rate * elapsed).min(share.burst)
            }
        };
        let others = self.homes.iter().filter(|home| *home != own_host);
        others
            .map(|home| (home.clone(), expected_tokens(home)))
            .max_by(|(_, one), (_, other)| one.total_cmp(other))
    }
}

/// Returns the home hosts of an account.
fn homes(account: &Name, hosts: &[Name]) -> Vec<Name> {
    let ranking = rendezvous::ranking(account.as_str().as_bytes(), hosts);
    ranking
        .into_iter()
        .take(usize::from(HOME_HOSTS))
        .cloned()
        .collect()
}
