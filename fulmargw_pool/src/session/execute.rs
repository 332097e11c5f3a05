//! Runs statements of a session, with retries, and relays the replies.

use super::{
    Driver, Output,
    failure::{self, Failure},
    trace::{count_error, display_id},
};
use crate::{
    borrow,
    clock::millis,
    configuration::Configuration,
    dialect::Dialect,
    dispatch::{self, RETRY_FRACTION},
    evacuation, forward,
    job::{Outcome, Pin, Transaction},
    message::Response,
    statement::Query,
    store::Platform,
};
use fulmargw_model::{
    abort,
    execution::{
        Code, Kind, NotRun, Reply, Request, Statement, Template, Text, Trace, TransactionState,
        Visibility,
    },
    name::Name,
};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Delay before a rejected statement is retried.
const RETRY_DELAY: Duration = Duration::from_millis(8);
/// Largest number of attempts to run a statement.
const MAX_ATTEMPTS: u32 = 60;
/// Number of attempts rejected by lagging replicas after which a read is sent to the primary.
const MAX_LAGGING_REJECTIONS: u32 = 2;
/// Priority of a statement whose route is no longer configured.
const LOWEST_PRIORITY: u32 = u32::MAX;

impl<D: Dialect, P: Platform> Driver<D, P> {
    /// Runs a read or write, in the open transaction or as a transaction of its own.
    pub(super) async fn execute(
        &mut self,
        query: Query,
        writes: bool,
        (text, template): (Text, Option<Template>),
        received: Instant,
        configuration: &Configuration,
    ) -> Output {
        let mut statement = Statement {
            id: query.id.clone(),
            text,
            template,
            kind: if writes { Kind::Write } else { Kind::Read },
        };
        let Some(transaction) = &mut self.session.transaction else {
            let account = match self.admit(configuration).await {
                Ok(caller) => caller.account,
                Err(failure) => return self.refuse_operation(&query, &failure, configuration),
            };
            return self
                .run_with_retries(query, statement, account, received, configuration)
                .await;
        };
        transaction.has_written |= writes;
        let account = transaction.caller.account.clone();
        match transaction.pin.take() {
            None => {
                statement.kind = Kind::FirstInTransaction {
                    read_only: transaction.read_only,
                };
                self.run_with_retries(query, statement, account, received, configuration)
                    .await
            }
            Some(pin) => {
                statement.kind = Kind::InTransaction;
                let visibility = Visibility {
                    consistency: transaction.consistency,
                    last_commit: None,
                };
                let deadline = received + self.timeout(configuration);
                let outcome = self
                    .submit(statement, visibility, account, Some(pin), deadline, None)
                    .await;
                self.handle_pinned_outcome(&query, outcome, received, configuration)
            }
        }
    }

    /// Handles the outcome of a transaction's statement after the first.
    fn handle_pinned_outcome(
        &mut self,
        query: &Query,
        outcome: Outcome<D>,
        received: Instant,
        configuration: &Configuration,
    ) -> Output {
        match outcome {
            Outcome::Answered {
                reply,
                trace,
                transaction,
            } => {
                self.log_reply(query, &trace, &reply, received, configuration);
                self.relay_inner(query, reply, transaction, configuration)
            }
            Outcome::NotRun(_) => {
                self.report_abort(query, abort::Cause::Disconnected, configuration)
            }
            Outcome::Lost { server, timed_out } => {
                self.session.transaction = None;
                let cause = if timed_out {
                    "the statement got no response before its deadline"
                } else {
                    "the connection was lost"
                };
                let failure = Failure::new(Code::Aborted, cause);
                self.log_no_response(query, server.as_ref(), &failure, received);
                self.refuse(&failure)
            }
        }
    }

    /// Runs a statement that is not pinned to a connection. Retries it while it certainly has not
    /// run and time is left; reads are also retried after the connection was lost.
    async fn run_with_retries(
        &mut self,
        query: Query,
        statement: Statement,
        account: Name,
        received: Instant,
        configuration: &Configuration,
    ) -> Output {
        let Some(route) = configuration.catalog.routes.get(&self.session.database) else {
            self.session.transaction = None;
            return self.refuse(&Failure::new(
                Code::UnknownDatabase,
                "the route was removed",
            ));
        };
        self.session.service = Some(route.service.clone());
        let deadline = received + route.timeout;
        let retry_until = received + route.timeout.mul_f64(RETRY_FRACTION);
        let mut visibility = Visibility {
            consistency: route.consistency,
            last_commit: self.session.last_commit,
        };
        if let Some(transaction) = &mut self.session.transaction {
            transaction.consistency = route.consistency;
        }
        let mut avoid = None;
        let mut lagging_rejections = 0;
        // Whether an attempt was sent and got no response. It may have run, so its token is spent.
        let mut may_have_run = false;
        for _ in 0..MAX_ATTEMPTS {
            let outcome = self
                .submit(
                    statement.clone(),
                    visibility,
                    account.clone(),
                    None,
                    deadline,
                    avoid.take(),
                )
                .await;
            match outcome {
                Outcome::Answered {
                    reply,
                    trace,
                    transaction,
                } => {
                    let is_rejected = matches!(&reply.result, Err((code, _)) if code.is_not_run());
                    if is_rejected && Instant::now() < retry_until {
                        if let Transaction::Open(pin) = transaction {
                            self.core.roll_back(pin);
                        }
                        let is_lagging = matches!(&reply.result, Err((Code::Lagging, _)));
                        lagging_rejections += u32::from(is_lagging);
                        visibility.require_current_if(lagging_rejections >= MAX_LAGGING_REJECTIONS);
                        avoid = Some(trace.server_id.server.clone());
                        sleep(RETRY_DELAY).await;
                        continue;
                    }
                    return self.handle_reply(
                        &query,
                        &statement,
                        reply,
                        &trace,
                        transaction,
                        received,
                        configuration,
                    );
                }
                Outcome::NotRun(NotRun {
                    server,
                    code,
                    retry_after,
                }) => {
                    if server.is_some() && Instant::now() < retry_until {
                        lagging_rejections += u32::from(code == Code::Lagging);
                        visibility.require_current_if(lagging_rejections >= MAX_LAGGING_REJECTIONS);
                        avoid = server;
                        sleep(RETRY_DELAY).await;
                        continue;
                    }
                    if !may_have_run {
                        borrow::refund(&self.core, &account);
                    }
                    let failure = failure::not_run(server.as_ref(), &code, retry_after);
                    log::info!(event = "not_run", request:% = display_id(&query.id), session = self.session.number, service = route.service.as_str(), code = code.label(), elapsed_ms = millis(received.elapsed()); "request refused; no backend server ran it in time");
                    return self.refuse_and_end(&failure);
                }
                Outcome::Lost { server, timed_out } => {
                    let can_retry =
                        statement.kind == Kind::Read && !timed_out && Instant::now() < retry_until;
                    if can_retry {
                        may_have_run = true;
                        avoid = server;
                        continue;
                    }
                    let failure = failure::no_response(&statement, timed_out);
                    self.log_no_response(&query, server.as_ref(), &failure, received);
                    return self.refuse_and_end(&failure);
                }
            }
        }
        if !may_have_run {
            borrow::refund(&self.core, &account);
        }
        log::info!(event = "attempts_exhausted", request:% = display_id(&query.id), session = self.session.number, service = route.service.as_str(), attempts = MAX_ATTEMPTS, elapsed_ms = millis(received.elapsed()); "request refused; every attempt was rejected");
        self.refuse_and_end(&failure::not_run(None, &Code::Busy, None))
    }

    #[allow(
        clippy::too_many_arguments,
        reason = "parts of one completed statement"
    )]
    fn handle_reply(
        &mut self,
        query: &Query,
        statement: &Statement,
        reply: Reply,
        trace: &Trace,
        transaction: Transaction<D>,
        received: Instant,
        configuration: &Configuration,
    ) -> Output {
        self.log_reply(query, trace, &reply, received, configuration);
        if statement.kind == Kind::Write && reply.result.is_ok() {
            self.record_commit(&trace.server_id.service, reply.position);
        }
        if self.session.transaction.is_some() {
            return self.relay_inner(query, reply, transaction, configuration);
        }
        if let Transaction::Open(pin) = transaction {
            self.core.roll_back(pin);
        }
        self.relay(reply)
    }

    /// Passes on the reply to a statement of the open transaction that does not end it, or reports that
    /// the transaction was rolled back. The caller is never told a success with which none is open.
    fn relay_inner(
        &mut self,
        query: &Query,
        reply: Reply,
        transaction: Transaction<D>,
        configuration: &Configuration,
    ) -> Output {
        let succeeded = reply.result.is_ok();
        match transaction.after_inner_statement(succeeded) {
            Transaction::Open(pin) => {
                if let Some(open) = &mut self.session.transaction {
                    open.has_failed = reply.state == TransactionState::Failed;
                    open.pin = Some(pin);
                }
            }
            Transaction::RolledBack(cause) => {
                return self.report_abort(query, cause, configuration);
            }
            Transaction::Ended => self.session.transaction = None,
        }
        debug_assert!(
            !succeeded || self.session.transaction.is_some(),
            "a success inside a transaction leaves it open"
        );
        self.relay(reply)
    }

    /// Refuses a statement and ends its transaction, which is not open on any server.
    fn refuse_and_end(&mut self, failure: &Failure) -> Output {
        self.session.transaction = None;
        self.refuse(failure)
    }

    pub(super) fn relay(&self, reply: Reply) -> Output {
        let mut responses: Vec<Response> = reply.rows.into_iter().map(Response::Row).collect();
        responses.push(match reply.result {
            Ok(signature) => Response::Complete(signature),
            Err((code, text)) => {
                count_error(&code);
                Response::Error(code, text)
            }
        });
        responses.push(Response::Ready(self.transaction_state(), reply.position));
        Output {
            responses,
            closes_session: false,
        }
    }

    pub(super) async fn submit(
        &self,
        statement: Statement,
        visibility: Visibility,
        account: Name,
        pin: Option<Pin<D>>,
        deadline: Instant,
        avoid: Option<Name>,
    ) -> Outcome<D> {
        let Some(service) = self.session.service.clone() else {
            return dispatch::not_run(Code::Busy);
        };
        let configuration = self.core.configuration();
        let route = configuration
            .as_ref()
            .and_then(|configuration| configuration.catalog.routes.get(&self.session.database));
        let regions = evacuation::regions(&self.core, &self.session.database, &account);
        let request = Request {
            service,
            account,
            statement,
            visibility,
            variables: Arc::clone(&self.session.variables),
            priority: route.map_or(LOWEST_PRIORITY, |route| route.priority),
            objective: route.map_or(Duration::MAX, |route| route.objective),
            remaining: dispatch::remaining(deadline),
            avoid,
            target: None,
            regions,
        };
        forward::run(&self.core, request, pin).await
    }
}
