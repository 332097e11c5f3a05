//! Workers, which run waiting jobs on backend servers.

use crate::{
    backend::Server,
    core::Core,
    dialect::Dialect,
    exchange,
    freshness::Moment,
    job::{Job, Outcome, PooledConnection},
    routing::{self, Choice, Need},
    store::Platform,
    table::Lent,
};
use fulmargw_model::{
    name::Name,
    work::{Code, Consistency, Key, Kind, NotRun, Place},
};
use std::{pin::pin, sync::Arc, time::Duration};

/// A job with the server that runs it.
pub(crate) struct Ready<D: Dialect> {
    pub(crate) job: Job<D>,
    pub(crate) server: Option<Server>,
    pub(crate) lent: Lent<D>,
    pub(crate) place: Place,
}

/// Runs jobs until the pool stops.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>) {
    loop {
        let mut woken = pin!(core.work.notified());
        woken.as_mut().enable();
        if let Some(ready) = take(&core) {
            // Another worker looks for the next job while this one is busy.
            core.work.notify_one();
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
    if let Some(job) = queues.held.pop_front() {
        drop(queues);
        return held(core, job);
    }
    let mut servers = core.servers.lock();
    for name in queues.turn() {
        let Some(group) = servers.groups.get_mut(&name) else {
            continue;
        };
        let choose = |job: &Job<D>| {
            let need = need(core, job, group, moment);
            let mut views = group.views(&need.zone, &need.account, drain_window, moment.now);
            views.retain(|view| view.is_primary || job.order.avoid.as_ref() != Some(&view.id));
            routing::choose(&need, &views)
        };
        let Some((job, choice)) = queues.service(&name).pop(moment.now, choose) else {
            continue;
        };
        group.hold(moment.now);
        if job.order.work.kind == Kind::Read {
            group.demanded = Some(moment.now);
        }
        let member = group.members.get_mut(&choice.server)?;
        let lent = member.lend(&job.order.account);
        let server = member.server.clone();
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

fn place<D: Dialect>(host: &Name, job: &Job<D>, server: &Server, choice: &Choice) -> Place {
    Place {
        host: host.clone(),
        key: Key {
            service: job.order.service.clone(),
            server: server.id.clone(),
        },
        as_primary: choice.as_primary,
        after: choice.after.map(|floor| floor.position),
        age: choice.after.map_or(Duration::ZERO, |floor| floor.age),
        waited: job.queued.elapsed(),
        opened: Duration::ZERO,
    }
}

/// Takes a statement of an open transaction, which runs without regard to limits: the server
/// orders it behind others, and the transaction holds locks until it ends.
fn held<D: Dialect, P: Platform>(core: &Core<D, P>, mut job: Job<D>) -> Option<Ready<D>> {
    let PooledConnection { key, connection } = job.pinned.take()?;
    core.with_member(&key, |member| member.running += 1);
    Some(Ready {
        job,
        server: None,
        lent: Lent::Idle(connection),
        place: Place {
            host: core.settings.host.name.clone(),
            key,
            as_primary: false,
            after: None,
            age: Duration::ZERO,
            waited: Duration::ZERO,
            opened: Duration::ZERO,
        },
    })
}

fn need<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    job: &Job<D>,
    group: &crate::table::Group<D>,
    moment: Moment,
) -> Need {
    let primary_only = job.order.work.kind.needs_primary();
    let bound = match job.order.sight.consistency {
        Consistency::Current => None,
        Consistency::Bounded(bound) | Consistency::Session(bound) => Some(bound),
    };
    let floor = bound.filter(|_| !primary_only).and_then(|bound| {
        let usable = bound.saturating_sub(core.limits().staleness_margin());
        let sample = group.freshness.within(usable, moment)?;
        let age = sample.age(moment);
        routing::floor(
            job.order.sight.consistency,
            job.order.sight.session,
            Some(sample),
            age,
        )
    });
    Need {
        primary_only,
        floor,
        zone: core.settings.host.zone.clone(),
        account: job.order.account.clone(),
    }
}
