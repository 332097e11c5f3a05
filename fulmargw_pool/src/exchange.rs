//! Runs one job on one connection.

mod statement;

use self::statement::{Failure, speak};
use crate::{
    belief::{Belief, Ticket},
    clock,
    connection::{self, Connection},
    core::Core,
    dialect::Dialect,
    dispatch::remaining,
    freshness::Sample,
    job::{Job, Outcome, Pin, PooledConnection},
    store::Platform,
    table::{Lent, Member},
    worker::Ready,
};
use fulmargw_model::work::{Code, Kind, NotRun, Place, Reply, State, Work};
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
        (Lent::Idle(connection), _) => Ok(connection),
        (Lent::Open(replaced), Some(server)) => {
            drop(replaced);
            let opened = open(core, server, &job, &place).await;
            place.opened = started.elapsed();
            opened
        }
        (Lent::Open(_), None) => Err(Code::TooMany),
    };
    let connection = match opened {
        Ok(connection) => connection,
        Err(cause_code) => {
            core.with_member(&place.key, |member| {
                member.finished();
                member.closed();
            });
            core.work.notify_one();
            core.answer(job, not_run(&place, cause_code));
            return;
        }
    };
    converse(core, job, *connection, place).await;
}

fn not_run<D: Dialect>(place: &Place, cause_code: Code) -> Outcome<D> {
    Outcome::NotRun(NotRun {
        server: Some(place.key.server.clone()),
        code: cause_code,
    })
}

async fn open<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    server: &crate::backend::Server,
    job: &Job<D>,
    place: &Place,
) -> Result<Box<Connection<D>>, Code> {
    metrics::counter!("fulmargw_pool_connections_opened_total").increment(1);
    let ticket = core.with_member(&place.key, |member| {
        member.belief.sent(false, Instant::now())
    });
    let limit = OPEN_TIMEOUT.min(remaining(job.deadline));
    let opened = timeout(limit, Connection::open(server, job.order.account.clone())).await;
    let now = Instant::now();
    let noted = |change: fn(&mut Belief, Instant)| {
        core.with_member(&place.key, |member| {
            if let Some(ticket) = ticket {
                member.belief.abandoned(ticket);
            }
            change(&mut member.belief, now);
        });
    };
    match opened {
        Ok(Ok(connection)) => {
            core.with_member(&place.key, |member| {
                if let Some(ticket) = ticket {
                    member.belief.answered(ticket, now);
                }
                member.belief.opened();
                if !place.as_primary {
                    member.belief.applied = connection.position.or(member.belief.applied);
                }
            });
            Ok(Box::new(connection))
        }
        Ok(Err(connection::Error::Refused(cause_code))) => {
            noted(match cause_code {
                Code::TooMany => Belief::turned_away,
                _ => |belief, now| belief.pause(now + WRONG_SERVER_PAUSE),
            });
            log::info!(event = "connection_refused", request:% = job.order.work.request(), server = place.key.server.as_str(), code = cause_code.label(); "backend server refused a connection");
            Err(cause_code)
        }
        Ok(Err(connection::Error::Dropped(cause))) => {
            noted(Belief::dropped);
            log::info!(event = "connection_dropped", request:% = job.order.work.request(), server = place.key.server.as_str(), cause:% = cause; "backend server dropped a new connection");
            Err(Code::TooMany)
        }
        Ok(Err(connection::Error::Unreachable(cause))) => {
            noted(Belief::failed);
            core.suspicion.notify_one();
            log::info!(event = "connection_failed", request:% = job.order.work.request(), server = place.key.server.as_str(), cause:% = cause; "cannot open a connection");
            Err(Code::Busy)
        }
        Err(_) => {
            noted(Belief::failed);
            core.suspicion.notify_one();
            log::info!(event = "connection_failed", request:% = job.order.work.request(), server = place.key.server.as_str(), cause = "timeout"; "cannot open a connection");
            Err(Code::Busy)
        }
    }
}

async fn converse<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    job: Job<D>,
    mut connection: Connection<D>,
    place: Place,
) {
    let asked = Instant::now();
    let asked_since_boot = clock::since_boot();
    let ticket = core
        .with_member(&place.key, |member| {
            member.belief.sent(job.order.work.kind.commits(), asked)
        })
        .unwrap_or_else(|| Belief::new().sent(false, asked));
    let limit = remaining(job.deadline);
    let spoken = timeout(limit, speak(&mut connection, &job, &place)).await;
    let reply = match spoken {
        Ok(Ok(reply)) => reply,
        Ok(Err(Failure::Turned(cause_code))) => {
            core.with_member(&place.key, |member| {
                answered(member, ticket, &connection, &place, &cause_code);
                member.finished();
            });
            refute(core, &place, &cause_code);
            let is_idle = !matches!(
                job.order.work.kind,
                Kind::Inside | Kind::Commit | Kind::Rollback
            );
            settle(core, connection, &place, is_idle);
            core.answer(job, not_run(&place, cause_code));
            return;
        }
        Ok(Err(failure)) => {
            fail(core, ticket, &job.order.work, &place, &failure);
            drop(connection);
            let done = match failure {
                Failure::Unsent if !in_transaction(job.order.work.kind) => {
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
            core.with_member(&place.key, |member| {
                member.finished();
                member.closed();
                let silent = !member
                    .belief
                    .has_answered(now.saturating_duration_since(asked), now);
                member.belief.abandoned(ticket);
                // A connection that went silent says nothing of a server that answers others,
                // but others that were idle meanwhile may have gone silent with it.
                member.close_idle();
                if silent {
                    member.belief.failed(now);
                }
            });
            core.suspicion.notify_one();
            core.work.notify_one();
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
    matches!(kind, Kind::Inside | Kind::Commit | Kind::Rollback)
}

fn finish<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    job: Job<D>,
    connection: Connection<D>,
    place: Place,
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
            if let (true, Ok(_), Some(position)) =
                (job.order.work.kind.commits(), &reply.end, reply.position)
            {
                group.acknowledge(position);
            }
            if let Some(member) = group.members.get_mut(&place.key.server) {
                let cause_code = reply.end.as_ref().err().map(|(cause_code, _)| cause_code);
                let cause_code = cause_code.unwrap_or(&Code::Failed);
                answered(member, sent.ticket, &connection, &place, cause_code);
                member.finished();
            }
        }
    }
    if let Err((cause_code, _)) = &reply.end {
        refute(core, &place, cause_code);
    }
    let held = PooledConnection {
        key: place.key.clone(),
        connection: Box::new(connection),
    };
    let pin = if reply.state == State::Idle {
        core.give_back(held);
        None
    } else if matches!(job.order.work.kind, Kind::First { .. } | Kind::Inside) {
        Some(Pin::Local(held))
    } else {
        core.close(held);
        None
    };
    core.work.notify_one();
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
fn refute<D: Dialect, P: Platform>(core: &Core<D, P>, place: &Place, cause_code: &Code) {
    if *cause_code != Code::ReadOnly || !place.as_primary {
        return;
    }
    let other = {
        let mut servers = core.servers.lock();
        let group = servers.groups.get_mut(&place.key.service);
        group.and_then(|group| group.refuted(&place.key.server, Instant::now()))
    };
    if let Some(other) = other {
        log::info!(event = "primary_refuted", server = place.key.server.as_str(), primary = other.as_str(); "another server leads");
    }
}

/// Reports whether the answer proves that the server led when it was asked.
fn proves_lead<D: Dialect>(job: &Job<D>, place: &Place, reply: &Reply) -> bool {
    let succeeded = reply.end.is_ok();
    match job.order.work.kind {
        Kind::Write => succeeded,
        Kind::Read | Kind::First { .. } => succeeded && place.after.is_none(),
        Kind::Inside | Kind::Commit | Kind::Rollback => false,
    }
}

/// Notes what an answer says of its server.
fn answered<D: Dialect>(
    member: &mut Member<D>,
    ticket: Ticket,
    connection: &Connection<D>,
    place: &Place,
    cause_code: &Code,
) {
    let now = Instant::now();
    member.belief.answered(ticket, now);
    member.belief.applied = connection.position.or(member.belief.applied);
    match cause_code {
        Code::Lagging => {
            if let Some(position) = place.after {
                member.belief.lacked(position, now);
            }
        }
        Code::Busy => {
            member.belief.was_busy(now);
            return;
        }
        Code::ReadOnly if place.as_primary => member.belief.pause(now + WRONG_SERVER_PAUSE),
        _ => {}
    }
    member.belief.was_free();
}

fn settle<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    connection: Connection<D>,
    place: &Place,
    is_idle: bool,
) {
    let held = PooledConnection {
        key: place.key.clone(),
        connection: Box::new(connection),
    };
    if is_idle {
        core.give_back(held);
    } else {
        core.close(held);
    }
}

fn fail<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    ticket: Ticket,
    work: &Work,
    place: &Place,
    failure: &Failure,
) {
    let now = Instant::now();
    core.with_member(&place.key, |member| {
        member.finished();
        member.closed();
        member.belief.abandoned(ticket);
        member.belief.failed(now);
    });
    let cause = match failure {
        Failure::Lost(cause) => cause.to_string(),
        Failure::Unsent | Failure::Turned(_) => "not sent".to_owned(),
    };
    log::info!(event = "connection_lost", request:% = work.request(), server = place.key.server.as_str(), cause:% = cause; "connection to a backend server broke");
    core.suspicion.notify_one();
    core.work.notify_one();
}
