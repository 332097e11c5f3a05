//! Outcomes of requests, independent of any protocol.

use crate::position::Position;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What became of a request. `A` is the protocol-specific answer.
#[derive(Debug)]
pub enum Outcome<A> {
    /// It ran, and this is the whole answer.
    Answered(Answer<A>),
    /// It certainly did not run.
    Refused(Refusal),
    /// It ran before, and its answer is no longer available.
    AlreadyRan(Position),
    /// It cannot be known in time whether it ran.
    Unknown(Step),
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer<A> {
    /// Position that the session must read at or after from now on.
    pub position: Position,
    /// Protocol-specific content.
    pub body: A,
}

/// A refusal of a request that did not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// Why it was refused.
    pub reason: Reason,
    /// Time after which a new try can succeed.
    pub retry_after: Duration,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// the key is not valid for this client account and route
    Key,
    /// the route is not configured
    Route,
    /// the client account is above its rate and burst
    Rate,
    /// the queue of the client account is full
    QueueFull,
    /// the deadline passed while the request waited
    Deadline,
    /// the service has no usable primary
    NoPrimary,
    /// no server satisfies the position of the session
    Position,
    /// this host has no valid lease
    Lease,
    /// the host or the backend server is leaving
    Leaving,
    /// the request is not supported
    Unsupported,
    /// the backend server refused the connection
    Connection,
}

/// The step of a request at which an error arose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// connect
    Connect,
    /// execute
    Execute,
    /// commit
    Commit,
    /// confirm on a replica
    Confirm,
    /// resolve the outcome
    Resolve,
}
