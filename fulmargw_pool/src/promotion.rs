//! Decides which replica may become the primary.

use crate::{backend::Role, backend::Status};
use fulmargw_model::{
    name::Name,
    position::{Position, Term},
};

/// A replica and what it answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Identifier of the server.
    pub server: Name,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Its answer; `None` if it did not answer.
    pub status: Option<Status>,
}

/// Why no replica can be promoted now.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Obstacle {
    /// replica {0} did not answer, and may alone hold an acknowledged commit
    Unanswered(Name),
    /// no replica can take over
    NoCandidate,
    /// server {0} leads term {1:?}
    AlreadyPrimary(Name, Term),
    /// replica {0} has received {1:?} only, and {2:?} was acknowledged
    MissingCommits(Name, Position, Position),
}

/// A replica to promote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Identifier of the server.
    pub server: Name,
    /// Last position of its log.
    pub received: Position,
    /// Term above every one that the replicas know.
    pub pause_term: Term,
}

/// Chooses the replica with the longest log, or the one that an earlier order names.
///
/// With one synchronous replica an acknowledged commit may be on any single one, so all of them
/// have to answer. An order without an answer may still be carried out; its replica must then
/// have every acknowledged commit, so the others stop receiving and it is chosen again.
///
/// # Errors
///
/// Why no replica can be promoted now.
pub fn choose_candidate(
    voters: &[Replica],
    known_term: Term,
    ordered: Option<&Name>,
) -> Result<Candidate, Obstacle> {
    let unanswered = voters.iter().find(|voter| voter.status.is_none());
    if let Some(voter) = unanswered {
        return Err(Obstacle::Unanswered(voter.server.clone()));
    }
    let answered = || {
        voters
            .iter()
            .filter_map(|voter| Some((voter, voter.status?)))
    };
    let newest = answered().map(|(_, status)| status.term).max();
    let newest = newest.unwrap_or(known_term).max(known_term);
    if let Some((voter, status)) =
        answered().find(|(_, status)| status.role == Role::Primary && status.term >= newest)
    {
        return Err(Obstacle::AlreadyPrimary(voter.server.clone(), status.term));
    }
    let staying = answered().filter(|(voter, _)| !voter.is_draining);
    let best = staying.max_by(|(left, one), (right, other)| {
        let order = rank(one.received).cmp(&rank(other.received));
        order.then_with(|| right.server.cmp(&left.server))
    });
    let again = answered().find(|(voter, _)| Some(&voter.server) == ordered);
    let (voter, status) = again.or(best).ok_or(Obstacle::NoCandidate)?;
    Ok(Candidate {
        server: voter.server.clone(),
        received: status.received,
        pause_term: Term(newest.0 + 1),
    })
}

/// Reports whether a log includes all that other replicas held when they stopped receiving.
#[must_use]
pub fn includes_all(candidate: Position, others: &[Position]) -> bool {
    others.iter().all(|other| candidate.satisfies(*other))
}

/// Checks that a candidate has what is known to be acknowledged.
///
/// A replica that has left may have been the only one to hold a commit; then the old primary
/// has to come back with its log.
///
/// # Errors
///
/// What it lacks.
pub fn check_complete(
    candidate: &Candidate,
    acknowledged: Option<Position>,
) -> Result<(), Obstacle> {
    match acknowledged {
        Some(position) if !candidate.received.satisfies(position) => Err(Obstacle::MissingCommits(
            candidate.server.clone(),
            candidate.received,
            position,
        )),
        _ => Ok(()),
    }
}

fn rank(position: Position) -> (Term, u64) {
    (position.term, position.index)
}
