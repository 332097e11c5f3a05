//! Graceful stop of a pool process.

use super::Pool;
use fulmargw_pool::clock;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// Delay until the balancer has noticed that this host is not ready. It probes every second and
/// removes a host after the second failure.
const BALANCER_DELAY: Duration = Duration::from_millis(2_300);
/// Time reserved at the end of the grace period for closing connections.
const CLOSE_RESERVE: Duration = Duration::from_millis(700);

/// Stops a process: the readiness probe fails first, then idle sessions are closed. Transactions
/// that are open after half of the grace period are aborted.
pub async fn stop(core: &Pool) {
    let start = Instant::now();
    let grace = core.limits().grace_period();
    log::info!(event = "draining", sessions = core.sessions.len(), grace_ms = clock::millis(grace); "graceful stop started");
    core.draining.cancel();
    core.members.lock().is_stopping = true;
    core.report_now.notify_one();
    sleep(BALANCER_DELAY.min(grace / 2)).await;
    core.closing_idle.cancel();
    core.sessions.close();
    let abort_at = start + grace / 2;
    let drained = timeout_at(abort_at, core.sessions.wait()).await;
    if drained.is_err() {
        core.aborting.cancel();
        let close_at = start + grace.saturating_sub(CLOSE_RESERVE);
        if timeout_at(close_at, core.sessions.wait()).await.is_err() {
            log::warn!(event = "sessions_cut", sessions = core.sessions.len(); "sessions still open at the end of the grace period are closed");
        }
    }
    // Responses may still be in transit to callers after the last session has ended.
    sleep_until(Instant::now() + Duration::from_millis(20)).await;
    core.stop.cancel();
}
