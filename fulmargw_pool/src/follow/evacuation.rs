//! Applies the orders to evacuate zones, from the store and from peers.

use crate::{
    core::{self, Core},
    dialect::Dialect,
    evacuation as enforcement,
    store::{OperatorRows, Platform, Revision},
};
use fulmargw_decision::evacuation::{self, Order, Orders, Snapshot};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Interval between checks for orders that a restored store has not listed again.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Ends orders that a restored store has not listed again in time, until the process stops.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>) {
    if core.settings.evacuation.is_none() {
        return core.stop.cancelled().await;
    }
    loop {
        tokio::select! {
            () = sleep(EXPIRY_INTERVAL) => {}
            () = core.stop.cancelled() => return,
        }
        apply(&core, "expiry", |orders| orders.expire(Instant::now()));
    }
}

/// Applies the orders among rows of the operator's table: all rows, or those that have changed since
/// the revision `after`.
pub(super) fn apply_rows<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    after: Option<Revision>,
    rows: &OperatorRows,
    seen: Revision,
) {
    let now = Instant::now();
    let revision = evacuation::Revision {
        era: seen.era,
        number: seen.number,
    };
    if after.is_some() {
        return apply(core, "store", |orders| {
            orders.update(revision, &rows.orders, now)
        });
    }
    let zones = rows.orders.iter().filter(|order| order.is_evacuated);
    let zones = zones.map(|order| order.zone.clone()).collect();
    let snapshot = Snapshot { revision, zones };
    apply(core, "store", |orders| orders.merge(snapshot, now));
}

/// Applies the orders in the report of a peer.
pub(super) fn apply_report<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    snapshot: Option<Snapshot>,
    host: &str,
) {
    if let Some(snapshot) = snapshot {
        let now = Instant::now();
        apply(core, host, |orders| orders.merge(snapshot, now));
    }
}

/// Changes the orders, and closes or opens the backend servers accordingly. The table of servers is
/// changed under the lock of the orders, so that the latest orders decide.
fn apply<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    source: &str,
    change: impl FnOnce(&mut Orders) -> Vec<Order>,
) {
    if core.settings.evacuation.is_none() {
        return;
    }
    let changes = {
        let mut orders = core.orders.lock();
        let was_known = orders.snapshot().is_some();
        let changes = change(&mut orders);
        let is_known = orders.snapshot().is_some();
        if changes.is_empty() && was_known == is_known {
            return;
        }
        core.servers.lock().set_exclusion(orders.exclusion());
        core.orders_known.send_replace(is_known);
        log_changes(&orders, &changes, source);
        changes
    };
    core.exclusions.send_modify(|count| *count += 1);
    core.work_ready.notify_one();
    if changes.is_empty() {
        return;
    }
    core.report_now.notify_one();
    enforcement::refuse_queued(core);
}

fn log_changes(orders: &Orders, changes: &[Order], source: &str) {
    let revision = orders.snapshot().map(|snapshot| snapshot.revision);
    let (era, number) = revision.map_or((0, 0), |revision| (revision.era, revision.number));
    for order in changes {
        let zone = order.zone.as_str();
        if order.is_evacuated {
            log::warn!(event = "zone_evacuated", zone, source, era, revision = number; "servers of the zone get nothing from now on");
        } else {
            log::warn!(event = "zone_admitted", zone, source, era, revision = number; "servers of the zone get statements again");
        }
    }
    let count = orders.in_force(Instant::now()).count();
    metrics::gauge!("fulmargw_pool_evacuated_zones").set(core::to_f64(count as u64));
}
