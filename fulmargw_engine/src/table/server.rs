//! Status, load and idle connections of all backend servers.

use crate::table::{
    backend::{Backend, Order},
    group::Group,
};
use fulmargw_model::{configuration::Configuration, name::Name};
use std::{collections::BTreeMap, fmt};
use tokio::sync::mpsc;

/// A backend server of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Service to which the server belongs.
    pub service: Name,
    /// Name of the server.
    pub server: Name,
}

impl fmt::Display for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.service, self.server)
    }
}

/// Groups of backend servers by service.
#[derive(Debug)]
pub struct Servers<K> {
    /// Groups by the name of the service.
    pub groups: BTreeMap<Name, Group<K>>,
}

/// Tasks to start after a change of the configuration.
#[derive(Debug, Default)]
pub struct Added {
    /// Services that are new.
    pub services: Vec<Name>,
    /// Servers that are new, with the receiving end of their orders.
    pub servers: Vec<(Key, mpsc::UnboundedReceiver<Order>)>,
}

impl<K> Servers<K> {
    /// Makes a table without servers.
    pub fn new() -> Self {
        Self {
            groups: BTreeMap::new(),
        }
    }

    /// Takes over the services and servers of a configuration.
    pub fn apply(&mut self, configuration: &Configuration) -> Added {
        let mut added = Added::default();
        let services = &configuration.services;
        for (name, group) in &mut self.groups {
            if !services.contains_key(name) {
                group.stop();
            }
        }
        self.groups.retain(|name, _| services.contains_key(name));
        for (name, service) in services {
            let group = self.groups.entry(name.clone()).or_insert_with(|| {
                added.services.push(name.clone());
                Group::new()
            });
            for (server, orders) in group.apply(service) {
                let service = name.clone();
                added.servers.push((Key { service, server }, orders));
            }
        }
        added
    }

    /// Returns a server.
    pub fn backend(&mut self, key: &Key) -> Option<&mut Backend<K>> {
        self.groups.get_mut(&key.service)?.backend(&key.server)
    }
}
