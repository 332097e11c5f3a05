//! A clock that includes the time for which the host was suspended, and conversion to milliseconds.

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

/// Returns a duration in milliseconds.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
