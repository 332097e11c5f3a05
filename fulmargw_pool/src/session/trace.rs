//! Log lines and counters of decisions on statements.

use super::{Service, failure::Failure};
use crate::{
    clock::millis, core::Configuration, dialect::Dialect, statement::Query, store::Platform,
};
use fulmargw_model::{
    execution::{Code, Reply, Text, Trace},
    name::Name,
};
use tokio::time::Instant;

impl<D: Dialect, P: Platform> Service<D, P> {
    pub(super) fn log_answer(
        &self,
        query: &Query,
        place: &Trace,
        reply: &Reply,
        received: Instant,
        configuration: &Configuration,
    ) {
        let outcome = match &reply.result {
            Ok(_) => "done",
            Err((code, _)) => code.label(),
        };
        log::info!(
            event = "answered", request:% = display(&query.id), session = self.session.number,
            holder = place.host.as_str(), server = place.key.server.as_str(), as_primary = place.as_primary,
            after:? = place.min_position.map(|it| (it.term.0, it.index)),
            after_age_ms = millis(place.position_age), waited_ms = millis(place.waited), opened_ms = millis(place.opened),
            version = configuration.catalog.version, outcome, elapsed_ms = millis(received.elapsed());
            "request answered"
        );
    }

    pub(super) fn log_refusal(
        &self,
        query: &Query,
        failure: &Failure,
        configuration: &Configuration,
    ) {
        log::info!(
            event = "refused", request:% = display(&query.id), session = self.session.number,
            database = self.session.database.as_str(), code = failure.code.label(),
            cause = failure.cause, version = configuration.catalog.version;
            "request refused"
        );
    }

    pub(super) fn log_lost(
        &self,
        query: &Query,
        server: Option<&Name>,
        failure: &Failure,
        received: Instant,
    ) {
        log::info!(
            event = "unanswered", request:% = display(&query.id), session = self.session.number,
            server = server.map_or("-", Name::as_str), code = failure.code.label(),
            cause = failure.cause, elapsed_ms = millis(received.elapsed());
            "backend server did not answer"
        );
    }
}

/// Counts an answer that is an error.
pub(super) fn count(code: &Code) {
    metrics::counter!("fulmargw_pool_refusals_total", "code" => code.label()).increment(1);
}

pub(super) fn display(id: &Text) -> String {
    String::from_utf8_lossy(id).into_owned()
}
