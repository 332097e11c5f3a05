//! Steps of a graceful stop, and the time by which each one has to end.

use serde::Serialize;
use std::time::Duration;

/// Time until the balancer has noticed that a host is not ready. It probes every second and
/// removes a host after the second failure.
const NOTICE_TIME: Duration = Duration::from_millis(2_300);
/// Time reserved at the end of the grace period for closing connections and ending the runtime.
const CLOSE_RESERVE: Duration = Duration::from_millis(700);
/// Time after the last session for which responses may still be in transit to callers.
const TRANSIT_TIME: Duration = Duration::from_millis(20);
/// Time before the end of the grace period at which a process that still runs is ended, so that its
/// last line is written before a supervisor kills it.
const FORCE_LEAD: Duration = Duration::from_millis(200);
/// Time that the runtime always has to end its tasks, also if the grace period is too short for it.
const MIN_RUNTIME_TIME: Duration = Duration::from_millis(300);
/// Time beyond the end of a step after which the step is reported as late. A host that has used up
/// its CPU quota pauses for up to 100 ms.
const LATE_MARGIN: Duration = Duration::from_millis(250);

/// A step of a graceful stop, in the order in which they are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The stop has not begun.
    Serving,
    /// The balancer notices that the host is not ready.
    Notice,
    /// Idle sessions are closed; statements and open transactions end by themselves.
    Sessions,
    /// Open transactions are rolled back.
    Transactions,
    /// Responses in transit reach the callers.
    Connections,
    /// The runtime ends its tasks, and the last log lines are written.
    Runtime,
}

impl Step {
    /// All steps in order.
    pub const ALL: [Self; 6] = [
        Self::Serving,
        Self::Notice,
        Self::Sessions,
        Self::Transactions,
        Self::Connections,
        Self::Runtime,
    ];

    /// Returns the name of the step in log lines and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Notice => "notice",
            Self::Sessions => "sessions",
            Self::Transactions => "transactions",
            Self::Connections => "connections",
            Self::Runtime => "runtime",
        }
    }

    /// Returns the step with a position in [`Self::ALL`]; the last one if there is none.
    #[must_use]
    pub fn at(position: u8) -> Self {
        let step = Self::ALL.get(usize::from(position));
        step.copied().unwrap_or(Self::Runtime)
    }
}

/// The times of a graceful stop, counted from the signal that requested it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    grace: Duration,
}

impl Plan {
    /// Returns the plan of a stop that takes no longer than `grace`.
    #[must_use]
    pub const fn new(grace: Duration) -> Self {
        Self { grace }
    }

    /// Returns the grace period.
    #[must_use]
    pub const fn grace(self) -> Duration {
        self.grace
    }

    /// Returns the time by which a step has to end. It does not decrease from one step to the next.
    #[must_use]
    pub fn end(self, step: Step) -> Duration {
        let half = self.grace / 2;
        match step {
            Step::Serving => Duration::ZERO,
            Step::Notice => NOTICE_TIME.min(half),
            Step::Sessions => half,
            Step::Transactions => self.grace.saturating_sub(CLOSE_RESERVE).max(half),
            Step::Connections => self.end(Step::Transactions) + TRANSIT_TIME,
            Step::Runtime => self.force_at(),
        }
    }

    /// Returns the time until which responses are in transit after the last session has ended.
    #[must_use]
    pub fn transit_end(self, last_session_ended: Duration) -> Duration {
        (last_session_ended + TRANSIT_TIME).min(self.end(Step::Connections))
    }

    /// Returns the time at which a step is reported as late if it has not ended; `None` for the last
    /// two, shortly after which the process is ended.
    #[must_use]
    pub fn late_at(self, step: Step) -> Option<Duration> {
        if step >= Step::Connections {
            return None;
        }
        let late_at = self.end(step) + LATE_MARGIN;
        (late_at < self.force_at()).then_some(late_at)
    }

    /// Returns the time at which a process that still runs is ended. It is within the grace period,
    /// unless that is shorter than a second.
    #[must_use]
    pub fn force_at(self) -> Duration {
        let shortest = self.end(Step::Transactions) + MIN_RUNTIME_TIME;
        self.grace.saturating_sub(FORCE_LEAD).max(shortest)
    }
}
