//! The numbered configuration and patches to it.

use crate::{
    backend_server::Server,
    client_account::{Account, Digest},
    name::Name,
    route::Route,
    service::Service,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number of a configuration; each accepted patch adds one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// Everything that operators decide, as one numbered document.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Number of this document.
    pub version: Version,
    /// Identifier of the patch that made it.
    pub patch: String,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Client accounts by name.
    pub accounts: BTreeMap<Name, Account>,
    /// Routes by name.
    pub routes: BTreeMap<Name, Route>,
}

/// A set of changes that an operator submits against a version, all or nothing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Version that the operator saw.
    pub base: Version,
    /// Identifier that resolves a lost answer; a random one is made if it is empty.
    #[serde(default)]
    pub id: String,
    /// Changes in the order in which they apply.
    pub changes: Vec<Change>,
}

/// One change of a patch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Creates or replaces a service.
    PutService(Service),
    /// Removes a service.
    RemoveService(Name),
    /// Creates or replaces a backend server of a service.
    PutServer {
        /// Service to change.
        service: Name,
        /// Server to put.
        server: Server,
    },
    /// Removes a backend server of a service.
    RemoveServer {
        /// Service to change.
        service: Name,
        /// Server to remove.
        server: Name,
    },
    /// Creates or replaces a client account.
    PutAccount(Account),
    /// Removes a client account.
    RemoveAccount(Name),
    /// Adds a key to a client account.
    AddKey {
        /// Account to change.
        account: Name,
        /// Digest of the key.
        digest: Digest,
    },
    /// Withdraws a key of a client account.
    WithdrawKey {
        /// Account to change.
        account: Name,
        /// Digest of the key.
        digest: Digest,
    },
    /// Creates or replaces a route.
    PutRoute(Route),
    /// Removes a route.
    RemoveRoute(Name),
}
