//! Reads outside a transaction, and begins of read-only transactions.

use super::{Trace, answered, refused};
use crate::{
    control::ControlPlane,
    core::{Answer, Body, Core},
    job::{Completion, Failure, Operation, Target},
};
use fulmargw_backend::connection::{Connector, Error, Kind};
use fulmargw_decision::routing::{self, ServedBy};
use fulmargw_model::{
    backend_server::{Role, Status},
    outcome::{Outcome, Reason},
    position::{Position, Term},
    request::{Class, Id, Part, Request},
};
use futures::future;
use std::sync::Arc;
use tokio::time::Instant;

/// Result of one execution of a read.
enum Execution<A> {
    /// It has a valid response.
    Completed(Completion<A>),
    /// It was not started.
    Refused(Outcome<A>),
    /// It has no valid response and may be retried; with the error, if there was one, and the role
    /// in which the server was used.
    Retry(Option<Error>, Option<ServedBy>),
}

impl<C: Connector, P: ControlPlane> Core<C, P> {
    /// Runs a read, or the begin of a read-only transaction.
    pub async fn read(
        self: &Arc<Self>,
        request: &Arc<Request<Body<C>>>,
        trace: &mut Trace,
    ) -> Outcome<Answer<C>> {
        let mut retries = 0;
        loop {
            let execution = match routing::effective_class(request.class) {
                Class::Current => self.read_current(request, trace).await,
                _ => self.run_read(request, request.required, trace).await,
            };
            let (error, served_by) = match execution {
                Execution::Completed(completion) => {
                    return answered(request.required, completion.reply.answer);
                }
                Execution::Refused(outcome) => return outcome,
                Execution::Retry(error, served_by) => (error, served_by),
            };
            let reason = match error.map(|error| error.kind) {
                Some(Kind::TooLarge(_)) => return refused(Reason::Unsupported),
                Some(Kind::Lagging) if served_by == Some(ServedBy::Primary) => {
                    return refused(Reason::Position);
                }
                // Retried without delay, because routing now avoids the replica that lagged.
                Some(Kind::Lagging) if Instant::now() < request.deadline => continue,
                _ => Reason::Connection,
            };
            let service = &request.service;
            if !self
                .may_retry(service, &mut retries, request.deadline)
                .await
            {
                return refused(reason);
            }
        }
    }

    /// Runs a read that includes every write that was acknowledged before the call.
    ///
    /// The check that no later primary exists runs concurrently with the read; it only has to
    /// start after the read index was taken.
    async fn read_current(
        self: &Arc<Self>,
        request: &Arc<Request<Body<C>>>,
        trace: &mut Trace,
    ) -> Execution<Answer<C>> {
        let service = &request.service;
        let index = self.read_index(service, request.deadline).await;
        let Some(index) = index else {
            return Execution::Refused(refused(Reason::NoPrimary));
        };
        let required = index.join(request.required);
        let run = self.run_read(request, required, trace);
        let check = self.confirm_term(service, index.term, request.deadline);
        let (execution, checked) = future::join(run, check).await;
        match (execution, checked) {
            (Execution::Completed(completion), Err(_)) => {
                self.roll_back(request.caller);
                Execution::Retry(None, Some(completion.target.served_by()))
            }
            (execution, _) => execution,
        }
    }

    async fn run_read(
        self: &Arc<Self>,
        request: &Arc<Request<Body<C>>>,
        required: Position,
        trace: &mut Trace,
    ) -> Execution<Answer<C>> {
        let operation = match request.part {
            Part::Begin => Operation::BeginReadOnly(required),
            _ => Operation::Read(required),
        };
        match self.dispatch(request, operation, trace).await {
            Ok(completion) => {
                let target = completion.target.clone();
                if self
                    .wait_until_durable(request, &target, completion.reply.status)
                    .await
                {
                    return Execution::Completed(completion);
                }
                self.roll_back(request.caller);
                Execution::Retry(None, Some(target.served_by()))
            }
            Err(Failure::Refused(refusal)) => Execution::Refused(Outcome::Refused(refusal)),
            Err(Failure::Failed(error, target)) => {
                Execution::Retry(Some(error), Some(target.served_by()))
            }
        }
    }

    /// Waits until a majority durably holds every commit that a read on the primary may have
    /// seen. Reports false if that cannot be confirmed before the deadline.
    ///
    /// The primary shows commits that no replica holds yet, and a failover can remove them.
    async fn wait_until_durable(
        &self,
        request: &Request<Body<C>>,
        target: &Target,
        status: Option<Status>,
    ) -> bool {
        if target.served_by() == ServedBy::Replica {
            return true;
        }
        let status = if status.is_some() {
            status
        } else {
            let observation = self
                .request_status(&target.server_id, request.deadline)
                .await;
            observation.map(|observation| observation.status)
        };
        let is_primary = |status: &Status| {
            status.role == Role::Primary
                && status.promised == status.term
                && (target.term == Term(0) || target.term == status.term)
        };
        let Some(status) = status.filter(is_primary) else {
            return false;
        };
        let Some(position) = self.end_of_log(target, &status, request.deadline).await else {
            return false;
        };
        let confirmed = self.confirm(&request.service, position, request.deadline);
        position.index == 0 || confirmed.await.is_ok()
    }

    /// Returns a position in the primary's own term that includes its whole log.
    ///
    /// Entries of earlier terms can be lost even when a majority holds them, so an entry of the
    /// current term is appended if the log does not end with one.
    async fn end_of_log(
        &self,
        target: &Target,
        status: &Status,
        deadline: Instant,
    ) -> Option<Position> {
        let received = status.received;
        if received.term == status.term || received.index == 0 {
            return Some(Position {
                term: status.term,
                index: received.index,
            });
        }
        // Cancelling an attempt of an unused request identifier appends an entry.
        let marker = self
            .cancel(&target.server_id, &Id::random(), 1, deadline)
            .await?;
        Some(marker.position)
    }
}
