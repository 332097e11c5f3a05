//! Records finished requests in the metrics and the journal.

use crate::{
    control::ControlPlane,
    core::{Body, Core},
    job::Target,
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

/// Progress of a request so far.
#[derive(Debug)]
pub struct Trace {
    started_at: Instant,
    /// Target of the last execution.
    pub target: Option<Target>,
    /// Number of executions.
    pub executions: u32,
}

impl Trace {
    /// Creates the trace of a request that starts now.
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            target: None,
            executions: 0,
        }
    }
}

/// Records a request when it finishes, or as abandoned when dropped before.
pub struct Recorder<C: Connector, P: ControlPlane> {
    core: Arc<Core<C, P>>,
    request: Arc<Request<Body<C>>>,
    /// Progress of the request so far.
    pub trace: Trace,
    finished: bool,
}

impl<C: Connector, P: ControlPlane> Recorder<C, P> {
    /// Creates the recorder of a request that starts now.
    pub fn new(core: &Arc<Core<C, P>>, request: &Arc<Request<Body<C>>>) -> Self {
        Self {
            core: Arc::clone(core),
            request: Arc::clone(request),
            trace: Trace::new(),
            finished: false,
        }
    }

    /// Records the outcome.
    pub fn finish<A>(mut self, outcome: &Outcome<A>) {
        self.finished = true;
        let result = OutcomeKind::of(outcome);
        self.core.record(&self.request, &self.trace, result);
    }
}

impl<C: Connector, P: ControlPlane> Drop for Recorder<C, P> {
    fn drop(&mut self) {
        if !self.finished {
            self.core
                .record(&self.request, &self.trace, OutcomeKind::Abandoned);
        }
    }
}

impl<C: Connector, P: ControlPlane> Core<C, P> {
    /// Counts a result in the metrics and adds it to the journal.
    fn record(&self, request: &Request<Body<C>>, trace: &Trace, result: OutcomeKind) {
        let account = request.account.as_str().to_owned();
        metrics::counter!(
            "fulmargw_requests_total", "account" => account.clone(), "outcome" => result.as_str()
        )
        .increment(1);
        if let OutcomeKind::Refused(reason) = result {
            metrics::counter!(
                "fulmargw_refused_total", "account" => account, "reason" => reason_label(reason)
            )
            .increment(1);
        }
        if result == OutcomeKind::Answered && request.class != Class::Write {
            count_read(trace);
        }
        let choice = trace.target.as_ref().and_then(|target| target.choice);
        let now = Instant::now();
        let took = now.saturating_duration_since(trace.started_at);
        let mut journal = self.journal.lock();
        let entry = Entry {
            offset_ms: journal.offset_ms(now),
            request: request.id.clone(),
            service: request.service.clone(),
            route: request.route.clone(),
            account: request.account.clone(),
            class: request.class,
            server: trace
                .target
                .as_ref()
                .map(|target| target.server_id.server.clone()),
            served_by: choice.map(|choice| choice.served_by),
            rationale: choice.map(|choice| choice.rationale),
            executions: trace.executions,
            took_us: u64::try_from(took.as_micros()).unwrap_or(u64::MAX),
            outcome: result,
        };
        journal.add(entry);
    }
}

/// Returns the value of the metrics label `reason`, which equals the serialised name.
fn reason_label(reason: Reason) -> &'static str {
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
    let choice = trace.target.as_ref().and_then(|target| target.choice);
    let Some(choice) = choice else {
        return;
    };
    let by = match choice.served_by {
        ServedBy::Primary => "primary",
        ServedBy::Replica => "replica",
    };
    // Every read outside a transaction that writes may run on a replica.
    metrics::counter!("fulmargw_reads_total", "by" => by, "accepts_replica" => "true").increment(1);
}
