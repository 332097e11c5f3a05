//! Runs one job on one connection to a backend server.

mod commit;
mod statement;

use self::{
    commit::{Confirmation, Sent},
    statement::{Failure, run_statement},
};
use crate::{
    clock,
    connection::{self, Connection},
    core::Core,
    dialect::Dialect,
    dispatch::remaining,
    evacuation,
    freshness::Sample,
    health::{Health, Ticket},
    job::{Job, Outcome, Pin, PooledConnection, Transaction},
    scheduling,
    store::Platform,
    table::{
        Backend, Checkout,
        adaptive::{Ending, Observation, Work},
    },
    worker::Assignment,
};
use fulmargw_model::execution::{Code, Kind, NotRun, Reply, Statement, Trace, TransactionState};
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Longest time for opening a connection, including the wait for a slot of the server.
const OPEN_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which no statements are sent to a server that responded that it is not the primary, or
/// that refused a connection for a reason other than too many connections.
const REJECTED_SERVER_DELAY: Duration = Duration::from_millis(50);

/// Runs a job and sends its outcome to the submitter.
pub(crate) async fn run<D: Dialect, P: Platform>(core: &Core<D, P>, assignment: Assignment<D>) {
    let Assignment {
        job,
        server,
        checkout,
        mut trace,
    } = assignment;
    let started = Instant::now();
    let opened = match (checkout, &server) {
        (Checkout::Idle(connection), _) => Ok(connection),
        (Checkout::Open(replaced), Some(server)) => {
            drop(replaced);
            let opened = open_connection(core, server, &job, &trace).await;
            trace.opened = started.elapsed();
            opened
        }
        (Checkout::Open(_), None) => Err(Code::TooMany),
    };
    let connection = match opened {
        Ok(connection) => connection,
        Err(cause_code) => {
            core.with_backend(&trace.server_id, |backend| {
                backend.statement_finished();
                backend.connection_closed();
            });
            core.work_ready.notify_one();
            core.send_outcome(job, not_run(&trace, cause_code));
            return;
        }
    };
    execute(core, job, *connection, trace).await;
}

fn not_run<D: Dialect>(trace: &Trace, cause_code: Code) -> Outcome<D> {
    Outcome::NotRun(NotRun {
        server: Some(trace.server_id.server.clone()),
        code: cause_code,
        retry_after: None,
    })
}

async fn open_connection<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    server: &crate::backend::Server,
    job: &Job<D>,
    trace: &Trace,
) -> Result<Box<Connection<D>>, Code> {
    metrics::counter!("fulmargw_pool_connections_opened_total").increment(1);
    let sent = core.with_backend(&trace.server_id, |backend| {
        let ticket = backend.health.record_sent(false, Instant::now());
        (ticket, backend.gate())
    });
    let (ticket, gate) = sent.unzip();
    let limit = OPEN_TIMEOUT.min(remaining(job.deadline));
    let account = job.request.account.clone();
    let gate = gate.unwrap_or_default();
    let opened = timeout(limit, Connection::open(server, account, &gate)).await;
    let now = Instant::now();
    let record_outcome = |change: fn(&mut Health, Instant)| {
        core.with_backend(&trace.server_id, |backend| {
            if let Some(ticket) = ticket {
                backend.health.forget(ticket);
            }
            change(&mut backend.health, now);
        });
    };
    match opened {
        Ok(Ok(connection)) => {
            core.with_backend(&trace.server_id, |backend| {
                if let Some(ticket) = ticket {
                    backend.health.record_response(ticket, now);
                }
                backend.health.record_opened();
                if !trace.as_primary {
                    backend.health.applied = connection.position.or(backend.health.applied);
                }
            });
            Ok(Box::new(connection))
        }
        Ok(Err(connection::Error::Evacuated)) => {
            record_outcome(|_, _| {});
            evacuation::log_refused(job, trace);
            Err(Code::Busy)
        }
        Ok(Err(connection::Error::Refused(cause_code))) => {
            record_outcome(match cause_code {
                Code::TooMany => Health::record_connection_limit,
                _ => |health, now| health.pause(now + REJECTED_SERVER_DELAY),
            });
            log::info!(event = "connection_refused", request:% = job.request.statement.request(), server = trace.server_id.server.as_str(), code = cause_code.label(); "backend server refused a connection");
            Err(cause_code)
        }
        Ok(Err(connection::Error::Dropped(cause))) => {
            record_outcome(Health::record_drop);
            log::info!(event = "connection_dropped", request:% = job.request.statement.request(), server = trace.server_id.server.as_str(), cause:% = cause; "backend server closed a new connection");
            Err(Code::TooMany)
        }
        Ok(Err(connection::Error::Unreachable(cause))) => {
            record_outcome(Health::record_failure);
            log::info!(event = "connection_failed", request:% = job.request.statement.request(), server = trace.server_id.server.as_str(), cause:% = cause; "cannot open a connection to a backend server");
            Err(Code::Busy)
        }
        Err(_) => {
            record_outcome(Health::record_failure);
            log::info!(event = "connection_failed", request:% = job.request.statement.request(), server = trace.server_id.server.as_str(), cause = "timeout"; "cannot open a connection to a backend server");
            Err(Code::Busy)
        }
    }
}

/// Runs a job on an open connection and sends its outcome to the submitter.
async fn execute<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    job: Job<D>,
    mut connection: Connection<D>,
    trace: Trace,
) {
    let commits = commits(&job, &connection);
    let Some(sent) = commit::send(core, &job, &trace, commits).await else {
        not_sent(core, job, connection, &trace);
        return;
    };
    let sent_since_boot = clock::since_boot();
    let limit = remaining(job.deadline);
    let executed = timeout(limit, run_statement(&mut connection, &job, &trace)).await;
    let reply = match executed {
        Ok(Ok(reply)) => reply,
        Ok(Err(failure)) => return fail(core, job, connection, trace, &sent, failure),
        Err(_) => return time_out(core, job, connection, trace, &sent),
    };
    let elapsed = sent.at.elapsed();
    let mut unrecorded = Some(sent.ticket);
    if commits && reply.result.is_ok() {
        let record = || {
            core.with_backend(&trace.server_id, |backend| {
                record_response(backend, sent.ticket, &connection, &trace, &Code::Failed);
            });
            core.commit_ended.notify_waiters();
        };
        match commit::confirm(core, &job, &trace, &sent, &reply, record).await {
            Confirmation::Immediate => {}
            Confirmation::Delayed => unrecorded = None,
            Confirmation::Unconfirmed { timed_out } => {
                unconfirmed(core, job, connection, trace, timed_out);
                return;
            }
        }
    }
    complete(
        core,
        job,
        connection,
        trace,
        reply,
        &SendRecord {
            ticket: unrecorded,
            sent_at: sent.at,
            sent_since_boot,
            elapsed,
            running: sent.running,
        },
    );
}

/// Records that a statement got no reply, and sends its outcome.
fn fail<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    job: Job<D>,
    connection: Connection<D>,
    trace: Trace,
    sent: &Sent,
    failure: Failure,
) {
    let outcome = match failure {
        Failure::Rejected(cause_code) => {
            core.with_backend(&trace.server_id, |backend| {
                record_response(backend, sent.ticket, &connection, &trace, &cause_code);
                backend.statement_finished();
            });
            core.commit_ended.notify_waiters();
            if cause_code == Code::Busy {
                observe(core, &job, &trace, sent.running, Ending::Rejected);
            }
            switch_primary(core, &trace, &cause_code);
            let is_idle = !in_transaction(job.request.statement.kind);
            release(core, connection, &trace, is_idle);
            not_run(&trace, cause_code)
        }
        Failure::Evacuated => {
            core.with_backend(&trace.server_id, |backend| {
                backend.statement_finished();
                backend.connection_closed();
                backend.health.forget(sent.ticket);
            });
            core.commit_ended.notify_waiters();
            core.work_ready.notify_one();
            evacuation::log_refused(&job, &trace);
            drop(connection);
            not_run(&trace, Code::Busy)
        }
        failure => {
            let statement = &job.request.statement;
            record_failure(core, sent.ticket, statement, &trace, &failure);
            observe(core, &job, &trace, sent.running, Ending::Broken);
            drop(connection);
            match failure {
                Failure::NotSent if !in_transaction(job.request.statement.kind) => {
                    not_run(&trace, Code::Busy)
                }
                _ => Outcome::Lost {
                    server: Some(trace.server_id.server),
                    timed_out: false,
                },
            }
        }
    };
    core.send_outcome(job, outcome);
}

/// Records that a statement got no reply before its deadline, and sends its outcome.
fn time_out<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    job: Job<D>,
    connection: Connection<D>,
    trace: Trace,
    sent: &Sent,
) {
    let now = Instant::now();
    core.with_backend(&trace.server_id, |backend| {
        backend.statement_finished();
        backend.connection_closed();
        let is_unresponsive = !backend
            .health
            .has_responded(now.saturating_duration_since(sent.at), now);
        backend.health.forget(sent.ticket);
        // One connection without a response does not mean that the server has failed if
        // other statements get responses. Idle connections may have failed as well.
        backend.close_idle();
        if is_unresponsive {
            backend.health.record_failure(now);
        }
    });
    core.commit_ended.notify_waiters();
    observe(core, &job, &trace, sent.running, Ending::TimedOut);
    core.work_ready.notify_one();
    drop(connection);
    let outcome = Outcome::Lost {
        server: Some(trace.server_id.server),
        timed_out: true,
    };
    core.send_outcome(job, outcome);
}

/// Reports whether a statement commits something. A host of an older version also sends the end of a
/// transaction that has written nothing as a commit.
fn commits<D: Dialect>(job: &Job<D>, connection: &Connection<D>) -> bool {
    match job.request.statement.kind {
        Kind::Commit => !connection.is_read_only,
        kind => kind.commits(),
    }
}

/// Ends a commit that must not be sent. The transaction of one that is pinned is rolled back; a write
/// outside a transaction can be retried.
fn not_sent<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    job: Job<D>,
    connection: Connection<D>,
    trace: &Trace,
) {
    let is_write = job.request.statement.kind == Kind::Write;
    log::info!(event = "commit_not_sent", request:% = job.request.statement.request(), service = trace.server_id.service.as_str(), server = trace.server_id.server.as_str(); "the primary is being replaced or has been, or this host is not in contact; the commit was not sent");
    core.with_backend(&trace.server_id, Backend::statement_finished);
    release(core, connection, trace, is_write);
    let cause_code = if is_write { Code::Busy } else { Code::Aborted };
    core.send_outcome(job, not_run(trace, cause_code));
}

/// Ends a commit whose response the caller must not get: the new primary may lack it.
fn unconfirmed<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    job: Job<D>,
    connection: Connection<D>,
    trace: Trace,
    timed_out: bool,
) {
    metrics::counter!("fulmargw_pool_commits_unconfirmed_total").increment(1);
    log::info!(event = "commit_unconfirmed", request:% = job.request.statement.request(), service = trace.server_id.service.as_str(), server = trace.server_id.server.as_str(), timed_out; "while the commit ran the primary was being replaced, or this host was not in contact; its outcome is unknown");
    core.with_backend(&trace.server_id, Backend::statement_finished);
    release(core, connection, &trace, false);
    let outcome = Outcome::Lost {
        server: Some(trace.server_id.server),
        timed_out,
    };
    core.send_outcome(job, outcome);
}

/// Time at which a statement was sent, with the ticket under which its response is recorded.
struct SendRecord {
    /// `None` if the response has been recorded already.
    ticket: Option<Ticket>,
    sent_at: Instant,
    sent_since_boot: Duration,
    /// Time from sending to the response.
    elapsed: Duration,
    /// Statements of this host that ran on the server then, itself included.
    running: u32,
}

/// Records how a statement ended on its server, if limits follow the responses.
fn observe<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    job: &Job<D>,
    trace: &Trace,
    running: u32,
    ending: Ending,
) {
    if !core.settings.adaptive.enabled {
        return;
    }
    let seen = Observation {
        work: Work::of(&job.request),
        running,
        ending,
    };
    let mut servers = core.servers.lock();
    if let Some(group) = servers.groups.get_mut(&trace.server_id.service) {
        group.observe(&trace.server_id.server, &seen, Instant::now());
    }
}

fn in_transaction(kind: Kind) -> bool {
    matches!(kind, Kind::InTransaction | Kind::Commit | Kind::Rollback)
}

/// Records the reply to a statement, keeps or returns its connection and sends the outcome.
fn complete<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    job: Job<D>,
    mut connection: Connection<D>,
    trace: Trace,
    reply: Reply,
    sent: &SendRecord,
) {
    let elapsed = sent.elapsed;
    metrics::histogram!("fulmargw_pool_statement_seconds").record(elapsed);
    scheduling::record(core, &job.request, &trace, &reply, elapsed);
    // A reply that was kept shows nothing about the present.
    let is_proven = sent.ticket.is_some() && proves_primary(&job, &trace, &reply);
    let plan = core.plan();
    let mut effect = None;
    {
        let mut servers = core.servers.lock();
        if let Some(group) = servers.groups.get_mut(&trace.server_id.service) {
            group.pace.record(elapsed);
            if is_proven && trace.as_primary {
                let server = &trace.server_id.server;
                effect = group.confirm_primary(server, reply.position, Instant::now());
            }
            if let (true, Some(position)) = (is_proven, reply.position) {
                group.freshness.add(Sample {
                    requested_at: sent.sent_at,
                    requested_since_boot: sent.sent_since_boot,
                    position,
                });
            }
            if let Some(backend) = group.backends.get_mut(&trace.server_id.server) {
                let cause_code = reply
                    .result
                    .as_ref()
                    .err()
                    .map(|(cause_code, _)| cause_code);
                let cause_code = cause_code.unwrap_or(&Code::Failed);
                if let Some(ticket) = sent.ticket {
                    record_response(backend, ticket, &connection, &trace, cause_code);
                }
                backend.statement_finished();
                if reply.state != TransactionState::Idle && connection.hold.is_none() {
                    connection.hold = Some(scheduling::hold(&plan, backend, &job.request.account));
                }
            }
            if let Some(ending) = ending_of(&reply, elapsed)
                && core.settings.adaptive.enabled
            {
                let seen = Observation {
                    work: Work::of(&job.request),
                    running: sent.running,
                    ending,
                };
                group.observe(&trace.server_id.server, &seen, Instant::now());
            }
        }
    }
    core.commit_ended.notify_waiters();
    if let Some(effect) = effect {
        effect.log(&trace.server_id.service, &trace.server_id.server);
    }
    if let Err((cause_code, _)) = &reply.result {
        switch_primary(core, &trace, cause_code);
    }
    let pooled = PooledConnection {
        server_id: trace.server_id.clone(),
        connection: Box::new(connection),
    };
    let transaction = if reply.state == TransactionState::Idle {
        core.return_connection(pooled);
        Transaction::Ended
    } else if matches!(
        job.request.statement.kind,
        Kind::FirstInTransaction { .. } | Kind::InTransaction
    ) {
        Transaction::Open(Pin::Local(pooled))
    } else {
        core.close_connection(pooled);
        Transaction::Ended
    };
    core.work_ready.notify_one();
    core.send_outcome(
        job,
        Outcome::Answered {
            reply,
            trace: Box::new(trace),
            transaction,
        },
    );
}

/// Returns what a reply says about its server; `None` if it says nothing about its speed.
fn ending_of(reply: &Reply, elapsed: Duration) -> Option<Ending> {
    match &reply.result {
        Ok(_) => Some(Ending::Ran(elapsed)),
        Err((Code::Busy, _)) => Some(Ending::Rejected),
        Err((Code::Failed | Code::Timeout, _)) => Some(Ending::Failed(elapsed)),
        Err((cause_code, _)) => (!cause_code.is_not_run()).then_some(Ending::Ran(elapsed)),
    }
}

/// Switches to another primary if the assumed one responds that it is not the primary.
fn switch_primary<D: Dialect, P: Platform>(core: &Core<D, P>, trace: &Trace, cause_code: &Code) {
    if *cause_code != Code::ReadOnly || !trace.as_primary {
        return;
    }
    let other = {
        let mut servers = core.servers.lock();
        let group = servers.groups.get_mut(&trace.server_id.service);
        group.and_then(|group| group.reject_primary(&trace.server_id.server, Instant::now()))
    };
    if let Some(other) = other {
        log::info!(event = "primary_refuted", server = trace.server_id.server.as_str(), primary = other.as_str(); "the assumed primary is not the primary; switching to the registered one");
    }
}

/// Reports whether the reply proves that the server was the primary when the statement was sent.
fn proves_primary<D: Dialect>(job: &Job<D>, trace: &Trace, reply: &Reply) -> bool {
    let succeeded = reply.result.is_ok();
    match job.request.statement.kind {
        Kind::Write => succeeded,
        Kind::Read | Kind::FirstInTransaction { .. } => succeeded && trace.min_position.is_none(),
        Kind::InTransaction | Kind::Commit | Kind::Rollback => false,
    }
}

/// Records what a response shows about the health of its server.
fn record_response<D: Dialect>(
    backend: &mut Backend<D>,
    ticket: Ticket,
    connection: &Connection<D>,
    trace: &Trace,
    cause_code: &Code,
) {
    let now = Instant::now();
    backend.health.record_response(ticket, now);
    backend.health.applied = connection.position.or(backend.health.applied);
    match cause_code {
        Code::Lagging => {
            if let Some(position) = trace.min_position {
                backend.health.record_lag(position, now);
            }
        }
        Code::Busy => {
            backend.health.record_busy(now);
            return;
        }
        Code::ReadOnly if trace.as_primary => backend.health.pause(now + REJECTED_SERVER_DELAY),
        _ => {}
    }
    backend.health.record_free_slot();
}

/// Returns the connection to the pool of its server if it is idle. Otherwise closes it, which rolls
/// back its transaction.
fn release<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    connection: Connection<D>,
    trace: &Trace,
    is_idle: bool,
) {
    let pooled = PooledConnection {
        server_id: trace.server_id.clone(),
        connection: Box::new(connection),
    };
    if is_idle {
        core.return_connection(pooled);
    } else {
        core.close_connection(pooled);
    }
}

fn record_failure<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    ticket: Ticket,
    statement: &Statement,
    trace: &Trace,
    failure: &Failure,
) {
    let now = Instant::now();
    core.with_backend(&trace.server_id, |backend| {
        backend.statement_finished();
        backend.connection_closed();
        backend.health.forget(ticket);
        backend.health.record_failure(now);
    });
    core.commit_ended.notify_waiters();
    let cause = match failure {
        Failure::Lost(cause) => cause.to_string(),
        Failure::NotSent | Failure::Evacuated | Failure::Rejected(_) => "not sent".to_owned(),
    };
    log::info!(event = "connection_lost", request:% = statement.request(), server = trace.server_id.server.as_str(), cause:% = cause; "connection to a backend server failed");
    core.work_ready.notify_one();
}
