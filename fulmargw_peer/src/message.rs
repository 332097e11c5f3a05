//! Messages between hosts.

use fulmargw_decision::rate::{Grant, Settlement};
use fulmargw_model::{
    configuration::Version,
    fleet::{Generation, Instance},
    name::Name,
    position::Term,
};
use serde::{Deserialize, Serialize};

/// Asks a witness to confirm the lease of the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRequest {
    /// Instance that asks.
    pub asker: Instance,
    /// Generation of the asker's fleet record.
    pub generation: Generation,
    /// Configuration version that the asker has in force.
    pub version: Version,
}

/// Answer of a witness to a [`LeaseRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseResponse {
    /// Instance that answers.
    pub witness: Instance,
    /// Whether the lease is confirmed.
    pub granted: bool,
    /// Generation of the witness's fleet record.
    pub generation: Generation,
    /// Configuration version that the witness has in force.
    pub version: Version,
    /// Greatest configuration version that the witness has heard of.
    pub heard: Version,
    /// Lives to whose removal the witness has consented.
    pub refused: Vec<Instance>,
}

/// Asks for the consent to the removal of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RemovalRequest {
    /// Generation of the record from which the member is to be removed.
    pub generation: Generation,
    /// Instance to remove.
    pub life: Instance,
}

/// Tells of a configuration version that is about to be stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionNotice {
    /// Coming version.
    pub version: Version,
    /// Identifier of the patch that makes it.
    pub patch: String,
}

/// Asks for tokens of a client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoanRequest {
    /// Instance that borrows.
    pub borrower: Instance,
    /// Account whose tokens are asked for.
    pub account: Name,
    /// Number of tokens; 0 only settles.
    pub tokens: f64,
    /// Earlier grants of the lender that have ended.
    pub settled: Vec<Settlement>,
}

/// Answer of a lender to a [`LoanRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoanResponse {
    /// Lent tokens, if any.
    pub grant: Option<Grant>,
    /// Tokens that the lender still has.
    pub remaining: f64,
    /// Requests of the account that arrive at the lender, per second.
    pub offered: f64,
}

/// Tells which server became primary, as a hint.
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
