//! Raises and lifts the commit barrier of a service on all hosts.

use super::reach::{PEER_REQUEST_TIMEOUT, Peer, live_peers};
use crate::{
    barrier, clock::millis, core::Core, dialect::Dialect, store::Platform, table::barrier::PERIOD,
};
use fulmargw_model::{name::Name, position::Position};
use fulmargw_peer::forward::BarrierReport;
use futures::future::join_all;
use tokio::time::Instant;

/// What the hosts reported that have confirmed the barrier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Raised {
    /// Latest position that they know to be acknowledged.
    pub(super) acknowledged: Option<Position>,
    /// Their names, with that of this host.
    pub(super) confirmed: Vec<Name>,
}

/// Raises the barrier on this host and on `peers`; returns `None` if one of them knows a later claim or
/// promotion.
///
/// A peer that does not respond goes on to send commits until its contact ends.
pub(super) async fn raise_barriers<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    token: u64,
    peers: &[Peer],
) -> Option<Raised> {
    let started = Instant::now();
    let requests = peers.iter().map(async |(host, address)| {
        let raised = core.forward_client.raise_barrier(
            *address,
            service.clone(),
            token,
            PERIOD,
            PEER_REQUEST_TIMEOUT,
        );
        let raised = raised.await.inspect_err(|cause| {
            log::info!(event = "barrier_unconfirmed", service = service.as_str(), token, host = host.as_str(), cause:% = cause; "a host did not confirm the commit barrier");
        });
        (host.clone(), raised)
    });
    let (own, responses) = tokio::join!(
        barrier::raise(core, service, token, PERIOD),
        join_all(requests)
    );
    let asked = responses.len() + 1;
    let responses = responses.into_iter();
    let responses = responses.filter_map(|(host, raised)| Some((host, raised.ok()?)));
    let responses = responses.chain([(core.settings.host.name.clone(), own)]);
    let reports = responses.map(|(host, report)| Some((host, report?)));
    let reports: Option<Vec<(Name, BarrierReport)>> = reports.collect();
    let Some(reports) = reports else {
        log::info!(event = "barrier_rejected", service = service.as_str(), token; "a host knows a later claim or promotion");
        return None;
    };
    let unsettled = reports.iter().filter(|(_, it)| !it.is_settled).count();
    let positions = reports.iter().filter_map(|(_, it)| it.acknowledged);
    let acknowledged = positions.reduce(Position::later);
    log::info!(
        event = "barriers_raised", service = service.as_str(), token,
        confirmed = reports.len(), unconfirmed = asked - reports.len(), unsettled,
        acknowledged:? = acknowledged.map(|it| (it.term.0, it.index)),
        elapsed_ms = millis(started.elapsed());
        "the hosts hold the commits of a service"
    );
    Some(Raised {
        acknowledged,
        confirmed: reports.into_iter().map(|(host, _)| host).collect(),
    })
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
