//! What a front end needs of the engine.

use fulmargw_model::{configuration::Configuration, outcome::Outcome, request::Request};
use std::{future::Future, sync::Arc};
use tokio::sync::watch;

/// Carries requests of callers to their outcomes.
pub trait Submit: Clone + Send + Sync + 'static {
    /// Content of a request.
    type Body: Send + Sync + 'static;
    /// Content of an answer.
    type Answer: Send + 'static;

    /// Registers a caller connection and returns its number on this host.
    fn open_caller(&self) -> u64;

    /// Forgets a caller; an open transaction of the caller is rolled back.
    fn close_caller(&self, caller: u64);

    /// Runs a request. A caller submits its next request after the outcome of the last one.
    fn submit(
        &self,
        request: Request<Self::Body>,
    ) -> impl Future<Output = Outcome<Self::Answer>> + Send;

    /// Returns the configuration in force and announces every newer one.
    fn configuration(&self) -> watch::Receiver<Arc<Configuration>>;
}
