//! Runs one job on one connection.

mod statement;

use self::statement::{Failure, speak};
use crate::{
    clock,
    connection::{self, Connection},
    core::Core,
    dialect::Dialect,
    dispatch::remaining,
    freshness::Sample,
    health::{Health, Ticket},
    job::{Job, Outcome, Pin, PooledConnection},
    store::Platform,
    table::{Backend, Checkout},
    worker::Ready,
};
use fulmargw_model::execution::{Code, Kind, NotRun, Reply, Statement, Trace, TransactionState};
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Longest time for opening a connection. Opening waits for a slot of the server.
const OPEN_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which a server that does not lead, or is another one, is left alone.
const WRONG_SERVER_PAUSE: Duration = Duration::from_millis(50);

/// Runs a job and reports how it ended.
pub(crate) async fn run<D: Dialect, P: Platform>(core: &Core<D, P>, ready: Ready<D>) {
    let Ready {
        job,
        server,
        lent,
        mut place,
    } = ready;
    let started = Instant::now();
    let opened = match (lent, &server) {
        (Checkout::Idle(connection), _) => Ok(connection),
        (Checkout::Open(replaced), Some(server)) => {
            drop(replaced);
            let opened = open(core, server, &job, &place).await;
            place.opened = started.elapsed();
            opened
        }
        (Checkout::Open(_), None) => Err(Code::TooMany),
    };
    let connection = match opened {
        Ok(connection) => connection,
        Err(cause_code) => {
            core.with_backend(&place.key, |backend| {
                backend.statement_finished();
                backend.connection_closed();
            });
            core.work_ready.notify_one();
            core.answer(job, not_run(&place, cause_code));
            return;
        }
    };
    converse(core, job, *connection, place).await;
}

fn not_run<D: Dialect>(place: &Trace, cause_code: Code) -> Outcome<D> {
    Outcome::NotRun(NotRun {
        server: Some(place.key.server.clone()),
        code: cause_code,
    })
}

async fn open<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    server: &crate::backend::Server,
    job: &Job<D>,
    place: &Trace,
) -> Result<Box<Connection<D>>, Code> {
    metrics::counter!("fulmargw_pool_connections_opened_total").increment(1);
    let ticket = core.with_backend(&place.key, |backend| {
        backend.health.record_sent(false, Instant::now())
    });
    let limit = OPEN_TIMEOUT.min(remaining(job.deadline));
    let opened = timeout(limit, Connection::open(server, job.order.account.clone())).await;
    let now = Instant::now();
    let noted = |change: fn(&mut Health, Instant)| {
        core.with_backend(&place.key, |backend| {
            if let Some(ticket) = ticket {
                backend.health.forget(ticket);
            }
            change(&mut backend.health, now);
        });
    };
    match opened {
        Ok(Ok(connection)) => {
            core.with_backend(&place.key, |backend| {
                if let Some(ticket) = ticket {
                    backend.health.record_response(ticket, now);
                }
                backend.health.record_opened();
                if !place.as_primary {
                    backend.health.applied = connection.position.or(backend.health.applied);
                }
            });
            Ok(Box::new(connection))
        }
        Ok(Err(connection::Error::Refused(cause_code))) => {
            noted(match cause_code {
                Code::TooMany => Health::record_connection_limit,
                _ => |health, now| health.pause(now + WRONG_SERVER_PAUSE),
            });
            log::info!(event = "connection_refused", request:% = job.order.statement.request(), server = place.key.server.as_str(), code = cause_code.label(); "backend server refused a connection");
            Err(cause_code)
        }
        Ok(Err(connection::Error::Dropped(cause))) => {
            noted(Health::record_drop);
            log::info!(event = "connection_dropped", request:% = job.order.statement.request(), server = place.key.server.as_str(), cause:% = cause; "backend server dropped a new connection");
            Err(Code::TooMany)
        }
        Ok(Err(connection::Error::Unreachable(cause))) => {
            noted(Health::record_failure);
            core.primary_suspected.notify_one();
            log::info!(event = "connection_failed", request:% = job.order.statement.request(), server = place.key.server.as_str(), cause:% = cause; "cannot open a connection");
            Err(Code::Busy)
        }
        Err(_) => {
            noted(Health::record_failure);
            core.primary_suspected.notify_one();
            log::info!(event = "connection_failed", request:% = job.order.statement.request(), server = place.key.server.as_str(), cause = "timeout"; "cannot open a connection");
            Err(Code::Busy)
        }
    }
}

async fn converse<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    job: Job<D>,
    mut connection: Connection<D>,
    place: Trace,
) {
    let asked = Instant::now();
    let asked_since_boot = clock::since_boot();
    let ticket = core
        .with_backend(&place.key, |backend| {
            backend
                .health
                .record_sent(job.order.statement.kind.commits(), asked)
        })
        .unwrap_or_else(|| Health::new().record_sent(false, asked));
    let limit = remaining(job.deadline);
    let spoken = timeout(limit, speak(&mut connection, &job, &place)).await;
    let reply = match spoken {
        Ok(Ok(reply)) => reply,
        Ok(Err(Failure::Turned(cause_code))) => {
            core.with_backend(&place.key, |backend| {
                answered(backend, ticket, &connection, &place, &cause_code);
                backend.statement_finished();
            });
            refute(core, &place, &cause_code);
            let is_idle = !matches!(
                job.order.statement.kind,
                Kind::InTransaction | Kind::Commit | Kind::Rollback
            );
            settle(core, connection, &place, is_idle);
            core.answer(job, not_run(&place, cause_code));
            return;
        }
        Ok(Err(failure)) => {
            fail(core, ticket, &job.order.statement, &place, &failure);
            drop(connection);
            let done = match failure {
                Failure::Unsent if !in_transaction(job.order.statement.kind) => {
                    not_run(&place, Code::Busy)
                }
                _ => Outcome::Lost {
                    server: Some(place.key.server),
                    timed_out: false,
                },
            };
            core.answer(job, done);
            return;
        }
        Err(_) => {
            let now = Instant::now();
            core.with_backend(&place.key, |backend| {
                backend.statement_finished();
                backend.connection_closed();
                let silent = !backend
                    .health
                    .has_responded(now.saturating_duration_since(asked), now);
                backend.health.forget(ticket);
                // A connection that went silent says nothing of a server that answers others,
                // but others that were idle meanwhile may have gone silent with it.
                backend.close_idle();
                if silent {
                    backend.health.record_failure(now);
                }
            });
            core.primary_suspected.notify_one();
            core.work_ready.notify_one();
            drop(connection);
            let done = Outcome::Lost {
                server: Some(place.key.server),
                timed_out: true,
            };
            core.answer(job, done);
            return;
        }
    };
    finish(
        core,
        job,
        connection,
        place,
        reply,
        &Sent {
            ticket,
            asked,
            asked_since_boot,
        },
    );
}

/// When a statement was sent.
struct Sent {
    ticket: Ticket,
    asked: Instant,
    asked_since_boot: Duration,
}

fn in_transaction(kind: Kind) -> bool {
    matches!(kind, Kind::InTransaction | Kind::Commit | Kind::Rollback)
}

fn finish<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    job: Job<D>,
    connection: Connection<D>,
    place: Trace,
    reply: Reply,
    sent: &Sent,
) {
    let elapsed = sent.asked.elapsed();
    metrics::histogram!("fulmargw_pool_statement_seconds").record(elapsed);
    let proves = proves_lead(&job, &place, &reply);
    {
        let mut servers = core.servers.lock();
        if let Some(group) = servers.groups.get_mut(&place.key.service) {
            if let (true, Some(position)) = (proves, reply.position) {
                group.freshness.add(Sample {
                    asked: sent.asked,
                    asked_since_boot: sent.asked_since_boot,
                    position,
                });
            }
            if let (true, Ok(_), Some(position)) = (
                job.order.statement.kind.commits(),
                &reply.result,
                reply.position,
            ) {
                group.acknowledge(position);
            }
            if let Some(backend) = group.backends.get_mut(&place.key.server) {
                let cause_code = reply
                    .result
                    .as_ref()
                    .err()
                    .map(|(cause_code, _)| cause_code);
                let cause_code = cause_code.unwrap_or(&Code::Failed);
                answered(backend, sent.ticket, &connection, &place, cause_code);
                backend.statement_finished();
            }
        }
    }
    if let Err((cause_code, _)) = &reply.result {
        refute(core, &place, cause_code);
    }
    let held = PooledConnection {
        key: place.key.clone(),
        connection: Box::new(connection),
    };
    let pin = if reply.state == TransactionState::Idle {
        core.return_connection(held);
        None
    } else if matches!(
        job.order.statement.kind,
        Kind::FirstInTransaction { .. } | Kind::InTransaction
    ) {
        Some(Pin::Local(held))
    } else {
        core.close_connection(held);
        None
    };
    core.work_ready.notify_one();
    core.answer(
        job,
        Outcome::Answered {
            reply,
            place: Box::new(place),
            pin,
        },
    );
}

/// Turns to another primary if the server says that it does not lead.
fn refute<D: Dialect, P: Platform>(core: &Core<D, P>, place: &Trace, cause_code: &Code) {
    if *cause_code != Code::ReadOnly || !place.as_primary {
        return;
    }
    let other = {
        let mut servers = core.servers.lock();
        let group = servers.groups.get_mut(&place.key.service);
        group.and_then(|group| group.reject_primary(&place.key.server, Instant::now()))
    };
    if let Some(other) = other {
        log::info!(event = "primary_refuted", server = place.key.server.as_str(), primary = other.as_str(); "another server leads");
    }
}

/// Reports whether the answer proves that the server led when it was asked.
fn proves_lead<D: Dialect>(job: &Job<D>, place: &Trace, reply: &Reply) -> bool {
    let succeeded = reply.result.is_ok();
    match job.order.statement.kind {
        Kind::Write => succeeded,
        Kind::Read | Kind::FirstInTransaction { .. } => succeeded && place.min_position.is_none(),
        Kind::InTransaction | Kind::Commit | Kind::Rollback => false,
    }
}

/// Notes what an answer says of its server.
fn answered<D: Dialect>(
    backend: &mut Backend<D>,
    ticket: Ticket,
    connection: &Connection<D>,
    place: &Trace,
    cause_code: &Code,
) {
    let now = Instant::now();
    backend.health.record_response(ticket, now);
    backend.health.applied = connection.position.or(backend.health.applied);
    match cause_code {
        Code::Lagging => {
            if let Some(position) = place.min_position {
                backend.health.record_lag(position, now);
            }
        }
        Code::Busy => {
            backend.health.record_busy(now);
            return;
        }
        Code::ReadOnly if place.as_primary => backend.health.pause(now + WRONG_SERVER_PAUSE),
        _ => {}
    }
    backend.health.record_free_slot();
}

fn settle<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    connection: Connection<D>,
    place: &Trace,
    is_idle: bool,
) {
    let held = PooledConnection {
        key: place.key.clone(),
        connection: Box::new(connection),
    };
    if is_idle {
        core.return_connection(held);
    } else {
        core.close_connection(held);
    }
}

fn fail<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    ticket: Ticket,
    work: &Statement,
    place: &Trace,
    failure: &Failure,
) {
    let now = Instant::now();
    core.with_backend(&place.key, |backend| {
        backend.statement_finished();
        backend.connection_closed();
        backend.health.forget(ticket);
        backend.health.record_failure(now);
    });
    let cause = match failure {
        Failure::Lost(cause) => cause.to_string(),
        Failure::Unsent | Failure::Turned(_) => "not sent".to_owned(),
    };
    log::info!(event = "connection_lost", request:% = work.request(), server = place.key.server.as_str(), cause:% = cause; "connection to a backend server broke");
    core.primary_suspected.notify_one();
    core.work_ready.notify_one();
}
