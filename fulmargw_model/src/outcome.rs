//! Outcomes of requests, independent of the front-end protocol.

use crate::position::Position;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The outcome of a request. `A` is the protocol-specific response.
#[derive(Debug)]
pub enum Outcome<A> {
    /// The request was executed; the response is complete.
    Answered(Answer<A>),
    /// The request was certainly not executed.
    Refused(Refusal),
    /// A request with this identifier was executed before, and its response is no longer
    /// available.
    AlreadyRan(Position),
    /// Whether the request was executed could not be determined in time.
    Unknown(Step),
}

/// A complete response.
#[derive(Debug)]
pub struct Answer<A> {
    /// Log position that later reads of the session must include.
    pub position: Position,
    /// Protocol-specific content.
    pub body: A,
}

/// The refusal of a request that was not executed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Time after which a retry can succeed.
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

/// The step of a request at which an error occurred.
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
