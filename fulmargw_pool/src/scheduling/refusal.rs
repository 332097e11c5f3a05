//! Early refusal of statements that would wait in vain.

use super::{Load, Plan, View, kind};
use crate::{
    clock::millis,
    core::Core,
    dialect::Dialect,
    dispatch::queue_limit,
    freshness::Moment,
    routing::{self, Availability, Candidate, Requirements},
    store::Platform,
    worker,
};
use fulmargw_decision::{
    queue::{Demand, Priority},
    wait::{self, Arrival, Slots, Verdict},
};
use fulmargw_model::execution::{Code, NotRun, Request};

/// Returns the refusal of a statement that is expected to wait for too long.
pub(crate) fn refusal<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    request: &Request,
) -> Option<NotRun> {
    let plan = core.plan();
    if !plan.early_refusal {
        return None;
    }
    let (arrival, slots) = situation(core, &plan, request)?;
    let priority = request.priority.to_string();
    let verdict = wait::decide(&arrival, &slots);
    let (Verdict::Admitted(expected) | Verdict::Refused(expected)) = verdict;
    metrics::histogram!("fulmargw_pool_expected_wait_seconds", "priority" => priority.clone())
        .record(expected);
    if verdict == Verdict::Admitted(expected) {
        return None;
    }
    let retry_after = wait::retry_delay(expected, rand::random());
    metrics::counter!("fulmargw_pool_early_refusals_total", "priority" => priority).increment(1);
    log::info!(
        event = "refused_early", request:% = request.statement.request(), service = request.service.as_str(),
        account = request.account.as_str(), priority = request.priority, expected_ms = millis(expected),
        higher_ms = millis(arrival.backlog.higher), level_ms = millis(arrival.backlog.level), own_ms = millis(arrival.backlog.own), own_slots = arrival.backlog.own_slots, work_ms = millis(arrival.work), objective_ms = millis(arrival.objective),
        slots = slots.total, occupied_above = slots.occupied_above, occupied_own = slots.occupied_own, retry_ms = millis(retry_after);
        "the expected wait exceeds the objective; refusing the statement at once"
    );
    Some(NotRun {
        server: None,
        code: Code::Busy,
        retry_after: Some(retry_after),
    })
}

/// Returns what is known of an arriving statement and of the slots that may run it; `None` if
/// nothing waits that goes before it.
fn situation<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    plan: &Plan,
    request: &Request,
) -> Option<(Arrival, Slots)> {
    let moment = Moment::now();
    let limits = core.limits();
    let mut queues = core.queues.lock();
    let (load, queue) = queues.load(&request.service);
    if queue.is_empty() {
        return None;
    }
    let work = load.profile.work(kind(request), moment.now);
    let demand = Demand {
        work: work.unwrap_or_default(),
        primary_only: request.needs_primary(),
        ..Demand::default()
    };
    let level = Priority(request.priority);
    let backlog = queue.backlog(level, &request.account, &demand, moment.now);
    if backlog.is_empty() {
        return None;
    }
    let servers = core.servers.lock();
    let group = servers.groups.get(&request.service)?;
    let zone = &core.settings.host.zone;
    let candidates = group.candidates(zone, limits.drain_window(), moment.now);
    let requirements = worker::requirements(request, group, limits.staleness_margin(), moment);
    let is_allowed: Vec<bool> = group
        .backends
        .values()
        .map(|it| {
            let zone = request.binding_zone();
            zone.is_none_or(|zone| it.server.zone == *zone)
        })
        .collect();
    drop(servers);
    let mut candidates = match load.lowest_level(plan, &request.service, &candidates, moment.now) {
        Some(View {
            priority,
            candidates,
            ..
        }) if request.priority >= priority => candidates,
        _ => candidates,
    };
    for (candidate, is_allowed) in candidates.iter_mut().zip(is_allowed) {
        candidate.is_usable &= is_allowed;
    }
    let slots = slots(load, request, &requirements, candidates, moment);
    let arrival = Arrival {
        backlog,
        work: demand.work,
        objective: queue_limit(request),
    };
    Some((arrival, slots))
}

/// Returns the slots that may run a statement.
fn slots(
    load: &Load,
    request: &Request,
    requirements: &Requirements,
    mut candidates: Vec<Candidate>,
    moment: Moment,
) -> Slots {
    let has_replica = candidates
        .iter()
        .any(|candidate| !candidate.is_primary && candidate.is_usable);
    let primary_only = request.needs_primary();
    let mut slots = Slots::default();
    for candidate in candidates.iter().filter(|candidate| candidate.is_usable) {
        // Reads that a replica can run get half of the primary's slots.
        let part = match (candidate.is_primary, primary_only) {
            (false, true) => 0.0,
            (true, false) if has_replica => 0.5,
            _ => 1.0,
        };
        let occupied = load
            .profile
            .occupied_above(&candidate.id, request.priority, moment.now);
        slots.total += part * f64::from(candidate.max_running.max(candidate.running));
        slots.occupied_above += part * occupied;
        let own = load
            .profile
            .occupied(&candidate.id, request.priority, moment.now);
        slots.occupied_own += part * own;
    }
    // A connection that is in use now may be idle soon, so it is no reason to refuse.
    for candidate in &mut candidates {
        candidate.availability = if candidate.has_free_slot() {
            Availability::Idle
        } else {
            Availability::Exhausted
        };
    }
    slots.has_free = routing::choose(requirements, &candidates).is_some();
    slots
}
