//! Responses of the operator interface, encoded as JSON.

use fulmargw_model::{configuration::Version, name::Name};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Response to a patch that is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Version of the configuration that the patch created.
    pub version: Version,
    /// Identifier of the patch.
    pub patch: String,
    /// Hosts that confirmed the version before the response.
    pub confirmed: Vec<Name>,
    /// Members of the fleet that have not confirmed the version yet.
    pub pending: Vec<Name>,
}

/// Response to a patch that was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "error")]
pub enum Rejection {
    /// The base version of the patch is no longer in force. Nothing was changed.
    Stale {
        /// Version in force, on which a new patch can be based.
        current: Version,
    },
    /// The patch, or the configuration that would result, is invalid.
    Invalid {
        /// Number of the invalid change, counted from 1; `None` if no single change is invalid.
        change: Option<usize>,
        /// Path of the invalid field, or name of the invalid object.
        path: String,
        /// Description of the error.
        cause: String,
    },
    /// The patch was certainly not applied, because the platform or other hosts were unavailable.
    Unavailable {
        /// Reason why the patch was not applied.
        cause: String,
    },
    /// The patch may have been applied. Submitting it again with the same identifier is safe and
    /// returns the outcome.
    Unknown {
        /// Identifier of the patch.
        patch: String,
        /// Reason why the outcome is unknown.
        cause: String,
    },
}

impl fmt::Display for Rejection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stale { current } => {
                write!(
                    formatter,
                    "stale patch: the current version is {}",
                    current.0
                )
            }
            Self::Invalid {
                change,
                path,
                cause,
            } => {
                formatter.write_str("invalid patch: ")?;
                if let Some(number) = change {
                    write!(formatter, "change {number}: ")?;
                }
                if !path.is_empty() {
                    write!(formatter, "{path}: ")?;
                }
                formatter.write_str(cause)
            }
            Self::Unavailable { cause } => write!(formatter, "patch not applied: {cause}"),
            Self::Unknown { patch, cause } => write!(
                formatter,
                "outcome of the patch is unknown; submit it again with the id {patch:?}: {cause}"
            ),
        }
    }
}

impl std::error::Error for Rejection {}

/// Health of a host. The balancer should send callers only to a host that is serving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "status")]
pub enum Health {
    /// The host serves callers.
    Serving,
    /// The host has no valid lease, without which it must not serve callers.
    Unleased,
    /// The host is stopping and finishes running work.
    Draining,
}

/// Response to a request without the credential, or whose body has an unsupported encoding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Denial {
    /// Reason why the request was denied.
    pub error: String,
}
