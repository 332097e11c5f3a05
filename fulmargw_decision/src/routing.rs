//! Choice of the backend servers that may execute a request.

use fulmargw_model::{
    availability_zone::Zone,
    backend_server::{Role, Status},
    position::Position,
    request::Class,
};
use serde::Serialize;
use std::{cmp::Reverse, time::Duration};

/// Maximum age of a replica's status. An older one does not prove that the replica can be used.
pub const MAX_STATUS_AGE: Duration = Duration::from_millis(500);

/// Smallest bound on the age of data that samples can prove: two probe intervals of 100 ms, the
/// time for their responses, and a reserve.
pub const MIN_PROVABLE_AGE: Duration = Duration::from_millis(300);

/// Returns the consistency class under which a request is executed.
///
/// A read that accepts only an age below [`MIN_PROVABLE_AGE`] is executed as a current read.
#[must_use]
pub fn effective_class(class: Class) -> Class {
    match class {
        Class::Aged(age) if age < MIN_PROVABLE_AGE => Class::Current,
        class => class,
    }
}

/// A backend server that may execute a request, as this host knows it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Availability zone of the server.
    pub zone: &'a Zone,
    /// Whether the server is draining.
    pub draining: bool,
    /// Whether the server responds to the probes of this host and is not a replaced primary.
    pub responsive: bool,
    /// Last known status.
    pub status: Option<Status>,
    /// Age of the last status.
    pub status_age: Duration,
    /// On a replica the upper bound of the age of its data, on a primary the age of the last proof
    /// that it was not replaced; `None` if unknown.
    pub staleness: Option<Duration>,
    /// Expected time until the server has applied the primary's current log position.
    pub expected_lag: Duration,
    /// Number of statements of this host that the server is executing.
    pub running: u32,
    /// Number of slots that this host may still use.
    pub free_slots: u32,
}

/// The requirements of a request.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    /// Consistency class.
    pub class: Class,
    /// Log position that the response must include; for a current read at least the read index.
    pub required: Position,
    /// Availability zone of this host.
    pub zone: &'a Zone,
    /// Maximum time that a replica may need to reach the required position.
    pub max_wait: Duration,
    /// Time that the request has spent in the queue.
    pub waited: Duration,
}

/// The role in which a chosen server executes the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServedBy {
    /// The primary executes the request.
    Primary,
    /// A replica executes the request.
    Replica,
}

/// The reason for the choice of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rationale {
    /// Only the primary accepts writes.
    Write,
    /// The replica has applied the required position.
    Applied,
    /// The replica is expected to apply the required position in time.
    Approaching,
    /// No replica qualifies.
    NoReplica,
    /// Replicas qualify, but the request has waited for a free slot for too long.
    Busy,
}

/// A server that was chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Choice {
    /// Index of the server in the group.
    pub server: usize,
    /// Role in which the server executes the request.
    #[serde(rename = "by")]
    pub served_by: ServedBy,
    /// Reason for the choice, which is recorded in the journal.
    #[serde(rename = "why")]
    pub rationale: Rationale,
}

/// Returns the index of the primary of the greatest known term, unless it has promised a greater
/// term.
#[must_use]
pub fn primary(candidates: &[Candidate<'_>]) -> Option<usize> {
    let greatest = candidates.iter().filter_map(|candidate| candidate.status);
    let greatest = greatest
        .filter(|status| status.role == Role::Primary)
        .map(|status| status.term)
        .max()?;
    candidates.iter().position(|candidate| {
        let is_current = |status: Status| {
            status.role == Role::Primary && status.term == greatest && status.promised == greatest
        };
        candidate.responsive && candidate.status.is_some_and(is_current)
    })
}

/// Returns the servers that may execute a request, best first.
#[must_use]
pub fn choose(requirements: &Requirements<'_>, candidates: &[Candidate<'_>]) -> Vec<Choice> {
    let primary = primary(candidates).filter(|&server| !candidates[server].draining);
    let primary_choice = |rationale| Choice {
        server: primary.unwrap_or_default(),
        served_by: ServedBy::Primary,
        rationale,
    };
    if requirements.class == Class::Write {
        return primary
            .map(|_| primary_choice(Rationale::Write))
            .into_iter()
            .collect();
    }
    let mut choices = qualified_replicas(requirements, candidates);
    let primary_is_fresh =
        primary.is_some_and(|server| is_fresh(requirements, &candidates[server]));
    if primary_is_fresh {
        if choices.is_empty() {
            choices.push(primary_choice(Rationale::NoReplica));
        } else if requirements.waited > requirements.max_wait {
            choices.push(primary_choice(Rationale::Busy));
        }
    }
    choices
}

/// Reports whether the server's data is proven to be no older than the request accepts.
fn is_fresh(requirements: &Requirements<'_>, candidate: &Candidate<'_>) -> bool {
    match requirements.class {
        Class::Aged(age) => candidate.staleness.is_some_and(|bound| bound <= age),
        Class::Current | Class::Write => true,
    }
}

fn qualified_replicas(
    requirements: &Requirements<'_>,
    candidates: &[Candidate<'_>],
) -> Vec<Choice> {
    let choice = |server| {
        let rationale = qualify(requirements, &candidates[server])?;
        Some(Choice {
            server,
            served_by: ServedBy::Replica,
            rationale,
        })
    };
    let mut choices: Vec<_> = (0..candidates.len()).filter_map(choice).collect();
    choices.sort_by_key(|choice| {
        let candidate = &candidates[choice.server];
        let has_free_slot = candidate.free_slots > 0;
        let applied = choice.rationale == Rationale::Applied;
        let same_zone = candidate.zone == requirements.zone;
        (
            Reverse(has_free_slot),
            Reverse(applied),
            Reverse(same_zone),
            candidate.running,
        )
    });
    choices
}

fn qualify(requirements: &Requirements<'_>, candidate: &Candidate<'_>) -> Option<Rationale> {
    let status = candidate.status?;
    let usable =
        candidate.responsive && !candidate.draining && candidate.status_age <= MAX_STATUS_AGE;
    if !usable || status.role != Role::Replica {
        return None;
    }
    if !is_fresh(requirements, candidate) {
        return None;
    }
    if status.applied.satisfies(requirements.required) {
        return Some(Rationale::Applied);
    }
    let promised_later = status.promised > requirements.required.term;
    let approaching = !promised_later && candidate.expected_lag <= requirements.max_wait;
    approaching.then_some(Rationale::Approaching)
}
