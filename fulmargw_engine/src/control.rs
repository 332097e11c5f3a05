//! Interface from the engine to the control plane of the host.

use fulmargw_model::{configuration::Configuration, name::Name, outcome::Refusal, position::Term};
use std::{future::Future, sync::Arc};
use tokio::{sync::watch, time::Instant};

/// Provides the state that hosts agree on: lease, shares, configuration and promotion order.
pub trait ControlPlane: Clone + Send + Sync + 'static {
    /// Returns a receiver that holds the configuration in force and is notified of every newer
    /// one.
    fn configuration(&self) -> watch::Receiver<Arc<Configuration>>;

    /// Reports whether the lease of this host is valid at `now`. Without it the host may neither
    /// serve routes that require an API key nor use its shares.
    fn has_lease(&self, now: Instant) -> bool;

    /// Returns the number of hosts among which each connection limit is divided; `None` if this
    /// host has no share now.
    fn share_divisor(&self) -> Option<u32>;

    /// Returns the rank of this host among the live hosts for a promotion; rank 0 tries first.
    fn promotion_rank(&self, service: &Name, term: Term) -> usize;

    /// Takes one request from the rate limit of the account, after a bounded wait if necessary.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the account has no tokens left within the wait or before `deadline`.
    fn admit(
        &self,
        account: &Name,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), Refusal>> + Send;

    /// Announces to the peers, as a hint, which server became the primary.
    fn announce_primary(&self, service: &Name, term: Term, server: &Name);
}
