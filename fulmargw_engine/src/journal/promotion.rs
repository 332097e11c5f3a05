//! Record of a promotion with the evidence for it.

use super::milliseconds;
use fulmargw_decision::promotion::{Backend, Cause, Promise, Reachability};
use fulmargw_model::{
    backend_server::Role,
    name::Name,
    position::{Position, Term},
};
use serde::Serialize;

/// A promotion that this host tried.
#[derive(Debug, Clone, Serialize)]
pub struct Promotion {
    /// Time of the end since the engine started, in milliseconds.
    pub offset_ms: u64,
    /// Service whose group it was.
    pub service: Name,
    /// Why the group needed it.
    pub cause: Cause,
    /// Term that it was for.
    pub term: Term,
    /// How it ended.
    pub end: Outcome,
    /// Server that was chosen among the promises.
    pub server: Option<Name>,
    /// Promises that are needed.
    pub majority: usize,
    /// What was known about each server of the group.
    pub evidence: Vec<Evidence>,
}

/// How a promotion ended.
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

/// What was known about a server when the promotion began.
#[derive(Debug, Clone, Serialize)]
pub struct Evidence {
    /// Name of the server.
    pub server: Name,
    /// Answers to the probes of this host.
    pub reach: Reachability,
    /// Whether the server is to leave.
    pub leaving: bool,
    /// Role of the last status.
    pub role: Option<Role>,
    /// Term of the last status.
    pub term: Option<Term>,
    /// Time since the server last heard the primary, in milliseconds.
    pub silence_ms: Option<u64>,
    /// Last log position that came with the promise; none without a promise.
    pub promise: Option<Position>,
}

impl Evidence {
    /// Describes the server with this name and place in the group.
    #[must_use]
    pub fn of(server: &Name, place: usize, member: &Backend, promises: &[Promise]) -> Self {
        let status = member.status;
        let promise = promises.iter().find(|promise| promise.backend == place);
        Self {
            server: server.clone(),
            reach: member.reach,
            leaving: member.draining,
            role: status.map(|status| status.role),
            term: status.map(|status| status.term),
            silence_ms: status.map(|status| milliseconds(status.silence)),
            promise: promise.map(|promise| promise.status.received),
        }
    }
}
