//! Runs orders on the backend servers of this host's tables.

use crate::{
    core::Core,
    dialect::Dialect,
    job::{Job, Outcome, PooledConnection},
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

/// Part of the timeout of a statement after which it is not tried again, and for which it waits
/// while no primary is known. What is refused then can still be tried elsewhere in time.
pub const RETRY_FRACTION: f64 = 0.5;

/// Runs an order, on the connection of its transaction if it belongs to an open one.
///
/// An order that no worker takes inside its latency objective is given back as not run, and
/// later while no primary is known. An order whose future is dropped leaves the queue.
pub(crate) async fn run<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    order: Request,
    held: Option<PooledConnection<D>>,
) -> Outcome<D> {
    let now = Instant::now();
    let patience = order.remaining.mul_f64(RETRY_FRACTION);
    let limits = [patience.min(order.objective), patience].map(|limit| now + limit);
    let service = order.service.clone();
    let (reply, mut outcome) = oneshot::channel();
    let job = Job {
        deadline: now + order.remaining,
        order,
        queued: now,
        pinned: held,
        reply,
    };
    let Some(ticket) = core.enqueue(job) else {
        return outcome.await.unwrap_or_else(|_| not_run(Code::Busy));
    };
    let waiting = Waiting {
        core,
        service: &service,
        ticket,
    };
    for (index, limit) in limits.into_iter().enumerate() {
        match timeout_at(limit, &mut outcome).await {
            Ok(done) => return done.unwrap_or_else(|_| not_run(Code::Busy)),
            Err(_) if index == 0 && core.lacks_primary(&service) => {}
            Err(_) => break,
        }
    }
    if waiting.withdraw() {
        return not_run(Code::Busy);
    }
    // A worker has taken it and keeps to the deadline.
    outcome.await.unwrap_or_else(|_| not_run(Code::Busy))
}

/// An order that no worker has taken.
pub(crate) fn not_run<D: Dialect>(code: Code) -> Outcome<D> {
    Outcome::NotRun(NotRun { server: None, code })
}

/// A queued order; it leaves the queue when nobody waits for it any more.
struct Waiting<'a, D: Dialect, P: Platform> {
    core: &'a Core<D, P>,
    service: &'a Name,
    ticket: Ticket,
}

impl<D: Dialect, P: Platform> Waiting<'_, D, P> {
    /// Takes the order out of the queue; returns whether it was still there.
    fn withdraw(&self) -> bool {
        let mut queues = self.core.queues.lock();
        queues.service(self.service).remove(self.ticket).is_some()
    }
}

impl<D: Dialect, P: Platform> Drop for Waiting<'_, D, P> {
    fn drop(&mut self) {
        self.withdraw();
    }
}

/// Returns the time that is left until a deadline.
pub(crate) fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
