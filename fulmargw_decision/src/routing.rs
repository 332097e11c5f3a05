//! Choice of the backend servers that may run a request.

use fulmargw_model::{
    availability_zone::Zone,
    backend_server::{Role, Status},
    position::Position,
    request::Class,
};
use serde::Serialize;
use std::{cmp::Reverse, time::Duration};

/// Age above which a status no longer proves that a replica can be used.
pub const MAX_STATUS_AGE: Duration = Duration::from_millis(500);

/// Least age that samples can prove: two probes of 100 ms, their answers, and a reserve.
pub const MIN_PROVABLE_AGE: Duration = Duration::from_millis(300);

/// Returns the class as which a request is carried out.
///
/// A read that accepts less than [`MIN_PROVABLE_AGE`] is confirmed like a current read.
#[must_use]
pub fn effective_class(class: Class) -> Class {
    match class {
        Class::Aged(age) if age < MIN_PROVABLE_AGE => Class::Current,
        class => class,
    }
}

/// What this host knows about a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Availability zone of the server.
    pub zone: &'a Zone,
    /// Whether the server is to leave.
    pub draining: bool,
    /// Whether the server answers the probes of this host and is not a replaced primary.
    pub responsive: bool,
    /// Last status.
    pub status: Option<Status>,
    /// Age of the last status.
    pub status_age: Duration,
    /// Upper bound of the age of the data, and on a primary the age of the last proof that it
    /// was not replaced; `None` if unknown.
    pub staleness: Option<Duration>,
    /// Expected time until the server has applied what the primary has now.
    pub expected_lag: Duration,
    /// Statements of this host that the server runs.
    pub running: u32,
    /// Slots that this host may still use.
    pub free_slots: u32,
}

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    /// Consistency.
    pub class: Class,
    /// Position that the answer must include; for a current read at least the read index.
    pub required: Position,
    /// Availability zone of this host.
    pub zone: &'a Zone,
    /// Longest time that a replica may take to reach the required position.
    pub max_wait: Duration,
    /// Time that the request has waited in the queue.
    pub waited: Duration,
}

/// Part that a chosen server plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServedBy {
    /// The primary runs the request.
    Primary,
    /// A replica runs the request.
    Replica,
}

/// Why a server was chosen.
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

/// A server that may run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Choice {
    /// Place of the server in the group.
    pub server: usize,
    /// Part that the server plays.
    #[serde(rename = "by")]
    pub served_by: ServedBy,
    /// Reason for the journal.
    #[serde(rename = "why")]
    pub rationale: Rationale,
}

/// Returns the primary of the greatest known term, unless it promised a greater one.
#[must_use]
pub fn primary(views: &[Candidate<'_>]) -> Option<usize> {
    let greatest = views.iter().filter_map(|view| view.status);
    let greatest = greatest
        .filter(|status| status.role == Role::Primary)
        .map(|status| status.term)
        .max()?;
    views.iter().position(|view| {
        let leads = |status: Status| {
            status.role == Role::Primary && status.term == greatest && status.promised == greatest
        };
        view.responsive && view.status.is_some_and(leads)
    })
}

/// Returns the servers that may run a request, best first.
#[must_use]
pub fn choose(need: &Requirements<'_>, views: &[Candidate<'_>]) -> Vec<Choice> {
    let primary = primary(views).filter(|&server| !views[server].draining);
    let by_primary = |rationale| Choice {
        server: primary.unwrap_or_default(),
        served_by: ServedBy::Primary,
        rationale,
    };
    if need.class == Class::Write {
        return primary
            .map(|_| by_primary(Rationale::Write))
            .into_iter()
            .collect();
    }
    let mut choices = replicas(need, views);
    let proven = primary.is_some_and(|server| is_fresh(need, &views[server]));
    if proven {
        if choices.is_empty() {
            choices.push(by_primary(Rationale::NoReplica));
        } else if need.waited > need.max_wait {
            choices.push(by_primary(Rationale::Busy));
        }
    }
    choices
}

/// Reports whether the data is proven to be within the age that the request accepts.
fn is_fresh(need: &Requirements<'_>, view: &Candidate<'_>) -> bool {
    match need.class {
        Class::Aged(age) => view.staleness.is_some_and(|bound| bound <= age),
        Class::Current | Class::Write => true,
    }
}

fn replicas(need: &Requirements<'_>, views: &[Candidate<'_>]) -> Vec<Choice> {
    let choice = |server| {
        let rationale = qualifies(need, &views[server])?;
        Some(Choice {
            server,
            served_by: ServedBy::Replica,
            rationale,
        })
    };
    let mut choices: Vec<_> = (0..views.len()).filter_map(choice).collect();
    choices.sort_by_key(|choice| {
        let view = &views[choice.server];
        let free = view.free_slots > 0;
        let applied = choice.rationale == Rationale::Applied;
        let near = view.zone == need.zone;
        (Reverse(free), Reverse(applied), Reverse(near), view.running)
    });
    choices
}

fn qualifies(need: &Requirements<'_>, view: &Candidate<'_>) -> Option<Rationale> {
    let status = view.status?;
    let usable = view.responsive && !view.draining && view.status_age <= MAX_STATUS_AGE;
    if !usable || status.role != Role::Replica {
        return None;
    }
    if !is_fresh(need, view) {
        return None;
    }
    if status.applied.satisfies(need.required) {
        return Some(Rationale::Applied);
    }
    let promised_later = status.promised > need.required.term;
    let approaching = !promised_later && view.expected_lag <= need.max_wait;
    approaching.then_some(Rationale::Approaching)
}
