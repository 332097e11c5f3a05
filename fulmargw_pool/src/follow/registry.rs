//! Keeps the table of backend servers in step with the registry.

use super::{Dependency, RETRY_DELAY, WATCH_TIMEOUT, by_fleet_size, revision_after_failure};
use crate::{
    backend::{Registry, Server},
    core::Core,
    dialect::Dialect,
    store::Platform,
    table::Change,
};
use fulmargw_model::name::Name;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Maximum wait of one watch call in a large fleet. Reports do not include the registry, so this is
/// well below the time for which a draining server may get new statements.
const LARGE_FLEET_REGISTRY_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for which a server is kept after its entry expired. Entries that expired while the store
/// was unavailable are written again within about two seconds of its return.
const EXPIRED_ENTRY_GRACE: Duration = Duration::from_millis(2_500);

/// Registered servers, and those whose entries have recently expired.
#[derive(Debug, Default)]
struct Entries {
    registered: Registry,
    /// Servers whose entries expired, and since when.
    expired: BTreeMap<Name, (Server, Instant)>,
}

impl Entries {
    fn update(&mut self, registered: Registry, now: Instant) {
        for (id, server) in &self.registered {
            if !registered.contains_key(id) && !server.is_draining {
                self.expired.insert(id.clone(), (server.clone(), now));
            }
        }
        self.expired.retain(|id, (_, since)| {
            !registered.contains_key(id)
                && now.saturating_duration_since(*since) < EXPIRED_ENTRY_GRACE
        });
        self.registered = registered;
    }

    /// Restarts the grace period of expired entries after the store was unavailable, so that they
    /// can be written again.
    fn restart_grace(&mut self, now: Instant) {
        for (_, since) in self.expired.values_mut() {
            *since = now;
        }
    }

    fn all(&self) -> Registry {
        let expired = self.expired.iter();
        let mut all: Registry = expired
            .map(|(id, (server, _))| (id.clone(), server.clone()))
            .collect();
        all.extend(self.registered.clone());
        all
    }
}

/// Keeps the table of backend servers up to date until the process stops.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>) {
    let mut dependency = Dependency::new("registry");
    let mut entries = Entries::default();
    let mut revision = None;
    loop {
        let mut registered = entries.registered.clone();
        let response = match revision {
            None => core.platform.registry().await.map(|(registry, seen)| {
                registered = registry;
                seen
            }),
            Some(revision) => {
                let wait = if entries.expired.is_empty() {
                    by_fleet_size(&core, WATCH_TIMEOUT, LARGE_FLEET_REGISTRY_TIMEOUT)
                } else {
                    EXPIRED_ENTRY_GRACE / 2
                };
                let watch = core
                    .platform
                    .watch_registry(&mut registered, revision, wait);
                watch.await
            }
        };
        let now = Instant::now();
        match response {
            Ok(seen) => {
                if dependency.failing_since.is_some() {
                    entries.restart_grace(now);
                }
                dependency.record_success();
                revision = Some(seen);
                entries.update(registered, now);
                reconcile(&core, &entries);
            }
            Err(error) => {
                dependency.record_failure(&error);
                revision = revision_after_failure(revision, &error);
                entries.restart_grace(now);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn reconcile<D: Dialect, P: Platform>(core: &Core<D, P>, entries: &Entries) {
    let all = entries.all();
    let shares = core.shares();
    let changes = core.servers.lock().reconcile(&all, shares);
    for change in &changes {
        log_change(change);
    }
    if !changes.is_empty() {
        core.work_ready.notify_one();
        core.primary_suspected.notify_one();
    }
    core.registry_read.send_if_modified(|is_read| {
        let is_first = !*is_read && !all.is_empty();
        *is_read |= is_first;
        is_first
    });
}

fn log_change(change: &Change) {
    let (event, server) = match change {
        Change::Added(server) => ("server_added", server),
        Change::Changed(server) => ("server_changed", server),
        Change::Removed(server) => ("server_gone", server),
        Change::PrimaryChanged(server) => ("primary_registered", server),
        Change::PrimaryRemoved(id) => {
            log::info!(event = "primary_gone", server = id.as_str(); "the primary is no longer registered");
            return;
        }
    };
    log::info!(
        event, server = server.id.as_str(), service = server.service.as_str(),
        zone = server.zone.as_str(), draining = server.is_draining, role:? = server.role,
        born_unix_ms = server.born_unix_ms;
        "registry changed"
    );
}
