//! The components of a process, which operators inspect and change.

use crate::{
    operator::{
        handler::Handler,
        message::{Accepted, Health, Rejection},
    },
    recorder::Recorder,
    serve::{
        control::{Agent, ControlPlane},
        state::{Process, State},
    },
    settings::host::Host,
};
use fulmargw_backend::postgres::Connector;
use fulmargw_control::configuration;
use fulmargw_decision::patch;
use fulmargw_engine::engine;
use fulmargw_model::configuration::{Configuration, Patch};
use std::sync::Arc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

/// The engine of a process.
pub type Engine = engine::Engine<Connector, ControlPlane>;

/// The components of a process. Clones share the same components.
#[derive(Debug, Clone)]
pub struct Components {
    /// Identity of the host and its stop timeouts.
    pub host: Arc<Host>,
    /// Control plane: lease, membership, rates and configuration.
    pub agent: Agent,
    /// Engine, which executes requests.
    pub engine: Engine,
    /// Cancelled when the graceful stop begins.
    pub draining: CancellationToken,
    /// Recorder, which renders the metrics.
    pub metrics: Recorder,
    start: Instant,
}

impl Components {
    /// Combines the components of a process that starts now.
    #[must_use]
    pub fn new(host: Host, agent: Agent, engine: Engine, metrics: Recorder) -> Self {
        Self {
            host: Arc::new(host),
            agent,
            engine,
            draining: CancellationToken::new(),
            metrics,
            start: Instant::now(),
        }
    }

    fn uptime_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl Handler for Components {
    type State = State;

    fn state(&self) -> State {
        let Host { name, zone, .. } = self.host.as_ref();
        let uptime_ms = self.uptime_ms();
        State {
            process: Process::new(name.clone(), zone.clone(), uptime_ms, self.health()),
            control: self.agent.dump(),
            engine: self.engine.dump(),
        }
    }

    fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(&self.agent.configuration().borrow())
    }

    /// Runs the patch in a separate task. If the operator disconnects after the patch is stored,
    /// it must still be distributed to the peers.
    async fn patch(&self, mut patch: Patch) -> Result<Accepted, Rejection> {
        if patch.id.is_empty() {
            patch.id = Uuid::new_v4().to_string();
        }
        let (agent, id) = (self.agent.clone(), patch.id.clone());
        let task = tokio::spawn(async move { agent.patch(patch).await });
        match task.await {
            Ok(Ok(accepted)) => Ok(to_accepted(accepted)),
            Ok(Err(error)) => Err(to_rejection(error)),
            Err(error) => Err(Rejection::Unknown {
                patch: id,
                cause: error.to_string(),
            }),
        }
    }

    fn health(&self) -> Health {
        if self.draining.is_cancelled() {
            Health::Draining
        } else if self.agent.has_valid_lease(Instant::now()) {
            Health::Serving
        } else {
            Health::Unleased
        }
    }

    fn metrics(&self) -> String {
        self.metrics.render()
    }
}

fn to_accepted(accepted: configuration::Accepted) -> Accepted {
    Accepted {
        version: accepted.version,
        patch: accepted.patch,
        confirmed: accepted.in_force,
        pending: accepted.unconfirmed,
    }
}

fn to_rejection(error: configuration::Error) -> Rejection {
    match error {
        configuration::Error::Refused(error) => invalid_patch(error),
        configuration::Error::Unreadable(cause) => Rejection::Unavailable {
            cause: cause.to_string(),
        },
        configuration::Error::TooFewNotified { reached, needed } => Rejection::Unavailable {
            cause: format!("only {reached} of {needed} hosts could be notified of the new version"),
        },
        configuration::Error::UnknownOutcome { patch, cause } => Rejection::Unknown {
            patch,
            cause: cause.to_string(),
        },
    }
}

fn invalid_patch(error: patch::Error) -> Rejection {
    match error {
        patch::Error::Stale { current, .. } => Rejection::Stale { current },
        patch::Error::Invalid {
            number,
            path,
            fault,
        } => Rejection::Invalid {
            change: Some(number),
            path,
            cause: fault.to_string(),
        },
        patch::Error::Id => invalid_field("id", &error),
        patch::Error::Empty => invalid_field("changes", &error),
    }
}

/// Returns a rejection because of a top-level field of the patch.
fn invalid_field(path: &str, error: &patch::Error) -> Rejection {
    Rejection::Invalid {
        change: None,
        path: path.to_owned(),
        cause: error.to_string(),
    }
}
