//! Accounts for the memory that connections hold. See [`fulmargw_decision::budget`].

use fulmargw_decision::budget::{self, Holder, Usage};
use fulmargw_model::{
    lock::{Mutex, Rank},
    name::Name,
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{Instant, timeout},
};

/// Interval at which a waiting connection looks for one to close.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Progress value of a connection that waits for this host.
const WORKING: u64 = u64::MAX;

/// Memory for one purpose. Clones share it.
#[derive(Debug, Clone)]
pub struct Budget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    purpose: &'static str,
    patience: Duration,
    epoch: Instant,
    /// Copy of the table's sum, which is read without the lock.
    reserved: AtomicU64,
    table: Mutex<Table>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct Table {
    limit: u64,
    reserved: u64,
    peak: u64,
    next: u64,
    /// Time of the last search for a connection to close, in milliseconds since the epoch.
    searched_at: u64,
    owned: HashMap<Name, u64>,
    holders: BTreeMap<u64, Entry>,
}

#[derive(Debug)]
struct Entry {
    owner: Name,
    bytes: u64,
    link: Arc<Link>,
}

/// State that a holder shares with the table without a lock.
#[derive(Debug)]
struct Link {
    /// Time of the last progress in milliseconds since the epoch, or [`WORKING`].
    progress: AtomicU64,
    revoked: Notify,
}

/// Use of a budget, for metrics and the state dump.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// What the memory is for.
    pub purpose: &'static str,
    /// Size of the budget, in bytes.
    pub limit: u64,
    /// Bytes that are held.
    pub reserved: u64,
    /// Most bytes that were held at the same time.
    pub peak: u64,
    /// Owners by the bytes that they hold, the largest first.
    pub owners: Vec<(Name, u64)>,
}

impl Budget {
    /// Creates a budget. A connection may be closed for others after `patience` without progress.
    #[must_use]
    pub fn new(purpose: &'static str, limit: u64, patience: Duration) -> Self {
        let table = Table {
            limit,
            ..Table::default()
        };
        Self(Arc::new(Shared {
            purpose,
            patience,
            epoch: Instant::now(),
            reserved: AtomicU64::new(0),
            table: Mutex::new(Rank::Budget, table),
            changed: Notify::new(),
        }))
    }

    /// Changes the size. Memory that is held already stays held.
    pub fn set_limit(&self, limit: u64) {
        self.0.table.lock().limit = limit;
        self.0.changed.notify_waiters();
    }

    /// Reserves memory if the owner may hold it now.
    #[must_use]
    pub fn try_reserve(&self, owner: &Name, bytes: u64) -> Option<Hold> {
        let mut table = self.0.table.lock();
        let is_admitted = table.usage(owner).admits(bytes);
        is_admitted.then(|| self.insert(&mut table, owner, bytes))
    }

    /// Waits until the owner may hold the memory. Meanwhile stalled connections are closed, those of
    /// the largest owner first.
    pub async fn reserve(&self, owner: &Name, bytes: u64) -> Hold {
        loop {
            let changed = self.0.changed.notified();
            if let Some(hold) = self.try_reserve(owner, bytes) {
                return hold;
            }
            self.close_stalled_at_intervals();
            // Connections become stalled without a notification.
            let _ = timeout(CHECK_INTERVAL, changed).await;
        }
    }

    /// Records memory that is already in use. If that exceeds the budget, closes a stalled connection.
    #[must_use]
    pub fn record(&self, owner: &Name, bytes: u64) -> Hold {
        let (hold, is_exceeded) = {
            let mut table = self.0.table.lock();
            let hold = self.insert(&mut table, owner, bytes);
            (hold, table.reserved > table.limit)
        };
        if is_exceeded {
            self.close_stalled();
        }
        hold
    }

    /// Reports whether the owner may hold further memory. It is cheap while half of the budget is
    /// free.
    #[must_use]
    pub fn admits(&self, owner: &Name) -> bool {
        let reserved = self.0.reserved.load(Ordering::Relaxed);
        if reserved == 0 {
            return true;
        }
        self.0.table.lock().usage(owner).admits(1)
    }

    /// Returns the use of the budget.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let table = self.0.table.lock();
        let mut owners: Vec<(Name, u64)> = table
            .owned
            .iter()
            .map(|(owner, bytes)| (owner.clone(), *bytes))
            .collect();
        owners.sort_by_key(|(_, bytes)| std::cmp::Reverse(*bytes));
        Summary {
            purpose: self.0.purpose,
            limit: table.limit,
            reserved: table.reserved,
            peak: table.peak,
            owners,
        }
    }

    fn insert(&self, table: &mut Table, owner: &Name, bytes: u64) -> Hold {
        let link = Arc::new(Link {
            progress: AtomicU64::new(self.0.elapsed()),
            revoked: Notify::new(),
        });
        let number = table.next;
        table.next += 1;
        let entry = Entry {
            owner: owner.clone(),
            bytes: 0,
            link: Arc::clone(&link),
        };
        table.holders.insert(number, entry);
        table.change(number, bytes);
        self.0.publish(table);
        Hold {
            shared: Arc::clone(&self.0),
            number,
            bytes,
            link,
        }
    }

    /// As [`Self::close_stalled`], but once in each interval, however many connections wait.
    fn close_stalled_at_intervals(&self) {
        let now = self.0.elapsed();
        {
            let mut table = self.0.table.lock();
            let interval = CHECK_INTERVAL.as_millis();
            if u128::from(now - table.searched_at.min(now)) < interval {
                return;
            }
            table.searched_at = now;
        }
        self.close_stalled();
    }

    /// Closes the connection that pays for the others.
    fn close_stalled(&self) {
        let now = self.0.elapsed();
        let mut table = self.0.table.lock();
        let holders: Vec<Holder<u64>> = table
            .holders
            .iter()
            .map(|(key, entry)| Holder {
                key: *key,
                owner: entry.owner.clone(),
                bytes: entry.bytes,
                stalled: entry.link.stalled(now),
            })
            .collect();
        let patience = budget::shortened(self.0.patience, table.reserved, table.limit);
        let Some(number) = budget::victim(&holders, patience) else {
            return;
        };
        if let Some(entry) = table.holders.get_mut(&number) {
            // It is not chosen again while its task ends.
            entry.link.progress.store(WORKING, Ordering::Relaxed);
            entry.link.revoked.notify_one();
            log::info!(event = "memory_revoked", purpose = self.0.purpose, owner = entry.owner.as_str(), bytes = entry.bytes; "closing a stalled connection that holds memory others wait for");
            metrics::counter!("fulmargw_memory_revoked_total", "purpose" => self.0.purpose)
                .increment(1);
        }
    }
}

impl Shared {
    fn elapsed(&self) -> u64 {
        u64::try_from(self.epoch.elapsed().as_millis()).unwrap_or(WORKING - 1)
    }

    fn publish(&self, table: &Table) {
        self.reserved.store(table.reserved, Ordering::Relaxed);
        metrics::gauge!("fulmargw_memory_reserved_bytes", "purpose" => self.purpose)
            .set(to_f64(table.reserved));
        metrics::gauge!("fulmargw_memory_peak_bytes", "purpose" => self.purpose)
            .set(to_f64(table.peak));
    }
}

impl Table {
    fn usage(&self, owner: &Name) -> Usage {
        Usage {
            limit: self.limit,
            reserved: self.reserved,
            owned: self.owned.get(owner).copied().unwrap_or(0),
        }
    }

    /// Sets the bytes of a holder.
    fn change(&mut self, number: u64, bytes: u64) {
        let Some(entry) = self.holders.get_mut(&number) else {
            return;
        };
        let owned = self.owned.entry(entry.owner.clone()).or_default();
        *owned = *owned - entry.bytes + bytes;
        if *owned == 0 {
            self.owned.remove(&entry.owner);
        }
        self.reserved = self.reserved - entry.bytes + bytes;
        self.peak = self.peak.max(self.reserved);
        entry.bytes = bytes;
    }
}

impl Link {
    fn stalled(&self, now: u64) -> Option<Duration> {
        match self.progress.load(Ordering::Relaxed) {
            WORKING => None,
            progress => Some(Duration::from_millis(now.saturating_sub(progress))),
        }
    }
}

/// Memory that a connection holds; it is released on drop.
#[derive(Debug)]
pub struct Hold {
    shared: Arc<Shared>,
    number: u64,
    bytes: u64,
    link: Arc<Link>,
}

impl Hold {
    /// Returns the bytes that are held.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Changes the bytes that are held, if the owner may hold that many.
    #[must_use]
    pub fn resize(&mut self, bytes: u64) -> bool {
        let mut table = self.shared.table.lock();
        let added = bytes.saturating_sub(self.bytes);
        let owner = table.holders.get(&self.number);
        let is_admitted =
            owner.is_some_and(|entry| added == 0 || table.usage(&entry.owner).admits(added));
        if is_admitted {
            table.change(self.number, bytes);
            self.shared.publish(&table);
            self.bytes = bytes;
        }
        is_admitted
    }

    /// Records that the caller has sent or read bytes.
    pub fn record_progress(&self) {
        let now = self.shared.elapsed();
        self.link.progress.store(now, Ordering::Relaxed);
    }

    /// Records that the connection waits for this host, so that it is not closed for others.
    pub fn record_work(&self) {
        self.link.progress.store(WORKING, Ordering::Relaxed);
    }

    /// Waits until the connection has to be closed for others.
    pub async fn revoked(&self) {
        self.link.revoked.notified().await;
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        {
            let mut table = self.shared.table.lock();
            table.change(self.number, 0);
            table.holders.remove(&self.number);
            self.shared.publish(&table);
        }
        // The others look again after an interval: waking all of them for each release would use up
        // the processor of a small host.
        self.shared.changed.notify_one();
    }
}

/// Converts a number of bytes for a gauge; it is far below 2^52, so it stays exact.
#[allow(
    clippy::cast_precision_loss,
    reason = "a gauge has no more precise type"
)]
fn to_f64(bytes: u64) -> f64 {
    bytes as f64
}
