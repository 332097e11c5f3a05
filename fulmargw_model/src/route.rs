//! Routes that callers may use.

use crate::{
    name::Name,
    request::{Class, Repeat},
};
use serde::{Deserialize, Serialize};

/// A named way to a service, with the guarantees that its requests need.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name of the route; the database name in the PostgreSQL protocol.
    pub name: Name,
    /// Service that answers.
    pub service: Name,
    /// Consistency that the requests need.
    pub class: Class,
    /// Whether a request may be repeated.
    pub repeat: Repeat,
    /// Who may use the route.
    pub access: Access,
}

/// Who may use a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Only these client accounts, each with one of its keys.
    Accounts(Vec<Name>),
    /// Everybody without a key; requests count against this client account.
    Open(Name),
}
