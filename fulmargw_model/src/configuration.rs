//! The versioned configuration and patches to it.

use crate::{
    backend_server::Server,
    client_account::{Account, Digest},
    name::Name,
    route::Route,
    service::Service,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The version number of a configuration; each accepted patch increments it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// The complete configuration that operators control, as one versioned document.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Version of this document.
    pub version: Version,
    /// Identifier of the patch that created this version.
    pub patch: String,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Client accounts by name.
    pub accounts: BTreeMap<Name, Account>,
    /// Routes by name.
    pub routes: BTreeMap<Name, Route>,
}

/// A set of changes that an operator submits against a version. It is applied completely or
/// not at all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Version that the changes are based on.
    pub base: Version,
    /// Identifier by which the outcome can be looked up after a lost response; generated if empty.
    #[serde(default)]
    pub id: String,
    /// Changes in the order in which they are applied.
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
        /// Server to create or replace.
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
    /// Adds an API key to a client account.
    AddKey {
        /// Account to change.
        account: Name,
        /// Digest of the key.
        digest: Digest,
    },
    /// Withdraws an API key from a client account.
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
