//! Keeps the table of backend servers in step with the registry.

use super::{
    Dependency, describe_call,
    entries::{EXPIRED_ENTRY_GRACE, Entries},
    restored_since, revision_after_failure, watch_timeout,
};
use crate::{
    barrier, clock, core::Core, dialect::Dialect, evacuation, store::Platform, table::Change,
};
use fulmargw_decision::store_clock::StoreClock;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Minimum of the longest wait for a change of the registry. A connection that no longer responds is
/// noticed shortly after this time.
const MIN_REGISTRY_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest wait of one watch call as a fraction of the time for which a draining server may get new
/// statements. Reports do not include the registry, so a connection to the store that no longer
/// responds has to be noticed well within that time.
const WAIT_PER_DRAIN_WINDOW: f64 = 0.9;
/// Assumed age, as a part of the drain window, of changes of which nothing is known, such as those before
/// this host started. A server may have drained since then for longer than it serves.
const UNKNOWN_AGE: f64 = 0.5;
/// Share of each host in the pause after a change before the next watch call. Changes that come
/// together, as when all servers register, then cost each host few calls.
const CHANGE_PAUSE_PER_HOST: Duration = Duration::from_millis(10);
/// Maximum of that pause.
const MAX_CHANGE_PAUSE: Duration = Duration::from_secs(1);

/// Keeps the table of backend servers up to date until the process stops.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>) {
    let mut dependency = Dependency::new("registry");
    let mut entries = Entries::default();
    let mut store_clock = StoreClock::default();
    let mut revision = None;
    loop {
        let mut registered = entries.registered().clone();
        let longest = if entries.has_expired() {
            EXPIRED_ENTRY_GRACE / 2
        } else {
            let maximum = core.limits().drain_window();
            let maximum = maximum.mul_f64(WAIT_PER_DRAIN_WINDOW);
            watch_timeout(&core, MIN_REGISTRY_TIMEOUT..=maximum)
        };
        let wait = dependency.watch_wait(longest);
        let call = describe_call(revision, wait);
        let response = match revision {
            None => core.platform.registry().await.map(|(registry, seen)| {
                registered = registry;
                seen
            }),
            Some(after) => {
                tokio::select! {
                    response = core.platform.watch_registry(&mut registered, after, wait) => response,
                    () = restored_since(&core, after) => {
                        revision = None;
                        entries.restart_grace(Instant::now());
                        continue;
                    }
                }
            }
        };
        let now = Instant::now();
        match response {
            Ok(seen) => {
                let age = clock::age(&mut store_clock, call, seen);
                let age = age.unwrap_or(core.limits().drain_window().mul_f64(UNKNOWN_AGE));
                let seen = seen.revision;
                if dependency.failing_since.is_some() {
                    entries.restart_grace(now);
                }
                let has_changed = if dependency.is_restored(seen) {
                    entries.update_restored(registered, now)
                } else {
                    entries.update(registered, now)
                };
                dependency.record_success(revision, seen, has_changed);
                revision = Some(seen);
                reconcile(&core, &entries, age);
                if has_changed {
                    let hosts = core.members.lock().count();
                    let pause = CHANGE_PAUSE_PER_HOST.saturating_mul(hosts);
                    sleep(pause.min(MAX_CHANGE_PAUSE)).await;
                }
            }
            Err(error) => {
                dependency.record_failure(&error);
                revision = revision_after_failure(revision, &error);
                entries.restart_grace(now);
                sleep(dependency.retry_delay()).await;
            }
        }
    }
}

/// Updates the table of servers. `age` is the greatest age of the changes.
fn reconcile<D: Dialect, P: Platform>(core: &Core<D, P>, entries: &Entries, age: Duration) {
    let all = entries.all();
    let shares = core.shares();
    let (changes, zones) = {
        let mut servers = core.servers.lock();
        let changes = servers.reconcile_aged(&all, age, shares);
        // A cold server is limited before it can get a statement.
        evacuation::limit_cold(core, &mut servers);
        (changes, servers.zones())
    };
    core.members.lock().placement.set_zones(zones);
    for change in &changes {
        log_change(core, change);
    }
    if !changes.is_empty() {
        core.work_ready.notify_one();
    }
    let is_start_held = core.servers.lock().start.holds_commits(Instant::now());
    core.registry_read.send_if_modified(|is_read| {
        let is_first = !*is_read && !all.is_empty();
        *is_read |= is_first;
        if is_first && is_start_held {
            log::info!(event = "start_unverified"; "the servers are known before the claims; holding commits until these are");
        }
        is_first
    });
}

pub(crate) fn log_change<D: Dialect, P: Platform>(core: &Core<D, P>, change: &Change) {
    let (event, server) = match change {
        Change::Added(server) => ("server_added", server),
        Change::Changed(server) => ("server_changed", server),
        Change::Removed(server) => ("server_gone", server),
        Change::PrimaryChanged(server) => ("primary_registered", server),
        Change::PrimaryPromoted(server) => {
            log::info!(event = "primary_believed", service = server.service.as_str(), server = server.id.as_str(), source = "earlier promotion"; "another server is the assumed primary");
            return;
        }
        Change::Claimed(claim) => {
            metrics::counter!("fulmargw_pool_starts_during_promotion_total").increment(1);
            log::info!(event = "start_claimed", service = claim.service.as_str(), server = claim.candidate.as_str(), token = claim.token; "a promotion was under way when this process started; holding the commits of the service");
            return;
        }
        Change::BarrierEnded(service, ended) => {
            return barrier::record_end(core, service, Some(*ended), "promoted");
        }
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
