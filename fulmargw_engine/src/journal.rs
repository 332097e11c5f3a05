//! Bounded record of recent decisions.

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

/// Decisions that are kept.
pub const CAPACITY: usize = 1_024;

/// Promotions that are kept. They have a ring of their own, so that requests do not push them
/// out.
pub const PROMOTION_CAPACITY: usize = 64;

/// Recent decisions, the oldest first.
#[derive(Debug)]
pub struct Journal {
    began: Instant,
    entries: VecDeque<Entry>,
    promotions: VecDeque<Promotion>,
}

/// What became of one request.
#[derive(Debug, Clone, Serialize)]
pub struct Entry {
    /// Time of the outcome since the engine started, in milliseconds.
    pub offset_ms: u64,
    /// Identifier of the request.
    pub request: Id,
    /// Service that it is for.
    pub service: Name,
    /// Route by which it came.
    pub route: Name,
    /// Client account that it counted against.
    pub account: Name,
    /// Consistency that it needed.
    pub class: Class,
    /// Server that ran it last.
    pub server: Option<Name>,
    /// Part of that server.
    pub by: Option<ServedBy>,
    /// Why that server was chosen.
    pub why: Option<Rationale>,
    /// Number of executions.
    pub tries: u32,
    /// Time from submission to outcome, in microseconds.
    pub took_us: u64,
    /// Outcome.
    pub outcome: OutcomeKind,
}

/// An outcome without its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// It ran and was answered.
    Answered,
    /// It did not run.
    Refused(Reason),
    /// It ran before.
    AlreadyRan,
    /// It is not known whether it ran.
    Unknown(Step),
    /// The front end gave it up, because the caller went away or its key was withdrawn.
    Abandoned,
}

impl OutcomeKind {
    /// Returns the label of an outcome.
    #[must_use]
    pub fn of<A>(outcome: &Outcome<A>) -> Self {
        match outcome {
            Outcome::Answered(_) => Self::Answered,
            Outcome::Refused(refusal) => Self::Refused(refusal.reason),
            Outcome::AlreadyRan(_) => Self::AlreadyRan,
            Outcome::Unknown(step) => Self::Unknown(*step),
        }
    }

    /// Returns the value of the metrics label.
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
    /// Makes an empty journal.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            entries: VecDeque::with_capacity(CAPACITY),
            promotions: VecDeque::new(),
        }
    }

    /// Returns the time since the engine started, in milliseconds.
    #[must_use]
    pub fn offset_ms(&self, now: Instant) -> u64 {
        milliseconds(now.saturating_duration_since(self.began))
    }

    /// Adds an entry and forgets the oldest one if the journal is full.
    pub fn add(&mut self, entry: Entry) {
        push(&mut self.entries, entry, CAPACITY);
    }

    /// Adds a promotion and forgets the oldest one if there are too many.
    pub fn add_promotion(&mut self, promotion: Promotion) {
        push(&mut self.promotions, promotion, PROMOTION_CAPACITY);
    }

    /// Returns the entries, the oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Returns the promotions, the oldest first.
    pub fn promotions(&self) -> impl Iterator<Item = &Promotion> {
        self.promotions.iter()
    }
}

fn push<T>(ring: &mut VecDeque<T>, item: T, capacity: usize) {
    if ring.len() == capacity {
        ring.pop_front();
    }
    ring.push_back(item);
}

/// Returns whole milliseconds.
#[must_use]
pub fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
