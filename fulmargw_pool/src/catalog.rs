//! The configuration that sessions are served by: routes, services, accounts and limits.

use fulmargw_model::{
    client_account::{Account, Digest},
    execution::Consistency,
    name::Name,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// One numbered configuration. Keys are kept as digests only.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalog {
    /// Number of the configuration; newer ones are greater.
    pub version: u64,
    /// Routes by the database name that callers ask for.
    pub routes: BTreeMap<Name, Route>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Client accounts by name.
    pub accounts: BTreeMap<Name, Account>,
    /// Longest time for which an open transaction may be idle.
    pub transaction_idle: Duration,
}

/// What a database name stands for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Service that runs its statements.
    pub service: Name,
    /// What its reads may see.
    pub consistency: Consistency,
    /// Longest time for one statement.
    pub timeout: Duration,
    /// Latency objective of a whole operation.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether callers need no key.
    pub is_open: bool,
}

/// A database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Most connections to one backend server, over all hosts together.
    pub connection_limit: u32,
    /// Replicas that hold a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// Accounts by the digests of their keys.
#[derive(Debug, Clone, Default)]
pub struct Keyring(HashMap<Digest, Name>);

impl Keyring {
    /// Makes the index of a catalog.
    #[must_use]
    pub fn of(catalog: &Catalog) -> Self {
        let keys = catalog.accounts.values().flat_map(|account| {
            let named = account
                .keys
                .iter()
                .map(|digest| (*digest, account.name.clone()));
            named.collect::<Vec<_>>()
        });
        Self(keys.collect())
    }

    /// Returns the account that holds a key.
    #[must_use]
    pub fn account(&self, key: &Digest) -> Option<&Name> {
        self.0.get(key)
    }
}
