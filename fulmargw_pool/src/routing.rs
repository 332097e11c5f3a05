//! Chooses the backend server that runs a statement.

use crate::freshness::Sample;
use fulmargw_model::{execution::Consistency, name::Name, position::Position};
use std::time::Duration;

/// Age of a position after which a replica whose log position is unknown is expected to have
/// applied it.
const EXPECTED_REPLICATION_LAG: Duration = Duration::from_millis(150);

/// What a statement requires of the server that runs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requirements {
    /// Whether only the primary can run it.
    pub primary_only: bool,
    /// Log position that a replica must have applied; `None` if no sufficient position is known.
    pub min_position: Option<MinPosition>,
}

/// Log position that a replica must have applied to run a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MinPosition {
    /// The log position.
    pub position: Position,
    /// Time since the primary reported it.
    pub age: Duration,
}

/// A backend server that may run a statement, with what this host knows of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Identifier of the server.
    pub id: Name,
    /// Whether it is the assumed primary.
    pub is_primary: bool,
    /// Whether it is in the availability zone of this host.
    pub is_same_zone: bool,
    /// Whether it may get new statements.
    pub is_usable: bool,
    /// Whether a connection is available to the account.
    pub availability: Availability,
    /// Number of statements of this host that run there.
    pub running: u32,
    /// Maximum of `running`.
    pub max_running: u32,
    /// How long it takes for a statement, in percent of what is usual.
    pub slowness_percent: u32,
    /// Log position that it reported last.
    pub applied: Option<Position>,
    /// Position that it recently lagged behind, and how long ago it reported so.
    pub recent_lag: Option<(Position, Duration)>,
}

/// Whether a connection to a server is available to an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// A connection of the account is idle.
    Idle,
    /// A connection can be opened, if need be after an idle one of another account is closed.
    Openable,
    /// All connections of this host are in use, or none may be opened now.
    Exhausted,
    /// None is to be used, because the server rejected the previous attempt to run the statement.
    Avoided,
    /// None is to be used, because the statement runs in another zone than that of the server.
    OtherZone,
}

/// Which servers of a group have a free slot.
///
/// Under a backlog each finished statement searches the queue for the next one. With this the search
/// skips statements that no server can take, without computing what each of them requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreeSlots {
    primary: bool,
    replica: bool,
}

impl FreeSlots {
    /// Returns the free slots of the candidates.
    #[must_use]
    pub fn of(candidates: &[Candidate]) -> Self {
        let has_free = |is_primary| {
            let mut servers = candidates.iter();
            servers.any(|server| server.is_primary == is_primary && server.has_free_slot())
        };
        Self {
            primary: has_free(true),
            replica: has_free(false),
        }
    }

    /// Reports whether no server has a free slot.
    #[must_use]
    pub fn is_empty(self) -> bool {
        !self.primary && !self.replica
    }

    /// Reports whether some server could take a statement, which may be one that only the primary
    /// can run.
    #[must_use]
    pub fn may_take(self, primary_only: bool) -> bool {
        self.primary || (self.replica && !primary_only)
    }
}

impl Requirements {
    /// Reports whether a replica is expected to have the required log position.
    #[must_use]
    pub fn is_expected_at(&self, replica: &Candidate) -> bool {
        self.min_position
            .is_some_and(|it| replica.is_expected_to_have(&it, LAG_RETRY_DELAY))
    }
}

impl Candidate {
    /// Reports whether this host may run another statement there.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        self.is_usable && self.running < self.max_running
    }

    fn is_free(&self) -> bool {
        let has_connection = matches!(
            self.availability,
            Availability::Idle | Availability::Openable
        );
        self.has_free_slot() && has_connection
    }

    /// Reports whether a replica is expected to have applied a position.
    fn is_expected_to_have(&self, min_position: &MinPosition, retry_after: Duration) -> bool {
        if self
            .applied
            .is_some_and(|applied| applied.satisfies(min_position.position))
        {
            return true;
        }
        let lags = |(position, ago): (Position, Duration)| {
            ago < retry_after && min_position.position.satisfies(position)
        };
        min_position.age >= EXPECTED_REPLICATION_LAG && !self.recent_lag.is_some_and(lags)
    }
}

/// Time for which a replica that lagged behind a position gets no reads that require that position
/// or a later one.
pub const LAG_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Where a statement runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Identifier of the server.
    pub server: Name,
    /// Whether it is expected to be the primary.
    pub as_primary: bool,
    /// Whether a connection has to be opened.
    pub opens: bool,
    /// Position that the server must confirm to have applied, with its age.
    pub min_position: Option<MinPosition>,
}

/// Returns the position that a replica must have applied to run a read of a route; `None` if only
/// the primary can run it.
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
            // The time of the session's own commit is not stored, so only a replica whose log
            // position is known to include the commit is chosen.
            Some(own) if !position.satisfies(own) => MinPosition {
                position: position.join(own),
                age: Duration::ZERO,
            },
            _ => MinPosition { position, age },
        }),
    }
}

/// Chooses a server for a statement; `None` if none is available now.
#[must_use]
pub fn choose(requirements: &Requirements, candidates: &[Candidate]) -> Option<Choice> {
    let replica = requirements
        .min_position
        .filter(|_| !requirements.primary_only)
        .and_then(|min_position| {
            let is_eligible = |candidate: &&Candidate| {
                !candidate.is_primary
                    && candidate.is_free()
                    && candidate.is_expected_to_have(&min_position, LAG_RETRY_DELAY)
            };
            let best = candidates
                .iter()
                .filter(is_eligible)
                .min_by_key(|candidate| preference(candidate))?;
            Some(Choice {
                server: best.id.clone(),
                as_primary: false,
                opens: best.availability != Availability::Idle,
                min_position: Some(min_position),
            })
        });
    replica.or_else(|| {
        let primary = candidates
            .iter()
            .find(|candidate| candidate.is_primary && candidate.is_free())?;
        // Reads that a replica could run leave half of the primary's slots to other statements.
        let reserved = !requirements.primary_only
            && requirements.min_position.is_some()
            && has_suitable_replica(requirements, candidates);
        if reserved && primary.running * 2 >= primary.max_running {
            return None;
        }
        Some(Choice {
            server: primary.id.clone(),
            as_primary: true,
            opens: primary.availability != Availability::Idle,
            min_position: requirements
                .min_position
                .filter(|_| !requirements.primary_only),
        })
    })
}

/// Reports whether some replica could run the read once it has a free slot.
fn has_suitable_replica(requirements: &Requirements, candidates: &[Candidate]) -> bool {
    requirements.min_position.is_some_and(|min_position| {
        candidates.iter().any(|candidate| {
            !candidate.is_primary
                && candidate.is_usable
                && candidate.availability != Availability::Avoided
                && candidate.is_expected_to_have(&min_position, LAG_RETRY_DELAY)
        })
    })
}

/// Sort key: the earliest expected completion first, then an idle connection, then the same
/// availability zone. Among servers of the usual speed, the one with the fewest running statements
/// is expected to be the first.
fn preference(candidate: &Candidate) -> (u32, bool, bool) {
    let opens = candidate.availability != Availability::Idle;
    let position = candidate.running + u32::from(opens) + 1;
    (
        position.saturating_mul(candidate.slowness_percent),
        opens,
        !candidate.is_same_zone,
    )
}
