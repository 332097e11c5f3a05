//! Decides who may hold memory of the process, and whose connection is closed when it is used up.

use fulmargw_model::name::Name;
use std::{collections::HashMap, time::Duration};

/// Part of a budget that one owner may hold, as numerator and denominator. The rest stays free for
/// others while one client account uses all it can.
const OWNER_SHARE: (u64, u64) = (3, 4);

/// Use of a budget as one owner sees it, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Size of the budget.
    pub limit: u64,
    /// Bytes that all owners hold.
    pub reserved: u64,
    /// Bytes that the owner holds.
    pub owned: u64,
}

impl Usage {
    /// Reports whether the owner may hold further bytes. An owner that holds nothing is only bound by
    /// the size of the budget, so that a single large message is served by a small budget.
    #[must_use]
    pub fn admits(&self, bytes: u64) -> bool {
        let (numerator, denominator) = OWNER_SHARE;
        let share = self.limit / denominator * numerator;
        let is_within_share = self.owned == 0 || self.owned.saturating_add(bytes) <= share;
        let is_within_limit =
            self.reserved == 0 || self.reserved.saturating_add(bytes) <= self.limit;
        is_within_share && is_within_limit
    }
}

/// A connection that holds memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder<K> {
    /// Identifies the connection.
    pub key: K,
    /// Client account or other party that pays for the memory.
    pub owner: Name,
    /// Bytes that the connection holds.
    pub bytes: u64,
    /// Time since the connection made progress; `None` if it waits for this host and not for its
    /// caller, and must not be closed.
    pub stalled: Option<Duration>,
}

/// Returns the connection to close so that others get memory: of those without progress for at least
/// `patience`, one of the owner that holds the most, and of these the one stalled for longest.
#[must_use]
pub fn victim<K: Clone>(holders: &[Holder<K>], patience: Duration) -> Option<K> {
    let mut owned: HashMap<&Name, u64> = HashMap::new();
    for holder in holders {
        *owned.entry(&holder.owner).or_default() += holder.bytes;
    }
    let stalled = holders
        .iter()
        .filter(|holder| holder.stalled.is_some_and(|stalled| stalled >= patience));
    let first = stalled.max_by_key(|holder| (owned[&holder.owner], holder.stalled));
    first.map(|holder| holder.key.clone())
}

/// Returns after which time without progress a connection is closed for others. The more the budget is
/// exceeded, the shorter it is; it is zero once twice the budget is held, so that this is the most that
/// responses which are in memory already can take.
#[must_use]
pub fn shortened(patience: Duration, reserved: u64, limit: u64) -> Duration {
    let excess = reserved.saturating_sub(limit).min(limit);
    let left = limit - excess;
    let percent = left.saturating_mul(100).checked_div(limit).unwrap_or(0);
    let percent = u32::try_from(percent).unwrap_or(100);
    patience
        .checked_mul(percent)
        .map_or(patience, |part| part / 100)
}

/// Returns how many of `most` sessions one client account may hold, if the settings do not say so:
/// seven eighths, so that one account alone never takes all of them.
#[must_use]
pub fn sessions_per_account(most: usize) -> usize {
    (most - most / 8).max(1)
}
