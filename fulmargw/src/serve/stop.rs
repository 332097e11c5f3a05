//! Graceful stop of a serving process.

use crate::serve::{components::Components, error::Error, process::Process};
use ::log::{info, warn};
use std::{future::Future, time::Duration};
use tokio::time::{Instant, sleep, timeout_at};

/// Divisor of the stop timeout: one part of so many is reserved for leaving the fleet. Otherwise a
/// session that hangs could use up the timeout, and the peers would have to wait until they
/// detect that this host has stopped.
const LEAVE_DIVISOR: u32 = 4;

/// Stops a process: the health check fails first, then the process stops accepting callers,
/// finishes sessions and running requests, leaves the fleet, and closes its interfaces.
///
/// # Errors
///
/// Returns an error that names the first step that timed out. The following steps run nevertheless.
pub async fn stop(mut process: Process) -> Result<(), Error> {
    let timeout = process.components.host.stop_timeout();
    let deadline = Instant::now() + timeout;
    let work_deadline = deadline - timeout / LEAVE_DIVISOR;
    announce(&process.components).await;
    process.stop_callers.cancel();
    let callers = finish_by("callers", work_deadline, process.tasks.callers_end()).await;
    let is_drained = process.components.engine.drain(work_deadline).await;
    let requests = is_drained
        .then_some(())
        .ok_or(Error::StopTimeout("requests"));
    leave(&process.components, deadline).await;
    process.stop_interfaces.cancel();
    let interfaces = finish_by("interfaces", deadline, process.tasks.interfaces_end()).await;
    info!("host {} stopped", process.components.host.name);
    callers.and(requests).and(interfaces)
}

/// Makes the health check fail, marks this host as leaving, and waits until the balancer has
/// noticed.
async fn announce(components: &Components) {
    info!("host {} is stopping", components.host.name);
    components.draining.cancel();
    let notice = components.host.stop_notice();
    let marked = mark_leaving(components, notice.max(MIN_MARK_TIMEOUT));
    tokio::join!(sleep(notice), marked);
}

/// Minimum timeout of the call that marks this host as leaving, if the notice is shorter.
const MIN_MARK_TIMEOUT: Duration = Duration::from_millis(500);

/// Marks this host as leaving in the fleet record. Without success the stop continues.
async fn mark_leaving(components: &Components, limit: Duration) {
    match timeout_at(Instant::now() + limit, components.agent.drain()).await {
        Ok(Ok(())) => {}
        Ok(Err(cause)) => warn!("could not mark this host as leaving: {cause}"),
        Err(_) => warn!("could not mark this host as leaving: timeout"),
    }
}

/// Leaves the fleet. If that fails, the other members remove this host, which takes longer.
async fn leave(components: &Components, deadline: Instant) {
    match timeout_at(deadline, components.agent.leave()).await {
        Ok(Ok(())) => info!("host {} left the fleet", components.host.name),
        Ok(Err(cause)) => warn!("could not leave the fleet: {cause}"),
        Err(_) => warn!("could not leave the fleet: timeout"),
    }
}

/// Waits for work until a deadline; the error names the step.
async fn finish_by(
    step: &'static str,
    deadline: Instant,
    work: impl Future<Output = ()>,
) -> Result<(), Error> {
    timeout_at(deadline, work)
        .await
        .map_err(|_| Error::StopTimeout(step))
}
