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
    /// Home regions of the client accounts that have some.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub account_regions: BTreeMap<Name, Vec<Name>>,
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
    /// Home regions: only their backend servers may run its statements. Empty for all regions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<Name>,
}

/// A service, which one database group provides.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Maximum number of connections of all hosts together to one backend server.
    pub connection_limit: u32,
    /// Number of replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// What its backend servers serve while they are cold; `None` without a limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<Cold>,
}

/// What a backend server of a service serves while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Requests per second.
    pub rate: f64,
    /// Duration of a cold start.
    pub duration: Duration,
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
