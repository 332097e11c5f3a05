//! Choice of the backend server for a statement.

use crate::freshness::Sample;
use fulmargw_model::{execution::Consistency, name::Name, position::Position};
use std::time::Duration;

/// Age of a position after which a replica without known delay is expected to have it.
const EXPECTED_LAG: Duration = Duration::from_millis(150);

/// What a statement needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Need {
    /// Whether only the primary can run it.
    pub primary_only: bool,
    /// Position that a replica must include, if one is known that suffices.
    pub floor: Option<Floor>,
    /// Availability zone of this host.
    pub zone: Name,
    /// Account on whose behalf it runs.
    pub account: Name,
}

/// A position that makes a read on a replica permissible.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Floor {
    /// The position.
    pub position: Position,
    /// Time since the primary had it.
    pub age: Duration,
}

/// What this host knows of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Identifier of the server.
    pub id: Name,
    /// Whether it is believed to lead.
    pub is_primary: bool,
    /// Whether it is in the availability zone of this host.
    pub is_near: bool,
    /// Whether new work may go there.
    pub is_usable: bool,
    /// How work of the account gets a connection.
    pub room: Room,
    /// Statements of this host that run there.
    pub running: u32,
    /// Most statements of this host that run there at the same time.
    pub limit: u32,
    /// Position that it told last.
    pub applied: Option<Position>,
    /// Greatest position that it lacked, and how long ago it said so.
    pub lacked: Option<(Position, Duration)>,
}

/// How work of an account gets a connection to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// A connection of the account is idle.
    Idle,
    /// One can be opened, maybe in exchange for one of another account.
    Opening,
    /// All connections of this host are in use.
    Full,
}

impl View {
    fn is_free(&self) -> bool {
        self.is_usable && self.running < self.limit && self.room != Room::Full
    }

    /// Reports whether a replica is expected to include a position.
    fn is_likely(&self, floor: &Floor, retry_after: Duration) -> bool {
        if self
            .applied
            .is_some_and(|applied| applied.satisfies(floor.position))
        {
            return true;
        }
        let lacks = |(position, ago): (Position, Duration)| {
            ago < retry_after && floor.position.satisfies(position)
        };
        floor.age >= EXPECTED_LAG && !self.lacked.is_some_and(lacks)
    }
}

/// Time for which a replica that lacked a position is not asked for it or a later one again.
pub const LACK_TIME: Duration = Duration::from_millis(300);

/// Where a statement runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Identifier of the server.
    pub server: Name,
    /// Whether it is asked as the primary.
    pub as_primary: bool,
    /// Position that the server must confirm to include, with its age.
    pub after: Option<Floor>,
}

/// Returns the position that a read of a route needs on a replica; `None` if only the primary
/// can run it.
#[must_use]
pub fn floor(
    consistency: Consistency,
    session: Option<Position>,
    sample: Option<Sample>,
    age: Duration,
) -> Option<Floor> {
    let position = sample?.position;
    match consistency {
        Consistency::Current => None,
        Consistency::Bounded(_) => Some(Floor { position, age }),
        Consistency::Session(_) => Some(match session {
            // The time of the session's own commit is not kept, so a replica has to show that
            // it includes it.
            Some(own) if !position.satisfies(own) => Floor {
                position: position.join(own),
                age: Duration::ZERO,
            },
            _ => Floor { position, age },
        }),
    }
}

/// Chooses among the servers of a service, or `None` if none is free now.
#[must_use]
pub fn choose(need: &Need, views: &[View]) -> Option<Choice> {
    let replica = need.floor.filter(|_| !need.primary_only).and_then(|floor| {
        let likely =
            |view: &&View| !view.is_primary && view.is_free() && view.is_likely(&floor, LACK_TIME);
        let best = views
            .iter()
            .filter(likely)
            .min_by_key(|view| preference(view))?;
        Some(Choice {
            server: best.id.clone(),
            as_primary: false,
            after: Some(floor),
        })
    });
    replica.or_else(|| {
        let primary = views
            .iter()
            .find(|view| view.is_primary && view.is_free())?;
        // Reads that a replica could serve leave half of the primary's slots to other work.
        let reserved = !need.primary_only && need.floor.is_some() && has_likely(need, views);
        if reserved && primary.running * 2 >= primary.limit {
            return None;
        }
        Some(Choice {
            server: primary.id.clone(),
            as_primary: true,
            after: need.floor.filter(|_| !need.primary_only),
        })
    })
}

/// Reports whether some replica could serve the read once it has a free slot.
fn has_likely(need: &Need, views: &[View]) -> bool {
    need.floor.is_some_and(|floor| {
        views
            .iter()
            .any(|view| !view.is_primary && view.is_usable && view.is_likely(&floor, LACK_TIME))
    })
}

/// Fewer running statements first, then an open connection, then the same zone.
fn preference(view: &View) -> (u32, bool, bool) {
    let opens = view.room != Room::Idle;
    (view.running + u32::from(opens), opens, !view.is_near)
}
