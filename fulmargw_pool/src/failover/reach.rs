//! Asks peers whether they reach a primary that this host cannot reach, and what it acknowledged.

use super::survey::connect;
use crate::{core::Core, dialect::Dialect, evacuation, store::Platform};
use fulmargw_model::{name::Name, position::Position};
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, timeout};

/// Maximum number of peers that are asked whether they reach a primary.
const MAX_WITNESSES: usize = 3;
/// Timeout of a request to a peer.
pub(crate) const PEER_REQUEST_TIMEOUT: Duration = Duration::from_millis(350);
/// Timeout of the check of the primary that a peer makes for such a request; it is shorter.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a host is not the holder of a service whose primary it cannot reach.
const EXCLUSION_PERIOD: Duration = Duration::from_secs(5);

/// Returns a peer that reaches the primary of a service, if there is one. In this case this host is
/// excluded as the holder of the service for some time.
pub(super) async fn find_witness<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
) -> Option<Name> {
    let primary = core
        .servers
        .lock()
        .groups
        .get(service)?
        .primary_id
        .clone()?;
    let requests = live_peers(core).into_iter().take(MAX_WITNESSES).map(|(host, address)| {
        let (service, primary) = (service.clone(), primary.clone());
        async move {
            let reaches = core
                .forward_client
                .reaches(address, service, primary, PEER_REQUEST_TIMEOUT);
            match reaches.await {
                Ok(reaches) => reaches.then_some(host),
                Err(cause) => {
                    log::info!(event = "witness_silent", host = host.as_str(), cause:% = cause; "peer did not report whether it reaches the primary");
                    None
                }
            }
        }
    });
    let witnesses = futures::future::join_all(requests).await;
    let witness = witnesses.into_iter().flatten().next()?;
    let own = &core.settings.host.name;
    let until = Instant::now() + EXCLUSION_PERIOD;
    core.members.lock().holders.exclude(service, own, until);
    log::info!(event = "service_left", service = service.as_str(), server = primary.as_str(), witness = witness.as_str(); "the primary responds to a peer; leaving the service to it");
    Some(witness)
}

/// A peer and the address at which it accepts statements.
pub(super) type Peer = (Name, SocketAddr);

/// What the hosts of the fleet know of the acknowledged commits of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Acknowledged {
    /// Latest log position that a host knows to be acknowledged.
    pub(super) position: Option<Position>,
    /// Whether every host has reported a position.
    pub(super) is_exact: bool,
    /// The peers that responded.
    pub(super) responsive: Vec<Peer>,
}

/// Returns the latest log position that the primary of a service has acknowledged, as far as this
/// host and the peers that respond know.
pub(super) async fn acknowledged<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
) -> Acknowledged {
    let requests = live_peers(core).into_iter().map(|(host, address)| {
        let service = service.clone();
        async move {
            let reported = core
                .forward_client
                .acknowledged_position(address, service, PEER_REQUEST_TIMEOUT);
            match reported.await {
                Ok(position) => Some(((host, address), position)),
                Err(cause) => {
                    log::info!(event = "witness_silent", host = host.as_str(), cause:% = cause; "peer did not report the acknowledged position");
                    None
                }
            }
        }
    });
    let reported = futures::future::join_all(requests).await;
    let (responsive, reported): (Vec<Peer>, Vec<_>) = reported.into_iter().flatten().unzip();
    let own = evacuation::acknowledged(core, service);
    let known: Vec<Position> = reported.into_iter().chain([own]).flatten().collect();
    let peers = core.members.lock().peers.len();
    Acknowledged {
        is_exact: known.len() > peers && evacuation::is_settled(core, service),
        position: known.into_iter().reduce(Position::later),
        responsive,
    }
}

/// Returns the peers that are alive, with the addresses at which they accept statements.
pub(super) fn live_peers<D: Dialect, P: Platform>(core: &Core<D, P>) -> Vec<Peer> {
    let members = core.members.lock();
    let alive = members.alive(Instant::now()).into_iter();
    let peers = alive.filter_map(|name| {
        let peer = members.peers.get(&name)?;
        Some((name, peer.endpoint.statements))
    });
    peers.collect()
}

/// Reports whether a server responds to this host and proves that it is the primary.
pub(crate) async fn reaches<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    server: &Name,
) -> bool {
    let server = {
        let servers = core.servers.lock();
        let group = servers.groups.get(service);
        let backend = group.and_then(|group| group.backends.get(server));
        backend.map(|backend| backend.server.clone())
    };
    let Some(server) = server else {
        return false;
    };
    let check = timeout(PROBE_TIMEOUT, async {
        let mut connection = connect(core, &server).await?;
        connection.verify_primary().await.ok()
    });
    let result = check.await.ok().flatten();
    result.is_some_and(|result| result.is_primary)
}
