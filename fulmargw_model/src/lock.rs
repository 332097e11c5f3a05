//! The order in which the locks of shared tables are taken.

use std::{
    cell::Cell,
    fmt,
    ops::{Deref, DerefMut},
    sync::{self, PoisonError},
};

/// The shared tables in the order in which a thread may lock them.
///
/// A thread that holds the lock of a table may only lock tables that stand below it here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Configuration in force and noted versions.
    Configuration,
    /// Fleet record, confirmations and lease.
    Fleet,
    /// Token buckets and grants of client accounts.
    Account,
    /// Waiting requests.
    Queue,
    /// Status, load and idle connections of backend servers.
    Server,
    /// Connections that open transactions hold.
    Pin,
    /// Recent decisions.
    Journal,
}

impl Rank {
    const fn bit(self) -> u8 {
        1 << self as u8
    }
}

thread_local! {
    /// One bit for each rank that this thread holds.
    static HELD: Cell<u8> = const { Cell::new(0) };
}

/// A mutex with a rank; debug builds panic when it is locked out of order.
pub struct Mutex<T> {
    rank: Rank,
    inner: sync::Mutex<T>,
}

impl<T> Mutex<T> {
    /// Makes a mutex of the given rank.
    pub const fn new(rank: Rank, value: T) -> Self {
        Self {
            rank,
            inner: sync::Mutex::new(value),
        }
    }

    /// Locks the table. Locks are short and never held across an await.
    ///
    /// # Panics
    ///
    /// In debug builds, if this thread holds a lock of the same or a later rank.
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

/// Access to a locked table.
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
