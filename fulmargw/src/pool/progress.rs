//! Progress of a graceful stop, which the stop records and the watchdog reads.

use fulmargw_decision::stop::{Plan, Step};
use std::{
    sync::atomic::{AtomicU8, AtomicU64, Ordering},
    time::Duration,
};

/// Step of the stop and grace period in force. It has no lock, so that a hung runtime cannot keep
/// the watchdog from reading it.
#[derive(Debug)]
pub struct Progress {
    step: AtomicU8,
    grace_ms: AtomicU64,
}

impl Progress {
    /// Returns the progress of a process that is not stopping.
    #[must_use]
    pub fn new(grace: Duration) -> Self {
        let progress = Self {
            step: AtomicU8::new(Step::Serving as u8),
            grace_ms: AtomicU64::new(0),
        };
        progress.set_grace(grace);
        progress
    }

    /// Replaces the grace period. It does not change a stop that has begun.
    pub fn set_grace(&self, grace: Duration) {
        let grace_ms = u64::try_from(grace.as_millis()).unwrap_or(u64::MAX);
        self.grace_ms.store(grace_ms, Ordering::Relaxed);
    }

    /// Returns the plan of a stop that begins now.
    #[must_use]
    pub fn plan(&self) -> Plan {
        Plan::new(Duration::from_millis(self.grace_ms.load(Ordering::Relaxed)))
    }

    /// Records that a step begins.
    pub fn enter(&self, step: Step) {
        self.step.store(step as u8, Ordering::Release);
        metrics::gauge!("fulmargw_pool_stop_step").set(f64::from(step as u8));
    }

    /// Returns the step that was recorded last.
    #[must_use]
    pub fn step(&self) -> Step {
        Step::at(self.step.load(Ordering::Acquire))
    }
}
