//! Restarts of tasks that fail.

use fulmargw_pool::supervisor::{self, RESTART_DELAY};
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::time::Instant;

/// Guards against a process that goes on without following the registry, because one odd entry made
/// the task fail that follows it.
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_started_again() {
    let starts = AtomicU32::new(0);
    let started_at = Instant::now();

    supervisor::run("test", async || {
        let is_last = starts.fetch_add(1, Ordering::Relaxed) == 2;
        assert!(is_last, "unexpected");
    })
    .await;

    assert_eq!(starts.load(Ordering::Relaxed), 3);
    assert_eq!(started_at.elapsed(), RESTART_DELAY * 2);
}
