//! Evacuation of availability zones: which orders are in force, and what they allow.
//!
//! The operator orders the evacuation of a zone by a row of the store and revokes the order by
//! removing the row. While the order is in force, backend servers of the zone get nothing.

use fulmargw_model::name::Name;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Time for which an order that a restored store does not list stays in force. The operator writes
/// again what the store has lost; 15 s is by how much an unstable store may extend the bound within
/// which an order is in force.
pub const RESTORATION_GRACE: Duration = Duration::from_secs(15);

/// Revision of the store at which orders were read. A restored store counts on from an older number
/// in a greater era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Revision {
    /// Era of the store.
    pub era: u64,
    /// Number of the transaction in this era.
    pub number: u64,
}

/// All orders that the store had at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Revision of the whole store.
    pub revision: Revision,
    /// Zones with an order.
    pub zones: BTreeSet<Name>,
}

/// The order of a zone as one row of the store gives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Zone that the order concerns.
    pub zone: Name,
    /// Whether the zone is to be evacuated; the order was revoked otherwise.
    pub is_evacuated: bool,
}

/// Zones whose backend servers get nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Exclusion {
    /// All zones, because the orders are not known yet.
    All,
    /// These zones.
    Zones(BTreeSet<Name>),
}

impl Exclusion {
    /// Reports whether the backend servers of a zone get nothing.
    #[must_use]
    pub fn contains(&self, zone: &Name) -> bool {
        match self {
            Self::All => true,
            Self::Zones(zones) => zones.contains(zone),
        }
    }
}

impl Default for Exclusion {
    fn default() -> Self {
        Self::Zones(BTreeSet::new())
    }
}

/// An order in force.
#[derive(Debug, Clone, Copy)]
struct InForce {
    /// Time at which this host learned of it.
    since: Instant,
    /// Time at which it ends unless the store lists it again, after a restoration.
    until: Option<Instant>,
}

/// Orders that this host knows.
#[derive(Debug, Default)]
pub struct Orders {
    snapshot: Option<Snapshot>,
    in_force: BTreeMap<Name, InForce>,
}

impl Orders {
    /// Returns the newest known orders, to be sent to peers; `None` if none have been read.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Reports whether a zone is to be evacuated.
    #[must_use]
    pub fn is_evacuated(&self, zone: &Name) -> bool {
        self.in_force.contains_key(zone)
    }

    /// Returns for how long this host has known the order of a zone.
    #[must_use]
    pub fn age(&self, zone: &Name, now: Instant) -> Option<Duration> {
        let order = self.in_force.get(zone)?;
        Some(now.saturating_duration_since(order.since))
    }

    /// Returns the evacuated zones, and for how long this host has known the orders.
    pub fn in_force(&self, now: Instant) -> impl Iterator<Item = (&Name, Duration)> {
        let ages = self.in_force.iter();
        ages.map(move |(zone, order)| (zone, now.saturating_duration_since(order.since)))
    }

    /// Returns the zones whose servers get nothing. While the orders are unknown these are all.
    #[must_use]
    pub fn exclusion(&self) -> Exclusion {
        match self.snapshot {
            None => Exclusion::All,
            Some(_) => Exclusion::Zones(self.in_force.keys().cloned().collect()),
        }
    }

    /// Applies all orders of a revision, from the store or from a peer. Older ones than the known
    /// ones are ignored, so a late report does not revive a revoked order. Returns what changes.
    pub fn merge(&mut self, snapshot: Snapshot, now: Instant) -> Vec<Order> {
        let known = self.snapshot.as_ref().map(|known| known.revision);
        if known.is_some_and(|known| snapshot.revision <= known) {
            return Vec::new();
        }
        let is_restored = known.is_some_and(|known| known.era != snapshot.revision.era);
        let mut changes = Vec::new();
        for zone in &snapshot.zones {
            let is_new = !self.in_force.contains_key(zone);
            let order = self.in_force.entry(zone.clone()).or_insert(InForce {
                since: now,
                until: None,
            });
            order.until = None;
            if is_new {
                changes.push(order_of(zone, true));
            }
        }
        let unlisted = self.in_force.iter_mut();
        let unlisted = unlisted.filter(|(zone, _)| !snapshot.zones.contains(*zone));
        for (_, order) in unlisted {
            if is_restored {
                order.until.get_or_insert(now + RESTORATION_GRACE);
            } else if order.until.is_none() {
                order.until = Some(now);
            }
        }
        self.snapshot = Some(snapshot);
        changes.extend(self.expire(now));
        changes
    }

    /// Applies the changes of a watch that ended at `revision`. Returns what changes.
    ///
    /// The known orders are at least as new as the revision from which the watch began, and the
    /// changes of a row are in the order of their revisions.
    pub fn update(&mut self, revision: Revision, changes: &[Order], now: Instant) -> Vec<Order> {
        let Some(known) = &self.snapshot else {
            return Vec::new();
        };
        if revision <= known.revision {
            return Vec::new();
        }
        let mut zones = known.zones.clone();
        for change in changes {
            if change.is_evacuated {
                zones.insert(change.zone.clone());
            } else {
                zones.remove(&change.zone);
                // A removal in the present era also ends an order that a restoration has lost.
                if let Some(order) = self.in_force.get_mut(&change.zone) {
                    order.until = Some(now);
                }
            }
        }
        self.merge(Snapshot { revision, zones }, now)
    }

    /// Ends the orders that a restored store has not listed again in time. Returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<Order> {
        let expired = self
            .in_force
            .extract_if(.., |_, order| order.until.is_some_and(|until| until <= now));
        expired.map(|(zone, _)| order_of(&zone, false)).collect()
    }
}

fn order_of(zone: &Name, is_evacuated: bool) -> Order {
    Order {
        zone: zone.clone(),
        is_evacuated,
    }
}

/// A backend server of a group, as far as orders concern it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// Whether it is the assumed primary.
    pub is_primary: bool,
    /// Whether its zone is evacuated.
    pub is_evacuated: bool,
    /// Whether it is suitable apart from that: for a statement, in one of its home regions; as the
    /// successor of a primary, not draining.
    pub is_suitable: bool,
}

/// Why a statement is refused without waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Refusal {
    /// the zone of the primary is evacuated
    PrimaryEvacuated,
    /// the zones of all servers are evacuated
    AllEvacuated,
    /// no server in a home region can run the statement
    OutsideHome,
}

impl Refusal {
    /// Returns the label used in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::PrimaryEvacuated => "primary_evacuated",
            Self::AllEvacuated => "all_evacuated",
            Self::OutsideHome => "outside_home",
        }
    }
}

/// Returns why no server of a group can run a statement now because of orders or home regions.
/// `None` if one can, or if the group has no server or no primary for another reason.
#[must_use]
pub fn refusal(servers: &[Standing], needs_primary: bool) -> Option<Refusal> {
    let mut eligible = servers
        .iter()
        .filter(|server| server.is_primary || !needs_primary)
        .peekable();
    eligible.peek()?;
    if eligible
        .clone()
        .any(|it| it.is_suitable && !it.is_evacuated)
    {
        return None;
    }
    Some(if !eligible.any(|server| server.is_suitable) {
        Refusal::OutsideHome
    } else if needs_primary {
        Refusal::PrimaryEvacuated
    } else {
        Refusal::AllEvacuated
    })
}

/// Reports whether the primary of a group is to be replaced because its zone is evacuated: another
/// server exists that may be promoted. Without one the group waits, and nothing is claimed.
#[must_use]
pub fn needs_successor(servers: &[Standing]) -> bool {
    let is_left = servers
        .iter()
        .any(|server| server.is_primary && server.is_evacuated);
    let may_succeed =
        |server: &Standing| !server.is_primary && !server.is_evacuated && server.is_suitable;
    is_left && servers.iter().any(may_succeed)
}

/// Reports whether the positions that all hosts report include every acknowledged commit, although
/// servers of evacuated zones are not asked for their logs.
///
/// A host that does not know the order yet may still get commits acknowledged by those servers. It
/// knows the order `bound` after it was given, which was before this host learned of it. `ages` are
/// the times for which this host has known the orders of the servers that are not asked.
#[must_use]
pub fn is_settled(ages: impl IntoIterator<Item = Duration>, bound: Duration) -> bool {
    ages.into_iter().all(|age| age >= bound)
}
