//! Reservation of slots of a server for the levels above the lowest.

use std::time::Duration;

/// Occupied slots below which a server is not used by the higher levels and keeps none for them.
const MIN_OCCUPIED: f64 = 0.1;
/// Part of their objective for which statements of higher levels may wait for a slot.
///
/// They go first as soon as a slot is free. If statements of the lowest level fill all slots, one
/// becomes free each time that the work of one statement has passed in them together. A reserved
/// slot that stays idle costs the lowest level more than a shorter wait gives to the others.
const MAX_WAIT_FRACTION: f64 = 0.125;
/// The reservation is at most one in this many slots, which leaves the rest to the lowest level
/// whatever the estimate says.
const MAX_DIVISOR: u32 = 2;

/// What the levels need of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    /// Average number of slots that the higher levels have occupied lately.
    pub occupied_above: f64,
    /// Shortest objective of the higher levels.
    pub objective: Duration,
    /// Estimated work of a statement of the lowest level; zero if it is not known.
    pub lowest_work: Duration,
}

/// Returns the number of slots that are reserved for the higher levels. They count those that run
/// now.
#[must_use]
pub fn reserved(slots: u32, need: &Need) -> u32 {
    let wait = need.lowest_work / slots.max(1);
    let is_harmless = wait <= need.objective.mul_f64(MAX_WAIT_FRACTION);
    if is_harmless || need.occupied_above < MIN_OCCUPIED {
        return 0;
    }
    let most = slots / MAX_DIVISOR;
    let needed = (0..=most).find(|count| f64::from(*count) >= need.occupied_above);
    needed.unwrap_or(most)
}

/// Reports whether a statement of the lowest level may start on a server where `running_lowest`
/// statements of that level run.
#[must_use]
pub fn may_start(slots: u32, running_lowest: u32, need: &Need) -> bool {
    running_lowest < slots.saturating_sub(reserved(slots, need))
}
