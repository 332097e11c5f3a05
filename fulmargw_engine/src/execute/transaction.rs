//! Explicit transactions of callers.

use super::{Trace, answered, refused, settle::Settled, write::is_not_run};
use crate::{
    control::ControlPlane,
    core::{Answer, Body, Core},
    job::{Done, Failure, Work},
    table::{group::Unconfirmed, pin::Hold},
};
use fulmargw_backend::connection::{Connector, Kind};
use fulmargw_model::{
    outcome::{Outcome, Reason, Step},
    request::{Part, Request},
};
use std::sync::Arc;

impl<C: Connector, G: ControlPlane> Core<C, G> {
    /// Begins a transaction that writes.
    ///
    /// A failed begin committed nothing, but its transaction may still hold the record, so it is
    /// cancelled before the next attempt.
    pub async fn begin(
        &self,
        request: &Arc<Request<Body<C>>>,
        trace: &mut Trace,
    ) -> Outcome<Answer<C>> {
        let mut attempt = 1;
        let mut retries = 0;
        loop {
            let result = self.dispatch(request, Work::Begin(attempt), trace).await;
            let (error, term) = match result {
                Ok(done) => return answered(request.required, done.reply.answer),
                Err(Failure::Refused(refusal)) => return Outcome::Refused(refusal),
                Err(Failure::Failed(error, place)) => (error, place.term),
            };
            if !is_not_run(&error) {
                let met = match error.kind {
                    Kind::Cancelled(number) => number.max(attempt),
                    _ => attempt,
                };
                match self.settle(request, met, term).await {
                    Settled::Committed(position) => return Outcome::AlreadyRan(position),
                    Settled::Cancelled => attempt = met + 1,
                    Settled::Unknown if matches!(error.kind, Kind::Duplicate(_)) => {
                        return Outcome::Unknown(Step::Resolve);
                    }
                    Settled::Unknown => return refused(Reason::NoPrimary),
                }
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

    /// Runs a request of an open transaction. A refusal ends the transaction.
    pub async fn inside(
        self: &Arc<Self>,
        request: &Arc<Request<Body<C>>>,
        hold: Hold,
        trace: &mut Trace,
    ) -> Outcome<Answer<C>> {
        let ends = request.part == Part::End;
        let work = if ends {
            Work::End(hold.key.clone())
        } else {
            Work::Inside(hold.key.clone())
        };
        let result = self.dispatch(request, work, trace).await;
        let error = match result {
            Ok(done) => return self.acknowledge_end(request, done, &hold).await,
            Err(Failure::Refused(refusal)) => {
                self.abandon(request.caller);
                return Outcome::Refused(refusal);
            }
            Err(Failure::Failed(error, _)) => error,
        };
        let Some(attempt) = hold.attempt.filter(|_| ends && !is_not_run(&error)) else {
            // The connection is closed before the commit was sent, so nothing is committed.
            return refused(Reason::Connection);
        };
        match self.settle_end(request, &hold, attempt).await {
            Settled::Committed(position) => Outcome::AlreadyRan(request.required.join(position)),
            Settled::Cancelled => refused(Reason::Connection),
            Settled::Unknown => Outcome::Unknown(Step::Commit),
        }
    }

    /// Waits until a majority holds a committed transaction.
    async fn acknowledge_end(
        &self,
        request: &Request<Body<C>>,
        done: Done<Answer<C>>,
        hold: &Hold,
    ) -> Outcome<Answer<C>> {
        let Some(position) = done.reply.committed else {
            return answered(request.required, done.reply.answer);
        };
        self.check("durable-ack", position.term == hold.term);
        let service = &request.service;
        let acknowledged = match self.confirm(service, position, request.deadline).await {
            Ok(()) => Settled::Committed(position),
            Err(Unconfirmed::Late) => Settled::Unknown,
            Err(Unconfirmed::Superseded) => {
                let attempt = hold.attempt.unwrap_or(1);
                self.settle_end(request, hold, attempt).await
            }
        };
        match acknowledged {
            Settled::Committed(position) => {
                answered(request.required.join(position), done.reply.answer)
            }
            Settled::Cancelled => refused(Reason::Connection),
            Settled::Unknown => Outcome::Unknown(Step::Confirm),
        }
    }

    async fn settle_end(&self, request: &Request<Body<C>>, hold: &Hold, attempt: u64) -> Settled {
        let service = &hold.key.service;
        self.settle_as(service, &hold.id, attempt, hold.term, request.deadline)
            .await
    }

    /// Rolls back the open transaction of a caller, if any, by closing its connection.
    pub fn abandon(self: &Arc<Self>, caller: u64) {
        let held = self.pins.lock().release(caller);
        self.close_held(held.into_iter().collect());
    }
}
