//! The cases.

pub mod forgotten;
pub mod lost;
pub mod names;
pub mod revoked;
pub mod watch;
pub mod writers;

use crate::record;
use std::{thread, time::Duration};

/// Sleeps until a time since the start of the case.
pub fn sleep_until(at: Duration) {
    thread::sleep(at.saturating_sub(record::elapsed()));
}
