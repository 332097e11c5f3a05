//! Handler of the requests to the operator interface.

use super::message::{Accepted, Health, Rejection};
use fulmargw_model::configuration::{Configuration, Patch};
use serde::Serialize;
use std::{future::Future, sync::Arc};

/// Handles the requests of operators and the balancer for one process.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Content of the state dump. It must contain neither keys nor statements.
    type State: Serialize + Send;

    /// Returns a dump of the current state.
    fn state(&self) -> Self::State;

    /// Returns the configuration in force.
    fn configuration(&self) -> Arc<Configuration>;

    /// Validates a patch and puts all of its changes in force, or none.
    fn patch(&self, patch: Patch) -> impl Future<Output = Result<Accepted, Rejection>> + Send;

    /// Returns the health of this host for the balancer.
    fn health(&self) -> Health;

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}
