//! Follows the platform and the other hosts: configuration, registry and membership.

pub mod membership;
pub mod registry;
pub mod report;

use crate::{
    clock::millis,
    core::{self, Core},
    dialect::Dialect,
    member::LARGE_FLEET,
    store::{Error, Kind, Platform},
};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Longest wait of one question for changes. A connection that went silent is noticed a
/// little later; until then reports of other hosts bring a newer configuration.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// The same where many hosts watch: reports of any of them bring a newer configuration.
const SHARED_CATALOG_WAIT: Duration = Duration::from_secs(15);
/// Pause after a failed call to the platform.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Whether calls for one purpose succeed; a change is logged once.
#[derive(Debug)]
struct Dependency {
    name: &'static str,
    lost: Option<Instant>,
}

impl Dependency {
    fn new(name: &'static str) -> Self {
        Self { name, lost: None }
    }

    fn failed(&mut self, error: &Error) {
        metrics::counter!("fulmargw_pool_platform_failures_total", "purpose" => self.name)
            .increment(1);
        if self.lost.is_none() {
            self.lost = Some(Instant::now());
            log::warn!(event = "dependency_lost", dependency = self.name, cause:% = error; "platform call failed");
        }
    }

    fn succeeded(&mut self) {
        if let Some(since) = self.lost.take() {
            let lost_ms = millis(since.elapsed());
            log::info!(event = "dependency_regained", dependency = self.name, lost_ms; "platform answers again");
        }
    }
}

/// Follows the configuration until the process stops.
pub async fn catalog<D: Dialect, P: Platform>(core: Arc<Core<D, P>>) {
    let mut dependency = Dependency::new("configuration");
    let mut revision = None;
    loop {
        let answer = match revision {
            None => core.platform.catalog().await,
            Some(revision) => {
                let wait = paced(&core, WATCH_WAIT, SHARED_CATALOG_WAIT);
                core.platform.watch_catalog(revision, wait).await
            }
        };
        match answer {
            Ok((catalog, seen)) => {
                dependency.succeeded();
                revision = Some(seen);
                if let Some(catalog) = catalog
                    && core.adopt(catalog, "store")
                {
                    apply_membership(&core);
                }
                if core.configuration().is_none() {
                    sleep(RETRY_PAUSE).await;
                }
            }
            Err(error) => {
                dependency.failed(&error);
                revision = after_failure(revision, &error);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns the time for a few or for many hosts, so that calls do not grow with their number.
fn paced<D: Dialect, P: Platform>(core: &Core<D, P>, few: Duration, many: Duration) -> Duration {
    if core.members.lock().count() < LARGE_FLEET {
        few
    } else {
        many
    }
}

/// After a forgotten history everything is read anew.
fn after_failure(revision: Option<u64>, error: &Error) -> Option<u64> {
    match error.kind {
        Kind::Compacted => None,
        _ => revision,
    }
}

/// Takes a change of the number of hosts into account.
pub fn apply_membership<D: Dialect, P: Platform>(core: &Core<D, P>) {
    let names = core.members.lock().names();
    let hosts = names.len();
    core.admission.lock().set_hosts(names);
    metrics::gauge!("fulmargw_pool_hosts").set(core::to_f64(hosts as u64));
    let shares = core.shares();
    let mut servers = core.servers.lock();
    let groups = servers.groups.values_mut();
    for member in groups.flat_map(|group| group.backends.values_mut()) {
        member.shares = shares(&member.server);
    }
    drop(servers);
    let peers = core.members.lock();
    let statements = peers.peers.values().map(|peer| peer.endpoint.statements);
    core.forward_client.retain(&statements.collect::<Vec<_>>());
    drop(peers);
    log::info!(event = "membership", hosts; "number of hosts that share");
}
