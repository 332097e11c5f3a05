//! Judgement of a failed primary, and the choice of the next one.

use fulmargw_model::{
    backend_server::{Role, Status},
    position::Term,
};
use serde::Serialize;
use std::time::Duration;

/// Silence after which a replica no longer hears the primary; three probe intervals.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Silence of the replicas after which a primary that still answers counts as cut off from
/// them. It is longer than [`SILENCE_TIMEOUT`] because this host has no failure of its own to add.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_millis(450);
/// Delay per rank, which lets the first host finish before the next one begins.
pub const RANK_DELAY: Duration = Duration::from_millis(150);

/// How a member answers the probes of this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reachability {
    /// Not probed yet.
    Unknown,
    /// The last probe was answered.
    Answering,
    /// Probes and a new connection had no answer in time.
    Silent,
    /// Connections were refused twice in a row.
    Refused,
}

/// What this host knows about a member of the group.
#[derive(Debug, Clone, Copy)]
pub struct Backend {
    /// Answers to the probes of this host.
    pub reach: Reachability,
    /// Last known status, which may be old if the member no longer answers.
    pub status: Option<Status>,
    /// Whether the member is to leave.
    pub draining: bool,
}

/// Why a group needs a promotion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// the primary refuses connections
    Refused,
    /// the primary is silent
    Silent,
    /// the primary is cut off from a majority of the group
    Isolated,
    /// the group has no primary
    Missing,
    /// a greater term was promised that has no primary
    Fenced,
    /// a replica promised a term greater than that of the primary
    Split,
    /// the primary is to leave
    Leaving,
}

impl Cause {
    /// Returns how long the cause must last before a promotion.
    ///
    /// A missing, fenced or split state is usual for the duration of another host's promotion.
    /// A leaving primary first finishes its running work.
    #[must_use]
    pub fn grace_period(self) -> Duration {
        match self {
            Self::Refused | Self::Silent | Self::Isolated => Duration::ZERO,
            Self::Missing | Self::Fenced => Duration::from_millis(300),
            Self::Split | Self::Leaving => Duration::from_secs(1),
        }
    }

    /// Reports whether the present primary may become the primary of the next term.
    #[must_use]
    pub fn may_keep_primary(self) -> bool {
        matches!(self, Self::Missing | Self::Fenced | Self::Split)
    }
}

/// Returns the member that acts as primary in the greatest known term.
#[must_use]
pub fn latest_primary(members: &[Backend]) -> Option<usize> {
    let term = |member: &Backend| {
        let status = member.status?;
        (status.role == Role::Primary).then_some(status.term)
    };
    (0..members.len())
        .filter(|&index| term(&members[index]).is_some())
        .max_by_key(|&index| term(&members[index]))
}

/// Judges whether the group needs a new primary.
#[must_use]
pub fn assess(members: &[Backend], majority: usize) -> Option<Cause> {
    let Some(leader) = latest_primary(members) else {
        return assess_missing(members, majority);
    };
    let term = members[leader].status?.term;
    let later = others(members, leader)
        .filter_map(answer)
        .filter(|status| status.promised > term)
        .count();
    let answering = members[leader].reach == Reachability::Answering;
    if later >= majority || (later > 0 && !answering) {
        return Some(Cause::Fenced);
    }
    match members[leader].reach {
        Reachability::Unknown => None,
        Reachability::Refused => Some(Cause::Refused),
        Reachability::Silent => {
            let heard = hearing(members, leader, term) + 1 >= majority;
            (!heard).then_some(Cause::Silent)
        }
        Reachability::Answering => assess_answering(members, leader, majority),
    }
}

fn assess_missing(members: &[Backend], majority: usize) -> Option<Cause> {
    let probed = members
        .iter()
        .all(|member| member.reach != Reachability::Unknown);
    let answering = members.iter().filter_map(answer).count();
    let hears = |status: &Status| status.silence < SILENCE_TIMEOUT;
    let hearing = members.iter().filter_map(answer).filter(hears).count();
    let missing = probed && answering >= majority && hearing + 1 < majority;
    missing.then_some(Cause::Missing)
}

fn assess_answering(members: &[Backend], leader: usize, majority: usize) -> Option<Cause> {
    let status = members[leader].status?;
    if status.promised > status.term {
        return Some(Cause::Fenced);
    }
    let others = || others(members, leader).filter_map(answer);
    let deaf = others()
        .filter(|other| other.silence >= ISOLATION_TIMEOUT)
        .count();
    if members.len() - deaf < majority {
        return Some(Cause::Isolated);
    }
    if others().any(|other| other.promised > status.term) {
        return Some(Cause::Split);
    }
    members[leader].draining.then_some(Cause::Leaving)
}

fn others(members: &[Backend], leader: usize) -> impl Iterator<Item = &Backend> {
    let others = members.iter().enumerate();
    others
        .filter(move |(index, _)| *index != leader)
        .map(|(_, member)| member)
}

fn hearing(members: &[Backend], leader: usize, term: Term) -> usize {
    others(members, leader)
        .filter_map(answer)
        .filter(|status| status.term == term && status.silence < SILENCE_TIMEOUT)
        .count()
}

fn answer(member: &Backend) -> Option<Status> {
    let answering = member.reach == Reachability::Answering;
    member.status.filter(|_| answering)
}

/// Returns the term of the next promotion: one more than any term seen.
#[must_use]
pub fn next_term(members: &[Backend]) -> Term {
    let seen = members.iter().filter_map(|member| member.status);
    let greatest = seen.map(|status| status.promised.max(status.term).0).max();
    Term(greatest.unwrap_or_default() + 1)
}

/// A member that promised the new term.
#[derive(Debug, Clone, Copy)]
pub struct Promise {
    /// Place of the member in the group.
    pub backend: usize,
    /// Status that came with the promise.
    pub status: Status,
    /// Whether the member is to leave; used only between equal logs.
    pub draining: bool,
}

/// Chooses the new primary among the promises; `None` without a majority of them.
///
/// The member with the greatest last log term, and among those the greatest received index,
/// has every acknowledged write, because any acknowledged write is on a majority.
#[must_use]
pub fn choose(promises: &[Promise], majority: usize) -> Option<usize> {
    if promises.len() < majority {
        return None;
    }
    let log = |promise: &Promise| {
        let received = promise.status.received;
        (received.term, received.index, !promise.draining)
    };
    promises
        .iter()
        .max_by_key(|&promise| log(promise))
        .map(|promise| promise.backend)
}

/// Returns the delay of a host before it promotes.
#[must_use]
pub fn delay(rank: usize) -> Duration {
    RANK_DELAY.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX))
}
