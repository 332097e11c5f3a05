//! Records what becomes of transactions whose API key is withdrawn, and checks that nothing runs for
//! such a key.

use super::{Driver, trace::display_id};
use crate::{clock::millis, dialect::Dialect, statement::Query, store::Platform};
use fulmargw_model::abort;
use tokio::time::Instant;

/// Registers the counter that must stay 0, so that it is served before it counts anything.
pub(crate) fn register() {
    metrics::counter!("fulmargw_pool_withdrawn_key_statements_total").increment(0);
}

impl<D: Dialect, P: Platform> Driver<D, P> {
    /// Records that the open transaction is rolled back by this host.
    pub(super) fn log_abort(&self, cause: abort::Cause) {
        metrics::counter!("fulmargw_pool_transactions_aborted_total", "cause" => cause.label())
            .increment(1);
        let transaction = self.session.transaction.as_ref();
        let configuration = self.core.configuration();
        let configuration = configuration.as_ref();
        log::info!(
            event = "transaction_aborted", session = self.session.number, cause = cause.text(),
            account = transaction.map(|it| it.caller.account.as_str()),
            statements = transaction.map(|it| it.statements),
            version = configuration.map(|it| it.catalog.version),
            in_force_ms = configuration.map(|it| millis(it.in_force_since.elapsed()));
            "transaction rolled back"
        );
    }

    /// Counts a statement that ran for an API key although the version of the configuration that
    /// withdrew it was in force on this host when the statement arrived.
    pub(super) fn check_key(&self, query: &Query, received: Instant) {
        let Some(configuration) = self.core.configuration() else {
            return;
        };
        let was_in_force = received >= configuration.in_force_since;
        if !was_in_force || self.session.is_admitted_by(&configuration.keys) {
            return;
        }
        metrics::counter!("fulmargw_pool_withdrawn_key_statements_total").increment(1);
        log::error!(
            event = "withdrawn_key_used", request:% = display_id(&query.id),
            session = self.session.number,
            account = self.session.caller.as_ref().map(|it| it.account.as_str()),
            version = configuration.catalog.version,
            in_force_ms = millis(configuration.in_force_since.elapsed());
            "a backend server ran a statement for an API key that had been withdrawn"
        );
    }
}
