//! Workers, which take jobs from the queues and run them on backend servers.

use crate::{
    control::ControlPlane,
    core::{Answer, Connection, Core, QueuedJob, Release},
    job::{self, Completion, Failure, Operation, Target, refusal},
    table::{pin::Pin, server::ServerId},
};
use fulmargw_backend::connection::{
    Connection as _, Connector, Error, Kind, Reply, Task, TransactionState,
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

/// A job with the connection and the slot on which it runs.
struct Assignment<C: Connector> {
    job: QueuedJob<C>,
    connection: Connection<C>,
    target: Target,
    /// Position that the server must have applied before a read, and how long to wait for it.
    read_after: Option<(Position, Duration)>,
    /// Open transaction that pins the connection.
    pin: Option<Pin>,
    /// Cancelled when the statement must be aborted.
    abort: CancellationToken,
}

/// Runs jobs until the engine stops.
pub async fn run<C: Connector, P: ControlPlane>(core: Arc<Core<C, P>>) {
    loop {
        // Registered before the queues are searched, so that no wake-up in between is missed.
        let mut notified = pin!(core.work_available.notified());
        notified.as_mut().enable();
        if let Some(assignment) = next_assignment(&core) {
            // Another worker looks for the next job while this one is busy.
            core.work_available.notify_one();
            execute(&core, assignment).await;
            continue;
        }
        tokio::select! {
            () = core.stop.cancelled() => return,
            () = notified => {}
        }
    }
}

/// Takes the next job for which a server has a suitable connection and a free slot.
fn next_assignment<C: Connector, P: ControlPlane>(core: &Arc<Core<C, P>>) -> Option<Assignment<C>> {
    if let Some(assignment) = next_pinned(core) {
        return Some(assignment);
    }
    let now = Instant::now();
    let mut queues = core.queues.lock();
    let services = queues.services_in_turn();
    services.iter().find_map(|service| {
        let queue = &mut queues.service(service).queue;
        let mut servers = core.servers.lock();
        let group = servers.groups.get_mut(service)?;
        let candidates = group.candidates(now);
        let choose = |job: &QueuedJob<C>| {
            let requirements = routing_requirements(core, job, now);
            let choices = routing::choose(&requirements, &candidates);
            let mut choices = choices.into_iter();
            choices.find_map(|choice| {
                let backend = &group.backends[choice.server];
                let term = job
                    .operation
                    .needs_primary_term()
                    .then_some(backend.primary_term);
                let urgency = job::urgency(job.request.class);
                let begins = job.operation.begins_transaction();
                let idle = backend.find_idle(term, urgency, begins)?;
                let status = backend.status()?;
                let read_after =
                    position_check(&status, &choice, &requirements, job.request.required);
                Some((choice, idle, read_after))
            })
        };
        let (job, (choice, idle, read_after)) = queue.pop(now, choose)?;
        drop(candidates);
        let backend = &mut group.backends[choice.server];
        let checked_out = backend.check_out(idle, job.operation.begins_transaction());
        let target = Target {
            server_id: ServerId {
                service: service.clone(),
                server: backend.server.name.clone(),
            },
            choice: Some(choice),
            term: checked_out.term,
        };
        Some(Assignment {
            job,
            connection: checked_out.connection,
            target,
            read_after,
            pin: None,
            abort: backend.abort.clone(),
        })
    })
}

fn routing_requirements<'a, C: Connector, P: ControlPlane>(
    core: &'a Core<C, P>,
    job: &QueuedJob<C>,
    now: Instant,
) -> Requirements<'a> {
    Requirements {
        class: routing::effective_class(job.request.class),
        required: job.operation.required_position(),
        zone: &core.zone,
        // The begin of a transaction cannot wait on the server for a position.
        max_wait: match job.operation {
            Operation::Read(_) => core.settings.replica_patience(),
            _ => Duration::ZERO,
        },
        waited: now.saturating_duration_since(job.queued_at),
    }
}

/// Returns the position that the server must check before a read, and how long it may wait for
/// it; `None` if no check is necessary.
///
/// A server that promised a greater term than that of the position fails the check. Where the
/// server is known to have applied the position, the term is therefore raised to the promise.
fn position_check(
    status: &Status,
    choice: &Choice,
    requirements: &Requirements<'_>,
    session: Position,
) -> Option<(Position, Duration)> {
    if requirements.required == Position::default() || requirements.class == Class::Write {
        return None;
    }
    // The primary has every acknowledged write, so it need not reach a read index.
    let required = match choice.served_by {
        ServedBy::Primary => session,
        ServedBy::Replica => requirements.required,
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
    check.map(|position| (position, requirements.max_wait))
}

/// Takes a job of an open transaction whose server has a free slot.
fn next_pinned<C: Connector, P: ControlPlane>(core: &Arc<Core<C, P>>) -> Option<Assignment<C>> {
    let mut queues = core.queues.lock();
    let mut servers = core.servers.lock();
    let mut has_slot = |job: &QueuedJob<C>| {
        let backend = job
            .operation
            .pinned_server()
            .and_then(|server_id| servers.backend(server_id));
        backend.is_none_or(|backend| backend.load.running < backend.server.slots)
    };
    let index = queues.pinned.iter().position(|it| has_slot(&it.item))?;
    let job = queues.pinned.remove(index)?.item;
    let checked_out = core.pins.lock().check_out(job.request.caller);
    let Some((pin, connection)) = checked_out else {
        // If the receiver is dropped, nobody waits for the result.
        let _ = job
            .reply
            .send(Err(Failure::Refused(refusal(Reason::Connection))));
        core.work_available.notify_one();
        return None;
    };
    let mut abort = CancellationToken::new();
    if let Some(backend) = servers.backend(&pin.server_id) {
        backend.load.running += 1;
        abort = backend.abort.clone();
    }
    let target = Target {
        server_id: pin.server_id.clone(),
        choice: None,
        term: pin.term,
    };
    Some(Assignment {
        job,
        connection,
        target,
        read_after: None,
        pin: Some(pin),
        abort,
    })
}

async fn execute<C: Connector, P: ControlPlane>(
    core: &Arc<Core<C, P>>,
    mut assignment: Assignment<C>,
) {
    let waited = assignment.job.queued_at.elapsed();
    metrics::histogram!("fulmargw_wait_seconds").record(waited);
    let request = Arc::clone(&assignment.job.request);
    let body = &request.body;
    let task = match assignment.job.operation {
        Operation::Read(_) => Task::Read {
            min_position: assignment.read_after,
            with_status: assignment.target.served_by() == ServedBy::Primary,
            body,
        },
        Operation::Write(attempt) => Task::Write {
            id: &request.id,
            attempt,
            body,
        },
        Operation::Begin(attempt) => Task::Begin {
            record: Some((&request.id, attempt)),
            body,
        },
        Operation::BeginReadOnly(_) => Task::Begin { record: None, body },
        Operation::Statement(_) => Task::InTransaction { body },
        Operation::End(_) => Task::End { body },
    };
    let deadline = execution_deadline(request.deadline, core.settings.statement_timeout());
    let failed = |kind| execution_error(&assignment.target.server_id.server, kind);
    let result = tokio::select! {
        run = timeout_at(deadline, assignment.connection.run(task)) => {
            run.unwrap_or_else(|_| Err(failed(Kind::Timeout)))
        }
        () = assignment.abort.cancelled() => {
            Err(failed(Kind::Closed(
                "its server changed its role or is unreachable, or this host has no share".to_owned()
            )))
        }
    };
    finish(core, assignment, result);
}

/// Returns the time at which an execution is given up. A quarter of the time until the request's
/// deadline is left to resolve the outcome of a write.
fn execution_deadline(deadline: Instant, longest: Duration) -> Instant {
    let now = Instant::now();
    let remaining = deadline.saturating_duration_since(now);
    now + remaining.mul_f64(0.75).min(longest)
}

fn execution_error(server: &Name, kind: Kind) -> Error {
    Error {
        step: Step::Execute,
        server: server.clone(),
        kind,
    }
}

/// Frees the slot, pins or checks in the connection, and sends the result.
fn finish<C: Connector, P: ControlPlane>(
    core: &Arc<Core<C, P>>,
    assignment: Assignment<C>,
    result: Result<Reply<Answer<C>>, Error>,
) {
    let Assignment {
        job,
        connection,
        target,
        pin,
        ..
    } = assignment;
    core.with_backend(&target.server_id, |backend| {
        backend.free_slot();
        if let Err(error) = &result {
            backend.record_error(&error.kind, target.term);
        }
    });
    let caller = job.request.caller;
    let was_pinned = pin.is_some();
    let open = matches!(&result, Ok(reply) if reply.transaction != TransactionState::Idle);
    if open && (was_pinned || job.operation.begins_transaction()) {
        let pin = pin.unwrap_or_else(|| new_pin(&job, &target));
        pin_connection(core, caller, pin, connection, was_pinned);
    } else {
        if was_pinned {
            core.pins.lock().clear(caller);
        }
        let counted_as_pinned = was_pinned || job.operation.begins_transaction();
        let usable = match &result {
            Ok(_) => !open,
            Err(error) => error.is_reusable() && !counted_as_pinned,
        };
        let release = Release {
            term: target.term,
            pinned: counted_as_pinned,
            usable,
        };
        core.check_in(&target.server_id, connection, &release);
    }
    let result = match result {
        Ok(reply) => Ok(Completion { reply, target }),
        Err(error) => Err(Failure::Failed(error, target)),
    };
    // If the receiver is dropped, nobody waits for the result. The connection is already pinned
    // or checked in.
    let _ = job.reply.send(result);
    core.work_available.notify_one();
}

fn new_pin<B, A>(job: &job::Job<B, A>, target: &Target) -> Pin {
    Pin {
        server_id: target.server_id.clone(),
        term: target.term,
        id: job.request.id.clone(),
        attempt: match job.operation {
            Operation::Begin(attempt) => Some(attempt),
            _ => None,
        },
        account: job.request.account.clone(),
        started_at: Instant::now(),
    }
}

/// Pins a connection with an open transaction to its caller.
fn pin_connection<C: Connector, P: ControlPlane>(
    core: &Arc<Core<C, P>>,
    caller: u64,
    pin: Pin,
    connection: Connection<C>,
    was_pinned: bool,
) {
    let server_id = pin.server_id.clone();
    let release = Release {
        term: pin.term,
        pinned: true,
        usable: false,
    };
    let rejected = core
        .pins
        .lock()
        .check_in(caller, pin, connection, was_pinned);
    if let Some(connection) = rejected {
        // The caller was closed; closing the connection rolls its transaction back.
        core.check_in(&server_id, connection, &release);
    }
}
