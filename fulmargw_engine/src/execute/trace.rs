//! Record of how a request was carried to its outcome.

use crate::{
    control::ControlPlane,
    core::{Body, Core},
    job::Place,
    journal::{Entry, OutcomeKind},
};
use fulmargw_backend::connection::Connector;
use fulmargw_decision::routing::ServedBy;
use fulmargw_model::{
    outcome::{Outcome, Reason},
    request::{Class, Request},
};
use std::sync::Arc;
use tokio::time::Instant;

/// What happened to a request so far.
#[derive(Debug)]
pub struct Trace {
    began: Instant,
    /// Where it ran last.
    pub place: Option<Place>,
    /// Number of executions.
    pub tries: u32,
}

impl Trace {
    /// Begins the record of a request.
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            place: None,
            tries: 0,
        }
    }
}

/// Records a request when it ends, also if its caller gave it up.
pub struct Record<C: Connector, G: ControlPlane> {
    core: Arc<Core<C, G>>,
    request: Arc<Request<Body<C>>>,
    /// What happened to the request so far.
    pub trace: Trace,
    ended: bool,
}

impl<C: Connector, G: ControlPlane> Record<C, G> {
    /// Begins the record of a request.
    pub fn new(core: &Arc<Core<C, G>>, request: &Arc<Request<Body<C>>>) -> Self {
        Self {
            core: Arc::clone(core),
            request: Arc::clone(request),
            trace: Trace::new(),
            ended: false,
        }
    }

    /// Records the outcome.
    pub fn end<A>(mut self, outcome: &Outcome<A>) {
        self.ended = true;
        let label = OutcomeKind::of(outcome);
        self.core.record(&self.request, &self.trace, label);
    }
}

impl<C: Connector, G: ControlPlane> Drop for Record<C, G> {
    fn drop(&mut self) {
        if !self.ended {
            self.core
                .record(&self.request, &self.trace, OutcomeKind::Abandoned);
        }
    }
}

impl<C: Connector, G: ControlPlane> Core<C, G> {
    /// Counts an outcome and adds it to the journal.
    fn record(&self, request: &Request<Body<C>>, trace: &Trace, label: OutcomeKind) {
        let account = request.account.as_str().to_owned();
        metrics::counter!(
            "fulmargw_requests_total", "account" => account.clone(), "outcome" => label.as_str()
        )
        .increment(1);
        if let OutcomeKind::Refused(reason) = label {
            metrics::counter!(
                "fulmargw_refused_total", "account" => account, "reason" => label_of(reason)
            )
            .increment(1);
        }
        if label == OutcomeKind::Answered && request.class != Class::Write {
            count_read(trace);
        }
        let choice = trace.place.as_ref().and_then(|place| place.choice);
        let now = Instant::now();
        let took = now.saturating_duration_since(trace.began);
        let mut journal = self.journal.lock();
        let entry = Entry {
            offset_ms: journal.offset_ms(now),
            request: request.id.clone(),
            service: request.service.clone(),
            route: request.route.clone(),
            account: request.account.clone(),
            class: request.class,
            server: trace.place.as_ref().map(|place| place.key.server.clone()),
            by: choice.map(|choice| choice.served_by),
            why: choice.map(|choice| choice.rationale),
            tries: trace.tries,
            took_us: u64::try_from(took.as_micros()).unwrap_or(u64::MAX),
            outcome: label,
        };
        journal.add(entry);
    }
}

/// Returns the value of the metrics label, which is the serialised name.
fn label_of(reason: Reason) -> &'static str {
    match reason {
        Reason::Key => "key",
        Reason::Route => "route",
        Reason::Rate => "rate",
        Reason::QueueFull => "queue_full",
        Reason::Deadline => "deadline",
        Reason::NoPrimary => "no_primary",
        Reason::Position => "position",
        Reason::Lease => "lease",
        Reason::Leaving => "leaving",
        Reason::Unsupported => "unsupported",
        Reason::Connection => "connection",
    }
}

fn count_read(trace: &Trace) {
    let choice = trace.place.as_ref().and_then(|place| place.choice);
    let Some(choice) = choice else {
        return;
    };
    let by = match choice.served_by {
        ServedBy::Primary => "primary",
        ServedBy::Replica => "replica",
    };
    // Every read outside of a transaction that writes accepts a replica.
    metrics::counter!("fulmargw_reads_total", "by" => by, "accepts_replica" => "true").increment(1);
}
