//! In-memory ring buffers of recent request outcomes and promotions, for the state dump.

pub mod promotion;

use fulmargw_decision::routing::{Rationale, ServedBy};
use fulmargw_model::{
    name::Name,
    outcome::{Outcome, Reason, Step},
    request::{Class, Id},
};
use promotion::Promotion;
use serde::Serialize;
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Number of requests that are kept.
pub const REQUEST_CAPACITY: usize = 1_024;

/// Number of promotions that are kept. They have a ring buffer of their own, so that requests
/// do not evict them.
pub const PROMOTION_CAPACITY: usize = 64;

/// Recent request outcomes and promotions, the oldest first.
#[derive(Debug)]
pub struct Journal {
    started_at: Instant,
    entries: VecDeque<Entry>,
    promotions: VecDeque<Promotion>,
}

/// Record of one finished request.
#[derive(Debug, Clone, Serialize)]
pub struct Entry {
    /// Time of the outcome since the engine started, in milliseconds.
    pub offset_ms: u64,
    /// Identifier of the request.
    pub request: Id,
    /// Service of the request.
    pub service: Name,
    /// Route of the request.
    pub route: Name,
    /// Client account that was charged for the request.
    pub account: Name,
    /// Consistency class of the request.
    pub class: Class,
    /// Server that ran the request last.
    pub server: Option<Name>,
    /// Role in which that server was used.
    #[serde(rename = "by")]
    pub served_by: Option<ServedBy>,
    /// Why that server was chosen.
    #[serde(rename = "why")]
    pub rationale: Option<Rationale>,
    /// Number of executions.
    #[serde(rename = "tries")]
    pub executions: u32,
    /// Time from submission to outcome, in microseconds.
    pub took_us: u64,
    /// Outcome without its content.
    pub outcome: OutcomeKind,
}

/// Outcome of a request without its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// The request ran, and its response is complete.
    Answered,
    /// The request did not run.
    Refused(Reason),
    /// An earlier submission of the request had committed, so it was not run again.
    AlreadyRan,
    /// It is not known whether the request ran.
    Unknown(Step),
    /// The front end stopped waiting, because the caller disconnected or its key was withdrawn.
    Abandoned,
}

impl OutcomeKind {
    /// Returns the kind of an outcome.
    #[must_use]
    pub fn of<A>(outcome: &Outcome<A>) -> Self {
        match outcome {
            Outcome::Answered(_) => Self::Answered,
            Outcome::Refused(refusal) => Self::Refused(refusal.reason),
            Outcome::AlreadyRan(_) => Self::AlreadyRan,
            Outcome::Unknown(step) => Self::Unknown(*step),
        }
    }

    /// Returns the value of the metrics label `outcome`.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused(_) => "refused",
            Self::AlreadyRan => "already_ran",
            Self::Unknown(_) => "unknown",
            Self::Abandoned => "abandoned",
        }
    }
}

impl Journal {
    /// Creates an empty journal; `now` is the start of the engine.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            entries: VecDeque::with_capacity(REQUEST_CAPACITY),
            promotions: VecDeque::new(),
        }
    }

    /// Returns the time since the engine started, in milliseconds.
    #[must_use]
    pub fn offset_ms(&self, now: Instant) -> u64 {
        whole_milliseconds(now.saturating_duration_since(self.started_at))
    }

    /// Adds a request and evicts the oldest one if the journal is full.
    pub fn add(&mut self, entry: Entry) {
        push_bounded(&mut self.entries, entry, REQUEST_CAPACITY);
    }

    /// Adds a promotion and evicts the oldest one if the journal is full.
    pub fn add_promotion(&mut self, promotion: Promotion) {
        push_bounded(&mut self.promotions, promotion, PROMOTION_CAPACITY);
    }

    /// Returns the requests, the oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Returns the promotions, the oldest first.
    pub fn promotions(&self) -> impl Iterator<Item = &Promotion> {
        self.promotions.iter()
    }
}

fn push_bounded<T>(ring: &mut VecDeque<T>, item: T, capacity: usize) {
    if ring.len() == capacity {
        ring.pop_front();
    }
    ring.push_back(item);
}

/// Returns a duration in whole milliseconds, at most `u64::MAX`.
#[must_use]
pub fn whole_milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
