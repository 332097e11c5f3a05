//! Record of a promotion with the state of the group on which it was based.

use super::whole_milliseconds;
use fulmargw_decision::promotion::{Backend, Cause, Promise, Reachability};
use fulmargw_model::{
    backend_server::Role,
    name::Name,
    position::{Position, Term},
};
use serde::Serialize;

/// A promotion that this host attempted.
#[derive(Debug, Clone, Serialize)]
pub struct Promotion {
    /// Time of the outcome since the engine started, in milliseconds.
    pub offset_ms: u64,
    /// Service of the group.
    pub service: Name,
    /// Why the group needed a promotion.
    pub cause: Cause,
    /// Term of the new primary.
    pub term: Term,
    /// Outcome of the promotion.
    #[serde(rename = "end")]
    pub outcome: Outcome,
    /// Server that was chosen among those that promised the term.
    pub server: Option<Name>,
    /// Number of promises that were needed.
    pub majority: usize,
    /// State of each server of the group, as this host knew it.
    pub evidence: Vec<Evidence>,
}

/// Outcome of a promotion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The chosen server is the primary.
    Promoted,
    /// Too few servers promised the term.
    NoMajority,
    /// The chosen server did not confirm that it is the primary.
    NotConfirmed,
}

/// State of one server when the promotion began.
#[derive(Debug, Clone, Serialize)]
pub struct Evidence {
    /// Name of the server.
    pub server: Name,
    /// How the server responds to the probes of this host.
    #[serde(rename = "reach")]
    pub reachability: Reachability,
    /// Whether the configuration has the server drained.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// Role in the last status.
    pub role: Option<Role>,
    /// Term in the last status.
    pub term: Option<Term>,
    /// Time since the server last received from the primary, in milliseconds.
    pub silence_ms: Option<u64>,
    /// Last received log position at the time of the promise; `None` without a promise.
    pub promise: Option<Position>,
}

impl Evidence {
    /// Describes the server with this name and index in the group.
    #[must_use]
    pub fn of(server: &Name, index: usize, backend: &Backend, promises: &[Promise]) -> Self {
        let status = backend.status;
        let promise = promises.iter().find(|promise| promise.backend == index);
        Self {
            server: server.clone(),
            reachability: backend.reachability,
            draining: backend.draining,
            role: status.map(|status| status.role),
            term: status.map(|status| status.term),
            silence_ms: status.map(|status| whole_milliseconds(status.silence)),
            promise: promise.map(|promise| promise.status.received),
        }
    }
}
