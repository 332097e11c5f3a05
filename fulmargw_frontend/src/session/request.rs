//! Submission of requests to the engine.

use super::{End, Session};
use crate::{error::Failure, variable::Variables};
use fulmargw_backend::{
    batch::{Answer, Batch},
    connection::TransactionState,
};
use fulmargw_engine::submit::Submit;
use fulmargw_model::{
    outcome::Outcome,
    request::{Class, Id, Part, Repeat, Request},
};
use std::pin::pin;
use tokio::time::{self, Instant};

/// What a batch asks of the engine.
#[derive(Debug)]
pub struct Work {
    pub part: Part,
    /// Whether a statement is executed, and not only prepared or described.
    pub executes: bool,
    pub body: Batch,
}

impl<S> Session<S>
where
    S: Submit<Body = Batch, Answer = Answer>,
{
    /// Runs a batch. The error of a batch that was not answered leaves the session open.
    pub(super) async fn run_work(&mut self, work: Work) -> Result<Result<Answer, Failure>, End> {
        if self.configuration.has_changed().unwrap_or(false) {
            self.revalidate()?;
        }
        if self.broken {
            return Ok(Err(Failure::failed_transaction()));
        }
        metrics::counter!("fulmargw_caller_requests_total").increment(1);
        let part = self.part(work.part);
        let request = self.request(part, work);
        let id = request.id.clone();
        let outcome = self.outcome(request).await?;
        let service = self.grant.service.clone();
        let concluded = self.conclude(part, outcome);
        Ok(concluded.map_err(|failure| failure.about(&id, &service)))
    }

    /// A `BEGIN` in a transaction is a statement, which the server answers with a warning.
    fn part(&self, part: Part) -> Part {
        match (part, self.transaction) {
            (Part::Begin, TransactionState::Open | TransactionState::Failed) => Part::Statement,
            _ => part,
        }
    }

    fn request(&mut self, part: Part, work: Work) -> Request<Batch> {
        let grant = &self.grant;
        let idle = self.transaction == TransactionState::Idle;
        let (class, repeat) = match self.variables.limit_age(grant.class) {
            // Nothing runs, so no record is needed and a replica can answer.
            Class::Write if idle && !work.executes => (Class::Current, Repeat::Idempotent),
            class => (class, grant.repeat),
        };
        Request {
            caller: self.caller.number,
            account: grant.account.clone(),
            route: grant.route.clone(),
            service: grant.service.clone(),
            class,
            repeat,
            part,
            id: request_id(&mut self.variables, class, idle),
            required: self.variables.positions.required(&grant.service),
            deadline: Instant::now() + self.host.settings.deadline,
            body: work.body,
        }
    }

    /// Waits for the outcome, and for a limited time only after the key was withdrawn. The
    /// session adopts a new configuration after the request.
    async fn outcome(&mut self, request: Request<Batch>) -> Result<Outcome<Answer>, End> {
        let submit = self.host.submit.clone();
        let id = request.id.clone();
        let mut outcome = pin!(submit.submit(request));
        let mut changed = false;
        loop {
            tokio::select! {
                biased;
                outcome = &mut outcome => {
                    if changed {
                        self.configuration.mark_changed();
                    }
                    return Ok(outcome);
                }
                Ok(()) = self.configuration.changed() => {}
            }
            let configuration = self.configuration.borrow_and_update().clone();
            match self.grant.revalidate(&configuration) {
                Ok(_) => changed = true,
                Err(refusal) => {
                    let grace = self.host.settings.withdrawal_grace;
                    let ended = time::timeout(grace, &mut outcome).await;
                    self.configuration.mark_changed();
                    let failure = Failure::withdrawn_while_running(&refusal);
                    let failure = failure.about(&id, &self.grant.service);
                    return ended.map_err(|_| failure.into());
                }
            }
        }
    }

    /// Brings the session into the state after an outcome.
    fn conclude(&mut self, part: Part, outcome: Outcome<Answer>) -> Result<Answer, Failure> {
        let service = &self.grant.service;
        let failure = match outcome {
            Outcome::Answered(answer) => {
                if answer.position.index > 0 {
                    self.variables.positions.advance(service, answer.position);
                }
                self.transaction = answer.body.transaction;
                return Ok(answer.body);
            }
            Outcome::Refused(refusal) => Failure::refused(&refusal),
            Outcome::AlreadyRan(position) => {
                self.variables.positions.advance(service, position);
                Failure::already_ran(position)
            }
            Outcome::Unknown(step) => Failure::unknown(step),
        };
        metrics::counter!("fulmargw_requests_failed_total", "code" => failure.code).increment(1);
        Err(self.give_up(part, failure))
    }

    /// Ends a transaction in which a request was not answered. Its earlier statements are
    /// rolled back, and the caller sees a failed transaction until it ends it.
    fn give_up(&mut self, part: Part, failure: Failure) -> Failure {
        let open = self.transaction != TransactionState::Idle;
        if !open && part == Part::Statement {
            return failure;
        }
        self.caller.renew();
        self.broken = open && part != Part::End;
        self.transaction = if self.broken {
            TransactionState::Failed
        } else {
            TransactionState::Idle
        };
        if open && failure.detail.starts_with("not run") {
            failure.with_rollback()
        } else {
            failure
        }
    }
}

/// Returns the caller's identifier for the request that begins a write, else a random one.
fn request_id(variables: &mut Variables, class: Class, idle: bool) -> Id {
    if class == Class::Write && idle {
        variables.take_request_id()
    } else {
        Id::random()
    }
}
