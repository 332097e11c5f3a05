//! Memory for large messages while they are received.

use std::sync::Arc;
use tokio::sync::Semaphore;

/// Longest message that is read without a reservation, in bytes.
pub(crate) const SMALL_BYTES: usize = 64 * 1024;
/// Unit of reservations, in bytes.
const UNIT_BYTES: usize = 1024;

/// Creates a budget of this many bytes, and at least of one message of `longest` bytes.
pub(crate) fn budget(bytes: usize, longest: usize) -> Arc<Semaphore> {
    Arc::new(Semaphore::new(bytes.max(longest).div_ceil(UNIT_BYTES)))
}

/// Returns how much of a budget a message of this length takes.
pub(crate) fn units(length: usize) -> u32 {
    u32::try_from(length.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX)
}
