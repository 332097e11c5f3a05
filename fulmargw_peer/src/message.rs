//! RPC messages between hosts.

use fulmargw_decision::rate::{Grant, Settlement};
use fulmargw_model::{
    configuration::Version,
    fleet::{Generation, Instance},
    name::Name,
    position::Term,
};
use serde::{Deserialize, Serialize};

/// Request to a witness to confirm the lease of the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRequest {
    /// Instance that sends the request.
    #[serde(rename = "asker")]
    pub requester: Instance,
    /// Generation of the requester's fleet record.
    pub generation: Generation,
    /// Configuration version that the requester has in force.
    pub version: Version,
}

/// Response of a witness to a [`LeaseRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseResponse {
    /// Instance that sends the response.
    pub witness: Instance,
    /// Whether the lease is confirmed.
    pub granted: bool,
    /// Generation of the witness's fleet record.
    pub generation: Generation,
    /// Configuration version that the witness has in force.
    pub version: Version,
    /// Greatest configuration version that the witness knows to exist.
    #[serde(rename = "heard")]
    pub known_version: Version,
    /// Instances to whose removal the witness has consented.
    #[serde(rename = "refused")]
    pub revoked: Vec<Instance>,
}

/// Request to a witness to consent to the removal of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RemovalRequest {
    /// Generation of the fleet record from which the member is to be removed.
    pub generation: Generation,
    /// Instance to remove.
    #[serde(rename = "life")]
    pub instance: Instance,
}

/// Advance notice of a configuration version that is about to be stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionNotice {
    /// Version that is about to be stored.
    pub version: Version,
    /// Identifier of the patch that creates the version.
    pub patch: String,
}

/// Request to lend rate tokens of a client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoanRequest {
    /// Instance that borrows.
    pub borrower: Instance,
    /// Account whose tokens are requested.
    pub account: Name,
    /// Number of tokens; 0 for a request that only settles earlier grants.
    pub tokens: f64,
    /// Earlier grants of the lender that have ended, with their unspent tokens.
    pub settled: Vec<Settlement>,
}

/// Response of a lender to a [`LoanRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoanResponse {
    /// Lent tokens, if any.
    pub grant: Option<Grant>,
    /// Tokens that the lender could still lend.
    pub remaining: f64,
    /// Offered load of the account at the lender, in requests per second.
    pub offered: f64,
}

/// Announcement that a backend server became the primary; only a hint, which the receiver
/// verifies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service whose primary changed.
    pub service: Name,
    /// Term of the new primary.
    pub term: Term,
    /// Name of the new primary.
    pub server: Name,
}
