//! A clock that also counts the time for which the host was suspended.

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
