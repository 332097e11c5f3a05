//! Workers, which run waiting requests on backend servers.

use crate::{
    control::ControlPlane,
    core::{Answer, Connection, Core, Release, Waiting},
    job::{self, Done, Failure, Place, Work, refusal},
    table::{pin::Hold, server::Key},
};
use fulmargw_backend::connection::{
    Connection as _, Connector, Error, Kind, Reply, Task, Transaction,
};
use fulmargw_decision::routing::{self, Choice, Rationale, Requirements, ServedBy};
use fulmargw_model::{
    backend_server::Status,
    name::Name,
    outcome::{Reason, Step},
    position::Position,
    request::Class,
};
use std::{pin::pin, sync::Arc, time::Duration};
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

/// A waiting request with the connection and slot that it got.
struct Ready<C: Connector> {
    job: Waiting<C>,
    connection: Connection<C>,
    place: Place,
    /// Position that the server must have applied before a read.
    after: Option<(Position, Duration)>,
    /// Transaction that holds the connection.
    hold: Option<Hold>,
    cut: CancellationToken,
}

/// Runs requests until the engine stops.
pub async fn run<C: Connector, G: ControlPlane>(core: Arc<Core<C, G>>) {
    loop {
        let mut woken = pin!(core.work.notified());
        woken.as_mut().enable();
        if let Some(ready) = take(&core) {
            // Another worker looks for the next request while this one is busy.
            core.work.notify_one();
            execute(&core, ready).await;
            continue;
        }
        tokio::select! {
            () = core.stop.cancelled() => return,
            () = woken => {}
        }
    }
}

fn take<C: Connector, G: ControlPlane>(core: &Arc<Core<C, G>>) -> Option<Ready<C>> {
    if let Some(ready) = take_pinned(core) {
        return Some(ready);
    }
    let now = Instant::now();
    let mut queues = core.queues.lock();
    let names = queues.turn();
    names.iter().find_map(|name| {
        let queue = &mut queues.service(name).queue;
        let mut servers = core.servers.lock();
        let group = servers.groups.get_mut(name)?;
        let views = group.views(now);
        let choose = |job: &Waiting<C>| {
            let need = need(core, job, now);
            let choices = routing::choose(&need, &views);
            let mut choices = choices.into_iter();
            choices.find_map(|choice| {
                let member = &group.backends[choice.server];
                let term = job.work.needs_term().then_some(member.term);
                let urgency = job::urgency(job.request.class);
                let begins = job.work.begins();
                let idle = member.lendable(term, urgency, begins)?;
                let status = member.status()?;
                let after = condition(&status, &choice, &need, job.request.required);
                Some((choice, idle, after))
            })
        };
        let (job, (choice, idle, after)) = queue.pop(now, choose)?;
        drop(views);
        let member = &mut group.backends[choice.server];
        let lent = member.lend(idle, job.work.begins());
        let place = Place {
            key: Key {
                service: name.clone(),
                server: member.server.name.clone(),
            },
            choice: Some(choice),
            term: lent.term,
        };
        Some(Ready {
            job,
            connection: lent.connection,
            place,
            after,
            hold: None,
            cut: member.cut.clone(),
        })
    })
}

fn need<'a, C: Connector, G: ControlPlane>(
    core: &'a Core<C, G>,
    job: &Waiting<C>,
    now: Instant,
) -> Requirements<'a> {
    Requirements {
        class: routing::effective_class(job.request.class),
        required: job.work.required(),
        zone: &core.zone,
        // The begin of a transaction cannot wait for a position on the server.
        max_wait: match job.work {
            Work::Read(_) => core.settings.replica_patience(),
            _ => Duration::ZERO,
        },
        waited: now.saturating_duration_since(job.queued),
    }
}

/// Returns the position that the server must check before a read; `None` if it need not.
///
/// The check fails on a server that promised a term greater than that of the position, so the
/// term is raised where the server is known to satisfy that too.
fn condition(
    status: &Status,
    choice: &Choice,
    need: &Requirements<'_>,
    session: Position,
) -> Option<(Position, Duration)> {
    if need.required == Position::default() || need.class == Class::Write {
        return None;
    }
    // The primary has every acknowledged write, so it need not reach a read index.
    let required = match choice.served_by {
        ServedBy::Primary => session,
        ServedBy::Replica => need.required,
    };
    let raised = Position {
        term: required.term.max(status.promised),
        index: required.index,
    };
    let satisfied = status.applied.satisfies(required);
    let check = match choice.rationale {
        Rationale::Approaching => Some(required),
        _ if choice.served_by == ServedBy::Replica && status.applied.satisfies(raised) => {
            Some(raised)
        }
        _ if satisfied => None,
        _ => Some(raised),
    };
    check.map(|position| (position, need.max_wait))
}

/// Takes a request of an open transaction whose server has a free slot.
fn take_pinned<C: Connector, G: ControlPlane>(core: &Arc<Core<C, G>>) -> Option<Ready<C>> {
    let mut queues = core.queues.lock();
    let mut servers = core.servers.lock();
    let mut has_slot = |job: &Waiting<C>| {
        let member = job.work.pinned().and_then(|key| servers.backend(key));
        member.is_none_or(|member| member.load.running < member.server.slots)
    };
    let index = queues.pinned.iter().position(|it| has_slot(&it.item))?;
    let job = queues.pinned.remove(index)?.item;
    let taken = core.pins.lock().take(job.request.caller);
    let Some((hold, connection)) = taken else {
        // The submitter may have gone; then nobody needs the result.
        let _ = job
            .reply
            .send(Err(Failure::Refused(refusal(Reason::Connection))));
        core.work.notify_one();
        return None;
    };
    let mut cut = CancellationToken::new();
    if let Some(member) = servers.backend(&hold.key) {
        member.load.running += 1;
        cut = member.cut.clone();
    }
    let place = Place {
        key: hold.key.clone(),
        choice: None,
        term: hold.term,
    };
    Some(Ready {
        job,
        connection,
        place,
        after: None,
        hold: Some(hold),
        cut,
    })
}

async fn execute<C: Connector, G: ControlPlane>(core: &Arc<Core<C, G>>, mut ready: Ready<C>) {
    let waited = ready.job.queued.elapsed();
    metrics::histogram!("fulmargw_wait_seconds").record(waited);
    let request = Arc::clone(&ready.job.request);
    let body = &request.body;
    let task = match ready.job.work {
        Work::Read(_) => Task::Read {
            after: ready.after,
            report: ready.place.by() == ServedBy::Primary,
            body,
        },
        Work::Write(attempt) => Task::Write {
            id: &request.id,
            attempt,
            body,
        },
        Work::Begin(attempt) => Task::Begin {
            record: Some((&request.id, attempt)),
            body,
        },
        Work::BeginRead(_) => Task::Begin { record: None, body },
        Work::Inside(_) => Task::Inside { body },
        Work::End(_) => Task::End { body },
    };
    let limit = limit(request.deadline, core.settings.statement_timeout());
    let failed = |kind| failure(&ready.place.key.server, kind);
    let result = tokio::select! {
        run = timeout_at(limit, ready.connection.run(task)) => {
            run.unwrap_or_else(|_| Err(failed(Kind::Timeout)))
        }
        () = ready.cut.cancelled() => {
            Err(failed(Kind::Closed("the server lost its role or cannot be reached".to_owned())))
        }
    };
    finish(core, ready, result);
}

/// Returns the time at which a task is given up, which leaves time to settle its outcome.
fn limit(deadline: Instant, longest: Duration) -> Instant {
    let now = Instant::now();
    let remaining = deadline.saturating_duration_since(now);
    now + remaining.mul_f64(0.75).min(longest)
}

fn failure(server: &Name, kind: Kind) -> Error {
    Error {
        step: Step::Execute,
        server: server.clone(),
        kind,
    }
}

fn finish<C: Connector, G: ControlPlane>(
    core: &Arc<Core<C, G>>,
    ready: Ready<C>,
    result: Result<Reply<Answer<C>>, Error>,
) {
    let Ready {
        job,
        connection,
        place,
        hold,
        ..
    } = ready;
    core.with_backend(&place.key, |member| {
        member.free_slot();
        if let Err(error) = &result {
            member.note(&error.kind, place.term);
        }
    });
    let caller = job.request.caller;
    let pinned = hold.is_some();
    let open = matches!(&result, Ok(reply) if reply.transaction != Transaction::Idle);
    if open && (pinned || job.work.begins()) {
        let hold = hold.unwrap_or_else(|| begin(&job, &place));
        keep(core, caller, hold, connection, pinned);
    } else {
        if pinned {
            core.pins.lock().release(caller);
        }
        let transactional = pinned || job.work.begins();
        let usable = match &result {
            Ok(_) => !open,
            Err(error) => error.is_reusable() && !transactional,
        };
        let release = Release {
            term: place.term,
            pinned: transactional,
            usable,
        };
        core.give_back(&place.key, connection, &release);
    }
    let result = match result {
        Ok(reply) => Ok(Done { reply, place }),
        Err(error) => Err(Failure::Failed(error, place)),
    };
    // The submitter may have gone; the connection is in order either way.
    let _ = job.reply.send(result);
    core.work.notify_one();
}

fn begin<B, A>(job: &job::Job<B, A>, place: &Place) -> Hold {
    Hold {
        key: place.key.clone(),
        term: place.term,
        id: job.request.id.clone(),
        attempt: match job.work {
            Work::Begin(attempt) => Some(attempt),
            _ => None,
        },
        account: job.request.account.clone(),
        began: Instant::now(),
    }
}

/// Leaves a connection with an open transaction to its caller.
fn keep<C: Connector, G: ControlPlane>(
    core: &Arc<Core<C, G>>,
    caller: u64,
    hold: Hold,
    connection: Connection<C>,
    pinned: bool,
) {
    let key = hold.key.clone();
    let release = Release {
        term: hold.term,
        pinned: true,
        usable: false,
    };
    let refused = core.pins.lock().put(caller, hold, connection, pinned);
    if let Some(connection) = refused {
        // The caller has gone; closing the connection rolls its transaction back.
        core.give_back(&key, connection, &release);
    }
}
