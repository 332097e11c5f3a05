//! The fleet record: the hosts that share connection and rate limits.

use crate::{
    host::{Host, Incarnation},
    name::Name,
};
use serde::{Deserialize, Serialize};

/// The version number of a fleet record; each change increments it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

/// The state of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Listed, but without a share of the limits until every active member has reduced its own.
    Joining,
    /// Uses its share of the limits.
    Active,
    /// Returns its share and accepts no new requests.
    Leaving,
}

/// A host in the fleet record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Identity and addresses.
    pub host: Host,
    /// Incarnation of the host to which this entry belongs.
    pub incarnation: Incarnation,
    /// State of the member.
    pub state: State,
}

/// One incarnation of a host as a member of the fleet. A restarted host is another instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name of the host.
    pub host: Name,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
}

impl Member {
    /// Returns the instance to which this entry belongs.
    #[must_use]
    pub fn instance(&self) -> Instance {
        Instance {
            host: self.host.name.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// The fleet record, which is kept in the platform's table service.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Version of this record.
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
