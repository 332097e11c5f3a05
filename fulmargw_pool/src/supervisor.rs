//! Restarts long-running tasks that fail unexpectedly.

use futures::FutureExt as _;
use std::{any::Any, future::Future, panic::AssertUnwindSafe, time::Duration};
use tokio::time::sleep;

/// Delay before a task is started again, so that one that fails at once does not use up the
/// processor.
pub const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Runs a task until it ends, and starts it again after a panic.
///
/// Without this a panic would end only the task, and the process would go on with a configuration or
/// a registry that it no longer follows.
pub async fn run<F: Future<Output = ()>>(task: &'static str, start: impl Fn() -> F) {
    // The shared tables stay usable after a panic: their locks ignore poisoning, and each change of
    // a table is complete before its lock is released.
    while let Err(cause) = AssertUnwindSafe(start()).catch_unwind().await {
        metrics::counter!("fulmargw_pool_task_failures_total", "task" => task).increment(1);
        log::error!(event = "task_failed", task, cause = message(&*cause); "task failed; starting it again");
        sleep(RESTART_DELAY).await;
    }
}

fn message(cause: &(dyn Any + Send)) -> &str {
    let text = cause.downcast_ref::<&str>().copied();
    text.or_else(|| cause.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("unknown")
}
