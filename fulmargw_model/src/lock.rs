//! Mutexes with a lock order that debug builds check.

use std::{
    cell::Cell,
    fmt,
    ops::{Deref, DerefMut},
    sync::{self, PoisonError},
};

/// The shared tables in lock order.
///
/// A thread that holds the lock of a table may only lock tables that are listed after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Current configuration and announced versions.
    Configuration,
    /// Fleet record, lease confirmations and lease.
    Fleet,
    /// Token buckets and grants of client accounts.
    Account,
    /// Queued requests.
    Queue,
    /// Status, load and idle connections of backend servers.
    Server,
    /// Connections pinned by open transactions.
    Pin,
    /// Log of recent routing and promotion decisions.
    Journal,
    /// Memory and connections that callers and peers hold.
    Budget,
}

impl Rank {
    const fn bit(self) -> u8 {
        1 << self as u8
    }
}

thread_local! {
    /// Bit set of the ranks whose locks this thread holds.
    static HELD: Cell<u8> = const { Cell::new(0) };
}

/// A mutex with a rank. Debug builds panic if it is locked out of order.
pub struct Mutex<T> {
    rank: Rank,
    inner: sync::Mutex<T>,
}

impl<T> Mutex<T> {
    /// Creates a mutex of the given rank.
    pub const fn new(rank: Rank, value: T) -> Self {
        Self {
            rank,
            inner: sync::Mutex::new(value),
        }
    }

    /// Locks the table. The guard must be held only briefly and never across an await.
    ///
    /// # Panics
    ///
    /// In debug builds, if this thread already holds a lock of the same or a later rank.
    pub fn lock(&self) -> Guard<'_, T> {
        if cfg!(debug_assertions) {
            let held = HELD.get();
            assert!(
                held < self.rank.bit(),
                "lock of {:?} taken out of order, held ranks are {held:#010b}",
                self.rank
            );
            HELD.set(held | self.rank.bit());
        }
        Guard {
            rank: self.rank,
            inner: self.inner.lock().unwrap_or_else(PoisonError::into_inner),
        }
    }
}

impl<T> fmt::Debug for Mutex<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Mutex")
            .field("rank", &self.rank)
            .finish_non_exhaustive()
    }
}

/// Grants access to a locked table until it is dropped.
#[derive(Debug)]
pub struct Guard<'a, T> {
    rank: Rank,
    inner: sync::MutexGuard<'a, T>,
}

impl<T> Deref for Guard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.inner
    }
}

impl<T> DerefMut for Guard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.inner
    }
}

impl<T> Drop for Guard<'_, T> {
    fn drop(&mut self) {
        if cfg!(debug_assertions) {
            HELD.set(HELD.get() & !self.rank.bit());
        }
    }
}
