//! Record of the servers that together have every acknowledged commit of a database group.
//!
//! The record is a row of the store, so it outlasts the memory of the hosts: a host that has just
//! started, or that cannot ask its peers, knows from it whose logs a promotion has to consider.

use fulmargw_model::name::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// One run of a backend server's process. A restarted server may have lost its log, so it is another
/// member.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Identifier of the server.
    pub server: Name,
    /// Start of its process in Unix milliseconds.
    pub born_unix_ms: u64,
}

/// The servers that may have received acknowledged commits.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The primary. Every acknowledged commit is on another member too.
    pub primary: Option<Name>,
    /// The members, including the primary.
    pub members: BTreeSet<Member>,
}

impl Record {
    /// Returns the record of a group whose `registered` servers have the assumed `primary`.
    ///
    /// Members that are no longer registered stay in it. They may be the only ones with an
    /// acknowledged commit until [`Self::without_absent`] removes them.
    #[must_use]
    pub fn updated(&self, primary: Option<&Name>, registered: &BTreeSet<Member>) -> Self {
        Self {
            primary: primary.or(self.primary.as_ref()).cloned(),
            members: self.members.union(registered).cloned().collect(),
        }
    }

    /// Returns the record without the members that are not registered. A registered replica must
    /// have received everything that the primary had after they left.
    #[must_use]
    pub fn without_absent(&self, registered: &BTreeSet<Member>) -> Self {
        Self {
            primary: self.primary.clone(),
            members: self.members.intersection(registered).cloned().collect(),
        }
    }

    /// Reports whether a member is not registered.
    #[must_use]
    pub fn has_absent(&self, registered: &BTreeSet<Member>) -> bool {
        !self.members.is_subset(registered)
    }

    /// Returns a member that may be the only one with an acknowledged commit if only the replicas
    /// `asked` have reported their logs; `None` if these logs have every acknowledged commit.
    #[must_use]
    pub fn gap(&self, asked: &BTreeSet<Member>) -> Option<&Name> {
        let mut missing = self.members.iter().filter(|it| !asked.contains(it));
        let other = missing.find(|member| Some(&member.server) != self.primary.as_ref())?;
        Some(&other.server)
    }
}
