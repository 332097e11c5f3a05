//! Availability zones.

use crate::name::Name;
use serde::{Deserialize, Serialize};
use std::fmt;

/// An availability zone, identified by its name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Zone(pub Name);

impl fmt::Display for Zone {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
