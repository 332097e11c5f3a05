//! Messages of the operator interface, encoded as JSON.

use fulmargw_model::{configuration::Version, name::Name};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A patch that is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Version that the patch made.
    pub version: Version,
    /// Identifier of the patch.
    pub patch: String,
    /// Hosts that confirmed the version before the answer.
    pub confirmed: Vec<Name>,
    /// Members of the fleet that did not confirm it yet.
    pub pending: Vec<Name>,
}

/// A patch that was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "error")]
pub enum Rejection {
    /// The base version is no longer in force; nothing was merged.
    Stale {
        /// Version in force, against which a new patch can be made.
        current: Version,
    },
    /// The patch, or the configuration that it would make, is not valid.
    Invalid {
        /// Number of the change, counted from 1; none if the patch as a whole is invalid.
        change: Option<usize>,
        /// Path of the field in the patch, or name of the object.
        path: String,
        /// What is wrong.
        cause: String,
    },
    /// The patch was certainly not applied.
    Unavailable {
        /// What prevented the patch.
        cause: String,
    },
    /// The patch may be applied; submitting it again with the same identifier tells.
    Unknown {
        /// Identifier of the patch.
        patch: String,
        /// What hid the outcome.
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
                "outcome of patch unknown, submit it again with the id {patch:?}: {cause}"
            ),
        }
    }
}

impl std::error::Error for Rejection {}

/// Whether the balancer should send callers to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "status")]
pub enum Health {
    /// The host serves.
    Serving,
    /// The host has no valid lease.
    Unleased,
    /// The host stops and finishes running work.
    Draining,
}

/// A request that the interface did not understand or allow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Denial {
    /// Why it was denied.
    pub error: String,
}
