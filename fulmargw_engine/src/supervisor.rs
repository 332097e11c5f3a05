//! Starts the tasks of services and backend servers as the configuration changes, and ends
//! transactions that exceed their time limit.

use crate::{control::ControlPlane, core::Core, failover::Failover, monitor::Monitor, pool::Pool};
use fulmargw_backend::connection::Connector;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, interval};

/// Interval at which transactions are checked against their time limit.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Follows the configuration until the engine stops.
pub async fn run<C: Connector, P: ControlPlane>(core: Arc<Core<C, P>>) {
    let mut configuration = core.control_plane.configuration();
    let mut expiry_checks = interval(EXPIRY_CHECK_INTERVAL);
    apply_configuration(&core);
    loop {
        tokio::select! {
            () = core.stop.cancelled() => return,
            changed = configuration.changed() => {
                if changed.is_err() {
                    return;
                }
                apply_configuration(&core);
            }
            _ = expiry_checks.tick() => abort_expired(&core),
        }
    }
}

fn apply_configuration<C: Connector, P: ControlPlane>(core: &Arc<Core<C, P>>) {
    let configuration = Arc::clone(&core.control_plane.configuration().borrow());
    let additions = core.servers.lock().apply(&configuration);
    for (server_id, commands) in additions.servers {
        if let Some(monitor) = Monitor::new(Arc::clone(core), server_id.clone(), commands) {
            core.tasks.spawn(monitor.run());
        }
        let pool = Pool::new(Arc::clone(core), server_id);
        core.tasks.spawn(pool.run());
    }
    for service in additions.services {
        let failover = Failover::new(Arc::clone(core), service);
        core.tasks.spawn(failover.run());
    }
    core.work_available.notify_one();
}

/// Aborts idle transactions that exceed their time limit.
fn abort_expired<C: Connector, P: ControlPlane>(core: &Arc<Core<C, P>>) {
    let limit = core.settings.transaction_limit();
    let pinned = core.pins.lock().abort_expired(Instant::now(), limit);
    core.close_pinned(pinned);
}
