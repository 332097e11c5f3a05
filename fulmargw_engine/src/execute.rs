//! Carries requests to their outcomes.

mod attempt;
mod dispatch;
mod read;
mod settle;
mod trace;
mod transaction;
mod write;

use crate::{
    control::ControlPlane,
    core::{Answer, Body, Core},
    job::refusal,
    table::pin::Met,
};
use fulmargw_backend::connection::Connector;
use fulmargw_decision::retry;
use fulmargw_model::{
    name::Name,
    outcome::{self, Outcome, Reason},
    position::Position,
    request::{Class, Part, Request},
    route::Access,
};
use std::sync::Arc;
use tokio::time::{Instant, sleep};
use trace::{Record, Trace};

impl<C: Connector, G: ControlPlane> Core<C, G> {
    /// Carries a request to its outcome and records it.
    pub async fn carry(self: &Arc<Self>, request: Request<Body<C>>) -> Outcome<Answer<C>> {
        let request = Arc::new(request);
        let mut record = Record::new(self, &request);
        let outcome = self.decide(&request, &mut record.trace).await;
        record.end(&outcome);
        outcome
    }

    async fn decide(
        self: &Arc<Self>,
        request: &Arc<Request<Body<C>>>,
        trace: &mut Trace,
    ) -> Outcome<Answer<C>> {
        let met = self.pins.lock().meet(request.caller);
        match met {
            Met::Open(hold) => return self.inside(request, hold, trace).await,
            Met::Lost => return refused(Reason::Connection),
            Met::Free => {}
        }
        if let Err(refusal) = self.accept(request).await {
            return Outcome::Refused(refusal);
        }
        match (request.part, request.class) {
            (Part::End, _) => refused(Reason::Unsupported),
            (Part::Statement, Class::Write) => self.write(request, trace).await,
            (Part::Begin, Class::Write) => self.begin(request, trace).await,
            (Part::Statement | Part::Begin, _) => self.read(request, trace).await,
        }
    }

    /// Decides whether a request outside of a transaction may run, and charges its account.
    async fn accept(&self, request: &Request<Body<C>>) -> Result<(), outcome::Refusal> {
        if self.draining.is_cancelled() {
            return Err(refusal(Reason::Leaving));
        }
        let configuration = Arc::clone(&self.gate.configuration().borrow());
        if !configuration.services.contains_key(&request.service) {
            return Err(refusal(Reason::Route));
        }
        let route = configuration.routes.get(&request.route);
        let open = route.is_some_and(|route| matches!(route.access, Access::Open(_)));
        if !open && !self.gate.has_lease(Instant::now()) {
            return Err(refusal(Reason::Lease));
        }
        self.gate.admit(&request.account, request.deadline).await?;
        let now = Instant::now();
        let mut queues = self.queues.lock();
        queues.service(&request.service).budget.record_request(now);
        Ok(())
    }

    /// Waits before a retry; false if the budget or the time before the deadline is spent.
    async fn may_retry(&self, service: &Name, retries: &mut u32, deadline: Instant) -> bool {
        let now = Instant::now();
        let within = self.queues.lock().service(service).budget.try_retry(now);
        let delay = retry::delay(*retries, rand::random());
        if !within || now + delay >= deadline {
            return false;
        }
        metrics::counter!("fulmargw_retries_total").increment(1);
        *retries += 1;
        sleep(delay).await;
        true
    }
}

fn refused<A>(reason: Reason) -> Outcome<A> {
    Outcome::Refused(refusal(reason))
}

fn answered<A>(position: Position, body: A) -> Outcome<A> {
    Outcome::Answered(outcome::Answer { position, body })
}
