//! This host's share of the rates of client accounts.
//!
//! The rate of an account is divided over a few homes among the hosts. Every host may admit
//! operations; one that lacks tokens borrows them from the homes.

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

/// Hosts that divide the rate of an account. More homes make each share smaller, fewer make
/// the loss of one greater.
pub const HOMES: u8 = 4;
/// Shortest and longest time after which a refused caller is told to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(20);
const LONGEST_RETRY: Duration = Duration::from_secs(5);
/// Time for which tokens are borrowed ahead of demand.
const LOOKAHEAD: Duration = Duration::from_millis(60);
/// Time for which a lender keeps tokens for its own demand.
const RESERVE: Duration = Duration::from_millis(80);
/// Part of a token below which a lender is not asked.
const WORTHWHILE: f64 = 0.9;
/// Time for which a lender that does not answer is not asked again. It doubles with each further
/// question without an answer, because nobody else is asked meanwhile.
const SILENT_TIME: Duration = Duration::from_millis(500);
/// Times that it doubles.
const SILENT_DOUBLINGS: u32 = 3;

/// Token buckets of this host, one for each account.
#[derive(Debug)]
pub struct Admission {
    own: Name,
    first_grant: u64,
    hosts: Vec<Name>,
    limits: Limits,
    entries: HashMap<Name, Entry>,
}

#[derive(Debug)]
struct Entry {
    /// Account with the rate and burst that may be used.
    account: Account,
    homes: Vec<Name>,
    bucket: Bucket,
    /// Tokens that this host adds when it first has a share.
    opening: f64,
    offered: Meter,
    waiting: u32,
    borrowing: bool,
    changed: Arc<Notify>,
    lenders: BTreeMap<Name, Lender>,
}

/// What a lender said last.
#[derive(Debug, Clone, Copy)]
struct Lender {
    remaining: f64,
    at: Instant,
    /// Questions in a row that it did not answer.
    failures: u32,
}

impl Lender {
    /// Reports whether it is passed over because it did not answer.
    fn is_silent(&self, now: Instant) -> bool {
        let doublings = self.failures.saturating_sub(1).min(SILENT_DOUBLINGS);
        self.failures > 0 && now < self.at + SILENT_TIME * (1 << doublings)
    }
}

/// A refusal because of an account's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Rate of the account over all hosts, in operations per second.
    pub rate: f64,
    /// Whether this host has a share of it.
    pub has_share: bool,
    /// Tokens that are available.
    pub available: f64,
    /// Time until this host has a token.
    pub retry_after: Duration,
}

/// A question for tokens.
#[derive(Debug, Clone, PartialEq)]
pub struct Question {
    /// Host to ask.
    pub lender: Name,
    /// Tokens to ask for.
    pub tokens: f64,
    /// Earlier grants of the lender that have ended.
    pub settled: Vec<Settlement>,
}

impl Admission {
    /// Makes an empty table; grants are numbered from `first_grant`.
    #[must_use]
    pub fn new(own: Name, first_grant: u64, limits: Limits) -> Self {
        Self {
            hosts: vec![own.clone()],
            own,
            first_grant,
            limits,
            entries: HashMap::new(),
        }
    }

    /// Takes the accounts of a configuration.
    pub fn configure(&mut self, catalog: &Catalog, now: Instant) {
        let accounts = &catalog.accounts;
        self.entries.retain(|name, _| accounts.contains_key(name));
        for (name, account) in accounts {
            let tolerated = self.tolerated(account);
            if let Some(entry) = self.entries.get_mut(name) {
                entry.account = tolerated;
                continue;
            }
            let share = Share {
                rate: 0.0,
                burst: 0.0,
            };
            let entry = Entry {
                homes: homes(name, &self.hosts),
                account: tolerated,
                bucket: Bucket::new(share, self.first_grant, now),
                opening: self.limits.quota_opening() / f64::from(HOMES),
                offered: Meter::new(now),
                waiting: 0,
                borrowing: false,
                changed: Arc::default(),
                lenders: BTreeMap::new(),
            };
            self.entries.insert(name.clone(), entry);
        }
    }

    /// Takes other bounds, by which the rates of a configuration are tolerated.
    pub fn set_limits(&mut self, limits: Limits, catalog: Option<&Catalog>, now: Instant) {
        self.limits = limits;
        if let Some(catalog) = catalog {
            self.configure(catalog, now);
        }
    }

    /// Describes the accounts for a dump.
    #[must_use]
    pub fn dump_accounts(&self) -> BTreeMap<Name, dump::Account> {
        let described = self.entries.iter().map(|(name, entry)| {
            let account = dump::Account {
                rate: entry.account.rate,
                available: entry.bucket.available(),
                lent: entry.bucket.lent(),
                is_home: entry.homes.contains(&self.own),
            };
            (name.clone(), account)
        });
        described.collect()
    }

    /// Takes the hosts that share the rates.
    pub fn set_hosts(&mut self, hosts: Vec<Name>) {
        self.hosts = hosts;
        for (name, entry) in &mut self.entries {
            entry.homes = homes(name, &self.hosts);
        }
    }

    /// Adds the part of the tolerated excess that is used.
    fn tolerated(&self, account: &Account) -> Account {
        let factor = self.limits.quota_factor();
        Account {
            rate: account.rate * factor,
            burst: account.burst * factor + self.limits.quota_extra(),
            keys: Vec::new(),
            name: account.name.clone(),
        }
    }

    /// Takes one operation out of what this host has of an account. Without a share of its own
    /// a host uses borrowed tokens only.
    ///
    /// # Errors
    ///
    /// If no token is available.
    pub fn take(
        &mut self,
        account: &Name,
        attempt: Attempt,
        has_share: bool,
        now: Instant,
    ) -> Result<(), Refusal> {
        let own = self.own.clone();
        let Some(entry) = self.entries.get_mut(account) else {
            return Err(Refusal {
                rate: 0.0,
                has_share,
                available: 0.0,
                retry_after: LONGEST_RETRY,
            });
        };
        if attempt == Attempt::First {
            entry.offered.add(now);
        }
        let share = entry.share(&own, has_share);
        let rate = entry.account.rate;
        entry.advance(share, now);
        entry.bucket.take(share, now).map_err(|shortage| {
            let refill = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(LONGEST_RETRY);
            Refusal {
                rate,
                has_share: share.rate > 0.0,
                available: entry.bucket.available(),
                retry_after: shortage
                    .wait
                    .min(refill)
                    .clamp(SHORTEST_RETRY, LONGEST_RETRY),
            }
        })
    }

    /// Gives back the token of an operation that certainly has not run, so that its caller may
    /// try again within the rate of the account.
    pub fn refund(&mut self, account: &Name, has_share: bool, now: Instant) {
        let own = self.own.clone();
        if let Some(entry) = self.entries.get_mut(account) {
            let share = entry.share(&own, has_share);
            entry.advance(share, now);
            entry.bucket.deposit(1.0);
            entry.changed.notify_waiters();
        }
    }

    /// Counts an operation that waits for tokens, and returns what announces them.
    pub fn wait(&mut self, account: &Name) -> Option<Arc<Notify>> {
        let entry = self.entries.get_mut(account)?;
        entry.waiting += 1;
        Some(Arc::clone(&entry.changed))
    }

    /// Counts an operation that no longer waits.
    pub fn stop_waiting(&mut self, account: &Name) {
        if let Some(entry) = self.entries.get_mut(account) {
            entry.waiting = entry.waiting.saturating_sub(1);
        }
    }

    /// Decides whom to ask for tokens; `None` if somebody asks already or nobody has any.
    pub fn question(&mut self, account: &Name, has_share: bool, now: Instant) -> Option<Question> {
        let own = self.own.clone();
        let entry = self.entries.get_mut(account)?;
        if entry.borrowing {
            return None;
        }
        // A token that is borrowed ahead and not used in time is lost to everybody.
        let lookahead = (entry.offered.per_second(now) * LOOKAHEAD.as_secs_f64()).floor();
        let share = entry.share(&own, has_share);
        entry.advance(share, now);
        let needed = f64::from(entry.waiting) + lookahead - entry.bucket.available();
        let (lender, expected) = entry.best_lender(&own, now)?;
        if needed <= 0.0 || expected < WORTHWHILE {
            return None;
        }
        entry.borrowing = true;
        Some(Question {
            settled: entry.bucket.settlements(&lender),
            lender,
            tokens: needed.max(1.0),
        })
    }

    /// Books the answer to a question that was sent at `sent`; `None` if there was none.
    pub fn receive(
        &mut self,
        account: &Name,
        lender: &Name,
        answer: Option<(Option<Grant>, f64)>,
        sent: Instant,
        now: Instant,
    ) {
        let Some(entry) = self.entries.get_mut(account) else {
            return;
        };
        entry.borrowing = false;
        let failures = entry.lenders.get(lender).map_or(0, |known| known.failures);
        let known = Lender {
            remaining: answer.map_or(0.0, |(_, remaining)| remaining),
            at: now,
            failures: if answer.is_none() { failures + 1 } else { 0 },
        };
        entry.lenders.insert(lender.clone(), known);
        if let Some((Some(grant), _)) = answer {
            entry.bucket.borrow(lender, grant, sent);
        }
        entry.changed.notify_waiters();
    }

    /// Lends tokens to another host, and returns what is left.
    pub fn lend(
        &mut self,
        account: &Name,
        tokens: f64,
        settled: &[Settlement],
        has_share: bool,
        now: Instant,
    ) -> (Option<Grant>, f64) {
        let own = self.own.clone();
        let Some(entry) = self.entries.get_mut(account) else {
            return (None, 0.0);
        };
        for settlement in settled {
            entry.bucket.settle(*settlement, now);
        }
        let share = entry.share(&own, has_share);
        let reserve = entry.offered.per_second(now) * RESERVE.as_secs_f64();
        // A grant must not end in the middle of an operation, so parts of tokens stay here.
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

/// How an operation comes to its account's bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// On arrival: it is counted as offered.
    First,
    /// After it waited for tokens.
    Again,
}

impl Entry {
    fn share(&self, own: &Name, has_share: bool) -> Share {
        if has_share && self.homes.contains(own) {
            return Share::of(&self.account, self.divisor());
        }
        Share {
            rate: 0.0,
            burst: 0.0,
        }
    }

    /// Brings the bucket to `now`. A bucket starts empty, because an earlier life of this host may
    /// just have used its tokens.
    fn advance(&mut self, share: Share, now: Instant) {
        self.bucket.advance(share, now);
        if share.rate > 0.0 {
            self.bucket.deposit(mem::take(&mut self.opening));
        }
    }

    fn divisor(&self) -> u32 {
        u32::try_from(self.homes.len()).unwrap_or(u32::MAX)
    }

    /// Returns the home that is expected to have most tokens.
    fn best_lender(&self, own: &Name, now: Instant) -> Option<(Name, f64)> {
        let share = Share::of(&self.account, self.divisor());
        let expected = |home: &Name| match self.lenders.get(home) {
            None => share.burst,
            Some(known) if known.is_silent(now) => 0.0,
            Some(known) if known.failures > 0 => share.burst,
            Some(known) => {
                let elapsed = now.saturating_duration_since(known.at).as_secs_f64();
                (known.remaining + share.rate * elapsed).min(share.burst)
            }
        };
        let others = self.homes.iter().filter(|home| *home != own);
        others
            .map(|home| (home.clone(), expected(home)))
            .max_by(|(_, one), (_, other)| one.total_cmp(other))
    }
}

/// Returns the hosts that divide the rate of an account.
fn homes(account: &Name, hosts: &[Name]) -> Vec<Name> {
    let ranking = rendezvous::ranking(account.as_str().as_bytes(), hosts);
    ranking
        .into_iter()
        .take(usize::from(HOMES))
        .cloned()
        .collect()
}
