//! Backend servers as the registry and their own status responses describe them.

use crate::replica_set::Member;
use fulmargw_model::{
    execution::ServerId,
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
    /// Service whose database group it belongs to.
    pub service: Name,
    /// Address at which it accepts connections.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Maximum number of statements that it runs at the same time.
    pub slots: u32,
    /// Whether it is draining.
    pub is_draining: bool,
    /// Role that it registered.
    pub role: Role,
    /// Start of its process in Unix milliseconds; a restarted server has another value.
    pub born_unix_ms: u64,
    /// Number of the heartbeat with which it wrote its entry. It starts anew with its process.
    pub heartbeat: u64,
    /// Time for which the server is still cold after its start, in milliseconds, when it wrote its
    /// entry.
    pub cold_remaining_ms: u64,
}

impl Server {
    /// Returns its identifier together with its service.
    #[must_use]
    pub fn server_id(&self) -> ServerId {
        ServerId {
            service: self.service.clone(),
            server: self.id.clone(),
        }
    }

    /// Returns this run of the server as a member of its replica set.
    #[must_use]
    pub fn member(&self) -> Member {
        Member {
            server: self.id.clone(),
            born_unix_ms: self.born_unix_ms,
        }
    }

    /// Reports whether the server wrote this entry before `other`.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        let order = |server: &Self| (server.born_unix_ms, server.heartbeat);
        order(self) < order(other)
    }
}

/// Role of a backend server in its database group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replicates the primary's log.
    Replica,
}

/// Registered backend servers by identifier.
pub type Registry = BTreeMap<Name, Server>;

/// Status that a backend server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Its role.
    pub role: Role,
    /// Greatest term that it knows.
    pub term: Term,
    /// Last log position that it received.
    pub received: Position,
    /// Term of the pause that it holds; `None` if it is not paused.
    pub held: Option<Term>,
}
