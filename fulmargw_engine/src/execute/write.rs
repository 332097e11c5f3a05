//! Writes that are a whole transaction.

use super::{Trace, answered, attempt::Attempt, refused, resolve::Resolution};
use crate::{
    control::ControlPlane,
    core::{Answer, Body, Core},
    job::{Completion, Failure, Operation},
    table::group::Unconfirmed,
};
use fulmargw_backend::connection::{Connector, Error, Kind};
use fulmargw_model::{
    outcome::{Outcome, Reason, Step},
    position::Term,
    request::Request,
};
use std::{ops::ControlFlow, sync::Arc};

/// Whether to send another attempt or to return an outcome.
type Next<A> = ControlFlow<Outcome<A>>;

impl<C: Connector, P: ControlPlane> Core<C, P> {
    /// Runs a write until it is acknowledged, certainly did not run, or cannot be resolved.
    pub async fn write(
        &self,
        request: &Arc<Request<Body<C>>>,
        trace: &mut Trace,
    ) -> Outcome<Answer<C>> {
        let mut attempt = Attempt::first();
        let mut retries = 0;
        loop {
            self.check("at-most-once", attempt.may_send());
            attempt.mark_sent();
            let operation = Operation::Write(attempt.number());
            let result = self.dispatch(request, operation, trace).await;
            let next = match result {
                Ok(completion) => self.acknowledge(request, completion, &mut attempt).await,
                Err(Failure::Refused(refusal)) => return Outcome::Refused(refusal),
                Err(Failure::Failed(error, target)) => {
                    self.resolve_failure(request, &error, target.term, &mut attempt)
                        .await
                }
            };
            if let Next::Break(outcome) = next {
                return outcome;
            }
            let service = &request.service;
            if !self
                .may_retry(service, &mut retries, request.deadline)
                .await
            {
                return refused(Reason::Connection);
            }
        }
    }

    /// Waits until a majority holds a write to which the server responded.
    async fn acknowledge(
        &self,
        request: &Request<Body<C>>,
        completion: Completion<Answer<C>>,
        attempt: &mut Attempt,
    ) -> Next<Answer<C>> {
        let Some(position) = completion.reply.committed else {
            // A statement of the body failed, and the transaction was rolled back.
            return Next::Break(answered(request.required, completion.reply.answer));
        };
        self.check("durable-ack", position.term == completion.target.term);
        let service = &request.service;
        match self.confirm(service, position, request.deadline).await {
            Ok(()) => {
                let position = request.required.join(position);
                return Next::Break(answered(position, completion.reply.answer));
            }
            Err(Unconfirmed::DeadlinePassed) => {
                return Next::Break(Outcome::Unknown(Step::Confirm));
            }
            Err(Unconfirmed::Superseded) => {}
        }
        let number = attempt.number();
        match self.resolve(request, number, position.term).await {
            Resolution::Committed(position) => {
                let position = request.required.join(position);
                Next::Break(answered(position, completion.reply.answer))
            }
            Resolution::Cancelled => {
                attempt.advance_past(number);
                Next::Continue(())
            }
            Resolution::Unknown => Next::Break(Outcome::Unknown(Step::Confirm)),
        }
    }

    /// Resolves an attempt that failed without a reply.
    async fn resolve_failure(
        &self,
        request: &Request<Body<C>>,
        error: &Error,
        term: Term,
        attempt: &mut Attempt,
    ) -> Next<Answer<C>> {
        let number = match error.kind {
            Kind::Cancelled(number) => number.max(attempt.number()),
            _ => attempt.number(),
        };
        if is_clean_failure(error) {
            attempt.mark_not_run();
            return Next::Continue(());
        }
        match self.resolve(request, number, term).await {
            Resolution::Committed(position) => {
                Next::Break(Outcome::AlreadyRan(request.required.join(position)))
            }
            Resolution::Cancelled if matches!(error.kind, Kind::TooLarge(_)) => {
                Next::Break(refused(Reason::Unsupported))
            }
            Resolution::Cancelled => {
                attempt.advance_past(number);
                Next::Continue(())
            }
            Resolution::Unknown => Next::Break(Outcome::Unknown(Step::Resolve)),
        }
    }
}

/// Reports whether a task certainly ran nothing and left no attempt to resolve.
///
/// Unlike [`Error::is_not_run`] it is false when the server already had a record of the request:
/// a majority must hold that record before anything is concluded from it.
pub fn is_clean_failure(error: &Error) -> bool {
    let has_record = matches!(error.kind, Kind::Duplicate(_) | Kind::Cancelled(_));
    error.is_not_run() && !has_record
}
