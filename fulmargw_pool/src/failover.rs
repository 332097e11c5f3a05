//! Detects primaries that have failed or are draining, and has them replaced.

mod barriers;
mod claim;
mod confirmation;
mod reach;
mod recording;
mod replacement;
mod survey;

pub(crate) use claim::{KEY_PREFIX, hold_named, verify_start};
pub(crate) use reach::{PEER_REQUEST_TIMEOUT, reaches};
pub(crate) use survey::connect;

use self::{
    barriers::raise_barriers,
    reach::live_peers,
    recording::Recorder,
    replacement::{Failure, LastSent, Permissions, attempt},
};
use crate::{
    backend::Role,
    barrier,
    clock::millis,
    core::Core,
    dialect::Dialect,
    evacuation,
    health::Trouble,
    member::Executor,
    promotion::{Unresolved, Waits, attempt::Completeness},
    sampling,
    store::Platform,
    table::{Backend, handover::Applied},
};
use fulmargw_decision::evacuation::{Exclusion, needs_successor};
use fulmargw_model::name::Name;
use fulmargw_peer::report::Promotion;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::{Instant, sleep};
use tokio_util::task::TaskTracker;

/// Interval between checks of the primaries.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which connections to a primary must fail before it is replaced.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(350);
/// Time for which a primary must not respond to this host before it is replaced, if it still
/// responds to a peer.
const LOCALLY_UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without an assumed primary after which a replica is promoted.
const NO_PRIMARY_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay after a promotion before another attempt for the same service. Meanwhile the new primary
/// starts to work.
const AFTER_PROMOTION_DELAY: Duration = Duration::from_millis(1_500);

/// Delay between attempts while a promotion waits for the old primary.
const MISSING_COMMITS_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Why a primary should be replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reason {
    /// No primary is known.
    Leaderless,
    /// The primary is draining.
    Draining,
    /// The zone of the primary is evacuated.
    Evacuated,
    /// The primary has failed.
    Trouble(Trouble),
    /// The result of a promotion call is unknown: it may take effect at any time, until a call with
    /// a greater token is accepted.
    Unsettled,
}

/// Checks the primaries and replaces them until the process stops.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>) {
    let mut monitor = Monitor::default();
    let recorder = Recorder::default();
    let tasks = TaskTracker::new();
    loop {
        tokio::select! {
            () = sleep(CHECK_INTERVAL) => {}
            () = core.stop.cancelled() => return,
        }
        core.work_ready.notify_one();
        barrier::end_expired(&core);
        evacuation::update_cold(&core);
        sampling::run(&core);
        release_services(&core);
        recorder.start_due(&core);
        hold_open_calls(&core, &monitor, &tasks);
        for (service, reason) in monitor.start_due(&core) {
            let core = Arc::clone(&core);
            let attempts = Arc::clone(&monitor.attempts);
            let primary = assumed_primary(&core, &service);
            let completeness = if evacuation::has_excluded(&core, &service) {
                // Servers that are not asked may have commits that no other server has.
                Completeness::AllAcknowledged
            } else {
                let now = Instant::now();
                lock(&attempts)
                    .waits
                    .completeness(&service, primary.as_ref(), now)
            };
            let permissions = lock(&attempts).permissions(&service, Instant::now());
            tasks.spawn(async move {
                let started = Instant::now();
                let result = attempt(&core, &service, reason, completeness, permissions).await;
                log_result(&service, reason, started, &result);
                lock(&attempts).record_result(&service, primary.as_ref(), &result, started);
                let delay = match &result {
                    Ok(_) => AFTER_PROMOTION_DELAY,
                    Err(Failure::Obstacle(obstacle)) if obstacle.awaits_primary() => {
                        MISSING_COMMITS_RETRY_DELAY
                    }
                    Err(_) => CHECK_INTERVAL * 2,
                };
                sleep(delay).await;
                lock(&attempts).running.remove(&service);
            });
        }
    }
}

/// Raises the commit barriers of services for which a promotion call may still take effect.
fn hold_open_calls<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    monitor: &Monitor,
    tasks: &TaskTracker,
) {
    let due = lock(&monitor.attempts)
        .unresolved
        .due_barriers(Instant::now());
    for (service, token) in due {
        let core = Arc::clone(core);
        tasks.spawn(async move {
            let peers = live_peers(&core);
            raise_barriers(&core, &service, token, &peers).await;
        });
    }
}

/// Closes the idle connections of services whose holder is another host now.
fn release_services<D: Dialect, P: Platform>(core: &Core<D, P>) {
    let now = Instant::now();
    let unused: Vec<(Name, Name)> = {
        let servers = core.servers.lock();
        let groups = servers.groups.iter();
        let unused = groups.flat_map(|(service, group)| {
            let zones = group.unused_zones(now).into_iter();
            zones.map(|zone| (service.clone(), zone))
        });
        unused.collect()
    };
    for (service, zone) in unused {
        if core.members.lock().executor(&service, &zone, now) == Executor::Own {
            continue;
        }
        if let Some(group) = core.servers.lock().groups.get_mut(&service) {
            group.release(&zone);
        }
        log::info!(event = "service_yielded", service = service.as_str(), server_zone = zone.as_str(); "another host is the holder of the service");
    }
}

fn log_result(service: &Name, reason: Reason, started: Instant, result: &Result<Name, Failure>) {
    let elapsed_ms = millis(started.elapsed());
    match result {
        Ok(server) => {
            metrics::counter!("fulmargw_pool_promotions_total").increment(1);
            log::info!(event = "promoted", service = service.as_str(), server = server.as_str(), reason:? = reason, elapsed_ms; "primary replaced");
        }
        Err(failure) => {
            log::info!(event = "promotion_stopped", service = service.as_str(), reason:? = reason, cause:% = failure, elapsed_ms; "primary not replaced");
        }
    }
}

/// State that is kept from one check to the next.
#[derive(Debug, Default)]
struct Monitor {
    /// Services without an assumed primary, and since when.
    without_primary: BTreeMap<Name, Instant>,
    /// No other lock is taken while this one is held, so it needs no rank in the lock order.
    attempts: Arc<Mutex<Attempts>>,
}

/// State of the attempts to replace primaries, by service.
#[derive(Debug, Default)]
struct Attempts {
    /// Services with a running attempt.
    running: BTreeSet<Name>,
    /// Promotion calls whose results are unknown.
    unresolved: Unresolved,
    /// Services whose promotion waits for the old primary.
    waits: Waits,
}

impl Attempts {
    /// Forgets for how long a promotion has waited for the old primary. A later failure is another
    /// one, whose primary may come back just as well.
    fn end_wait(&mut self, service: &Name, now: Instant) {
        if let Some(waited) = self.waits.end(service, now) {
            let waited_ms = millis(waited);
            log::info!(event = "promotion_wait_ended", service = service.as_str(), waited_ms; "the service has a primary again");
        }
    }

    /// Returns what an attempt may do about a promotion call of the service that may still take effect.
    fn permissions(&self, service: &Name, now: Instant) -> Permissions {
        Permissions {
            may_hold: self.unresolved.may_hold(service, now),
            may_abandon: self.unresolved.may_abandon(service, now),
        }
    }

    fn record_result(
        &mut self,
        service: &Name,
        primary: Option<&Name>,
        result: &Result<Name, Failure>,
        started: Instant,
    ) {
        match result {
            Err(Failure::Obstacle(obstacle)) if obstacle.awaits_primary() => {
                self.waits.begin(service, primary, started);
            }
            Ok(_) => self.end_wait(service, started),
            Err(_) => {}
        }
        match result {
            Err(Failure::Unresolved(server, token, last_sent)) => {
                let now = Instant::now();
                self.unresolved.record(service, server, *token, now);
                if *last_sent == LastSent::Recently {
                    self.unresolved.record_sent(service, now);
                }
            }
            Err(Failure::Abandoned(..)) => self.unresolved.abandon(service),
            _ => {}
        }
    }
}

fn lock(attempts: &Mutex<Attempts>) -> MutexGuard<'_, Attempts> {
    attempts.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Monitor {
    /// Settles the promotion calls of a service whose results are unknown once their server leads, and tells all
    /// hosts of the promotion. Nobody else may know of it, so that its commits would be held for a long time.
    fn settle_leading<D: Dialect, P: Platform>(&self, core: &Core<D, P>, service: &Name) {
        let Some(server) = registered_primary(core, service) else {
            return;
        };
        let settled = lock(&self.attempts)
            .unresolved
            .settle_leading(service, &server);
        let Some(token) = settled else {
            return;
        };
        log::info!(event = "order_settled", service = service.as_str(), server = server.as_str(), token; "the server of a promotion call whose result was unknown leads");
        let promotion = Promotion {
            service: service.clone(),
            server,
            token,
        };
        record_promotion(core, &promotion, "registry");
        core.report_now.notify_one();
    }

    /// Returns the services whose primaries have to be replaced now, with the reasons, and marks
    /// their attempts as running.
    fn start_due<D: Dialect, P: Platform>(&mut self, core: &Core<D, P>) -> Vec<(Name, Reason)> {
        let now = Instant::now();
        if core.draining.is_cancelled() {
            return Vec::new();
        }
        let Some(configuration) = core.configuration() else {
            return Vec::new();
        };
        // An entry of the registry may name a service that is not configured. Nobody uses it, so
        // its servers are left alone.
        let is_configured = |name: &&Name| configuration.catalog.services.contains_key(*name);
        let names: Vec<Name> = {
            let servers = core.servers.lock();
            let names = servers.groups.keys().filter(is_configured);
            names.cloned().collect()
        };
        let mut due = Vec::new();
        for service in names {
            self.settle_leading(core, &service);
            let reason = assess(core, &service, now);
            let accepted = accepted_token(core, &service);
            let mut attempts = lock(&self.attempts);
            if accepted.is_some_and(|token| attempts.unresolved.settle(&service, token)) {
                log::info!(event = "order_settled", service = service.as_str(), token = accepted; "a promotion call with a greater token was accepted");
            }
            // The primary may recover between two attempts, of which the second one then never runs.
            if reason.is_none() {
                attempts.end_wait(&service, now);
            }
            let is_unresolved = attempts.unresolved.contains(&service);
            let reason = reason.or(is_unresolved.then_some(Reason::Unsettled));
            if reason == Some(Reason::Leaderless) {
                let since = *self.without_primary.entry(service.clone()).or_insert(now);
                if now.saturating_duration_since(since) < NO_PRIMARY_TIMEOUT {
                    continue;
                }
            } else {
                self.without_primary.remove(&service);
            }
            if let Some(reason) = reason
                && attempts.running.insert(service.clone())
            {
                due.push((service, reason));
            }
        }
        due
    }
}

/// Returns the assumed primary of a service if it is registered as the primary.
fn registered_primary<D: Dialect, P: Platform>(core: &Core<D, P>, service: &Name) -> Option<Name> {
    let servers = core.servers.lock();
    let primary = servers.groups.get(service)?.primary()?;
    let leads = primary.server.role == Role::Primary;
    leads.then(|| primary.server.id.clone())
}

fn assumed_primary<D: Dialect, P: Platform>(core: &Core<D, P>, service: &Name) -> Option<Name> {
    core.servers.lock().groups.get(service)?.primary_id.clone()
}

/// Returns the token of the latest promotion of a service that this host knows to be accepted.
fn accepted_token<D: Dialect, P: Platform>(core: &Core<D, P>, service: &Name) -> Option<u64> {
    Some(core.servers.lock().promotion(service)?.token)
}

/// Returns why the primary of a service should be replaced; `None` if it should not.
fn assess<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    now: Instant,
) -> Option<Reason> {
    let (primary, is_draining, trouble) = {
        let servers = core.servers.lock();
        let group = servers.groups.get(service)?;
        // Nothing is decided before the orders to evacuate zones are known.
        if group.backends.is_empty() || *servers.exclusion() == Exclusion::All {
            return None;
        }
        if group.primary().is_some_and(Backend::is_excluded) {
            let standings = group.standings(|server| !server.is_draining);
            return needs_successor(&standings).then_some(Reason::Evacuated);
        }
        let Some(primary) = group.primary() else {
            return Some(Reason::Leaderless);
        };
        let id = primary.server.id.clone();
        (id, primary.server.is_draining, primary.health.trouble(now))
    };
    if is_draining {
        return Some(Reason::Draining);
    }
    let (trouble, age) = trouble?;
    let own = &core.settings.host.name;
    let is_excluded = core.members.lock().holders.is_excluded(service, own, now);
    if is_excluded && trouble != Trouble::Stuck {
        return None;
    }
    let responds_to_peers = core.members.lock().responds_to_peers(&primary, now);
    let timeout = match trouble {
        Trouble::Unreachable if !responds_to_peers => UNREACHABLE_TIMEOUT,
        Trouble::Stuck => Duration::ZERO,
        Trouble::Silent if !responds_to_peers => Duration::ZERO,
        Trouble::Unreachable | Trouble::Silent => LOCALLY_UNREACHABLE_TIMEOUT,
    };
    (age >= timeout).then_some(Reason::Trouble(trouble))
}

/// Records a promotion and applies it as soon as the promoted server is registered. `source` names how
/// this host learned of it.
pub(crate) fn record_promotion<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    promotion: &Promotion,
    source: &'static str,
) {
    let Promotion {
        service, server, ..
    } = promotion;
    let now = Instant::now();
    let applied = core.servers.lock().record_promotion(promotion, now);
    if let Some(applied) = applied {
        log_applied(core, service, server, applied, source);
    }
}

/// Makes a server the assumed primary of a service because it has been found to lead. Ends the commit
/// barrier of the service if it was raised for the latest promotion of the service, or an earlier one.
fn set_primary<D: Dialect, P: Platform>(core: &Core<D, P>, service: &Name, server: &Name) {
    let applied = {
        let mut servers = core.servers.lock();
        let Some(group) = servers.groups.get_mut(service) else {
            return;
        };
        let is_new_primary = group.set_leading(server, Instant::now());
        let is_primary = group.primary_id.as_ref() == Some(server);
        let handover = servers.handover(service);
        let token = handover.token_of(server).filter(|_| is_primary);
        Applied {
            is_new_primary,
            ended: token.and_then(|token| handover.lift(token)),
        }
    };
    log_applied(core, service, server, applied, "survey");
}

/// Logs what a promotion has changed, and wakes the workers.
fn log_applied<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    server: &Name,
    applied: Applied,
    source: &'static str,
) {
    barrier::record_end(core, service, applied.ended, "promoted");
    if applied.is_new_primary {
        log::info!(event = "primary_believed", service = service.as_str(), server = server.as_str(), source; "another server is the assumed primary");
        core.work_ready.notify_one();
    }
}
