//! Backend servers and what they report about themselves.

use crate::{
    availability_zone::Zone,
    name::Name,
    position::{Position, Term},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// A configured backend server of a database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name of the server, unique in its service.
    pub name: Name,
    /// Availability zone in which the server runs.
    pub zone: Zone,
    /// Address of the server's PostgreSQL protocol listener.
    pub address: SocketAddr,
    /// Maximum number of statements that the server executes concurrently.
    pub slots: u32,
    /// Maximum number of open connections from all hosts together.
    pub connections: u32,
    /// Whether the server is draining: it gets no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// The replication role of a server in its database group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts writes of its term.
    Primary,
    /// Replicates the log of the primary.
    Replica,
}

/// The response of a server to a status query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// Role in which the server runs; it may not know of its replacement yet.
    pub role: Role,
    /// Term in which the server has that role.
    pub term: Term,
    /// Greatest term that the server has promised to a promotion, at least `term`. The server
    /// refuses primaries of smaller terms.
    pub promised: Term,
    /// Term of the last log entry, and the index up to which the log is durable.
    pub received: Position,
    /// Term of the last applied log entry, and the index up to which reads see the log.
    pub applied: Position,
    /// Time since the replica last received a message from the primary of `term`; zero on a
    /// primary.
    pub silence: Duration,
}
