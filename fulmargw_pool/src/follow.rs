//! Keeps configuration, registry and membership in step with the platform and the peers.

pub mod entries;
pub mod evacuation;
pub mod membership;
pub mod registry;
pub mod report;
pub mod restoration;

use crate::{
    clock::{self, millis},
    core::{self, Core},
    dialect::Dialect,
    store::{Era, Error, Kind, Platform, Revision},
};
use fulmargw_decision::store_clock::Call;
use std::{future, ops::RangeInclusive, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Minimum of the longest wait for a newer configuration. A connection that no longer responds is
/// noticed shortly after this time. All hosts may have lost theirs, and then no report of a peer
/// delivers a configuration that has to be in force within 4 s.
const MIN_CATALOG_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Share of each host in the longest wait of one watch call, so that the hosts together make the
/// same number of calls a second in a fleet of any size.
const WATCH_TIMEOUT_PER_HOST: Duration = Duration::from_millis(500);
/// Maximum of the longest wait for a newer configuration. Reports of any watching host deliver it
/// too.
const MAX_CATALOG_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after a failed call to the platform; it doubles with each further failure in a row.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum of that delay. It is well below the time in which a new configuration has to be in force
/// after the store is back.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);
/// Part of that delay that is chosen at random, so that hosts do not call in the same moment.
const RETRY_JITTER: f64 = 0.5;

/// Tracks whether calls to the platform for one purpose succeed, and logs each change once.
#[derive(Debug)]
struct Dependency {
    name: &'static str,
    /// Time of the first failed call since the last successful one.
    failing_since: Option<Instant>,
    /// Failed calls since the last successful one.
    failures: u32,
    /// Revision of the store in the last successful call.
    last_seen: Option<Revision>,
}

impl Dependency {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            failing_since: None,
            failures: 0,
            last_seen: None,
        }
    }

    fn record_failure(&mut self, error: &Error) {
        metrics::counter!("fulmargw_pool_platform_failures_total", "purpose" => self.name)
            .increment(1);
        self.failures += 1;
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            log::warn!(event = "dependency_lost", dependency = self.name, cause:% = error; "platform call failed");
        }
    }

    /// Returns the wait of the next watch call, which is `longest` as long as calls succeed.
    ///
    /// After a failed call it is zero. The store may be back soon after the next call was sent, and
    /// a waiting call that got lost would hide this until its timeout.
    fn watch_wait(&self, longest: Duration) -> Duration {
        if self.failing_since.is_some() {
            Duration::ZERO
        } else {
            longest
        }
    }

    /// Returns the delay before the next call after a failed one.
    fn retry_delay(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(8);
        let delay = RETRY_DELAY
            .saturating_mul(1 << doublings)
            .min(MAX_RETRY_DELAY);
        delay.mul_f64(1.0 - RETRY_JITTER * rand::random::<f64>())
    }

    /// Reports whether the store was restored between the last successful call and `revision`.
    fn is_restored(&self, revision: Revision) -> bool {
        self.last_seen.is_some_and(|last| last.era != revision.era)
    }

    /// Records a successful call. `after` is the revision that was watched; `None` if everything was
    /// read.
    fn record_success(&mut self, after: Option<Revision>, revision: Revision, has_changes: bool) {
        let is_restored = self.is_restored(revision);
        let previous = self.last_seen.replace(revision);
        if self.failing_since.is_some() || is_restored {
            let [previous, after] = [previous, after].map(|it| it.map(|it| it.to_string()));
            log::info!(event = "watch_resumed", dependency = self.name, previous = previous.as_deref(), after = after.as_deref(), revision:% = revision, has_changes; "first response of the store after a failure or a restoration");
        }
        self.record_response();
    }

    /// Records that the platform has responded.
    fn record_response(&mut self) {
        self.failures = 0;
        if let Some(since) = self.failing_since.take() {
            let lost_ms = millis(since.elapsed());
            log::info!(event = "dependency_regained", dependency = self.name, lost_ms; "platform responds again");
        }
    }
}

/// Keeps the configuration up to date until the process stops.
pub async fn catalog<D: Dialect, P: Platform>(core: Arc<Core<D, P>>) {
    let mut dependency = Dependency::new("configuration");
    let mut revision = None;
    loop {
        let longest = watch_timeout(&core, MIN_CATALOG_TIMEOUT..=MAX_CATALOG_TIMEOUT);
        let wait = dependency.watch_wait(longest);
        let call = describe_call(revision, wait);
        let response = match revision {
            None => core.platform.operator_rows().await,
            Some(after) => {
                tokio::select! {
                    response = core.platform.watch_operator_rows(after, wait) => response,
                    () = restored_since(&core, after) => {
                        revision = None;
                        continue;
                    }
                }
            }
        };
        match response {
            Ok((rows, seen)) => {
                let source = core.record_store_response(call, seen);
                let seen = seen.revision;
                dependency.record_success(revision, seen, rows.catalog.is_some());
                // Orders precede the configuration, without which the host serves nobody.
                evacuation::apply_rows(&core, revision, &rows, seen);
                revision = Some(seen);
                if let Some(catalog) = rows.catalog
                    && core.apply_configuration(catalog, source)
                {
                    apply_membership(&core);
                }
                if core.configuration().is_none() {
                    sleep(RETRY_DELAY).await;
                }
            }
            Err(error) => {
                dependency.record_failure(&error);
                revision = revision_after_failure(revision, &error);
                sleep(dependency.retry_delay()).await;
            }
        }
    }
}

/// Describes a call to the store that is sent now. It waits for changes after `revision` for as long
/// as `wait`; without a revision it reads everything at once.
fn describe_call(revision: Option<Revision>, wait: Duration) -> Call {
    Call {
        sent: clock::since_boot(),
        waits: revision.is_some() && !wait.is_zero(),
    }
}

/// Waits until the store is known to have been restored since it sent `revision`.
async fn restored_since<D: Dialect, P: Platform>(core: &Core<D, P>, revision: Revision) {
    let mut eras = core.platform.era();
    let is_later = |era: &Option<Era>| era.is_some_and(|era| era > revision.era);
    if eras.wait_for(is_later).await.is_err() {
        // The client has been dropped, so there are no later eras.
        future::pending::<()>().await;
    }
}

/// Returns the longest wait of one watch call, which grows with the fleet within `range`.
fn watch_timeout<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    range: RangeInclusive<Duration>,
) -> Duration {
    let hosts = core.members.lock().count();
    let wait = WATCH_TIMEOUT_PER_HOST.saturating_mul(hosts);
    wait.min(*range.end()).max(*range.start())
}

/// Returns the revision from which to watch after a failed call. If it has been compacted, or lost
/// in a restoration, everything is read again.
fn revision_after_failure(revision: Option<Revision>, error: &Error) -> Option<Revision> {
    match error.kind {
        Kind::Compacted | Kind::Restored => None,
        _ => revision,
    }
}

/// Recomputes the shares of rates and connections after the number of hosts changed.
pub fn apply_membership<D: Dialect, P: Platform>(core: &Core<D, P>) {
    let names = core.members.lock().names();
    let hosts = names.len();
    core.admission.lock().set_hosts(names);
    metrics::gauge!("fulmargw_pool_hosts").set(core::to_f64(hosts as u64));
    let shares = core.shares();
    let mut servers = core.servers.lock();
    let groups = servers.groups.values_mut();
    for backend in groups.flat_map(|group| group.backends.values_mut()) {
        backend.shares = shares(&backend.server);
    }
    drop(servers);
    let members = core.members.lock();
    let addresses = members.peers.values().map(|peer| peer.endpoint.statements);
    core.forward_client.retain(&addresses.collect::<Vec<_>>());
    drop(members);
    log::info!(event = "membership", hosts; "hosts of the fleet that share rates and connections");
}
