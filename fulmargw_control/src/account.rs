//! The shared table of token buckets.

use crate::table::Standing;
use fulmargw_decision::{
    meter::Meter,
    rate::{self, Bucket},
};
use fulmargw_model::{client_account::Account, configuration, fleet::Instance, name::Name};
use metrics::{Counter, counter};
use std::{collections::HashMap, sync::Arc};
use tokio::{
    sync::{Notify, Semaphore},
    time::Instant,
};

/// Rank 3: token buckets and grants.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    /// Instance to which the buckets belong.
    life: Option<Instance>,
    pub(crate) entries: HashMap<Name, Entry>,
}

/// The tokens and waiting requests of one account.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Rate and burst, without keys.
    pub(crate) account: Account,
    pub(crate) bucket: Bucket,
    /// Lets one waiting request at a time wait for tokens, in the order of arrival.
    pub(crate) turn: Arc<Semaphore>,
    /// Tells the waiting request of new tokens.
    pub(crate) changed: Arc<Notify>,
    pub(crate) waiting: u32,
    pub(crate) offered: Meter,
    pub(crate) lenders: HashMap<Name, Lender>,
    pub(crate) borrowing: bool,
    pub(crate) counters: Counters,
}

/// What a lender last said.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lender {
    pub(crate) remaining: f64,
    pub(crate) offered: f64,
    pub(crate) at: Instant,
}

/// Counters of an account, kept because looking one up by name allocates.
pub(crate) struct Counters {
    pub(crate) admitted: Counter,
    pub(crate) waited: Counter,
    pub(crate) refused: Counter,
    pub(crate) refused_inside_rate: Counter,
}

impl std::fmt::Debug for Counters {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Counters")
    }
}

impl Counters {
    fn new(account: &Name) -> Self {
        let name = account.to_string();
        Self {
            admitted: counter!("fulmargw_admitted_total", "account" => name.clone()),
            waited: counter!("fulmargw_admit_waited_total", "account" => name.clone()),
            refused: counter!("fulmargw_refused_rate_total", "account" => name.clone()),
            refused_inside_rate: counter!(
                "fulmargw_refused_inside_rate_total", "account" => name
            ),
        }
    }
}

impl Entry {
    fn new(account: Account, first_id: u64, now: Instant) -> Self {
        Self {
            bucket: Bucket::new(rate::Share::of(&account, 1), first_id, now),
            counters: Counters::new(&account.name),
            account,
            turn: Arc::new(Semaphore::new(1)),
            changed: Arc::new(Notify::new()),
            waiting: 0,
            offered: Meter::new(now),
            lenders: HashMap::new(),
            borrowing: false,
        }
    }

    pub(crate) fn share(&self, standing: &Standing) -> rate::Share {
        rate::Share::of(&self.account, standing.divisor)
    }
}

impl Accounts {
    /// Takes over the accounts of a configuration. New accounts start with empty buckets;
    /// known ones keep their tokens.
    pub(crate) fn adopt(&mut self, document: &configuration::Configuration, now: Instant) {
        self.entries
            .retain(|name, _| document.accounts.contains_key(name));
        for (name, account) in &document.accounts {
            let account = Account {
                keys: Vec::new(),
                ..account.clone()
            };
            if let Some(entry) = self.entries.get_mut(name) {
                entry.account = account;
            } else {
                let entry = Entry::new(account, rand::random(), now);
                self.entries.insert(name.clone(), entry);
            }
        }
    }

    /// Empties all buckets if they belong to another life: its share may be used by others.
    pub(crate) fn belong_to(&mut self, life: &Instance, now: Instant) {
        if self.life.as_ref() == Some(life) {
            return;
        }
        self.life = Some(life.clone());
        for entry in self.entries.values_mut() {
            let share = rate::Share::of(&entry.account, 1);
            entry.bucket = Bucket::new(share, rand::random(), now);
        }
    }
}
