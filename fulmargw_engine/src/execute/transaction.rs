//! Explicit transactions of callers.

use super::{Trace, answered, refused, resolve::Resolution, write::is_clean_failure};
use crate::{
    control::ControlPlane,
    core::{Answer, Body, Core},
    job::{Completion, Failure, Operation},
    table::{group::Unconfirmed, pin::Pin},
};
use fulmargw_backend::connection::{Connector, Kind};
use fulmargw_model::{
    outcome::{Outcome, Reason, Step},
    request::{Part, Request},
};
use std::sync::Arc;

impl<C: Connector, P: ControlPlane> Core<C, P> {
    /// Begins a transaction that writes.
    ///
    /// A failed begin committed nothing, but its transaction may still be open and hold the
    /// record of the request, so the attempt is cancelled before the next one.
    pub async fn begin(
        &self,
        request: &Arc<Request<Body<C>>>,
        trace: &mut Trace,
    ) -> Outcome<Answer<C>> {
        let mut attempt = 1;
        let mut retries = 0;
        loop {
            let result = self
                .dispatch(request, Operation::Begin(attempt), trace)
                .await;
            let (error, term) = match result {
                Ok(completion) => return answered(request.required, completion.reply.answer),
                Err(Failure::Refused(refusal)) => return Outcome::Refused(refusal),
                Err(Failure::Failed(error, target)) => (error, target.term),
            };
            if !is_clean_failure(&error) {
                let recorded = match error.kind {
                    Kind::Cancelled(number) => number.max(attempt),
                    _ => attempt,
                };
                match self.resolve(request, recorded, term).await {
                    Resolution::Committed(position) => return Outcome::AlreadyRan(position),
                    Resolution::Cancelled => attempt = recorded + 1,
                    Resolution::Unknown if matches!(error.kind, Kind::Duplicate(_)) => {
                        return Outcome::Unknown(Step::Resolve);
                    }
                    Resolution::Unknown => return refused(Reason::NoPrimary),
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

    /// Runs a statement or the end of an open transaction. A refusal ends the transaction.
    pub async fn run_pinned(
        self: &Arc<Self>,
        request: &Arc<Request<Body<C>>>,
        pin: Pin,
        trace: &mut Trace,
    ) -> Outcome<Answer<C>> {
        let ends = request.part == Part::End;
        let operation = if ends {
            Operation::End(pin.server_id.clone())
        } else {
            Operation::Statement(pin.server_id.clone())
        };
        let result = self.dispatch(request, operation, trace).await;
        let error = match result {
            Ok(completion) => return self.acknowledge_commit(request, completion, &pin).await,
            Err(Failure::Refused(refusal)) => {
                self.roll_back(request.caller);
                return Outcome::Refused(refusal);
            }
            Err(Failure::Failed(error, _)) => error,
        };
        let Some(attempt) = pin.attempt.filter(|_| ends && !is_clean_failure(&error)) else {
            // The connection was closed before a commit was sent, so nothing is committed.
            return refused(Reason::Connection);
        };
        match self.resolve_commit(request, &pin, attempt).await {
            Resolution::Committed(position) => Outcome::AlreadyRan(request.required.join(position)),
            Resolution::Cancelled => refused(Reason::Connection),
            Resolution::Unknown => Outcome::Unknown(Step::Commit),
        }
    }

    /// Waits until a majority holds the commit, if the transaction committed.
    async fn acknowledge_commit(
        &self,
        request: &Request<Body<C>>,
        completion: Completion<Answer<C>>,
        pin: &Pin,
    ) -> Outcome<Answer<C>> {
        let Some(position) = completion.reply.committed else {
            return answered(request.required, completion.reply.answer);
        };
        self.check("durable-ack", position.term == pin.term);
        let service = &request.service;
        let resolution = match self.confirm(service, position, request.deadline).await {
            Ok(()) => Resolution::Committed(position),
            Err(Unconfirmed::DeadlinePassed) => Resolution::Unknown,
            Err(Unconfirmed::Superseded) => {
                let attempt = pin.attempt.unwrap_or(1);
                self.resolve_commit(request, pin, attempt).await
            }
        };
        match resolution {
            Resolution::Committed(position) => {
                answered(request.required.join(position), completion.reply.answer)
            }
            Resolution::Cancelled => refused(Reason::Connection),
            Resolution::Unknown => Outcome::Unknown(Step::Confirm),
        }
    }

    async fn resolve_commit(
        &self,
        request: &Request<Body<C>>,
        pin: &Pin,
        attempt: u64,
    ) -> Resolution {
        let service = &pin.server_id.service;
        self.resolve_attempt(service, &pin.id, attempt, pin.term, request.deadline)
            .await
    }

    /// Rolls back the open transaction of a caller, if any, by closing its connection.
    pub fn roll_back(self: &Arc<Self>, caller: u64) {
        let pinned = self.pins.lock().clear(caller);
        self.close_pinned(pinned.into_iter().collect());
    }
}
