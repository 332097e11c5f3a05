//! Routes by which callers reach services.

use crate::{
    name::Name,
    request::{Class, Repeat},
};
use serde::{Deserialize, Serialize};

/// A named entry point to a service, with the guarantees for its requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name of the route; the database name in the PostgreSQL protocol.
    pub name: Name,
    /// Service that executes the requests.
    pub service: Name,
    /// Consistency class of the requests.
    pub class: Class,
    /// Whether a request may be executed more than once.
    pub repeat: Repeat,
    /// Who may use the route.
    pub access: Access,
}

/// Who may use a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Only these client accounts, each with one of its API keys.
    Accounts(Vec<Name>),
    /// Everyone, without an API key; requests count against this client account.
    Open(Name),
}
