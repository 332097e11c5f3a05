//! Table of all backend servers, grouped by service.

use crate::table::{
    backend::{Backend, Command},
    group::Group,
};
use fulmargw_model::{configuration::Configuration, name::Name};
use std::{collections::BTreeMap, fmt};
use tokio::sync::mpsc;

/// Identifies a backend server of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId {
    /// Service to which the server belongs.
    pub service: Name,
    /// Name of the server.
    pub server: Name,
}

impl fmt::Display for ServerId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.service, self.server)
    }
}

/// All backend servers, grouped by service.
#[derive(Debug)]
pub struct Servers<K> {
    /// Groups by the name of the service.
    pub groups: BTreeMap<Name, Group<K>>,
}

/// New services and servers of a configuration, for which tasks must be started.
#[derive(Debug, Default)]
pub struct Additions {
    /// New services.
    pub services: Vec<Name>,
    /// New servers, with the receivers of their commands.
    pub servers: Vec<(ServerId, mpsc::UnboundedReceiver<Command>)>,
}

impl<K> Servers<K> {
    /// Creates a table without servers.
    pub fn new() -> Self {
        Self {
            groups: BTreeMap::new(),
        }
    }

    /// Applies the services and servers of a configuration.
    pub fn apply(&mut self, configuration: &Configuration) -> Additions {
        let mut additions = Additions::default();
        let services = &configuration.services;
        for (name, group) in &mut self.groups {
            if !services.contains_key(name) {
                group.stop();
            }
        }
        self.groups.retain(|name, _| services.contains_key(name));
        for (name, service) in services {
            let group = self.groups.entry(name.clone()).or_insert_with(|| {
                additions.services.push(name.clone());
                Group::new()
            });
            for (server, commands) in group.apply(service) {
                let service = name.clone();
                additions
                    .servers
                    .push((ServerId { service, server }, commands));
            }
        }
        additions
    }

    /// Returns a server.
    pub fn backend(&mut self, server_id: &ServerId) -> Option<&mut Backend<K>> {
        self.groups
            .get_mut(&server_id.service)?
            .backend(&server_id.server)
    }
}
