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
pub const STATUS_AGE: Duration = Duration::from_millis(500);

/// Least age that samples can prove: two probes of 100 ms, their answers, and a reserve.
pub const PROVABLE_AGE: Duration = Duration::from_millis(300);

/// Returns the class as which a request is carried out.
///
/// A read that accepts less than [`PROVABLE_AGE`] is confirmed like a current read.
#[must_use]
pub fn provable(class: Class) -> Class {
    match class {
        Class::Aged(age) if age < PROVABLE_AGE => Class::Current,
        class => class,
    }
}

/// What this host knows about a backend server.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Availability zone of the server.
    pub zone: &'a Zone,
    /// Whether the server is to leave.
    pub leaving: bool,
    /// Whether the server answers the probes of this host and is not a replaced primary.
    pub answering: bool,
    /// Last status.
    pub status: Option<Status>,
    /// Age of the last status.
    pub age: Duration,
    /// Upper bound of the age of the data, and on a primary the age of the last proof that it
    /// was not replaced; `None` if unknown.
    pub bound: Option<Duration>,
    /// Expected time until the server has applied what the primary has now.
    pub wait: Duration,
    /// Statements of this host that the server runs.
    pub running: u32,
    /// Slots that this host may still use.
    pub free: u32,
}

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct Need<'a> {
    /// Consistency.
    pub class: Class,
    /// Position that the answer must include; for a current read at least the read index.
    pub required: Position,
    /// Availability zone of this host.
    pub zone: &'a Zone,
    /// Longest time that a replica may take to reach the required position.
    pub patience: Duration,
    /// Time that the request has waited in the queue.
    pub waited: Duration,
}

/// Part that a chosen server plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum By {
    /// The primary runs the request.
    Primary,
    /// A replica runs the request.
    Replica,
}

/// Why a server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
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
    pub by: By,
    /// Reason for the journal.
    pub why: Why,
}

/// Returns the primary of the greatest known term, unless it promised a greater one.
#[must_use]
pub fn primary(views: &[View<'_>]) -> Option<usize> {
    let greatest = views.iter().filter_map(|view| view.status);
    let greatest = greatest
        .filter(|status| status.role == Role::Primary)
        .map(|status| status.term)
        .max()?;
    views.iter().position(|view| {
        let leads = |status: Status| {
            status.role == Role::Primary && status.term == greatest && status.promised == greatest
        };
        view.answering && view.status.is_some_and(leads)
    })
}

/// Returns the servers that may run a request, best first.
#[must_use]
pub fn choose(need: &Need<'_>, views: &[View<'_>]) -> Vec<Choice> {
    let primary = primary(views).filter(|&server| !views[server].leaving);
    let by_primary = |why| Choice {
        server: primary.unwrap_or_default(),
        by: By::Primary,
        why,
    };
    if need.class == Class::Write {
        return primary
            .map(|_| by_primary(Why::Write))
            .into_iter()
            .collect();
    }
    let mut choices = replicas(need, views);
    let proven = primary.is_some_and(|server| is_fresh(need, &views[server]));
    if proven {
        if choices.is_empty() {
            choices.push(by_primary(Why::NoReplica));
        } else if need.waited > need.patience {
            choices.push(by_primary(Why::Busy));
        }
    }
    choices
}

/// Reports whether the data is proven to be within the age that the request accepts.
fn is_fresh(need: &Need<'_>, view: &View<'_>) -> bool {
    match need.class {
        Class::Aged(age) => view.bound.is_some_and(|bound| bound <= age),
        Class::Current | Class::Write => true,
    }
}

fn replicas(need: &Need<'_>, views: &[View<'_>]) -> Vec<Choice> {
    let choice = |server| {
        let why = qualifies(need, &views[server])?;
        Some(Choice {
            server,
            by: By::Replica,
            why,
        })
    };
    let mut choices: Vec<_> = (0..views.len()).filter_map(choice).collect();
    choices.sort_by_key(|choice| {
        let view = &views[choice.server];
        let free = view.free > 0;
        let applied = choice.why == Why::Applied;
        let near = view.zone == need.zone;
        (Reverse(free), Reverse(applied), Reverse(near), view.running)
    });
    choices
}

fn qualifies(need: &Need<'_>, view: &View<'_>) -> Option<Why> {
    let status = view.status?;
    let usable = view.answering && !view.leaving && view.age <= STATUS_AGE;
    if !usable || status.role != Role::Replica {
        return None;
    }
    if !is_fresh(need, view) {
        return None;
    }
    if status.applied.satisfies(need.required) {
        return Some(Why::Applied);
    }
    let promised_later = status.promised > need.required.term;
    let approaching = !promised_later && view.wait <= need.patience;
    approaching.then_some(Why::Approaching)
}
