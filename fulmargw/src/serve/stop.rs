//! Graceful stop of a process.

use crate::serve::{components::Components, error::Error, process::Process};
use ::log::{info, warn};
use std::{future::Future, time::Duration};
use tokio::time::{Instant, sleep, timeout_at};

/// Part of the stop time that is kept for leaving the fleet, as one in so many. Without it a
/// session that hangs would make the others wait until they notice that this host is gone.
const LEAVE_PART: u32 = 4;

/// Stops a process: the health check fails first, then accepting ends, sessions and running
/// requests finish, the host leaves the fleet, and at last the interfaces close.
///
/// # Errors
///
/// The step during which the stop time was over. All steps are taken nevertheless.
pub async fn stop(mut process: Process) -> Result<(), Error> {
    let limit = process.components.host.stop_timeout();
    let end = Instant::now() + limit;
    let work_end = end - limit / LEAVE_PART;
    announce(&process.components).await;
    process.stop_callers.cancel();
    let callers = bounded("callers", work_end, process.tasks.callers_end()).await;
    let engine = process.components.engine.drain(work_end).await;
    let requests = engine.then_some(()).ok_or(Error::StopTimeout("requests"));
    leave(&process.components, end).await;
    process.stop_interfaces.cancel();
    let interfaces = bounded("interfaces", end, process.tasks.interfaces_end()).await;
    info!("host {} stopped", process.components.host.name);
    callers.and(requests).and(interfaces)
}

/// Makes the health check fail, tells the other members, and gives the balancer time.
async fn announce(components: &Components) {
    info!("host {} stops", components.host.name);
    components.draining.cancel();
    let notice = components.host.stop_notice();
    let told = tell(components, notice.max(MINIMUM_TELLING));
    tokio::join!(sleep(notice), told);
}

/// Time for telling the other members when the notice is shorter.
const MINIMUM_TELLING: Duration = Duration::from_millis(500);

async fn tell(components: &Components, limit: Duration) {
    match timeout_at(Instant::now() + limit, components.agent.drain()).await {
        Ok(Ok(())) => {}
        Ok(Err(cause)) => warn!("mark this host as leaving: {cause}"),
        Err(_) => warn!("mark this host as leaving: timeout"),
    }
}

/// Leaves the fleet. Without success the other members remove this host, which takes longer.
async fn leave(components: &Components, end: Instant) {
    match timeout_at(end, components.agent.leave()).await {
        Ok(Ok(())) => info!("host {} left the fleet", components.host.name),
        Ok(Err(cause)) => warn!("leave the fleet: {cause}"),
        Err(_) => warn!("leave the fleet: timeout"),
    }
}

async fn bounded(
    step: &'static str,
    end: Instant,
    work: impl Future<Output = ()>,
) -> Result<(), Error> {
    timeout_at(end, work)
        .await
        .map_err(|_| Error::StopTimeout(step))
}
