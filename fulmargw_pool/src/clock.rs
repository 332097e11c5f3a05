//! A clock that also counts the time for which the host was suspended, and times in log lines.

use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Time since the boot of the host, including suspension.
///
/// The runtime's clock stands still while a host is suspended, so an age that a guarantee
/// depends on is measured with both clocks.
#[must_use]
pub fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// Returns a time in milliseconds.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
