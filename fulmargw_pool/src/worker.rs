//! Workers that take queued jobs and run them on backend servers.

use crate::{
    backend::Server,
    core::Core,
    dialect::Dialect,
    evacuation, exchange,
    freshness::Moment,
    job::{Job, Outcome, PooledConnection},
    routing::{self, Choice, FreeSlots, Requirements},
    scheduling::{self, Running},
    store::Platform,
    table::{Checkout, Group},
};
use fulmargw_decision::queue::Readiness;
use fulmargw_model::{
    execution::{Code, Consistency, Kind, NotRun, Request, ServerId, Trace, Visibility},
    name::Name,
};
use std::{pin::pin, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Fraction of its latency objective for which a statement that needs a new connection lets others
/// go first. Opening a connection takes a slot of the server for longer than many statements.
const READY_FIRST_FRACTION: f64 = 0.25;

/// A job with the connection on which it runs.
pub(crate) struct Assignment<D: Dialect> {
    pub(crate) job: Job<D>,
    pub(crate) server: Option<Server>,
    pub(crate) checkout: Checkout<D>,
    pub(crate) trace: Trace,
}

/// Runs queued jobs until the pool stops.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>) {
    loop {
        let mut wakeup = pin!(core.work_ready.notified());
        wakeup.as_mut().enable();
        if let Some((assignment, _running)) = next_assignment(&core) {
            // Wakes another worker for the next job while this one is busy.
            core.work_ready.notify_one();
            exchange::run(&core, assignment).await;
            continue;
        }
        tokio::select! {
            () = core.stop.cancelled() => return,
            () = wakeup => {}
        }
    }
}

/// Takes the next job that can run now and checks out a connection for it.
fn next_assignment<D: Dialect, P: Platform>(
    core: &Core<D, P>,
) -> Option<(Assignment<D>, Option<Running>)> {
    let plan = core.plan();
    let moment = Moment::now();
    let limits = core.limits();
    let mut queues = core.queues.lock();
    if let Some(job) = queues.pinned.pop_front() {
        drop(queues);
        return assign_pinned(core, job).map(|assignment| (assignment, None));
    }
    let mut servers = core.servers.lock();
    for name in queues.rotation() {
        let is_held = servers.holds_commits(&name, moment.now);
        let Some(group) = servers.groups.get_mut(&name) else {
            continue;
        };
        let zone = &core.settings.host.zone;
        let mut candidates = group.candidates(zone, limits.drain_window(), moment.now);
        let free_slots = FreeSlots::of(&candidates);
        if free_slots.is_empty() {
            continue;
        }
        let (load, queue) = queues.load(&name);
        let mut lowest = load.lowest_level(&plan, &name, &candidates, moment.now);
        let bound = scheduling::connection_bound(&plan, group, queue);
        let choose = |job: &Job<D>| {
            let Request {
                account,
                avoid,
                objective,
                priority,
                ..
            } = &job.request;
            let (candidates, free_slots) = match &mut lowest {
                Some(lowest) if *priority >= lowest.priority => {
                    (&mut lowest.candidates, lowest.free_slots)
                }
                _ => (&mut candidates, free_slots),
            };
            if is_held && job.request.statement.kind.needs_primary() {
                return None;
            }
            if !free_slots.may_take(job.request.needs_primary()) {
                return None;
            }
            let zone = job.request.binding_zone();
            if zone.is_some_and(|zone| !group.has_free_slot_in(zone, candidates)) {
                return None;
            }
            group.set_account(candidates, account, avoid.as_ref(), zone, moment.now);
            if let Some(part) = bound {
                scheduling::apply_bound(part, &job.request, group, candidates);
            }
            let regions = job.request.regions.as_deref();
            evacuation::restrict(candidates, group, regions, &core.settings.zones);
            let margin = limits.staleness_margin();
            let requirements = requirements(&job.request, group, margin, moment);
            let choice = routing::choose(&requirements, candidates)?;
            let waited = moment.now.saturating_duration_since(job.queued);
            let is_ready = !choice.opens || waited >= objective.mul_f64(READY_FIRST_FRACTION);
            let readiness = if is_ready {
                Readiness::Ready
            } else {
                Readiness::NeedsPreparation
            };
            Some((choice, readiness))
        };
        let Some((job, choice)) = queue.pop_ready_first(moment.now, choose) else {
            continue;
        };
        // A statement that is placed by zone has been recorded when it arrived.
        if job.request.target.is_none() {
            group.record_use(None, moment.now);
        }
        if job.request.statement.kind == Kind::Read {
            group.sample_requested = Some(moment.now);
        }
        let backend = group.backends.get_mut(&choice.server)?;
        let checkout = backend.check_out(&job.request.account);
        let has_min_position = choice.min_position.is_some();
        let requests = evacuation::requests_of(job.request.statement.kind, has_min_position);
        backend.count_requests(requests, moment.now);
        let server = backend.server.clone();
        let Some(checkout) = checkout else {
            // The idle connection on which the choice was based has been closed by the server.
            drop(servers);
            drop(queues);
            core.send_outcome(job, not_run(&server));
            return None;
        };
        let running = load.start(&plan, &job.request, &server.id);
        let trace = new_trace(&core.settings.host.name, &job, &server, &choice);
        let assignment = Assignment {
            job,
            server: Some(server),
            checkout,
            trace,
        };
        return Some((assignment, running));
    }
    None
}

fn not_run<D: Dialect>(server: &Server) -> Outcome<D> {
    Outcome::NotRun(NotRun {
        server: Some(server.id.clone()),
        code: Code::TooMany,
        retry_after: None,
    })
}

fn new_trace<D: Dialect>(host: &Name, job: &Job<D>, server: &Server, choice: &Choice) -> Trace {
    Trace {
        host: host.clone(),
        server_id: ServerId {
            service: job.request.service.clone(),
            server: server.id.clone(),
        },
        as_primary: choice.as_primary,
        min_position: choice
            .min_position
            .map(|min_position| min_position.position),
        position_age: choice
            .min_position
            .map_or(Duration::ZERO, |min_position| min_position.age),
        waited: job.queued.elapsed(),
        opened: Duration::ZERO,
    }
}

/// Assigns a statement of an open transaction to its pinned connection. It is exempt from the limit
/// on running statements: the server queues it behind others, and the transaction holds locks until
/// it ends.
fn assign_pinned<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    mut job: Job<D>,
) -> Option<Assignment<D>> {
    let PooledConnection {
        server_id,
        connection,
    } = job.pinned.take()?;
    core.with_backend(&server_id, |backend| {
        backend.running += 1;
        backend.count_requests(1, Instant::now());
    });
    Some(Assignment {
        job,
        server: None,
        checkout: Checkout::Idle(connection),
        trace: Trace {
            host: core.settings.host.name.clone(),
            server_id,
            as_primary: false,
            min_position: None,
            position_age: Duration::ZERO,
            waited: Duration::ZERO,
            opened: Duration::ZERO,
        },
    })
}

/// Returns what a statement requires of the server that runs it.
pub(crate) fn requirements<D: Dialect>(
    request: &Request,
    group: &Group<D>,
    staleness_margin: Duration,
    moment: Moment,
) -> Requirements {
    let primary_only = request.statement.kind.needs_primary();
    let Visibility {
        consistency,
        last_commit,
    } = request.visibility;
    let max_staleness = match consistency {
        Consistency::Current => None,
        Consistency::Bounded(max_staleness) | Consistency::Session(max_staleness) => {
            Some(max_staleness)
        }
    };
    let min_position = max_staleness
        .filter(|_| !primary_only)
        .and_then(|max_staleness| {
            let max_age = max_staleness.saturating_sub(staleness_margin);
            let sample = group.freshness.within(max_age, moment)?;
            let age = sample.age(moment);
            routing::min_position(consistency, last_commit, Some(sample), age)
        });
    Requirements {
        primary_only,
        min_position,
    }
}
