//! Runs statements on the backend servers through the queues and workers of this host.

use crate::{
    clock::millis,
    core::Core,
    dialect::Dialect,
    evacuation,
    job::{Job, Outcome, PooledConnection},
    scheduling,
    store::Platform,
};
use fulmargw_decision::queue::Ticket;
use fulmargw_model::{
    execution::{Code, NotRun, Request},
    name::Name,
};
use std::time::Duration;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

/// Fraction of a statement's timeout after which it is no longer retried, and for which it waits
/// while no primary is known. A caller that is refused then can still retry elsewhere in time.
pub const RETRY_FRACTION: f64 = 0.5;

/// Runs a statement, on the pinned connection if it belongs to an open transaction.
///
/// A statement that no worker takes within its latency objective ends as not run. While no primary
/// is known, it waits for [`RETRY_FRACTION`] of its timeout instead, and is refused at once if none
/// has been known for long. Dropping the future removes the statement from the queue.
pub(crate) async fn run<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    request: Request,
    pinned: Option<PooledConnection<D>>,
) -> Outcome<D> {
    if pinned.is_none()
        && let Some(refusal) = evacuation::refusal(core, &request)
    {
        return evacuation::refuse(&request, refusal);
    }
    if pinned.is_none()
        && let Some(away) = core.refuses_without_primary(&request)
    {
        metrics::counter!("fulmargw_pool_refused_without_primary_total").increment(1);
        log::info!(event = "primary_away", request:% = request.statement.request(), service = request.service.as_str(), away_ms = millis(away); "no primary has been known for too long; refusing the statement at once");
        return not_run(Code::ReadOnly);
    }
    if pinned.is_none()
        && let Some(refusal) = scheduling::refusal(core, &request)
    {
        return Outcome::NotRun(refusal);
    }
    let now = Instant::now();
    let retry_time = request.remaining.mul_f64(RETRY_FRACTION);
    let limits = [queue_limit(&request), retry_time].map(|limit| now + limit);
    let service = request.service.clone();
    let (reply, mut outcome) = oneshot::channel();
    let job = Job {
        deadline: now + request.remaining,
        request,
        queued: now,
        pinned,
        reply,
    };
    let Some(ticket) = core.enqueue(job) else {
        return outcome.await.unwrap_or_else(|_| not_run(Code::Busy));
    };
    let queued_job = QueuedJob {
        core,
        service: &service,
        ticket,
    };
    for (index, limit) in limits.into_iter().enumerate() {
        match timeout_at(limit, &mut outcome).await {
            Ok(result) => return result.unwrap_or_else(|_| not_run(Code::Busy)),
            Err(_) if index == 0 && core.lacks_primary(&service) => {}
            Err(_) => break,
        }
    }
    if queued_job.remove_from_queue() {
        return not_run(Code::Busy);
    }
    // A worker has taken the job and reports by the deadline.
    outcome.await.unwrap_or_else(|_| not_run(Code::Busy))
}

/// Returns the time for which a statement waits in the queue while a primary is known.
pub(crate) fn queue_limit(request: &Request) -> Duration {
    let retry_time = request.remaining.mul_f64(RETRY_FRACTION);
    retry_time.min(request.objective)
}

/// Returns the outcome of a statement that no worker has taken.
pub(crate) fn not_run<D: Dialect>(code: Code) -> Outcome<D> {
    Outcome::NotRun(NotRun {
        server: None,
        code,
        retry_after: None,
    })
}

/// A queued job, which is removed from the queue on drop.
struct QueuedJob<'a, D: Dialect, P: Platform> {
    core: &'a Core<D, P>,
    service: &'a Name,
    ticket: Ticket,
}

impl<D: Dialect, P: Platform> QueuedJob<'_, D, P> {
    /// Removes the job from the queue. Returns whether it was still queued.
    fn remove_from_queue(&self) -> bool {
        let mut queues = self.core.queues.lock();
        queues.service(self.service).remove(self.ticket).is_some()
    }
}

impl<D: Dialect, P: Platform> Drop for QueuedJob<'_, D, P> {
    fn drop(&mut self) {
        self.remove_from_queue();
    }
}

/// Returns the time until a deadline, zero if it has passed.
pub(crate) fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
