//! Notices changes of the settings file.

use super::{Pool, settings};
use std::{path::PathBuf, sync::Arc, time::Duration};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

/// Time between two looks at the file, which may change without a signal.
const INTERVAL: Duration = Duration::from_secs(5);

/// Reads the settings file on SIGHUP and at intervals, and takes its limits. Addresses, identity
/// and the number of cores hold until the process is started again.
pub async fn run(core: Arc<Pool>, file: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(cause) => {
            log::error!(event = "signal_failed", cause:% = cause; "cannot take over SIGHUP");
            return;
        }
    };
    let mut known = Ok(core.settings.clone());
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(INTERVAL) => false,
        };
        let read = settings::load(&file);
        if !signalled && read == known {
            continue;
        }
        match &read {
            Ok(read) => {
                let is_changed = read.limits != *core.limits();
                if is_changed {
                    core.set_limits(read.limits.clone());
                }
                let needs_restart =
                    (&read.host, &read.platform) != (&core.settings.host, &core.settings.platform);
                log::info!(event = "reload", signalled, limits_changed = is_changed, needs_restart; "settings file read");
            }
            Err(error) => {
                log::error!(event = "reload_failed", signalled, cause:% = error; "keeping the settings in force");
            }
        }
        known = read;
    }
}
