//! Finds out whether a primary is gone for all hosts or for this one only.

use super::takeover::connect;
use crate::{core::Core, dialect::Dialect, store::Platform};
use fulmargw_model::{name::Name, position::Position};
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, timeout};

/// Hosts that are asked whether a primary answers them.
const WITNESSES: usize = 3;
/// Longest time for an answer of a host.
const ASK_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest time for the answer of the primary to the host that is asked.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a host leaves a service to others whose primary it cannot reach.
const LEAVE_TIME: Duration = Duration::from_secs(5);

/// Asks other hosts whether a primary answers them. If it does, the service is left to them,
/// and the name of one of them is returned.
pub(super) async fn witness<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
) -> Option<Name> {
    let lead = core
        .servers
        .lock()
        .groups
        .get(service)?
        .primary_id
        .clone()?;
    let asks = others(core).into_iter().take(WITNESSES).map(|(host, address)| {
        let (service, lead) = (service.clone(), lead.clone());
        async move {
            let reaches = core.forward_client.reaches(address, service, lead, ASK_TIMEOUT);
            match reaches.await {
                Ok(reaches) => reaches.then_some(host),
                Err(cause) => {
                    log::info!(event = "witness_silent", host = host.as_str(), cause:% = cause; "host does not say whether a primary answers it");
                    None
                }
            }
        }
    });
    let witnesses = futures::future::join_all(asks).await;
    let witness = witnesses.into_iter().flatten().next()?;
    let own = &core.settings.host.name;
    let until = Instant::now() + LEAVE_TIME;
    core.members.lock().holders.exclude(service, own, until);
    log::info!(event = "service_left", service = service.as_str(), server = lead.as_str(), witness = witness.as_str(); "the primary answers another host");
    Some(witness)
}

/// Returns what this and all other hosts that answer know to be acknowledged by the primary of a
/// service.
pub(super) async fn acknowledged<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
) -> Option<Position> {
    let asks = others(core).into_iter().map(|(host, address)| {
        let service = service.clone();
        async move {
            let told = core.forward_client.acknowledged_position(address, service, ASK_TIMEOUT);
            match told.await {
                Ok(position) => position,
                Err(cause) => {
                    log::info!(event = "witness_silent", host = host.as_str(), cause:% = cause; "host does not say what was acknowledged");
                    None
                }
            }
        }
    });
    let told = futures::future::join_all(asks).await;
    let own = core.acknowledged(service);
    told.into_iter()
        .chain([own])
        .flatten()
        .reduce(Position::join)
}

/// Returns the other hosts that are alive, with their addresses for questions.
fn others<D: Dialect, P: Platform>(core: &Core<D, P>) -> Vec<(Name, SocketAddr)> {
    let members = core.members.lock();
    let alive = members.alive(Instant::now()).into_iter();
    let peers = alive.filter_map(|name| {
        let peer = members.peers.get(&name)?;
        Some((name, peer.endpoint.statements))
    });
    peers.collect()
}

/// Reports whether a server leads and answers this host.
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
    let asked = timeout(PROBE_TIMEOUT, async {
        let mut connection = connect(core, &server).await?;
        connection.verify_primary().await.ok()
    });
    let lead = asked.await.ok().flatten();
    lead.is_some_and(|lead| lead.is_primary)
}
