//! Interface from front ends to the engine.

use fulmargw_model::{configuration::Configuration, outcome::Outcome, request::Request};
use std::{future::Future, sync::Arc};
use tokio::sync::watch;

/// Accepts requests of callers and returns their outcomes. A caller is one client connection.
pub trait Submit: Clone + Send + Sync + 'static {
    /// Content of a request.
    type Body: Send + Sync + 'static;
    /// Content of a response.
    type Answer: Send + 'static;

    /// Registers a caller and returns its number, which is unique on this host.
    fn open_caller(&self) -> u64;

    /// Removes a caller; its open transaction, if any, is rolled back.
    fn close_caller(&self, caller: u64);

    /// Runs a request. A caller must await the outcome before it submits the next request.
    fn submit(
        &self,
        request: Request<Self::Body>,
    ) -> impl Future<Output = Outcome<Self::Answer>> + Send;

    /// Returns a receiver that holds the configuration in force and is notified of every newer
    /// one.
    fn configuration(&self) -> watch::Receiver<Arc<Configuration>>;
}
