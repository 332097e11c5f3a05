//! Choice of the backend server for a statement.

use crate::freshness::Sample;
use fulmargw_model::{execution::Consistency, name::Name, position::Position};
use std::time::Duration;

/// Age of a position after which a replica without known delay is expected to have it.
const EXPECTED_LAG: Duration = Duration::from_millis(150);

/// What a statement needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requirements {
    /// Whether only the primary can run it.
    pub primary_only: bool,
    /// Position that a replica must include, if one is known that suffices.
    pub min_position: Option<MinPosition>,
    /// Availability zone of this host.
    pub zone: Name,
    /// Account on whose behalf it runs.
    pub account: Name,
}

/// A position that makes a read on a replica permissible.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MinPosition {
    /// The position.
    pub position: Position,
    /// Time since the primary had it.
    pub age: Duration,
}

/// What this host knows of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Identifier of the server.
    pub id: Name,
    /// Whether it is believed to lead.
    pub is_primary: bool,
    /// Whether it is in the availability zone of this host.
    pub is_same_zone: bool,
    /// Whether new work may go there.
    pub is_usable: bool,
    /// How work of the account gets a connection.
    pub availability: Availability,
    /// Statements of this host that run there.
    pub running: u32,
    /// Most statements of this host that run there at the same time.
    pub max_running: u32,
    /// Position that it told last.
    pub applied: Option<Position>,
    /// Greatest position that it lacked, and how long ago it said so.
    pub recent_lag: Option<(Position, Duration)>,
}

/// How work of an account gets a connection to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// A connection of the account is idle.
    Idle,
    /// One can be opened, maybe in exchange for one of another account.
    Openable,
    /// All connections of this host are in use.
    Exhausted,
}

impl Candidate {
    fn is_free(&self) -> bool {
        self.is_usable
            && self.running < self.max_running
            && self.availability != Availability::Exhausted
    }

    /// Reports whether a replica is expected to include a position.
    fn is_likely(&self, min_position: &MinPosition, retry_after: Duration) -> bool {
        if self
            .applied
            .is_some_and(|applied| applied.satisfies(min_position.position))
        {
            return true;
        }
        let lacks = |(position, ago): (Position, Duration)| {
            ago < retry_after && min_position.position.satisfies(position)
        };
        min_position.age >= EXPECTED_LAG && !self.recent_lag.is_some_and(lacks)
    }
}

/// Time for which a replica that lacked a position is not asked for it or a later one again.
pub const LAG_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Where a statement runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Identifier of the server.
    pub server: Name,
    /// Whether it is asked as the primary.
    pub as_primary: bool,
    /// Position that the server must confirm to include, with its age.
    pub min_position: Option<MinPosition>,
}

/// Returns the position that a read of a route needs on a replica; `None` if only the primary
/// can run it.
#[must_use]
pub fn min_position(
    consistency: Consistency,
    session: Option<Position>,
    sample: Option<Sample>,
    age: Duration,
) -> Option<MinPosition> {
    let position = sample?.position;
    match consistency {
        Consistency::Current => None,
        Consistency::Bounded(_) => Some(MinPosition { position, age }),
        Consistency::Session(_) => Some(match session {
            // The time of the session's own commit is not kept, so a replica has to show that
            // it includes it.
            Some(own) if !position.satisfies(own) => MinPosition {
                position: position.join(own),
                age: Duration::ZERO,
            },
            _ => MinPosition { position, age },
        }),
    }
}

/// Chooses among the servers of a service, or `None` if none is free now.
#[must_use]
pub fn choose(requirements: &Requirements, candidates: &[Candidate]) -> Option<Choice> {
    let replica = requirements
        .min_position
        .filter(|_| !requirements.primary_only)
        .and_then(|min_position| {
            let likely = |candidate: &&Candidate| {
                !candidate.is_primary
                    && candidate.is_free()
                    && candidate.is_likely(&min_position, LAG_RETRY_DELAY)
            };
            let best = candidates
                .iter()
                .filter(likely)
                .min_by_key(|candidate| preference(candidate))?;
            Some(Choice {
                server: best.id.clone(),
                as_primary: false,
                min_position: Some(min_position),
            })
        });
    replica.or_else(|| {
        let primary = candidates
            .iter()
            .find(|candidate| candidate.is_primary && candidate.is_free())?;
        // Reads that a replica could serve leave half of the primary's slots to other work.
        let reserved = !requirements.primary_only
            && requirements.min_position.is_some()
            && has_likely(requirements, candidates);
        if reserved && primary.running * 2 >= primary.max_running {
            return None;
        }
        Some(Choice {
            server: primary.id.clone(),
            as_primary: true,
            min_position: requirements
                .min_position
                .filter(|_| !requirements.primary_only),
        })
    })
}

/// Reports whether some replica could serve the read once it has a free slot.
fn has_likely(requirements: &Requirements, candidates: &[Candidate]) -> bool {
    requirements.min_position.is_some_and(|min_position| {
        candidates.iter().any(|candidate| {
            !candidate.is_primary
                && candidate.is_usable
                && candidate.is_likely(&min_position, LAG_RETRY_DELAY)
        })
    })
}

/// Fewer running statements first, then an open connection, then the same zone.
fn preference(candidate: &Candidate) -> (u32, bool, bool) {
    let opens = candidate.availability != Availability::Idle;
    (
        candidate.running + u32::from(opens),
        opens,
        !candidate.is_same_zone,
    )
}
