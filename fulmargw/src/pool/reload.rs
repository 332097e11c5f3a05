//! Reload of the settings file while the process runs.

use super::{Pool, settings};
use fulmargw_pool::settings::Settings;
use std::{path::PathBuf, sync::Arc, time::Duration};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

/// Interval between two reads of the file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the settings file on SIGHUP and at intervals, and applies its limits. Changes of
/// addresses, identity and the number of cores need a restart.
pub async fn run(core: Arc<Pool>, file: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(cause) => {
            log::error!(event = "signal_failed", cause:% = cause; "cannot handle SIGHUP; the settings file is not reloaded");
            return;
        }
    };
    let mut last_read = Ok(core.settings.clone());
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(POLL_INTERVAL) => false,
        };
        let read = settings::load(&file);
        if !signalled && read == last_read {
            continue;
        }
        match &read {
            Ok(settings) => {
                let is_changed = settings.limits != *core.limits();
                if is_changed {
                    core.set_limits(settings.limits.clone());
                }
                let fixed = |settings: &Settings| {
                    let Settings {
                        host,
                        platform,
                        callers,
                        ..
                    } = settings.clone();
                    (host, platform, callers)
                };
                let needs_restart = fixed(settings) != fixed(&core.settings);
                log::info!(event = "reload", signalled, limits_changed = is_changed, needs_restart; "settings file reloaded");
            }
            Err(error) => {
                log::error!(event = "reload_failed", signalled, cause:% = error; "settings file cannot be used; keeping the current settings");
            }
        }
        last_read = read;
    }
}
