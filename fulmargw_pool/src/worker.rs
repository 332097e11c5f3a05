//! Workers, which run waiting jobs on backend servers.

use crate::{
    backend::Server,
    core::Core,
    dialect::Dialect,
    exchange,
    freshness::Moment,
    job::{Job, Outcome, PooledConnection},
    routing::{self, Choice, Requirements},
    store::Platform,
    table::Checkout,
};
use fulmargw_model::{
    execution::{Code, Consistency, Kind, NotRun, ServerId, Trace},
    name::Name,
};
use std::{pin::pin, sync::Arc, time::Duration};

/// A job with the server that runs it.
pub(crate) struct Ready<D: Dialect> {
    pub(crate) job: Job<D>,
    pub(crate) server: Option<Server>,
    pub(crate) lent: Checkout<D>,
    pub(crate) place: Trace,
}

/// Runs jobs until the pool stops.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>) {
    loop {
        let mut woken = pin!(core.work_ready.notified());
        woken.as_mut().enable();
        if let Some(ready) = take(&core) {
            // Another worker looks for the next job while this one is busy.
            core.work_ready.notify_one();
            exchange::run(&core, ready).await;
            continue;
        }
        tokio::select! {
            () = core.stop.cancelled() => return,
            () = woken => {}
        }
    }
}

fn take<D: Dialect, P: Platform>(core: &Core<D, P>) -> Option<Ready<D>> {
    let moment = Moment::now();
    let drain_window = core.limits().drain_window();
    let mut queues = core.queues.lock();
    if let Some(job) = queues.pinned.pop_front() {
        drop(queues);
        return held(core, job);
    }
    let mut servers = core.servers.lock();
    for name in queues.rotation() {
        let Some(group) = servers.groups.get_mut(&name) else {
            continue;
        };
        let choose = |job: &Job<D>| {
            let requirements = requirements(core, job, group, moment);
            let mut candidates = group.candidates(
                &requirements.zone,
                &requirements.account,
                drain_window,
                moment.now,
            );
            candidates.retain(|candidate| {
                candidate.is_primary || job.order.avoid.as_ref() != Some(&candidate.id)
            });
            routing::choose(&requirements, &candidates)
        };
        let Some((job, choice)) = queues.service(&name).pop(moment.now, choose) else {
            continue;
        };
        group.record_use(moment.now);
        if job.order.statement.kind == Kind::Read {
            group.sample_requested = Some(moment.now);
        }
        let backend = group.backends.get_mut(&choice.server)?;
        let lent = backend.check_out(&job.order.account);
        let server = backend.server.clone();
        let Some(lent) = lent else {
            // The connection that the choice counted on turned out to be closed.
            drop(servers);
            drop(queues);
            core.answer(job, not_run(&server));
            return None;
        };
        let place = place(&core.settings.host.name, &job, &server, &choice);
        return Some(Ready {
            job,
            server: Some(server),
            lent,
            place,
        });
    }
    None
}

fn not_run<D: Dialect>(server: &Server) -> Outcome<D> {
    Outcome::NotRun(NotRun {
        server: Some(server.id.clone()),
        code: Code::TooMany,
    })
}

fn place<D: Dialect>(host: &Name, job: &Job<D>, server: &Server, choice: &Choice) -> Trace {
    Trace {
        host: host.clone(),
        key: ServerId {
            service: job.order.service.clone(),
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

/// Takes a statement of an open transaction, which runs without regard to limits: the server
/// orders it behind others, and the transaction holds locks until it ends.
fn held<D: Dialect, P: Platform>(core: &Core<D, P>, mut job: Job<D>) -> Option<Ready<D>> {
    let PooledConnection { key, connection } = job.pinned.take()?;
    core.with_backend(&key, |backend| backend.running += 1);
    Some(Ready {
        job,
        server: None,
        lent: Checkout::Idle(connection),
        place: Trace {
            host: core.settings.host.name.clone(),
            key,
            as_primary: false,
            min_position: None,
            position_age: Duration::ZERO,
            waited: Duration::ZERO,
            opened: Duration::ZERO,
        },
    })
}

fn requirements<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    job: &Job<D>,
    group: &crate::table::Group<D>,
    moment: Moment,
) -> Requirements {
    let primary_only = job.order.statement.kind.needs_primary();
    let bound = match job.order.visibility.consistency {
        Consistency::Current => None,
        Consistency::Bounded(bound) | Consistency::Session(bound) => Some(bound),
    };
    let min_position = bound.filter(|_| !primary_only).and_then(|bound| {
        let usable = bound.saturating_sub(core.limits().staleness_margin());
        let sample = group.freshness.within(usable, moment)?;
        let age = sample.age(moment);
        routing::min_position(
            job.order.visibility.consistency,
            job.order.visibility.last_commit,
            Some(sample),
            age,
        )
    });
    Requirements {
        primary_only,
        min_position,
        zone: core.settings.host.zone.clone(),
        account: job.order.account.clone(),
    }
}
