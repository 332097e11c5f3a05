//! Refuses statements that no server may run because of an evacuated zone or of home regions, and
//! limits the requests to cold servers.

use crate::{
    core::Core,
    dialect::Dialect,
    freshness::Moment,
    job::{Job, Outcome},
    routing::{Availability, Candidate},
    settings::Settings,
    store::Platform,
    table::{Group, Servers},
    worker,
};
use fulmargw_decision::{
    cold::Limit,
    evacuation::{self, Refusal, Standing},
    home,
    queue::Readiness,
};
use fulmargw_model::{
    execution::{Code, Kind, NotRun, Request, Trace},
    name::Name,
    position::Position,
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Requests to the server for a read that must see every commit: the read in a transaction of its
/// own.
const CURRENT_READ_REQUESTS: u32 = 3;
/// Requests to the server for the first statement of a transaction, which begins it.
const FIRST_REQUESTS: u32 = 2;

/// Returns why no server may run a statement now; `None` if one may.
pub(crate) fn refusal<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    request: &Request,
) -> Option<Refusal> {
    core.settings.evacuation?;
    let margin = core.limits().staleness_margin();
    let moment = Moment::now();
    let mut servers = core.servers.lock();
    let group = servers.groups.get_mut(&request.service)?;
    if awaits_sample(&core.settings, request, group, margin, moment) {
        group.sample_needed = Some(moment.now);
        return None;
    }
    group_refusal(&core.settings, request, group, margin, moment)
}

/// Reports whether a read waits for a sample of the primary's position: with one a replica in its home
/// regions may run it, and the primary is not in them. Without that restriction the primary would
/// run it, which gives a sample.
fn awaits_sample<D: Dialect>(
    settings: &Settings,
    request: &Request,
    group: &Group<D>,
    margin: Duration,
    moment: Moment,
) -> bool {
    if request.regions.is_none() || request.needs_primary() {
        return false;
    }
    let requirements = worker::requirements(request, group, margin, moment);
    let standings = home_standings(settings, request, group);
    requirements.min_position.is_none()
        && evacuation::refusal(&standings, true) == Some(Refusal::OutsideHome)
        && evacuation::refusal(&standings, false).is_none()
}

fn home_standings<D: Dialect>(
    settings: &Settings,
    request: &Request,
    group: &Group<D>,
) -> Vec<Standing> {
    let regions = request.regions.as_deref();
    group.standings(|server| home::allows(regions, settings.zones.get(&server.zone)))
}

fn group_refusal<D: Dialect>(
    settings: &Settings,
    request: &Request,
    group: &Group<D>,
    margin: Duration,
    moment: Moment,
) -> Option<Refusal> {
    if request.regions.is_none() && !group.has_excluded() {
        return None;
    }
    let requirements = worker::requirements(request, group, margin, moment);
    let standings = home_standings(settings, request, group);
    evacuation::refusal(&standings, requirements.min_position.is_none())
}

/// Records a statement that is refused without waiting, and returns its outcome.
pub(crate) fn refuse<D: Dialect>(request: &Request, refusal: Refusal) -> Outcome<D> {
    metrics::counter!("fulmargw_pool_refused_by_zone_total", "reason" => refusal.label())
        .increment(1);
    log::info!(event = "zone_refused", request:% = request.statement.request(), service = request.service.as_str(), cause:% = refusal; "no server may run the statement now; refusing it at once");
    Outcome::NotRun(NotRun {
        server: None,
        code: Code::ReadOnly,
        retry_after: None,
    })
}

/// Logs a statement that was assigned to a server whose zone is evacuated, and not sent.
pub(crate) fn log_refused<D: Dialect>(job: &Job<D>, trace: &Trace) {
    metrics::counter!("fulmargw_pool_refused_by_zone_total", "reason" => "assigned").increment(1);
    log::info!(event = "zone_not_sent", request:% = job.request.statement.request(), server = trace.server_id.server.as_str(); "the zone of the assigned server is evacuated; the statement was not sent");
}

/// Refuses the queued statements that no server may run any more.
pub(crate) fn refuse_queued<D: Dialect, P: Platform>(core: &Core<D, P>) {
    let moment = Moment::now();
    let margin = core.limits().staleness_margin();
    let mut refused = Vec::new();
    {
        let mut queues = core.queues.lock();
        let servers = core.servers.lock();
        for (service, group) in &servers.groups {
            let choose = |job: &Job<D>| {
                let settings = &core.settings;
                let zone = job.request.binding_zone();
                if zone.is_some_and(|zone| servers.exclusion().contains(zone)) {
                    return Some((Refusal::AllEvacuated, Readiness::Ready));
                }
                if awaits_sample(settings, &job.request, group, margin, moment) {
                    return None;
                }
                let refusal = group_refusal(settings, &job.request, group, margin, moment)?;
                Some((refusal, Readiness::Ready))
            };
            let queue = queues.service(service);
            while let Some(taken) = queue.pop_ready_first(moment.now, choose) {
                refused.push(taken);
            }
        }
    }
    for (job, refusal) in refused {
        let outcome = refuse(&job.request, refusal);
        core.send_outcome(job, outcome);
    }
}

/// Returns the regions whose servers may run a statement of a route for a client account; `None` if
/// there is no restriction, or the deployment has none.
pub(crate) fn regions<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    database: &Name,
    account: &Name,
) -> Option<Arc<[Name]>> {
    core.settings.evacuation?;
    let configuration = core.configuration()?;
    let catalog = &configuration.catalog;
    let route = catalog.routes.get(database)?;
    let account = catalog.account_regions.get(account);
    let common = home::common(&route.regions, account.map_or(&[], Vec::as_slice))?;
    Some(common.into())
}

/// Makes the candidates outside the home regions of a statement unavailable to it.
pub(crate) fn restrict<D: Dialect>(
    candidates: &mut [Candidate],
    group: &Group<D>,
    regions: Option<&[Name]>,
    zones: &BTreeMap<Name, Name>,
) {
    if regions.is_none() {
        return;
    }
    for (candidate, backend) in candidates.iter_mut().zip(group.backends.values()) {
        if !home::allows(regions, zones.get(&backend.server.zone)) {
            candidate.availability = Availability::Avoided;
        }
    }
}

/// Returns the number of requests to a server that a statement takes.
pub(crate) fn requests_of(kind: Kind, has_min_position: bool) -> u32 {
    match kind {
        Kind::Read if !has_min_position => CURRENT_READ_REQUESTS,
        Kind::FirstInTransaction { .. } => FIRST_REQUESTS,
        _ => 1,
    }
}

/// Begins and ends the limits of cold servers.
pub(crate) fn limit_cold<D: Dialect, P: Platform>(core: &Core<D, P>, servers: &mut Servers<D>) {
    let (Some(bounds), Some(configuration)) = (core.settings.evacuation, core.configuration())
    else {
        return;
    };
    let now = Instant::now();
    for (name, group) in &mut servers.groups {
        let service = configuration.catalog.services.get(name);
        let cold = service.and_then(|service| service.cold).map(|cold| {
            let limit = Limit {
                rate: cold.rate,
                overage: bounds.cold_overage,
                slack: bounds.cold_slack,
            };
            (cold, limit)
        });
        for backend in group.backends.values_mut() {
            if backend.limit_cold(cold, now) {
                log::info!(event = "server_cold", server = backend.server.id.as_str(), service = name.as_str(), is_cold = backend.is_cold(), remaining_ms = backend.server.cold_remaining_ms; "the limit of a cold server begins or ends");
            }
        }
    }
}

/// Updates the limits of cold servers and which of them this host may use: those of the services
/// whose statements it runs.
pub(crate) fn update_cold<D: Dialect, P: Platform>(core: &Core<D, P>) {
    if core.settings.evacuation.is_none() {
        return;
    }
    let now = Instant::now();
    let mut members = core.members.lock();
    let mut servers = core.servers.lock();
    limit_cold(core, &mut servers);
    for (service, group) in &mut servers.groups {
        let backends = group.backends.values_mut();
        for backend in backends.filter(|backend| backend.is_cold()) {
            let is_holder = members.runs_on(service, &backend.server.zone, now);
            backend.set_cold_holder(is_holder, now);
        }
    }
}

/// Reports whether a server of a service gets nothing because of its zone.
pub(crate) fn has_excluded<D: Dialect, P: Platform>(core: &Core<D, P>, service: &Name) -> bool {
    let servers = core.servers.lock();
    let group = servers.groups.get(service);
    group.is_some_and(Group::has_excluded)
}

/// Returns the latest log position that the primary of a service is known to have acknowledged;
/// `None` while a statement of this host still runs on a server of an evacuated zone, which may get a
/// later one acknowledged, and while the position may not cover what this host acknowledged before its
/// process started.
pub(crate) fn acknowledged<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
) -> Option<Position> {
    let servers = core.servers.lock();
    let group = servers.groups.get(service)?;
    let mut left = group.backends.values().filter(|it| it.is_excluded());
    if left.any(|backend| backend.running > 0) {
        return None;
    }
    group.exact_acknowledged()
}

/// Reports whether every host knows the orders of the zones in which servers of a service are not
/// asked for their logs.
pub(crate) fn is_settled<D: Dialect, P: Platform>(core: &Core<D, P>, service: &Name) -> bool {
    let Some(bounds) = core.settings.evacuation else {
        return true;
    };
    let now = Instant::now();
    let orders = core.orders.lock();
    let servers = core.servers.lock();
    let Some(group) = servers.groups.get(service) else {
        return true;
    };
    let zones = group.backends.values().map(|backend| &backend.server.zone);
    evacuation::is_settled(
        zones.filter_map(|zone| orders.age(zone, now)),
        bounds.bound(),
    )
}
