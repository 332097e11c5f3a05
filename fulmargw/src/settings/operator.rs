//! `[operator]`: the HTTP interface for operators and the balancer.

use fulmargw_model::client_account::Digest;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The HTTP interface for operators and the balancer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Address where operators and the balancer connect.
    pub address: SocketAddr,
    /// SHA-256 digest of the operator credential.
    pub credential_digest: Digest,
}
