//! Notices primaries that are gone, do not answer or leave.

mod claim;
mod reach;
mod takeover;

pub(crate) use claim::KEY_PREFIX;
pub(crate) use reach::reaches;

use self::takeover::{Patience, Stop, attempt};
use crate::{
    clock::millis, core::Core, dialect::Dialect, health::Trouble, promotion::Obstacle, sampling,
    store::Platform,
};
use fulmargw_model::name::Name;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::{Instant, sleep};
use tokio_util::task::TaskTracker;

/// Time between two looks at the primaries.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time for which connections to a primary must fail before it is replaced.
const UNREACHABLE: Duration = Duration::from_millis(350);
/// The same if another host still gets answers from it.
const UNREACHABLE_HERE: Duration = Duration::from_secs(2);
/// Time without a known primary after which one is promoted.
const LEADERLESS: Duration = Duration::from_millis(1_200);
/// Time after a promotion in which the new primary takes over.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Time for which a promotion waits for a primary that may come back with commits which no
/// replica has.
const BEHIND_TIME: Duration = Duration::from_secs(20);
/// Pause between two attempts meanwhile.
const BEHIND_PAUSE: Duration = Duration::from_millis(700);

/// Why a primary should be replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reason {
    Leaderless,
    Draining,
    Trouble(Trouble),
    /// An order without an answer may be carried out at any time, until one with a greater token
    /// is accepted.
    Unsettled,
}

/// Looks after the primaries until the process stops.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>) {
    let mut watch = Watch::default();
    let tasks = TaskTracker::new();
    loop {
        tokio::select! {
            () = sleep(INTERVAL) => {}
            () = core.stop.cancelled() => return,
        }
        core.work_ready.notify_one();
        sampling::run(&core);
        yield_services(&core);
        for (service, reason) in watch.assess(&core) {
            let core = Arc::clone(&core);
            let attempts = Arc::clone(&watch.attempts);
            let patience = lock(&attempts).patience(&service, Instant::now());
            tasks.spawn(async move {
                let started = Instant::now();
                let result = attempt(&core, &service, reason, patience).await;
                report(&service, reason, started, &result);
                lock(&attempts).ended(&service, &result, started);
                let pause = match &result {
                    Ok(_) => SETTLE_TIME,
                    Err(Stop::Obstacle(Obstacle::MissingCommits(..))) => BEHIND_PAUSE,
                    Err(_) => INTERVAL * 2,
                };
                sleep(pause).await;
                lock(&attempts).running.remove(&service);
            });
        }
    }
}

/// Gives up the connections of services that other hosts hold now.
fn yield_services<D: Dialect, P: Platform>(core: &Core<D, P>) {
    let now = Instant::now();
    let idle: Vec<Name> = {
        let servers = core.servers.lock();
        let groups = servers.groups.iter();
        let idle = groups.filter(|(_, group)| group.is_unused(now));
        idle.map(|(service, _)| service.clone()).collect()
    };
    for service in idle {
        if core.members.lock().holder(&service, now).is_none() {
            continue;
        }
        if let Some(group) = core.servers.lock().groups.get_mut(&service) {
            group.release();
        }
        log::info!(event = "service_yielded", service = service.as_str(); "another host runs its statements");
    }
}

fn report(service: &Name, reason: Reason, started: Instant, result: &Result<Name, Stop>) {
    let elapsed_ms = millis(started.elapsed());
    match result {
        Ok(server) => {
            metrics::counter!("fulmargw_pool_promotions_total").increment(1);
            log::info!(event = "promoted", service = service.as_str(), server = server.as_str(), reason:? = reason, elapsed_ms; "primary replaced");
        }
        Err(stop) => {
            log::info!(event = "promotion_stopped", service = service.as_str(), reason:? = reason, cause:% = stop, elapsed_ms; "primary not replaced");
        }
    }
}

/// What the monitor remembers between two looks.
#[derive(Debug, Default)]
struct Watch {
    leaderless: BTreeMap<Name, Instant>,
    /// Nothing else is locked while this is locked, so it needs no rank.
    attempts: Arc<Mutex<Attempts>>,
}

/// Services with an attempt.
#[derive(Debug, Default)]
struct Attempts {
    running: BTreeSet<Name>,
    unsettled: BTreeSet<Name>,
    /// Since when no replica has every acknowledged commit.
    behind: BTreeMap<Name, Instant>,
}

impl Attempts {
    fn patience(&self, service: &Name, now: Instant) -> Patience {
        let since = self.behind.get(service);
        match since.map(|since| now.saturating_duration_since(*since)) {
            Some(waited) if waited >= BEHIND_TIME => Patience::Spent,
            _ => Patience::Left,
        }
    }

    fn ended(&mut self, service: &Name, result: &Result<Name, Stop>, started: Instant) {
        match result {
            Err(Stop::Obstacle(Obstacle::MissingCommits(..))) => {
                self.behind.entry(service.clone()).or_insert(started);
            }
            Ok(_) | Err(Stop::Recovered) => {
                self.behind.remove(service);
            }
            Err(_) => {}
        }
        match result {
            Ok(_) => self.unsettled.remove(service),
            Err(Stop::Unsettled) => self.unsettled.insert(service.clone()),
            Err(_) => false,
        };
    }
}

fn lock(attempts: &Mutex<Attempts>) -> MutexGuard<'_, Attempts> {
    attempts.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Watch {
    fn assess<D: Dialect, P: Platform>(&mut self, core: &Core<D, P>) -> Vec<(Name, Reason)> {
        let now = Instant::now();
        if core.draining.is_cancelled() {
            return Vec::new();
        }
        let names: Vec<Name> = core.servers.lock().groups.keys().cloned().collect();
        let mut due = Vec::new();
        for service in names {
            let reason = assess(core, &service, now);
            let mut attempts = lock(&self.attempts);
            let unsettled = attempts.unsettled.contains(&service);
            let reason = reason.or(unsettled.then_some(Reason::Unsettled));
            if reason == Some(Reason::Leaderless) {
                let since = *self.leaderless.entry(service.clone()).or_insert(now);
                if now.saturating_duration_since(since) < LEADERLESS {
                    continue;
                }
            } else {
                self.leaderless.remove(&service);
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

fn assess<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    now: Instant,
) -> Option<Reason> {
    let (lead, draining, trouble) = {
        let servers = core.servers.lock();
        let group = servers.groups.get(service)?;
        if group.backends.is_empty() {
            return None;
        }
        let Some(primary) = group.primary() else {
            return Some(Reason::Leaderless);
        };
        let id = primary.server.id.clone();
        (id, primary.server.is_draining, primary.health.trouble(now))
    };
    if draining {
        return Some(Reason::Draining);
    }
    let (trouble, age) = trouble?;
    let own = &core.settings.host.name;
    let is_excluded = core.members.lock().holders.is_excluded(service, own, now);
    if is_excluded && trouble != Trouble::Stuck {
        return None;
    }
    let answers_others = core.members.lock().responds_to_peers(&lead, now);
    let patience = match trouble {
        Trouble::Unreachable if !answers_others => UNREACHABLE,
        Trouble::Stuck => Duration::ZERO,
        Trouble::Silent if !answers_others => Duration::ZERO,
        Trouble::Unreachable | Trouble::Silent => UNREACHABLE_HERE,
    };
    (age >= patience).then_some(Reason::Trouble(trouble))
}

/// Believes that a server leads.
pub fn set_primary<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    server: &Name,
    source: &'static str,
) {
    let changed = {
        let mut servers = core.servers.lock();
        let group = servers.groups.get_mut(service);
        group.is_some_and(|group| group.set_promoted(server, Instant::now()))
    };
    if changed {
        log::info!(event = "primary_believed", service = service.as_str(), server = server.as_str(), source; "another server leads");
        core.work_ready.notify_one();
    }
}
