//! Logs each restoration of the store from a copy.

use crate::{
    core::{self, Core},
    dialect::Dialect,
    store::Platform,
};
use std::sync::Arc;

/// Logs restorations of the store until the process stops.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>) {
    let mut eras = core.platform.era();
    let mut known = None;
    loop {
        let era = *eras.borrow_and_update();
        if let Some(era) = era {
            metrics::gauge!("fulmargw_pool_store_era").set(core::to_f64(era));
            if let Some(previous) = known {
                log::warn!(event = "store_restored", era, previous; "the store was restored from a copy; its last changes may be lost");
            }
        }
        known = era;
        // The client lives as long as `core`, so its eras do not end.
        if eras.changed().await.is_err() {
            return;
        }
    }
}
