//! State dump of a process, as the operator interface serves it.

use crate::{
    operator::message::Health,
    version::{BUILD, Build},
};
use fulmargw_control::dump;
use fulmargw_engine::state;
use fulmargw_model::name::Name;
use serde::Serialize;

/// State of a process at one moment. It must contain neither keys nor statements.
#[derive(Debug, Serialize)]
pub struct State {
    /// Identity, uptime and health of the process.
    pub process: Process,
    /// State of the control plane: lease, membership, rates and configuration.
    pub control: dump::State,
    /// State of the engine: backend servers, queues and recent decisions.
    pub engine: state::State,
}

/// Identity, uptime and health of a process.
#[derive(Debug, Serialize)]
pub struct Process {
    /// What the program was built from.
    #[serde(flatten)]
    pub build: Build,
    /// Name of the host.
    pub host: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Process identifier.
    pub id: u32,
    /// Time since the start, in milliseconds.
    pub uptime_ms: u64,
    /// Health as reported to the balancer.
    pub health: Health,
}

impl Process {
    /// Describes this process; the program version and process identifier are filled in.
    #[must_use]
    pub fn new(host: Name, zone: Name, uptime_ms: u64, health: Health) -> Self {
        Self {
            build: BUILD,
            host,
            zone,
            id: std::process::id(),
            uptime_ms,
            health,
        }
    }
}
