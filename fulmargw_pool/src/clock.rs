//! A clock that includes the time for which the host was suspended, ages by the store's clock, and
//! conversion to milliseconds.

use crate::store::Seen;
use fulmargw_decision::store_clock::{Call, Response, StoreClock};
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Returns the time since the host was booted, including suspension; zero if it cannot be read.
///
/// The runtime's clock stops while a host is suspended, so an age on which a staleness guarantee
/// depends is measured with both clocks.
#[must_use]
pub fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// Records a response of the store that has just arrived. Returns the greatest age of a change that it
/// delivers; `None` if that is not known.
pub fn age(store: &mut StoreClock, call: Call, seen: Seen) -> Option<Duration> {
    let response = Response {
        era: seen.revision.era,
        sent: seen.sent?,
        received: since_boot(),
    };
    store.record(call, response)
}

/// Returns a duration in milliseconds.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
