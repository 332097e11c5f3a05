//! The parts of a process that operators see and change.

use crate::{
    operator::{
        message::{Accepted, Health, Rejection},
        subject::Subject,
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

/// The parts of a process; clones share them.
#[derive(Debug, Clone)]
pub struct Parts {
    /// Identity and stop times.
    pub host: Arc<Host>,
    /// Lease, membership, rates and configuration.
    pub agent: Agent,
    /// Execution of requests.
    pub engine: Engine,
    /// Cancelled when the process begins to stop.
    pub draining: CancellationToken,
    /// Renders the metrics.
    pub metrics: Recorder,
    start: Instant,
}

impl Parts {
    /// Collects the parts of a process that starts now.
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

impl Subject for Parts {
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

    /// Runs the patch in a task of its own, because an operator who hangs up must not stop
    /// it between the store and the other hosts.
    async fn patch(&self, mut patch: Patch) -> Result<Accepted, Rejection> {
        if patch.id.is_empty() {
            patch.id = Uuid::new_v4().to_string();
        }
        let (agent, id) = (self.agent.clone(), patch.id.clone());
        let task = tokio::spawn(async move { agent.patch(patch).await });
        match task.await {
            Ok(Ok(accepted)) => Ok(accept(accepted)),
            Ok(Err(error)) => Err(reject(error)),
            Err(failure) => Err(Rejection::Unknown {
                patch: id,
                cause: failure.to_string(),
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

fn accept(accepted: configuration::Accepted) -> Accepted {
    Accepted {
        version: accepted.version,
        patch: accepted.patch,
        confirmed: accepted.in_force,
        pending: accepted.unconfirmed,
    }
}

fn reject(error: configuration::Error) -> Rejection {
    match error {
        configuration::Error::Refused(refusal) => refuse(refusal),
        configuration::Error::Unreadable(cause) => Rejection::Unavailable {
            cause: cause.to_string(),
        },
        configuration::Error::TooFewNotified { reached, needed } => Rejection::Unavailable {
            cause: format!("only {reached} of {needed} hosts could be told of the new version"),
        },
        configuration::Error::UnknownOutcome { patch, cause } => Rejection::Unknown {
            patch,
            cause: cause.to_string(),
        },
    }
}

fn refuse(refusal: patch::Error) -> Rejection {
    match refusal {
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
        patch::Error::Id => whole("id", &refusal),
        patch::Error::Empty => whole("changes", &refusal),
    }
}

/// A fault that belongs to no single change.
fn whole(path: &str, refusal: &patch::Error) -> Rejection {
    Rejection::Invalid {
        change: None,
        path: path.to_owned(),
        cause: refusal.to_string(),
    }
}
