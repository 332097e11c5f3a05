//! Adapter that gives the engine access to the control plane of the host.

use fulmargw_control::agent;
use fulmargw_engine::control;
use fulmargw_model::{configuration::Configuration, name::Name, outcome::Refusal, position::Term};
use fulmargw_peer::client::Connections;
use fulmargw_platform::client::Client;
use std::sync::Arc;
use tokio::{sync::watch, time::Instant};

/// The control plane of a process, with its store and peer clients.
pub type Agent = agent::Agent<Client, Connections>;

/// The part of the control plane that the engine uses.
#[derive(Debug, Clone)]
pub struct ControlPlane(Agent);

impl ControlPlane {
    /// Wraps an agent.
    #[must_use]
    pub const fn new(agent: Agent) -> Self {
        Self(agent)
    }
}

impl control::ControlPlane for ControlPlane {
    fn configuration(&self) -> watch::Receiver<Arc<Configuration>> {
        self.0.configuration()
    }

    fn has_lease(&self, now: Instant) -> bool {
        self.0.has_valid_lease(now)
    }

    fn share_divisor(&self) -> Option<u32> {
        self.0.share_divisor()
    }

    fn promotion_rank(&self, service: &Name, term: Term) -> usize {
        self.0.promotion_rank(service, term)
    }

    async fn admit(&self, account: &Name, deadline: Instant) -> Result<(), Refusal> {
        self.0.admit(account, deadline).await
    }

    fn announce_primary(&self, service: &Name, term: Term, server: &Name) {
        self.0.announce_primary(service, term, server);
    }
}
