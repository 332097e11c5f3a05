//! Submits requests to the engine.

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

/// A batch to be run as one request.
#[derive(Debug)]
pub struct Submission {
    /// Part of a transaction according to its statements.
    pub part: Part,
    /// Whether any statement is executed, rather than only prepared or described.
    pub executes: bool,
    pub body: Batch,
}

impl<S> Session<S>
where
    S: Submit<Body = Batch, Answer = Answer>,
{
    /// Submits a batch and waits for its outcome. An outer error ends the session, an inner one is
    /// reported to the caller.
    pub(super) async fn submit_batch(
        &mut self,
        submission: Submission,
    ) -> Result<Result<Answer, Failure>, End> {
        if self.configuration.has_changed().unwrap_or(false) {
            self.revalidate()?;
        }
        if self.is_aborted {
            return Ok(Err(Failure::failed_transaction()));
        }
        metrics::counter!("fulmargw_caller_requests_total").increment(1);
        let part = self.effective_part(submission.part);
        let request = self.make_request(part, submission);
        let id = request.id.clone();
        let outcome = self.wait_for_outcome(request).await?;
        let service = self.grant.service.clone();
        let result = self.apply_outcome(part, outcome);
        Ok(result.map_err(|failure| failure.with_request(&id, &service)))
    }

    /// Returns which part of a transaction a batch is. A `BEGIN` in an open transaction is an
    /// ordinary statement, to which the server responds with a warning.
    fn effective_part(&self, part: Part) -> Part {
        match (part, self.transaction) {
            (Part::Begin, TransactionState::Open | TransactionState::Failed) => Part::Statement,
            _ => part,
        }
    }

    fn make_request(&mut self, part: Part, submission: Submission) -> Request<Batch> {
        let grant = &self.grant;
        let is_idle = self.transaction == TransactionState::Idle;
        let (class, repeat) = match self.variables.limit_age(grant.class) {
            // Without an execution, no record is needed and a replica can serve the request.
            Class::Write if is_idle && !submission.executes => (Class::Current, Repeat::Idempotent),
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
            id: request_id(&mut self.variables, class, is_idle),
            required: self.variables.positions.required(&grant.service),
            deadline: Instant::now() + self.context.settings.deadline,
            body: submission.body,
        }
    }

    /// Waits for the outcome of a request; after the account's key was withdrawn, only for a
    /// limited time. The session applies a changed configuration after the request.
    async fn wait_for_outcome(&mut self, request: Request<Batch>) -> Result<Outcome<Answer>, End> {
        let submit = self.context.submit.clone();
        let id = request.id.clone();
        let mut outcome = pin!(submit.submit(request));
        let mut has_new_configuration = false;
        loop {
            tokio::select! {
                biased;
                outcome = &mut outcome => {
                    if has_new_configuration {
                        self.configuration.mark_changed();
                    }
                    return Ok(outcome);
                }
                Ok(()) = self.configuration.changed() => {}
            }
            let configuration = self.configuration.borrow_and_update().clone();
            match self.grant.revalidate(&configuration) {
                Ok(_) => has_new_configuration = true,
                Err(refusal) => {
                    let grace = self.context.settings.withdrawal_grace;
                    let ended = time::timeout(grace, &mut outcome).await;
                    self.configuration.mark_changed();
                    let failure = Failure::withdrawn_while_running(&refusal);
                    let failure = failure.with_request(&id, &self.grant.service);
                    return ended.map_err(|_| failure.into());
                }
            }
        }
    }

    /// Updates the session after an outcome and returns the response or the error for the caller.
    fn apply_outcome(&mut self, part: Part, outcome: Outcome<Answer>) -> Result<Answer, Failure> {
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
            Outcome::Unknown(step) => Failure::in_doubt(step),
        };
        metrics::counter!("fulmargw_requests_failed_total", "code" => failure.code).increment(1);
        Err(self.fail_request(part, failure))
    }

    /// Handles a request without a response. An open transaction is rolled back with its earlier
    /// statements, and the caller sees it as failed until it ends it.
    fn fail_request(&mut self, part: Part, failure: Failure) -> Failure {
        let is_open = self.transaction != TransactionState::Idle;
        if !is_open && part == Part::Statement {
            return failure;
        }
        self.caller.abort_transaction();
        self.is_aborted = is_open && part != Part::End;
        self.transaction = if self.is_aborted {
            TransactionState::Failed
        } else {
            TransactionState::Idle
        };
        if is_open && failure.detail.starts_with("not run") {
            failure.with_rollback()
        } else {
            failure
        }
    }
}

/// Returns the identifier that the caller set, if the request begins a write, or else a random one.
fn request_id(variables: &mut Variables, class: Class, is_idle: bool) -> Id {
    if class == Class::Write && is_idle {
        variables.take_request_id()
    } else {
        Id::random()
    }
}
