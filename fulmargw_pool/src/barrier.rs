//! Raises and lifts the commit barriers of services on this host.

use crate::{clock::millis, core::Core, dialect::Dialect, store::Platform, table::barrier::Ended};
use fulmargw_model::name::Name;
use fulmargw_peer::forward::BarrierReport;
use std::{pin::pin, time::Duration};
use tokio::time::{Instant, timeout_at};

/// Longest time for which a host waits for responses to commits that it has sent, before it reports.
/// It is well below the time that a request to a peer may take (350 ms).
const SETTLE_TIMEOUT: Duration = Duration::from_millis(150);

/// Raises the barrier of a service and reports what is known to be acknowledged once it is sealed.
/// Returns `None` if a barrier with a greater token is up, or a promotion with the same or a greater
/// one is known.
pub(crate) async fn raise<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    token: u64,
    period: Duration,
) -> Option<BarrierReport> {
    let started = Instant::now();
    let report = if register(core, service, token, period, started) {
        settle(core, service, started + SETTLE_TIMEOUT).await;
        seal(core, service, token)
    } else {
        None
    };
    let Some(report) = report else {
        log::info!(event = "barrier_refused", service = service.as_str(), token; "a later barrier or promotion of the service is known");
        return None;
    };
    let acknowledged = report.acknowledged.map(|it| (it.term.0, it.index));
    let elapsed_ms = millis(started.elapsed());
    log::info!(event = "barrier_raised", service = service.as_str(), token, acknowledged:? = acknowledged, is_settled = report.is_settled, elapsed_ms; "holding the commits of the service while its primary is replaced");
    Some(report)
}

/// Ends the barrier of a service, unless it has a greater token.
pub(crate) fn lift<D: Dialect, P: Platform>(core: &Core<D, P>, service: &Name, token: u64) {
    let ended = {
        let mut servers = core.servers.lock();
        let handover = servers.handovers.get_mut(service);
        handover.and_then(|handover| handover.lift(token))
    };
    record_end(core, service, ended, "lifted");
}

/// Ends the barriers whose period has passed.
pub(crate) fn end_expired<D: Dialect, P: Platform>(core: &Core<D, P>) {
    let now = Instant::now();
    let ended: Vec<(Name, Ended)> = {
        let mut servers = core.servers.lock();
        let handovers = servers.handovers.iter_mut();
        let ended = handovers.filter_map(|(service, handover)| {
            let ended = handover.barrier.expire(now)?;
            Some((service.clone(), ended))
        });
        ended.collect()
    };
    for (service, ended) in ended {
        record_end(core, &service, Some(ended), "expired");
    }
}

/// Logs the end of a barrier and wakes the workers, for the statements that it held in the queue.
pub(crate) fn record_end<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    ended: Option<Ended>,
    cause: &'static str,
) {
    let Some(Ended { token, held }) = ended else {
        return;
    };
    log::info!(event = "barrier_ended", service = service.as_str(), token, cause, held; "the commits of the service are no longer held");
    core.work_ready.notify_one();
}

/// Raises the barrier, also if this host knows no servers of the service yet: it may learn of them while the
/// others hold their commits. Returns `false` if a later barrier or promotion is known.
fn register<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    token: u64,
    period: Duration,
    now: Instant,
) -> bool {
    let mut servers = core.servers.lock();
    let promotion = servers.promotion(service);
    let is_late = promotion.is_some_and(|promotion| promotion.token >= token);
    !is_late && servers.handover(service).barrier.raise(token, period, now)
}

/// Waits until no commit of the service is without a response, except on servers that have failed.
async fn settle<D: Dialect, P: Platform>(core: &Core<D, P>, service: &Name, deadline: Instant) {
    loop {
        let mut commit_ended = pin!(core.commit_ended.notified());
        commit_ended.as_mut().enable();
        if !awaits_commit(core, service) {
            return;
        }
        if timeout_at(deadline, commit_ended).await.is_err() {
            return;
        }
    }
}

fn awaits_commit<D: Dialect, P: Platform>(core: &Core<D, P>, service: &Name) -> bool {
    let now = Instant::now();
    let servers = core.servers.lock();
    let group = servers.groups.get(service);
    group.is_some_and(|group| group.awaits_commit(now))
}

fn seal<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    token: u64,
) -> Option<BarrierReport> {
    let mut servers = core.servers.lock();
    if !servers
        .handover(service)
        .barrier
        .seal(token, Instant::now())
    {
        return None;
    }
    // A host that knows no servers of the service has sent no commits.
    let group = servers.groups.get(service);
    Some(BarrierReport {
        acknowledged: group.and_then(|group| group.acknowledged),
        is_settled: group.is_none_or(|group| !group.has_outstanding_commit()),
    })
}
