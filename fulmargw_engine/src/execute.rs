//! Execution of requests from submission to outcome.

mod attempt;
mod dispatch;
mod read;
mod resolve;
mod trace;
mod transaction;
mod write;

use crate::{
    control::ControlPlane,
    core::{Answer, Body, Core},
    job::refusal,
    table::pin::Lookup,
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
use trace::{Recorder, Trace};

impl<C: Connector, P: ControlPlane> Core<C, P> {
    /// Executes a request and records its outcome.
    pub async fn execute(self: &Arc<Self>, request: Request<Body<C>>) -> Outcome<Answer<C>> {
        let request = Arc::new(request);
        let mut recorder = Recorder::new(self, &request);
        let outcome = self.execute_traced(&request, &mut recorder.trace).await;
        recorder.finish(&outcome);
        outcome
    }

    async fn execute_traced(
        self: &Arc<Self>,
        request: &Arc<Request<Body<C>>>,
        trace: &mut Trace,
    ) -> Outcome<Answer<C>> {
        let lookup = self.pins.lock().lookup(request.caller);
        match lookup {
            Lookup::Open(pin) => return self.run_pinned(request, pin, trace).await,
            Lookup::Aborted => return refused(Reason::Connection),
            Lookup::NotOpen => {}
        }
        if let Err(refusal) = self.check_admission(request).await {
            return Outcome::Refused(refusal);
        }
        match (request.part, request.class) {
            (Part::End, _) => refused(Reason::Unsupported),
            (Part::Statement, Class::Write) => self.write(request, trace).await,
            (Part::Begin, Class::Write) => self.begin(request, trace).await,
            (Part::Statement | Part::Begin, _) => self.read(request, trace).await,
        }
    }

    /// Checks whether a request outside a transaction may run, and charges its client account.
    async fn check_admission(&self, request: &Request<Body<C>>) -> Result<(), outcome::Refusal> {
        if self.draining.is_cancelled() {
            return Err(refusal(Reason::Leaving));
        }
        let configuration = Arc::clone(&self.control_plane.configuration().borrow());
        if !configuration.services.contains_key(&request.service) {
            return Err(refusal(Reason::Route));
        }
        let route = configuration.routes.get(&request.route);
        let open = route.is_some_and(|route| matches!(route.access, Access::Open(_)));
        if !open && !self.control_plane.has_lease(Instant::now()) {
            return Err(refusal(Reason::Lease));
        }
        self.control_plane
            .admit(&request.account, request.deadline)
            .await?;
        let now = Instant::now();
        let mut queues = self.queues.lock();
        queues.service(&request.service).budget.record_request(now);
        Ok(())
    }

    /// Waits before a retry. Returns false, without a retry, if the retry budget is spent or the
    /// delay would pass the deadline.
    async fn may_retry(&self, service: &Name, retries: &mut u32, deadline: Instant) -> bool {
        let now = Instant::now();
        let within_budget = self.queues.lock().service(service).budget.try_retry(now);
        let delay = retry::delay(*retries, rand::random());
        if !within_budget || now + delay >= deadline {
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
