//! Decides whether this host uses the holder's share of the servers of a zone.

use super::exclude_until_response;
use crate::{core::Core, dialect::Dialect, member::Executor, store::Platform};
use fulmargw_model::name::Name;
use std::{net::SocketAddr, sync::Arc};
use tokio::time::Instant;

/// Records that this host runs a statement on the servers of a zone, and with this uses the
/// holder's share of their slots and connections, if it knows no other host that should.
///
/// Otherwise the sender of the statement does not reach that host, or has another list of hosts.
/// The statement then runs within the standby share, and that host is asked whether it is running:
/// if it does not respond, this host takes its place at once.
pub(super) fn record_use<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    service: &Name,
    zone: &Name,
) {
    let now = Instant::now();
    let (executor, is_check_due) = {
        let mut members = core.members.lock();
        let executor = members.executor(service, zone, now);
        let is_check_due = match &executor {
            Executor::Own => false,
            Executor::Peer { host, .. } => members.placement.start_check(host, now),
        };
        (executor, is_check_due)
    };
    match executor {
        Executor::Own => {
            if let Some(group) = core.servers.lock().groups.get_mut(service) {
                group.record_use(Some(zone), now);
            }
        }
        Executor::Peer { host, address, .. } if is_check_due => {
            metrics::counter!("fulmargw_pool_executors_disputed_total").increment(1);
            log::info!(event = "executor_disputed", service = service.as_str(), server_zone = zone.as_str(), executor = host.as_str(); "a statement came here, but another host is the executor; checking whether it responds");
            core.tasks
                .spawn("executor check", check(Arc::clone(core), host, address));
        }
        Executor::Peer { .. } => {}
    }
}

/// Excludes a host as an executor if it does not respond to a ping.
async fn check<D: Dialect, P: Platform>(core: Arc<Core<D, P>>, host: Name, address: SocketAddr) {
    if let Err(error) = core.forward_client.ping(address).await {
        exclude_until_response(&core, &host, address, &error);
    }
}
