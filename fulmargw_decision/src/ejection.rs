//! Outlier ejection: takes a replica out of use for a time if it fails part of its statements,
//! whatever its health check says.
//!
//! A server that fails two of five statements still passes its health check most of the time, and
//! its responses between the failures make it look alive.

use std::time::Duration;
use tokio::time::Instant;

/// Time constant with which outcomes are forgotten.
const MEMORY: Duration = Duration::from_secs(3);
/// Share of failures from which a server is ejected.
const MAX_FAILURE_SHARE: f64 = 0.25;
/// Number of outcomes, after their decay, below which the share of failures is not known.
const MIN_OUTCOMES: f64 = 8.0;
/// Duration of the first ejection. It doubles with each further one.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(8);
/// Successes in a row that end the probation after an ejection.
const PROBATION_SUCCESSES: u32 = 6;

/// Use of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    InUse,
    Ejected { until: Instant },
    Probation { successes: u32 },
}

/// Outcomes of one server's statements, and whether it is ejected.
#[derive(Debug, Clone)]
pub struct Record {
    failures: f64,
    outcomes: f64,
    updated_at: Instant,
    ejections: u32,
    state: State,
}

/// How a statement ended, as far as it says something about its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server ran it, or rejected it with a reason that does not concern its own state.
    Success,
    /// It ended with an error of the server, a broken connection or no response.
    Failure,
}

impl Record {
    /// Creates the record of a server in use.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            failures: 0.0,
            outcomes: 0.0,
            updated_at: now,
            ejections: 0,
            state: State::InUse,
        }
    }

    /// Records how a statement ended. Returns whether the server should be ejected, if the group
    /// allows it: see [`may_eject`].
    pub fn record(&mut self, outcome: Outcome, now: Instant) -> bool {
        self.update(outcome, now);
        if let State::Ejected { until } = self.state
            && now >= until
        {
            self.state = State::Probation { successes: 0 };
        }
        match (&mut self.state, outcome) {
            (State::Probation { successes }, Outcome::Success) => {
                *successes += 1;
                if *successes >= PROBATION_SUCCESSES {
                    self.state = State::InUse;
                    self.ejections = 0;
                    self.outcomes = 0.0;
                    self.failures = 0.0;
                }
                false
            }
            (State::Probation { .. }, Outcome::Failure) => true,
            (State::InUse, _) => {
                self.outcomes >= MIN_OUTCOMES && self.failures > self.outcomes * MAX_FAILURE_SHARE
            }
            (State::Ejected { .. }, _) => false,
        }
    }

    fn update(&mut self, outcome: Outcome, now: Instant) {
        let age = now.saturating_duration_since(self.updated_at);
        let decay = (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.updated_at = now;
        self.outcomes = self.outcomes * decay + 1.0;
        self.failures *= decay;
        if outcome == Outcome::Failure {
            self.failures += 1.0;
        }
    }

    /// Ejects the server and returns for how long.
    pub fn eject(&mut self, now: Instant) -> Duration {
        let duration = MIN_EJECTION
            .saturating_mul(1 << self.ejections.min(8))
            .min(MAX_EJECTION);
        self.ejections += 1;
        self.state = State::Ejected {
            until: now + duration,
        };
        duration
    }

    /// Returns the maximum number of statements at a time: none while the server is ejected, one
    /// in its probation afterwards, and otherwise `limit`.
    #[must_use]
    pub fn allowed(&self, limit: u32, now: Instant) -> u32 {
        match self.state {
            State::InUse => limit,
            State::Ejected { until } if now < until => 0,
            State::Ejected { .. } | State::Probation { .. } => limit.min(1),
        }
    }

    /// Reports whether the server is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        matches!(self.state, State::Ejected { until } if now < until)
    }

    /// Returns the share of failures among the recent outcomes.
    #[must_use]
    pub fn failure_share(&self) -> f64 {
        if self.outcomes > 0.0 {
            self.failures / self.outcomes
        } else {
            0.0
        }
    }
}

/// Reports whether another replica of a group may be ejected: at most a third of the group is, and
/// at least one other replica stays usable.
#[must_use]
pub fn may_eject(servers: usize, ejected: usize, other_usable_replicas: usize) -> bool {
    (ejected + 1) * 3 <= servers && other_usable_replicas > 0
}
