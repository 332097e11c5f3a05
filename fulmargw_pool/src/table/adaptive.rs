//! What the responses of a backend server say about how many statements it takes well, how fast it is
//! and whether it fails part of them.

use super::{Backend, Group};
use crate::dialect::Dialect;
use fulmargw_decision::{
    concurrency::{Limiter, Usual},
    ejection::{self, Outcome, Record},
};
use fulmargw_model::{
    execution::{Kind, Request},
    name::Name,
};
use std::time::Duration;
use tokio::time::Instant;

/// Slowness of a server of the usual speed, in percent.
pub const ORDINARY_PERCENT: u32 = 100;
/// Upper limit of a slowness in percent.
const MAX_PERCENT: f64 = 10_000.0;
/// Factor by which the failures of a server must exceed those of each other one before it is
/// ejected. If all of them fail, the cause is elsewhere.
const OUTLIER_FACTOR: f64 = 2.0;

/// Statements that are expected to take the same time on servers of the same speed: those of routes
/// with the same priority that do the same. The objective of a request is no part of it: it shrinks
/// while a read is passed on from zone to zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Work {
    priority: u32,
    kind: u8,
}

impl Work {
    /// Returns the kind of work of a statement.
    #[must_use]
    pub fn of(request: &Request) -> Self {
        let kind = match request.statement.kind {
            Kind::Read => 0,
            Kind::Write => 1,
            Kind::FirstInTransaction { .. } => 2,
            Kind::InTransaction => 3,
            Kind::Commit => 4,
            Kind::Rollback => 5,
        };
        Self {
            priority: request.priority,
            kind,
        }
    }
}

/// Usual times of the work of a service.
pub type UsualTimes = Usual<Work>;

/// How a statement that was sent to a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The server ran it.
    Ran(Duration),
    /// The server ran it and reported an error of its own.
    Failed(Duration),
    /// The server rejected it for lack of a slot.
    Rejected,
    /// It got no response before its deadline.
    TimedOut,
    /// Its connection broke.
    Broken,
}

/// A statement that ended on a server.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    /// Kind of work.
    pub work: Work,
    /// Statements of this host that ran there when it was sent, itself included.
    pub running: u32,
    /// How it ended.
    pub ending: Ending,
}

/// State of one server that follows its responses.
#[derive(Debug, Clone)]
pub struct Adaptation {
    limiter: Limiter,
    record: Record,
}

impl Adaptation {
    fn new(max: u32, now: Instant) -> Self {
        Self {
            limiter: Limiter::new(max, now),
            record: Record::new(now),
        }
    }

    /// Returns the maximum number of statements at a time.
    #[must_use]
    pub fn limit(&self, now: Instant) -> u32 {
        self.record.allowed(self.limiter.limit(), now)
    }

    /// Returns how long a statement takes there, in percent of what is usual.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the percentage is clamped to the range of the type"
    )]
    pub fn slowness_percent(&self, now: Instant) -> u32 {
        let percent = f64::from(ORDINARY_PERCENT) * self.limiter.slowness(now);
        percent.clamp(f64::from(ORDINARY_PERCENT), MAX_PERCENT) as u32
    }

    fn observe(&mut self, usual: &mut UsualTimes, seen: &Observation, now: Instant) {
        self.limiter.record_sent(seen.running);
        match seen.ending {
            Ending::Ran(elapsed) | Ending::Failed(elapsed) => {
                let is_slow = self.limiter.slowness(now) > 1.0;
                let sample = usual.compare(seen.work, elapsed, is_slow, now);
                self.limiter.record_response(sample, seen.running, now);
            }
            Ending::Rejected | Ending::TimedOut => self.limiter.record_rejection(),
            Ending::Broken => {}
        }
    }

    /// Records the outcome and returns whether the server should be ejected.
    fn record(&mut self, ending: Ending, now: Instant) -> bool {
        let outcome = match ending {
            Ending::Ran(_) | Ending::Rejected => Outcome::Success,
            Ending::Failed(_) | Ending::TimedOut | Ending::Broken => Outcome::Failure,
        };
        self.record.record(outcome, now)
    }
}

impl<D: Dialect> Backend<D> {
    /// Returns the maximum number of this host's statements at a time.
    ///
    /// A primary keeps its share: no other server can run what it is not sent, so a lower limit
    /// only makes callers wait.
    #[must_use]
    pub fn max_running(&self, is_primary: bool, now: Instant) -> u32 {
        let share = self.share().running;
        let adaptation = self.adaptation.as_ref().filter(|_| !is_primary);
        adaptation.map_or(share, |adaptation| adaptation.limit(now).min(share))
    }

    /// Reports whether the server gets no statements because it failed part of them.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        let adaptation = self.adaptation.as_ref();
        adaptation.is_some_and(|adaptation| adaptation.record.is_ejected(now))
    }

    /// Returns how long a statement takes there, in percent of what is usual.
    #[must_use]
    pub fn slowness_percent(&self, now: Instant) -> u32 {
        let adaptation = self.adaptation.as_ref();
        adaptation.map_or(ORDINARY_PERCENT, |adaptation| {
            adaptation.slowness_percent(now)
        })
    }
}

impl<D: Dialect> Group<D> {
    /// Records how a statement ended on a server: adjusts its limit, and ejects a replica that fails
    /// part of its statements.
    pub fn observe(&mut self, server: &Name, seen: &Observation, now: Instant) {
        let is_primary = self.primary_id.as_ref() == Some(server);
        let Some(backend) = self.backends.get_mut(server) else {
            return;
        };
        let max = backend.share().running;
        let adaptation = backend
            .adaptation
            .get_or_insert_with(|| Adaptation::new(max, now));
        adaptation.observe(&mut self.usual, seen, now);
        adaptation.limiter.set_max(max);
        if let Some(change) = adaptation.limiter.adjust(now) {
            metrics::gauge!("fulmargw_pool_server_limit", "server" => server.as_str().to_owned())
                .set(f64::from(change.limit));
            if change.limit.abs_diff(change.previous) > 1 || change.rejections > 0 {
                log::info!(event = "server_limit", server = server.as_str(), limit = change.limit, previous = change.previous, load_ratio = change.load_ratio, rejections = change.rejections; "limit of concurrent statements on a backend server changed");
            }
        }
        let should_eject = adaptation.record(seen.ending, now);
        if should_eject && !is_primary && self.may_eject(server, now) {
            self.eject(server, now);
        }
    }

    /// Reports whether a replica fails more than the others, and the group can do without it.
    fn may_eject(&self, server: &Name, now: Instant) -> bool {
        let share = |id: &Name| {
            let adaptation = self.backends.get(id).and_then(|it| it.adaptation.as_ref());
            adaptation.map_or(0.0, |it| it.record.failure_share())
        };
        let others = || self.backends.keys().filter(|id| *id != server);
        let is_outlier = others().all(|id| share(id) * OUTLIER_FACTOR <= share(server));
        let is_ejected = |id: &&Name| {
            let backend = self.backends.get(*id);
            backend.is_some_and(|it| it.is_ejected(now))
        };
        let ejected = others().filter(is_ejected).count();
        // A server on which this host runs no statements proves nothing: its executor may be ejecting
        // it at this moment.
        let usable = others().filter(|id| {
            let is_replica = self.primary_id.as_ref() != Some(id);
            let backend = self.backends.get(*id);
            is_replica
                && !is_ejected(id)
                && backend.is_some_and(|it| {
                    it.health.is_usable(now)
                        && it.accepts(now)
                        && it.draining_since.is_none()
                        && it.adaptation.is_some()
                })
        });
        is_outlier && ejection::may_eject(self.backends.len(), ejected, usable.count())
    }

    fn eject(&mut self, server: &Name, now: Instant) {
        let backend = self.backends.get_mut(server);
        let Some(adaptation) = backend.and_then(|backend| backend.adaptation.as_mut()) else {
            return;
        };
        let failure_share = adaptation.record.failure_share();
        let duration = adaptation.record.eject(now);
        metrics::counter!("fulmargw_pool_ejections_total").increment(1);
        log::warn!(event = "server_ejected", server = server.as_str(), failure_share, duration_ms = crate::clock::millis(duration); "backend server fails part of its statements; sending it none for a time");
    }
}
