//! Statements on their way to a worker and back.

use super::{
    Output, RETRY_AFTER, Service,
    failure::{self, Failure},
    trace::{count, display},
};
use crate::{
    borrow,
    clock::millis,
    core::Configuration,
    dialect::Dialect,
    dispatch::{self, RETRY_FRACTION},
    forward,
    job::{Outcome, Pin},
    message::Response,
    statement::Query,
    store::Platform,
};
use fulmargw_model::{
    execution::{
        Code, Kind, NotRun, Reply, Request, Statement, Template, Text, Trace,
        TransactionState as Transaction, Visibility,
    },
    name::Name,
};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Pause before a statement that was turned away is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(8);
/// Most times that a statement is tried again.
const MOST_RETRIES: u32 = 60;
/// Replicas that may lack the position before a read goes to the primary.
const MOST_LAGGING: u32 = 2;
/// Priorities up to this one go before others.
const URGENT_PRIORITY: u32 = 1;

impl<D: Dialect, P: Platform> Service<D, P> {
    /// Runs a read or write, inside the open transaction or as one of its own.
    pub(super) async fn execute(
        &mut self,
        query: Query,
        writes: bool,
        (text, shape): (Text, Option<Template>),
        received: Instant,
        configuration: &Configuration,
    ) -> Output {
        let mut work = Statement {
            id: query.id.clone(),
            text,
            template: shape,
            kind: if writes { Kind::Write } else { Kind::Read },
        };
        let Some(open) = &mut self.session.open else {
            let account = match self.admit(configuration).await {
                Ok(account) => account,
                Err(failure) => return self.refuse_operation(&query, &failure, configuration),
            };
            return self
                .persist(query, work, account, received, configuration)
                .await;
        };
        open.wrote |= writes;
        let account = open.account.clone();
        match open.pin.take() {
            None => {
                work.kind = Kind::FirstInTransaction {
                    read_only: open.read_only,
                };
                self.persist(query, work, account, received, configuration)
                    .await
            }
            Some(pin) => {
                work.kind = Kind::InTransaction;
                let sight = Visibility {
                    consistency: open.consistency,
                    last_commit: None,
                };
                let deadline = received + self.timeout(configuration);
                let done = self
                    .submit(work, sight, account, Some(pin), deadline, None)
                    .await;
                self.inside(&query, done, received, configuration)
            }
        }
    }

    /// Answers a later statement of a transaction.
    fn inside(
        &mut self,
        query: &Query,
        done: Outcome<D>,
        received: Instant,
        configuration: &Configuration,
    ) -> Output {
        match done {
            Outcome::Answered { reply, place, pin } => {
                self.log_answer(query, &place, &reply, received, configuration);
                match (&mut self.session.open, pin) {
                    (Some(open), Some(pin)) => {
                        open.failed = reply.state == Transaction::Failed;
                        open.pin = Some(pin);
                    }
                    _ => self.session.open = None,
                }
                self.relay(reply)
            }
            Outcome::NotRun(_) => {
                self.session.open = None;
                self.refuse(&Failure::new(Code::Aborted, "the connection was lost"))
            }
            Outcome::Lost { server, timed_out } => {
                self.session.open = None;
                let cause = if timed_out {
                    "the statement got no answer in time"
                } else {
                    "the connection was lost"
                };
                let failure = Failure::new(Code::Aborted, cause);
                self.log_lost(query, server.as_ref(), &failure, received);
                self.refuse(&failure)
            }
        }
    }

    /// Runs a statement that has no connection yet, and tries again while it certainly has not
    /// run and there is time.
    async fn persist(
        &mut self,
        query: Query,
        work: Statement,
        account: Name,
        received: Instant,
        configuration: &Configuration,
    ) -> Output {
        let Some(route) = configuration.catalog.routes.get(&self.session.database) else {
            self.session.open = None;
            return self.refuse(&Failure::new(
                Code::UnknownDatabase,
                "the route was removed",
            ));
        };
        self.session.service = Some(route.service.clone());
        let deadline = received + route.timeout;
        let last_try = received + route.timeout.mul_f64(RETRY_FRACTION);
        let mut sight = Visibility {
            consistency: route.consistency,
            last_commit: self.session.position,
        };
        if let Some(open) = &mut self.session.open {
            open.consistency = route.consistency;
        }
        let mut avoid = None;
        let mut lagging = 0;
        for _ in 0..MOST_RETRIES {
            let done = self
                .submit(
                    work.clone(),
                    sight,
                    account.clone(),
                    None,
                    deadline,
                    avoid.take(),
                )
                .await;
            match done {
                Outcome::Answered { reply, place, pin } => {
                    let turned = match &reply.result {
                        Err((code, _)) => code.is_not_run(),
                        Ok(_) => false,
                    };
                    if turned && Instant::now() < last_try {
                        if let Some(pin) = pin {
                            self.core.roll_back(pin);
                        }
                        let lags = matches!(&reply.result, Err((Code::Lagging, _)));
                        lagging += u32::from(lags);
                        sight.require_current_if(lagging >= MOST_LAGGING);
                        avoid = Some(place.key.server.clone());
                        sleep(RETRY_PAUSE).await;
                        continue;
                    }
                    return self.answered(
                        &query,
                        &work,
                        reply,
                        &place,
                        pin,
                        received,
                        configuration,
                    );
                }
                Outcome::NotRun(NotRun { server, code }) => {
                    if server.is_some() && Instant::now() < last_try {
                        lagging += u32::from(code == Code::Lagging);
                        sight.require_current_if(lagging >= MOST_LAGGING);
                        avoid = server;
                        sleep(RETRY_PAUSE).await;
                        continue;
                    }
                    borrow::refund(&self.core, &account);
                    let failure =
                        Failure::later(Code::Busy, "no backend server is free", RETRY_AFTER);
                    log::info!(event = "not_run", request:% = display(&query.id), session = self.session.number, service = route.service.as_str(), code = code.label(), elapsed_ms = millis(received.elapsed()); "request refused");
                    return self.fail(&failure);
                }
                Outcome::Lost { server, timed_out } => {
                    let again = work.kind == Kind::Read && !timed_out && Instant::now() < last_try;
                    if again {
                        avoid = server;
                        continue;
                    }
                    let failure = failure::lost(&work, timed_out);
                    self.log_lost(&query, server.as_ref(), &failure, received);
                    return self.fail(&failure);
                }
            }
        }
        self.fail(&Failure::later(
            Code::Busy,
            "no backend server is free",
            RETRY_AFTER,
        ))
    }

    #[allow(
        clippy::too_many_arguments,
        reason = "the parts of one finished exchange"
    )]
    fn answered(
        &mut self,
        query: &Query,
        work: &Statement,
        reply: Reply,
        place: &Trace,
        pin: Option<Pin<D>>,
        received: Instant,
        configuration: &Configuration,
    ) -> Output {
        self.log_answer(query, place, &reply, received, configuration);
        if work.kind == Kind::Write && reply.result.is_ok() {
            self.committed(&place.key.service, reply.position);
        }
        if let Some(open) = &mut self.session.open {
            open.failed = reply.state == Transaction::Failed;
            open.pin = pin;
            if open.pin.is_none() {
                self.session.open = None;
            }
        }
        self.relay(reply)
    }

    /// Ends an open transaction that got no connection, and refuses its statement.
    fn fail(&mut self, failure: &Failure) -> Output {
        self.session.open = None;
        self.refuse(failure)
    }

    pub(super) fn relay(&self, reply: Reply) -> Output {
        let mut answers: Vec<Response> = reply.rows.into_iter().map(Response::Row).collect();
        answers.push(match reply.result {
            Ok(signature) => Response::Complete(signature),
            Err((code, text)) => {
                count(&code);
                Response::Error(code, text)
            }
        });
        answers.push(Response::Ready(self.state(), reply.position));
        Output {
            answers,
            closes: false,
        }
    }

    pub(super) async fn submit(
        &self,
        work: Statement,
        sight: Visibility,
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
        let order = Request {
            service,
            account,
            statement: work,
            visibility: sight,
            variables: Arc::clone(&self.session.values),
            is_urgent: route.is_some_and(|route| route.priority <= URGENT_PRIORITY),
            objective: route.map_or(Duration::MAX, |route| route.objective),
            remaining: dispatch::remaining(deadline),
            avoid,
        };
        forward::run(&self.core, order, pin).await
    }
}
