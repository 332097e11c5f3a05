//! `[frontend]`: the PostgreSQL interface for callers.

use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The PostgreSQL interface for callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Frontend {
    /// Address on which callers connect.
    pub address: SocketAddr,
}
