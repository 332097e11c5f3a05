//! Starts the tasks of services and backend servers as the configuration changes.

use crate::{control::ControlPlane, core::Core, failover::Failover, monitor::Monitor, pool::Pool};
use fulmargw_backend::connection::Connector;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, interval};

/// Time between two searches for transactions that last too long.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Follows the configuration until the engine stops.
pub async fn run<C: Connector, G: ControlPlane>(core: Arc<Core<C, G>>) {
    let mut configuration = core.gate.configuration();
    let mut sweeps = interval(SWEEP_INTERVAL);
    apply(&core);
    loop {
        tokio::select! {
            () = core.stop.cancelled() => return,
            changed = configuration.changed() => {
                if changed.is_err() {
                    return;
                }
                apply(&core);
            }
            _ = sweeps.tick() => sweep(&core),
        }
    }
}

fn apply<C: Connector, G: ControlPlane>(core: &Arc<Core<C, G>>) {
    let configuration = Arc::clone(&core.gate.configuration().borrow());
    let added = core.servers.lock().apply(&configuration);
    for (key, inbox) in added.servers {
        if let Some(monitor) = Monitor::new(Arc::clone(core), key.clone(), inbox) {
            core.tasks.spawn(monitor.run());
        }
        let pool = Pool::new(Arc::clone(core), key);
        core.tasks.spawn(pool.run());
    }
    for service in added.services {
        let failover = Failover::new(Arc::clone(core), service);
        core.tasks.spawn(failover.run());
    }
    core.work.notify_one();
}

/// Ends transactions that last too long.
fn sweep<C: Connector, G: ControlPlane>(core: &Arc<Core<C, G>>) {
    let limit = core.settings.transaction_limit();
    let held = core.pins.lock().expire(Instant::now(), limit);
    core.close_held(held);
}
