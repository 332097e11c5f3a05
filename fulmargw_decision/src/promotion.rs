//! Detection of a failed primary, and the choice of its successor.

use fulmargw_model::{
    backend_server::{Role, Status},
    position::Term,
};
use serde::Serialize;
use std::time::Duration;

/// Time without a message from the primary after which a replica counts as not connected to it;
/// three probe intervals.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without a message from the primary after which a replica counts as isolated from a
/// primary that still responds to this host. It is longer than [`SILENCE_TIMEOUT`] because no
/// failed probe of this host supports the finding.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_millis(450);
/// Promotion delay per rank, which lets the first host finish before the next one starts.
pub const RANK_DELAY: Duration = Duration::from_millis(150);

/// How a backend server responds to the probes of this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reachability {
    /// The server has not been probed yet.
    Unknown,
    /// The server responded to the last probe.
    Answering,
    /// The server responded in time to neither the probes nor a new connection.
    Silent,
    /// Two consecutive connections were refused.
    Refused,
}

/// A backend server of a database group, as this host knows it.
#[derive(Debug, Clone, Copy)]
pub struct Backend {
    /// Response to the probes of this host.
    pub reachability: Reachability,
    /// Last known status, which may be outdated if the server no longer responds.
    pub status: Option<Status>,
    /// Whether the server is draining.
    pub draining: bool,
}

/// Why a database group needs a promotion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// the primary refuses connections
    Refused,
    /// the primary does not respond
    Silent,
    /// the primary is cut off from a majority of the group
    Isolated,
    /// the group has no primary
    Missing,
    /// a server promised a greater term that has no primary
    Fenced,
    /// a replica promised a term greater than that of the primary
    Split,
    /// the primary is draining
    Leaving,
}

impl Cause {
    /// Returns how long the cause must persist before a promotion.
    ///
    /// `Missing`, `Fenced` and `Split` normally occur while another host promotes a server. A
    /// draining primary first finishes its running requests.
    #[must_use]
    pub fn grace_period(self) -> Duration {
        match self {
            Self::Refused | Self::Silent | Self::Isolated => Duration::ZERO,
            Self::Missing | Self::Fenced => Duration::from_millis(300),
            Self::Split | Self::Leaving => Duration::from_secs(1),
        }
    }

    /// Reports whether the current primary may also become the primary of the next term.
    #[must_use]
    pub fn may_keep_primary(self) -> bool {
        matches!(self, Self::Missing | Self::Fenced | Self::Split)
    }
}

/// Returns the index of the primary with the greatest known term.
#[must_use]
pub fn latest_primary(backends: &[Backend]) -> Option<usize> {
    let term = |backend: &Backend| {
        let status = backend.status?;
        (status.role == Role::Primary).then_some(status.term)
    };
    (0..backends.len())
        .filter(|&index| term(&backends[index]).is_some())
        .max_by_key(|&index| term(&backends[index]))
}

/// Assesses whether the group needs a new primary. `majority` is the number of backend
/// servers that form a majority of the group.
#[must_use]
pub fn assess(backends: &[Backend], majority: usize) -> Option<Cause> {
    let Some(primary) = latest_primary(backends) else {
        return assess_missing(backends, majority);
    };
    let term = backends[primary].status?.term;
    let promised_later = other_backends(backends, primary)
        .filter_map(current_status)
        .filter(|status| status.promised > term)
        .count();
    let is_responsive = backends[primary].reachability == Reachability::Answering;
    if promised_later >= majority || (promised_later > 0 && !is_responsive) {
        return Some(Cause::Fenced);
    }
    match backends[primary].reachability {
        Reachability::Unknown => None,
        Reachability::Refused => Some(Cause::Refused),
        Reachability::Silent => {
            let majority_connected =
                count_connected_replicas(backends, primary, term) + 1 >= majority;
            (!majority_connected).then_some(Cause::Silent)
        }
        Reachability::Answering => assess_responsive(backends, primary, majority),
    }
}

fn assess_missing(backends: &[Backend], majority: usize) -> Option<Cause> {
    let all_probed = backends
        .iter()
        .all(|backend| backend.reachability != Reachability::Unknown);
    let responsive = backends.iter().filter_map(current_status).count();
    let is_connected = |status: &Status| status.silence < SILENCE_TIMEOUT;
    let connected = backends
        .iter()
        .filter_map(current_status)
        .filter(is_connected)
        .count();
    let missing = all_probed && responsive >= majority && connected + 1 < majority;
    missing.then_some(Cause::Missing)
}

fn assess_responsive(backends: &[Backend], primary: usize, majority: usize) -> Option<Cause> {
    let status = backends[primary].status?;
    if status.promised > status.term {
        return Some(Cause::Fenced);
    }
    let others = || other_backends(backends, primary).filter_map(current_status);
    let isolated = others()
        .filter(|other| other.silence >= ISOLATION_TIMEOUT)
        .count();
    if backends.len() - isolated < majority {
        return Some(Cause::Isolated);
    }
    if others().any(|other| other.promised > status.term) {
        return Some(Cause::Split);
    }
    backends[primary].draining.then_some(Cause::Leaving)
}

fn other_backends(backends: &[Backend], primary: usize) -> impl Iterator<Item = &Backend> {
    let others = backends.iter().enumerate();
    others
        .filter(move |(index, _)| *index != primary)
        .map(|(_, backend)| backend)
}

/// Counts the replicas that received a message from the primary of `term` within
/// [`SILENCE_TIMEOUT`].
fn count_connected_replicas(backends: &[Backend], primary: usize, term: Term) -> usize {
    other_backends(backends, primary)
        .filter_map(current_status)
        .filter(|status| status.term == term && status.silence < SILENCE_TIMEOUT)
        .count()
}

/// Returns the status of a server that responds to the probes.
fn current_status(backend: &Backend) -> Option<Status> {
    let is_responsive = backend.reachability == Reachability::Answering;
    backend.status.filter(|_| is_responsive)
}

/// Returns the term of the next promotion, which is one greater than any known term.
#[must_use]
pub fn next_term(backends: &[Backend]) -> Term {
    let seen = backends.iter().filter_map(|backend| backend.status);
    let greatest = seen.map(|status| status.promised.max(status.term).0).max();
    Term(greatest.unwrap_or_default() + 1)
}

/// A backend server's promise of the new term.
#[derive(Debug, Clone, Copy)]
pub struct Promise {
    /// Index of the backend server in the group.
    pub backend: usize,
    /// Status that the server returned with the promise.
    pub status: Status,
    /// Whether the server is draining; it decides only between equal logs.
    pub draining: bool,
}

/// Chooses the new primary among the servers that have promised; `None` if they are no
/// majority.
///
/// The server with the greatest last log term, and among those the greatest received index,
/// has every acknowledged write, because a majority of the group holds each of them.
#[must_use]
pub fn choose(promises: &[Promise], majority: usize) -> Option<usize> {
    if promises.len() < majority {
        return None;
    }
    let log_end = |promise: &Promise| {
        let received = promise.status.received;
        (received.term, received.index, !promise.draining)
    };
    promises
        .iter()
        .max_by_key(|&promise| log_end(promise))
        .map(|promise| promise.backend)
}

/// Returns how long a host of this rank waits before it promotes a server.
#[must_use]
pub fn delay(rank: usize) -> Duration {
    RANK_DELAY.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX))
}
