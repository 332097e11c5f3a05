//! Token buckets of the client accounts, in a table that all requests share.

use crate::table::Entitlement;
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

/// Token buckets and grants by client account. Lock rank 3.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    /// Instance whose share fills the buckets.
    instance: Option<Instance>,
    pub(crate) entries: HashMap<Name, Entry>,
}

/// The tokens and waiting requests of one account.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Rate and burst, without keys.
    pub(crate) account: Account,
    pub(crate) bucket: Bucket,
    /// Queues the waiting requests in the order of arrival; its one permit belongs to the first.
    pub(crate) queue: Arc<Semaphore>,
    /// Wakes the first waiting request when tokens were borrowed.
    pub(crate) refilled: Arc<Notify>,
    pub(crate) waiting: u32,
    /// Offered load, measured on this host.
    pub(crate) offered: Meter,
    pub(crate) lenders: HashMap<Name, Lender>,
    /// Whether a borrowing task runs.
    pub(crate) is_borrowing: bool,
    pub(crate) counters: Counters,
}

/// Tokens and offered load of a lender, from its last response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lender {
    /// Tokens that it could still lend.
    pub(crate) remaining: f64,
    /// Requests per second.
    pub(crate) offered: f64,
    pub(crate) responded_at: Instant,
}

/// Counters of an account, stored here because looking up a counter by name allocates.
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
            queue: Arc::new(Semaphore::new(1)),
            refilled: Arc::new(Notify::new()),
            waiting: 0,
            offered: Meter::new(now),
            lenders: HashMap::new(),
            is_borrowing: false,
        }
    }

    pub(crate) fn share(&self, entitlement: &Entitlement) -> rate::Share {
        rate::Share::of(&self.account, entitlement.share_divisor)
    }
}

impl Accounts {
    /// Applies the accounts of a configuration. New accounts start with empty buckets, the
    /// others keep their tokens.
    pub(crate) fn apply_configuration(
        &mut self,
        document: &configuration::Configuration,
        now: Instant,
    ) {
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

    /// Empties all buckets if they were filled for another instance, whose share may now be
    /// used by peers.
    pub(crate) fn assign_to(&mut self, instance: &Instance, now: Instant) {
        if self.instance.as_ref() == Some(instance) {
            return;
        }
        self.instance = Some(instance.clone());
        for entry in self.entries.values_mut() {
            let share = rate::Share::of(&entry.account, 1);
            entry.bucket = Bucket::new(share, rand::random(), now);
        }
    }
}
