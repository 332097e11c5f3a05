//! What the engine needs of the control part of a host.

use fulmargw_model::{configuration::Configuration, name::Name, outcome::Refusal, position::Term};
use std::{future::Future, sync::Arc};
use tokio::{sync::watch, time::Instant};

/// The decisions that hosts make together.
pub trait ControlPlane: Clone + Send + Sync + 'static {
    /// Returns the configuration in force and announces every newer one.
    fn configuration(&self) -> watch::Receiver<Arc<Configuration>>;

    /// Reports whether this host may serve keyed routes and use its shares at `now`.
    fn has_lease(&self, now: Instant) -> bool;

    /// Returns the number of hosts that share each connection limit; `None` if this host has
    /// no share now.
    fn share_divisor(&self) -> Option<u32>;

    /// Returns the rank of this host among live members for a promotion; 0 goes first.
    fn promotion_rank(&self, service: &Name, term: Term) -> usize;

    /// Takes one request out of the account's share, waiting up to a bound for it.
    fn admit(
        &self,
        account: &Name,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), Refusal>> + Send;

    /// Tells other hosts which server became primary, as a hint.
    fn announce_primary(&self, service: &Name, term: Term, server: &Name);
}
