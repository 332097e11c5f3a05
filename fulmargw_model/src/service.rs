//! Services, each backed by one database group.

use crate::{backend_server::Server, name::Name};
use serde::{Deserialize, Serialize};

/// A service and the backend servers of its database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name of the service.
    pub name: Name,
    /// Backend servers of the database group.
    pub servers: Vec<Server>,
}

impl Service {
    /// Returns the number of backend servers that form a majority of the group.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.servers.len() / 2 + 1
    }

    /// Returns the backend server with this name.
    #[must_use]
    pub fn server(&self, name: &Name) -> Option<&Server> {
        self.servers.iter().find(|server| server.name == *name)
    }
}
