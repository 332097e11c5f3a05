//! Reads outside of a transaction that writes.

use super::{Trace, answered, refused};
use crate::{
    control::ControlPlane,
    core::{Answer, Body, Core},
    job::{Done, Failure, Place, Work},
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
enum Read<A> {
    /// It has an answer.
    Done(Done<A>),
    /// It was not started.
    Refused(Outcome<A>),
    /// It may be run again.
    Again(Option<Error>, Option<ServedBy>),
}

impl<C: Connector, G: ControlPlane> Core<C, G> {
    /// Runs a read, or the begin of a transaction that only reads.
    pub async fn read(
        self: &Arc<Self>,
        request: &Arc<Request<Body<C>>>,
        trace: &mut Trace,
    ) -> Outcome<Answer<C>> {
        let mut retries = 0;
        loop {
            let read = match routing::effective_class(request.class) {
                Class::Current => self.read_current(request, trace).await,
                _ => self.run_read(request, request.required, trace).await,
            };
            let (error, by) = match read {
                Read::Done(done) => return answered(request.required, done.reply.answer),
                Read::Refused(outcome) => return outcome,
                Read::Again(error, by) => (error, by),
            };
            let reason = match error.map(|error| error.kind) {
                Some(Kind::TooLarge(_)) => return refused(Reason::Unsupported),
                Some(Kind::Behind) if by == Some(ServedBy::Primary) => {
                    return refused(Reason::Position);
                }
                // Another server is chosen at once: the replica that was behind is left out.
                Some(Kind::Behind) if Instant::now() < request.deadline => continue,
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

    /// Runs a read that includes every write that was acknowledged before.
    ///
    /// The promises are checked while the read runs; they only have to be asked for after the
    /// read index was taken.
    async fn read_current(
        self: &Arc<Self>,
        request: &Arc<Request<Body<C>>>,
        trace: &mut Trace,
    ) -> Read<Answer<C>> {
        let service = &request.service;
        let index = self.read_index(service, request.deadline).await;
        let Some(index) = index else {
            return Read::Refused(refused(Reason::NoPrimary));
        };
        let required = index.join(request.required);
        let run = self.run_read(request, required, trace);
        let check = self.promises(service, index.term, request.deadline);
        let (read, checked) = future::join(run, check).await;
        match (read, checked) {
            (Read::Done(done), Err(_)) => {
                self.abandon(request.caller);
                Read::Again(None, Some(done.place.by()))
            }
            (read, _) => read,
        }
    }

    async fn run_read(
        self: &Arc<Self>,
        request: &Arc<Request<Body<C>>>,
        required: Position,
        trace: &mut Trace,
    ) -> Read<Answer<C>> {
        let work = match request.part {
            Part::Begin => Work::BeginRead(required),
            _ => Work::Read(required),
        };
        match self.dispatch(request, work, trace).await {
            Ok(done) => {
                let place = done.place.clone();
                if self.is_held(request, &place, done.reply.status).await {
                    return Read::Done(done);
                }
                self.abandon(request.caller);
                Read::Again(None, Some(place.by()))
            }
            Err(Failure::Refused(refusal)) => Read::Refused(Outcome::Refused(refusal)),
            Err(Failure::Failed(error, place)) => Read::Again(Some(error), Some(place.by())),
        }
    }

    /// Waits until a majority holds everything that a read on the primary can have seen.
    ///
    /// The primary shows commits that no replica holds yet, and a failover can remove them.
    async fn is_held(
        &self,
        request: &Request<Body<C>>,
        place: &Place,
        status: Option<Status>,
    ) -> bool {
        if place.by() == ServedBy::Replica {
            return true;
        }
        let status = if status.is_some() {
            status
        } else {
            let seen = self.status(&place.key, request.deadline).await;
            seen.map(|seen| seen.status)
        };
        let leads = |status: &Status| {
            status.role == Role::Primary
                && status.promised == status.term
                && (place.term == Term(0) || place.term == status.term)
        };
        let Some(status) = status.filter(leads) else {
            return false;
        };
        let Some(position) = self.visible(place, &status, request.deadline).await else {
            return false;
        };
        let held = self.confirm(&request.service, position, request.deadline);
        position.index == 0 || held.await.is_ok()
    }

    /// Returns a position of the primary's own term that includes its whole log.
    ///
    /// A majority that holds entries of earlier terms can still lose them, so an entry of the
    /// present term is added if there is none.
    async fn visible(&self, place: &Place, status: &Status, deadline: Instant) -> Option<Position> {
        let received = status.received;
        if received.term == status.term || received.index == 0 {
            return Some(Position {
                term: status.term,
                index: received.index,
            });
        }
        let marker = self.cancel(&place.key, &Id::random(), 1, deadline).await?;
        Some(marker.position)
    }
}
