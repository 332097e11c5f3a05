//! What the operator interface needs of the process.

use super::message::{Accepted, Health, Rejection};
use fulmargw_model::configuration::{Configuration, Patch};
use serde::Serialize;
use std::{future::Future, sync::Arc};

/// The process that the interface shows and changes.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Content of the state dump; it must hold neither a key nor a statement.
    type State: Serialize + Send;

    /// Takes a dump of the state.
    fn state(&self) -> Self::State;

    /// Returns the configuration in force.
    fn configuration(&self) -> Arc<Configuration>;

    /// Validates a patch and puts it in force, all or nothing.
    fn patch(&self, patch: Patch) -> impl Future<Output = Result<Accepted, Rejection>> + Send;

    /// Reports whether the balancer should send callers to this host.
    fn health(&self) -> Health;

    /// Renders the metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}
