//! Backend servers as the registry and their own answers describe them.

use fulmargw_model::{
    name::Name,
    position::{Position, Term},
};
use serde::Serialize;
use std::{collections::BTreeMap, net::SocketAddr};

/// A registered backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Server {
    /// Identifier, unique over all services.
    pub id: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Address of its connections.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Statements that it runs at the same time.
    pub slots: u32,
    /// Whether it will leave.
    pub is_draining: bool,
    /// Role as it sees itself.
    pub role: Role,
    /// Start of its process in Unix milliseconds, which tells two lives of one identifier apart.
    pub born_unix_ms: u64,
}

/// Part of a backend server in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Copies the primary's log.
    Replica,
}

/// Registered backend servers by identifier.
pub type Registry = BTreeMap<Name, Server>;

/// State that a backend server reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Role as it sees itself.
    pub role: Role,
    /// Newest term that it knows.
    pub term: Term,
    /// Last position of its log.
    pub received: Position,
}
