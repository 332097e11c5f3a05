//! The record of the hosts that share limits and rates.

use crate::{
    host::{Host, Incarnation},
    name::Name,
};
use serde::{Deserialize, Serialize};

/// The number of a fleet record; each change adds one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

/// The state of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Listed, but without a share until every active member reduced its own.
    Joining,
    /// Has a share.
    Active,
    /// Gives its share back and takes no new work.
    Leaving,
}

/// A host in the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Identity and addresses.
    pub host: Host,
    /// Instance of the host to which this entry belongs.
    pub incarnation: Incarnation,
    /// State of the member.
    pub state: State,
}

/// One life of one host, as the fleet record and the lease rules name it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name of the host.
    pub host: Name,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
}

impl Member {
    /// Returns the life to which this entry belongs.
    #[must_use]
    pub fn instance(&self) -> Instance {
        Instance {
            host: self.host.name.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// The fleet record that the table service keeps.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of this record.
    pub generation: Generation,
    /// Members in the order in which they joined.
    pub members: Vec<Member>,
}

impl Fleet {
    /// Returns the entry of a host.
    #[must_use]
    pub fn member(&self, host: &Name) -> Option<&Member> {
        self.members.iter().find(|member| member.host.name == *host)
    }
}
