//! The configuration of the proxy: routes, services, client accounts and limits.

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

/// One version of the configuration. API keys are stored as digests only.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalog {
    /// Version number; newer configurations have greater ones.
    pub version: u64,
    /// Routes by the database name that callers ask for.
    pub routes: BTreeMap<Name, Route>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Client accounts by name.
    pub accounts: BTreeMap<Name, Account>,
    /// Idle timeout of open transactions.
    pub transaction_idle: Duration,
}

/// Service and settings for one database name that callers connect to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Service that runs its statements.
    pub service: Name,
    /// Consistency of its reads.
    pub consistency: Consistency,
    /// Timeout of one statement.
    pub timeout: Duration,
    /// Latency objective of one operation.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether callers may connect without an API key.
    pub is_open: bool,
}

/// A service, which one database group provides.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Maximum number of connections of all hosts together to one backend server.
    pub connection_limit: u32,
    /// Number of replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// Names of client accounts by the digests of their API keys.
#[derive(Debug, Clone, Default)]
pub struct Keyring(HashMap<Digest, Name>);

impl Keyring {
    /// Builds the index of a catalog.
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

    /// Returns the name of the account that owns a key.
    #[must_use]
    pub fn account(&self, key: &Digest) -> Option<&Name> {
        self.0.get(key)
    }
}
