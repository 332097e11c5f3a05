//! Runs statements in the availability zone that is chosen for them.

use super::{DECLINED_EXCLUSION, claim, exclude_until_response, from_peer};
use crate::{
    core::Core,
    dialect::Dialect,
    dispatch::{self, remaining},
    freshness::Moment,
    job,
    member::Executor,
    store::Platform,
    table::{Backend, Group, adaptive::ORDINARY_PERCENT},
    traffic, worker,
};
use fulmargw_decision::{
    home,
    placement::{self, Attempt, Obstacle},
};
use fulmargw_model::{
    execution::{Code, Kind, NotRun, Request, Target},
    name::Name,
};
use fulmargw_peer::forward::{Error, Outcome};
use std::sync::Arc;
use tokio::time::Instant;

/// Fraction of its latency objective for which a read that may be passed on waits in a queue.
const QUEUE_FRACTION: f64 = 0.5;
/// Longest list of zones that have not run a statement; a statement that was passed on more often
/// is refused.
const MAX_ATTEMPTS: usize = 8;

/// Runs a statement in the zone that is chosen for it, and in another one if that passes it on.
/// Returns the request if its service is not placed by zone, or has no server to choose.
pub(super) async fn run<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    mut request: Request,
    deadline: Instant,
) -> Result<job::Outcome<D>, Request> {
    let started = Instant::now();
    let objective = request.objective;
    let mut attempts: Vec<Attempt> = Vec::new();
    while attempts.len() < MAX_ATTEMPTS {
        let Some((target, executor)) = choose(core, &request, &attempts) else {
            request.target = None;
            request.objective = objective;
            return Err(request);
        };
        request.remaining = remaining(deadline);
        // A read that has waited in one zone waits for less in the next one.
        let rest = objective.saturating_sub(started.elapsed());
        request.objective = rest.max(objective.mul_f64(QUEUE_FRACTION));
        request.target = Some(target.clone());
        let obstacle = match run_at(core, &request, executor).await {
            Step::Done(outcome) => return Ok(outcome),
            Step::PassedOn(obstacle) => obstacle,
            Step::NextHost => continue,
        };
        if let Obstacle::Queue(wait) = &obstacle {
            let mut members = core.members.lock();
            let placement = &mut members.placement;
            placement.record_busy(&request.service, &target.zone, *wait, Instant::now());
        }
        attempts.push(Attempt {
            zone: target.zone,
            obstacle,
        });
    }
    Ok(dispatch::not_run(Code::Busy))
}

/// What follows from an attempt to run a statement in a zone.
enum Step<D: Dialect> {
    /// The statement has an outcome.
    Done(job::Outcome<D>),
    /// It has not run, and another zone should run it.
    PassedOn(Obstacle),
    /// It has not run, or is a read. The host has been excluded, so another one is chosen next.
    NextHost,
}

/// Runs a statement in its zone through the host that was chosen for it.
async fn run_at<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    request: &Request,
    executor: Executor,
) -> Step<D> {
    let Executor::Peer {
        host,
        address,
        is_other_zone,
    } = executor
    else {
        return match run_here(core, request.clone()).await {
            Ok(outcome) => Step::Done(outcome),
            Err(obstacle) => Step::PassedOn(obstacle),
        };
    };
    let client = &core.forward_client;
    let response = client.run(&host, address, request.clone()).await;
    if is_other_zone {
        traffic::count(&request.statement, response.as_ref().ok().map(|it| &it.0));
    }
    match response {
        Ok((Outcome::PassedOn(obstacle), _)) => Step::PassedOn(obstacle),
        Ok((Outcome::NotServing, _)) => {
            log::info!(event = "holder_declined", request:% = request.statement.request(), host = host.as_str(), service = request.service.as_str(); "host does not accept statements of the service; excluding it as holder for a time");
            let until = Instant::now() + DECLINED_EXCLUSION;
            let mut members = core.members.lock();
            members.holders.exclude(&request.service, &host, until);
            Step::NextHost
        }
        Ok((outcome, remote)) => Step::Done(from_peer(outcome, remote)),
        Err(error) => {
            exclude_until_response(core, &host, address, &error);
            let can_retry = request.statement.kind == Kind::Read;
            if matches!(error, Error::Lost { .. }) && !can_retry {
                return Step::Done(job::Outcome::Lost {
                    server: None,
                    timed_out: false,
                });
            }
            Step::NextHost
        }
    }
}

/// Chooses the zone of a statement and the host that runs it there.
fn choose<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    request: &Request,
    attempts: &[Attempt],
) -> Option<(Target, Executor)> {
    let now = Instant::now();
    let service = &request.service;
    let mut members = core.members.lock();
    if !members.is_placed(service) {
        return None;
    }
    let target = {
        let servers = core.servers.lock();
        let group = servers.groups.get(service)?;
        let placement = &members.placement;
        let drain_window = core.limits().drain_window();
        let regions = request.regions.as_deref();
        let zone_regions = &core.settings.zones;
        let may_run = |backend: &Backend<D>| {
            let region = zone_regions.get(&backend.server.zone);
            !backend.is_excluded() && home::allows(regions, region)
        };
        let awaited = group.awaited(drain_window, now);
        let awaited = awaited.filter(|(backend, _)| may_run(backend));
        let zones = awaited.map(|(backend, is_primary)| placement::Zone {
            name: &backend.server.zone,
            is_primary,
            busy: placement.busy_time(service, &backend.server.zone, now),
        });
        let own = &core.settings.host.zone;
        // The number differs between hosts, so that they use different zones.
        let salt = usize::from(core.incarnation.to_le_bytes()[0]);
        let choice = placement::choose(request.needs_primary(), own, zones, attempts, salt)?;
        Target {
            zone: choice.zone.clone(),
            may_pass_on: choice.may_pass_on,
        }
    };
    let executor = members.executor(service, &target.zone, now);
    Some((target, executor))
}

/// Runs a statement on the servers of its zone, or returns why another zone should run it.
pub(super) async fn run_here<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    mut request: Request,
) -> Result<job::Outcome<D>, Obstacle> {
    if request.target.is_none() {
        request.target = choose_for_sender(core, &request);
    }
    if let Some(obstacle) = obstacle(core, &request) {
        metrics::counter!("fulmargw_pool_passed_on_total", "reason" => obstacle.label())
            .increment(1);
        return Err(obstacle);
    }
    if let Some(target) = &request.target {
        claim::record_use(core, &request.service, &target.zone);
    }
    let may_pass_on = request.target.as_ref().is_some_and(|it| it.may_pass_on);
    if !may_pass_on || request.needs_primary() {
        return Ok(dispatch::run(core, request, None).await);
    }
    let longest = request.objective.mul_f64(QUEUE_FRACTION);
    request.objective = longest;
    match dispatch::run(core, request, None).await {
        job::Outcome::NotRun(NotRun {
            server: None,
            code: Code::Busy,
            retry_after,
        }) => {
            metrics::counter!("fulmargw_pool_passed_on_total", "reason" => "waited").increment(1);
            Err(Obstacle::Queue(retry_after.unwrap_or(longest)))
        }
        // The zone was evacuated while the read waited.
        job::Outcome::NotRun(NotRun {
            server: None,
            code: Code::ReadOnly,
            ..
        }) => Err(Obstacle::Unusable),
        outcome => Ok(outcome),
    }
}

/// Chooses the zone of a statement whose sender takes this host for the holder of the service, while
/// this host knows a fleet that is placed by zone. Without a zone it would use the holder's share of
/// all servers.
///
/// The sender cannot pass the statement on, so a zone that would is not chosen.
fn choose_for_sender<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    request: &Request,
) -> Option<Target> {
    let (first, _) = choose(core, request, &[])?;
    let attempted = Request {
        target: Some(first.clone()),
        ..request.clone()
    };
    let target = match obstacle(core, &attempted) {
        None => first,
        Some(obstacle) => {
            let attempt = Attempt {
                zone: first.zone.clone(),
                obstacle,
            };
            let next = choose(core, request, &[attempt]);
            next.map_or(first, |(next, _)| next)
        }
    };
    Some(Target {
        may_pass_on: false,
        ..target
    })
}

/// Returns why another zone should run a statement; `None` if this host should.
fn obstacle<D: Dialect, P: Platform>(core: &Core<D, P>, request: &Request) -> Option<Obstacle> {
    let target = request.target.as_ref()?;
    let moment = Moment::now();
    let waiting = core.queues.lock().service(&request.service).len();
    let mut servers = core.servers.lock();
    let group = servers.groups.get_mut(&request.service)?;
    if request.needs_primary() {
        let zone = &group.primary()?.server.zone;
        let is_elsewhere = target.may_pass_on && *zone != target.zone;
        return is_elsewhere.then(|| Obstacle::Primary(zone.clone()));
    }
    // Reads that are passed on for lack of a sample reach no worker, which would have samples taken.
    group.sample_requested = Some(moment.now);
    if !target.may_pass_on {
        return None;
    }
    let mut state = state(core, request, group, &target.zone, moment);
    state.load.waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
    placement::obstacle(&state, request.objective)
}

/// Returns what this host knows of the servers of a zone, for a read. The waiting statements are not
/// included.
fn state<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    request: &Request,
    group: &Group<D>,
    zone: &Name,
    moment: Moment,
) -> placement::State {
    let limits = core.limits();
    let drain_window = limits.drain_window();
    let requirements = worker::requirements(request, group, limits.staleness_margin(), moment);
    let mut state = placement::State::default();
    state.load.mean = group.pace.mean();
    let mut fastest_percent: Option<u32> = None;
    let host_zone = &core.settings.host.zone;
    for backend in group.backends.values() {
        let is_primary = group.primary_id.as_ref() == Some(&backend.server.id);
        let is_ejected = !is_primary && backend.is_ejected(moment.now);
        if is_ejected
            || !backend.accepts(moment.now)
            || !group.is_awaited(backend, drain_window, moment.now)
        {
            continue;
        }
        let candidate = group.candidate(backend, host_zone, drain_window, moment.now);
        let is_current = !candidate.is_primary
            && request.avoid.as_ref() != Some(&candidate.id)
            && requirements.is_expected_at(&candidate);
        if backend.server.zone != *zone {
            state.others_may_run |= is_current;
            continue;
        }
        if candidate.is_primary {
            state.has_primary = true;
            state.primary_has_spare = candidate.running * 2 < candidate.max_running;
        } else {
            state.usable_replicas += 1;
            state.current_replicas += u32::from(is_current);
        }
        if candidate.is_primary || is_current {
            state.load.running += candidate.running;
            state.load.slots += candidate.max_running;
            let percent = candidate.slowness_percent;
            fastest_percent = Some(fastest_percent.map_or(percent, |it| it.min(percent)));
        }
    }
    let slowness = fastest_percent.map_or(0, |it| it.saturating_sub(ORDINARY_PERCENT));
    state.excess = state.load.mean * slowness / ORDINARY_PERCENT;
    state
}
