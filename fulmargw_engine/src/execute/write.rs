//! Writes that are a whole transaction.

use super::{Trace, answered, attempt::Attempt, refused, settle::Settled};
use crate::{
    control::ControlPlane,
    core::{Answer, Body, Core},
    job::{Done, Failure, Work},
    table::group::Unconfirmed,
};
use fulmargw_backend::connection::{Connector, Error, Kind};
use fulmargw_model::{
    outcome::{Outcome, Reason, Step},
    position::Term,
    request::Request,
};
use std::{ops::ControlFlow, sync::Arc};

/// Goes on with another attempt, or ends with an outcome.
type Next<A> = ControlFlow<Outcome<A>>;

impl<C: Connector, G: ControlPlane> Core<C, G> {
    /// Runs a write until it is acknowledged or certainly did not run.
    pub async fn write(
        &self,
        request: &Arc<Request<Body<C>>>,
        trace: &mut Trace,
    ) -> Outcome<Answer<C>> {
        let mut attempt = Attempt::first();
        let mut retries = 0;
        loop {
            self.check("at-most-once", attempt.may_send());
            attempt.sent();
            let work = Work::Write(attempt.number());
            let result = self.dispatch(request, work, trace).await;
            let next = match result {
                Ok(done) => self.acknowledge(request, done, &mut attempt).await,
                Err(Failure::Refused(refusal)) => return Outcome::Refused(refusal),
                Err(Failure::Failed(error, place)) => {
                    self.resolve(request, &error, place.term, &mut attempt)
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

    /// Waits until a majority holds the write of an answer.
    async fn acknowledge(
        &self,
        request: &Request<Body<C>>,
        done: Done<Answer<C>>,
        attempt: &mut Attempt,
    ) -> Next<Answer<C>> {
        let Some(position) = done.reply.committed else {
            // The body failed, and the transaction was rolled back.
            return Next::Break(answered(request.required, done.reply.answer));
        };
        self.check("durable-ack", position.term == done.place.term);
        let service = &request.service;
        match self.confirm(service, position, request.deadline).await {
            Ok(()) => {
                let position = request.required.join(position);
                return Next::Break(answered(position, done.reply.answer));
            }
            Err(Unconfirmed::Late) => return Next::Break(Outcome::Unknown(Step::Confirm)),
            Err(Unconfirmed::Superseded) => {}
        }
        let number = attempt.number();
        match self.settle(request, number, position.term).await {
            Settled::Committed(position) => {
                let position = request.required.join(position);
                Next::Break(answered(position, done.reply.answer))
            }
            Settled::Cancelled => {
                attempt.cancelled(number);
                Next::Continue(())
            }
            Settled::Unknown => Next::Break(Outcome::Unknown(Step::Confirm)),
        }
    }

    /// Finds out what became of an attempt that has no answer.
    async fn resolve(
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
        if is_not_run(error) {
            attempt.not_run();
            return Next::Continue(());
        }
        match self.settle(request, number, term).await {
            Settled::Committed(position) => {
                Next::Break(Outcome::AlreadyRan(request.required.join(position)))
            }
            Settled::Cancelled if matches!(error.kind, Kind::TooLarge(_)) => {
                Next::Break(refused(Reason::Unsupported))
            }
            Settled::Cancelled => {
                attempt.cancelled(number);
                Next::Continue(())
            }
            Settled::Unknown => Next::Break(Outcome::Unknown(Step::Resolve)),
        }
    }
}

/// Reports whether a task certainly ran nothing and left nothing to settle.
///
/// Unlike [`Error::is_not_run`] it is false for a record that was met, because that must be
/// held by a majority first.
pub fn is_not_run(error: &Error) -> bool {
    let met = matches!(error.kind, Kind::Duplicate(_) | Kind::Cancelled(_));
    error.is_not_run() && !met
}
