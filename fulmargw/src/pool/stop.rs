//! Graceful stop of a pool process.

use super::{Pool, hang, progress::Progress};
use fulmargw_decision::stop::{Plan, Step};
use fulmargw_pool::{activity::Activity, clock::millis};
use tokio::time::{Instant, sleep_until, timeout_at};

/// A graceful stop in progress.
struct Stop<'a> {
    core: &'a Pool,
    progress: &'a Progress,
    plan: Plan,
    start: Instant,
}

/// Stops a process: the readiness probe fails first, then idle sessions are closed. Transactions
/// that are open after half of the grace period are aborted.
///
/// Each wait ends at a time of the [`Plan`], so that the stop ends as long as the runtime runs. The
/// [watchdog](super::watchdog) ends the process if it does not.
pub async fn stop(core: &Pool, progress: &Progress) {
    hang::at(Step::Serving);
    let stop = Stop {
        core,
        progress,
        plan: progress.plan(),
        start: Instant::now(),
    };
    stop.run().await;
}

impl Stop<'_> {
    async fn run(&self) {
        let core = self.core;
        log::info!(event = "draining", sessions = core.sessions.len(), grace_ms = millis(self.plan.grace()); "graceful stop started");
        self.enter(Step::Notice);
        core.draining.cancel();
        core.members.lock().is_stopping = true;
        core.report_now.notify_one();
        sleep_until(self.end(Step::Notice)).await;
        self.enter(Step::Sessions);
        core.closing_idle.cancel();
        core.sessions.close();
        if !self.wait_for_sessions(Step::Sessions).await {
            self.enter(Step::Transactions);
            core.aborting.cancel();
            if !self.wait_for_sessions(Step::Transactions).await {
                log::warn!(event = "sessions_cut", sessions = core.sessions.len(); "sessions still open at the end of the grace period are closed");
            }
        }
        self.enter(Step::Connections);
        sleep_until(self.start + self.plan.transit_end(self.start.elapsed())).await;
        self.enter(Step::Runtime);
        core.stop.cancel();
    }

    fn end(&self, step: Step) -> Instant {
        self.start + self.plan.end(step)
    }

    /// Waits until the last session has ended, or until the end of the step. Returns whether it has.
    async fn wait_for_sessions(&self, step: Step) -> bool {
        timeout_at(self.end(step), self.core.sessions.wait())
            .await
            .is_ok()
    }

    /// Records and logs that a step begins, with what is still being waited for.
    fn enter(&self, step: Step) {
        self.progress.enter(step);
        let Activity {
            sessions,
            transactions,
            forwarded_statements,
            forwarded_transactions,
        } = Activity::of(self.core);
        let elapsed = self.start.elapsed();
        let left = self.plan.grace().saturating_sub(elapsed);
        log::info!(
            event = "stop_step", step = step.name(), sessions, transactions, forwarded_statements,
            forwarded_transactions, tasks:? = self.core.tasks.counts(),
            elapsed_ms = millis(elapsed), left_ms = millis(left);
            "step of the graceful stop"
        );
        hang::at(step);
    }
}
