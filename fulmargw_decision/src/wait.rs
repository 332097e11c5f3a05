//! Expected wait of a statement at its arrival, and the refusal of one that waits in vain.

use crate::queue::Backlog;
use std::time::Duration;

/// Part of its objective within which a statement must be expected to complete. The rest covers
/// the error of the estimate; without it half of the statements under an overload are late.
const OBJECTIVE_FRACTION: f64 = 0.8;
/// Part of that time that a statement may wait even if it takes the rest for itself.
const MIN_WAIT_FRACTION: f64 = 0.25;
/// Part of the slots that a lower level gets at least: the queue gives it one of eight dispatches.
const MIN_SLOT_FRACTION: f64 = 0.125;
/// Smallest retry delay.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Largest retry delay before its random part.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The slots that may run a statement.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Slots {
    /// Number of slots of the usable servers.
    pub total: f64,
    /// Average number of them that higher levels have occupied lately.
    pub occupied_above: f64,
    /// Average number of them that the level of the statement has occupied lately.
    pub occupied_own: f64,
    /// Whether one of them is free now.
    pub has_free: bool,
}

/// A statement that arrives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// Estimated work that goes before it.
    pub backlog: Backlog,
    /// Its own estimated work; zero if it is not known.
    pub work: Duration,
    /// Time within which a response has its value.
    pub objective: Duration,
}

/// The decision on a statement that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It waits or runs; the expected wait.
    Admitted(Duration),
    /// It is refused; the expected wait.
    Refused(Duration),
}

/// Returns the age of the oldest statement of a lane above which the newest ones go first, where
/// statements that would wait too long are refused when they arrive.
///
/// It is the age at which a statement is late. With a lesser age the statements that were admitted
/// close to their limit would wait in vain behind newer ones.
#[must_use]
pub fn backlog_age(objective: Duration, work: Duration) -> Duration {
    objective.saturating_sub(work)
}

/// Returns the time after which a statement is expected to start.
///
/// It starts after the higher levels in the slots that they leave, or in the minimum share of its
/// own level, whichever is sooner. Both are lower bounds. Where the account has waited for some
/// time, what it got shows what else it has to share with, such as accounts whose statements arrive
/// later.
#[must_use]
pub fn expected_wait(backlog: &Backlog, slots: &Slots) -> Duration {
    if slots.has_free || slots.total <= 0.0 {
        return Duration::ZERO;
    }
    let level = backlog.level.as_secs_f64();
    let left = (slots.total - slots.occupied_above).max(0.0);
    let after_higher = (backlog.higher.as_secs_f64() + level) / left;
    // The minimum share is larger than its part of the dispatches if the statements of the level
    // are longer, so what it got counts.
    let share = slots.occupied_own.max(slots.total * MIN_SLOT_FRACTION);
    let by_level = after_higher.min(level / share);
    let by_account = match backlog.own_slots {
        Some(own_slots) => backlog.own.as_secs_f64() / own_slots,
        None => 0.0,
    };
    Duration::try_from_secs_f64(by_level.max(by_account)).unwrap_or(Duration::MAX)
}

/// Decides whether a statement waits or is refused.
///
/// A statement that needs its whole objective for itself is not refused for that alone.
#[must_use]
pub fn decide(arrival: &Arrival, slots: &Slots) -> Verdict {
    let wait = expected_wait(&arrival.backlog, slots);
    let usable = arrival.objective.mul_f64(OBJECTIVE_FRACTION);
    let longest = usable
        .saturating_sub(arrival.work)
        .max(usable.mul_f64(MIN_WAIT_FRACTION));
    if wait > longest {
        Verdict::Refused(wait)
    } else {
        Verdict::Admitted(wait)
    }
}

/// Returns the delay after which a refused caller should retry. `spread`, from 0 to 1, is random,
/// so that the callers that were refused together do not come back together.
#[must_use]
pub fn retry_delay(wait: Duration, spread: f64) -> Duration {
    let delay = wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    delay + delay.mul_f64(spread.clamp(0.0, 1.0))
}
