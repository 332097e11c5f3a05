//! Backend servers and what they report about themselves.

use crate::{
    availability_zone::Zone,
    name::Name,
    position::{Position, Term},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// A configured member of a service's database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name of the server, unique in its service.
    pub name: Name,
    /// Availability zone in which the server runs.
    pub zone: Zone,
    /// Address of the PostgreSQL protocol.
    pub address: SocketAddr,
    /// Statements that the server runs at the same time.
    pub slots: u32,
    /// Limit of open connections over all hosts together.
    pub connections: u32,
    /// Whether the server leaves: it then gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// The part that a server plays in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts writes of its term.
    Primary,
    /// Copies the log of the primary.
    Replica,
}

/// The answer of a server to a status question.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// Role that the server believes it has.
    pub role: Role,
    /// Term in which the server has that role.
    pub term: Term,
    /// Greatest term promised to a promotion; not less than `term`.
    pub promised: Term,
    /// Term of the last log entry, and the index up to which the log is durable.
    pub received: Position,
    /// Term of the last applied log entry, and the index up to which reads see the log.
    pub applied: Position,
    /// Time since the primary of `term` was last heard; zero on a primary.
    pub silence: Duration,
}
