//! Log lines and counters for the outcomes of statements.

use super::{
    Driver,
    channel::{Cause, Channel},
    failure::Failure,
};
use crate::{
    clock::millis, configuration::Configuration, dialect::Dialect, statement::Query,
    store::Platform,
};
use fulmargw_model::{
    execution::{Code, Reply, Text, Trace},
    name::Name,
};
use tokio::time::Instant;

impl<D: Dialect, P: Platform> Driver<D, P> {
    pub(super) fn log_reply(
        &mut self,
        query: &Query,
        trace: &Trace,
        reply: &Reply,
        received: Instant,
        configuration: &Configuration,
    ) {
        self.check_key(query, received);
        if let Some(transaction) = &mut self.session.transaction {
            transaction.statements += 1;
        }
        let outcome = match &reply.result {
            Ok(_) => "done",
            Err((code, _)) => code.label(),
        };
        log::info!(
            event = "answered", request:% = display_id(&query.id), session = self.session.number,
            holder = trace.host.as_str(), server = trace.server_id.server.as_str(), as_primary = trace.as_primary,
            after:? = trace.min_position.map(|it| (it.term.0, it.index)),
            after_age_ms = millis(trace.position_age), waited_ms = millis(trace.waited), opened_ms = millis(trace.opened),
            version = configuration.catalog.version, outcome, elapsed_ms = millis(received.elapsed());
            "backend server replied"
        );
    }

    pub(super) fn log_refusal(
        &self,
        query: &Query,
        failure: &Failure,
        configuration: &Configuration,
    ) {
        log::info!(
            event = "refused", request:% = display_id(&query.id), session = self.session.number,
            database = self.session.database.as_str(), code = failure.code.label(),
            cause = failure.cause, version = configuration.catalog.version;
            "request refused"
        );
    }

    pub(super) fn log_no_response(
        &self,
        query: &Query,
        server: Option<&Name>,
        failure: &Failure,
        received: Instant,
    ) {
        log::info!(
            event = "unanswered", request:% = display_id(&query.id), session = self.session.number,
            server = server.map_or("-", Name::as_str), code = failure.code.label(),
            cause = failure.cause, elapsed_ms = millis(received.elapsed());
            "backend server did not respond"
        );
    }

    /// Records that this host closes a session, and what its caller held.
    pub(super) fn log_close(&self, cause: Cause, channel: &Channel<D>) {
        let cause = cause.label();
        metrics::counter!("fulmargw_pool_sessions_closed_total", "cause" => cause).increment(1);
        log::info!(
            event = "session_closed", session = self.session.number, cause,
            account = channel.owner().as_str(), held_bytes = channel.held_bytes(),
            state_bytes = self.kept.held_bytes();
            "session closed by this host"
        );
    }
}

/// Records that this host closes a connection without a session, and what its caller held.
pub(super) fn log_early_close<D: Dialect>(number: u64, cause: Cause, channel: &Channel<D>) {
    let cause = cause.label();
    metrics::counter!("fulmargw_pool_sessions_closed_total", "cause" => cause).increment(1);
    log::info!(
        event = "connection_closed", session = number, cause, held_bytes = channel.held_bytes();
        "connection without a session closed by this host"
    );
}

/// Counts an error response by its code.
pub(super) fn count_error(code: &Code) {
    metrics::counter!("fulmargw_pool_refusals_total", "code" => code.label()).increment(1);
}

pub(super) fn display_id(id: &Text) -> String {
    String::from_utf8_lossy(id).into_owned()
}
