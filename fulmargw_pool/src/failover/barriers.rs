//! Raises and lifts the commit barrier of a service on all hosts.

use super::reach::{PEER_REQUEST_TIMEOUT, Peer, live_peers};
use crate::{
    barrier, clock::millis, core::Core, dialect::Dialect, store::Platform, table::barrier::PERIOD,
};
use fulmargw_model::{name::Name, position::Position};
use fulmargw_peer::forward::BarrierReport;
use futures::future::join_all;
use tokio::time::Instant;

/// Raises the barrier on this host and on `peers`. Returns the latest position that these hosts know to
/// be acknowledged; `None` if one of them knows a later claim or promotion.
///
/// A peer that does not respond may go on to send commits. The pause of the replicas guards these.
pub(super) async fn raise_barriers<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    token: u64,
    peers: &[Peer],
) -> Option<Option<Position>> {
    let started = Instant::now();
    let requests = peers.iter().map(async |(host, address)| {
        let raised = core.forward_client.raise_barrier(
            *address,
            service.clone(),
            token,
            PERIOD,
            PEER_REQUEST_TIMEOUT,
        );
        raised.await.inspect_err(|cause| {
            log::info!(event = "barrier_unconfirmed", service = service.as_str(), token, host = host.as_str(), cause:% = cause; "a host did not confirm the commit barrier");
        })
    });
    let (own, responses) = tokio::join!(
        barrier::raise(core, service, token, PERIOD),
        join_all(requests)
    );
    let unconfirmed = responses
        .iter()
        .filter(|response| response.is_err())
        .count();
    let reports = responses.into_iter().flatten().chain([own]);
    let reports: Option<Vec<BarrierReport>> = reports.collect();
    let Some(reports) = reports else {
        log::info!(event = "barrier_rejected", service = service.as_str(), token; "a host knows a later claim or promotion");
        return None;
    };
    let unsettled = reports.iter().filter(|report| !report.is_settled).count();
    let positions = reports.iter().filter_map(|report| report.acknowledged);
    let acknowledged = positions.reduce(Position::later);
    log::info!(
        event = "barriers_raised", service = service.as_str(), token,
        confirmed = reports.len(), unconfirmed, unsettled,
        acknowledged:? = acknowledged.map(|it| (it.term.0, it.index)),
        elapsed_ms = millis(started.elapsed());
        "the hosts hold the commits of a service"
    );
    Some(acknowledged)
}

/// Lifts the barrier on this host and on all peers that are alive.
pub(super) async fn lift_barriers<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    token: u64,
) {
    barrier::lift(core, service, token);
    let requests = live_peers(core).into_iter().map(async |(host, address)| {
        let lifted = core.forward_client.lift_barrier(
            address,
            service.clone(),
            token,
            PEER_REQUEST_TIMEOUT,
        );
        if let Err(cause) = lifted.await {
            log::info!(event = "barrier_left", service = service.as_str(), token, host = host.as_str(), cause:% = cause; "a host did not confirm that the commit barrier is lifted; it ends after its period");
        }
    });
    join_all(requests).await;
}
