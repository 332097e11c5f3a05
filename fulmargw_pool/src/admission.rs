//! This host's share of the rates of client accounts.

use crate::{catalog::Catalog, settings::Limits};
use fulmargw_decision::rate::{Bucket, Share};
use fulmargw_model::{client_account::Account, name::Name};
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Shortest and longest time after which a refused caller is told to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(20);
const LONGEST_RETRY: Duration = Duration::from_secs(5);

/// Token buckets of this host, one for each account.
#[derive(Debug)]
pub struct Admission {
    first_grant: u64,
    hosts: u32,
    entries: HashMap<Name, Entry>,
}

#[derive(Debug)]
struct Entry {
    account: Account,
    bucket: Bucket,
}

/// A refusal because of an account's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Tokens that are available.
    pub available: f64,
    /// Time until this host has a token.
    pub retry_after: Duration,
}

impl Admission {
    /// Makes an empty table; grants are numbered from `first_grant`.
    #[must_use]
    pub fn new(first_grant: u64) -> Self {
        Self {
            first_grant,
            hosts: 1,
            entries: HashMap::new(),
        }
    }

    /// Takes the accounts of a configuration and the number of hosts that share them.
    pub fn configure(&mut self, catalog: &Catalog, hosts: u32, now: Instant) {
        self.hosts = hosts;
        let accounts = &catalog.accounts;
        self.entries.retain(|name, _| accounts.contains_key(name));
        for (name, account) in accounts {
            let first_grant = self.first_grant;
            let share = Share::of(account, hosts);
            let entry = self.entries.entry(name.clone()).or_insert_with(|| Entry {
                account: account.clone(),
                bucket: Bucket::new(share, first_grant, now),
            });
            entry.account = account.clone();
        }
    }

    /// Takes the number of hosts that share the rates.
    pub fn share_among(&mut self, hosts: u32) {
        self.hosts = hosts;
    }

    /// Takes one operation out of an account's share.
    ///
    /// # Errors
    ///
    /// If no token is available.
    pub fn take(&mut self, account: &Name, limits: &Limits, now: Instant) -> Result<(), Refusal> {
        let hosts = self.hosts;
        let Some(entry) = self.entries.get_mut(account) else {
            return Err(Refusal {
                available: 0.0,
                retry_after: LONGEST_RETRY,
            });
        };
        let tolerated = Account {
            rate: entry.account.rate * limits.quota_factor(),
            burst: entry.account.burst * limits.quota_factor() + limits.quota_extra(),
            keys: Vec::new(),
            name: account.clone(),
        };
        let share = Share::of(&tolerated, hosts);
        entry.bucket.take(share, now).map_err(|shortage| Refusal {
            available: entry.bucket.available(),
            retry_after: shortage.wait.clamp(SHORTEST_RETRY, LONGEST_RETRY),
        })
    }
}
