//! Health of one backend server, derived from its responses to this host.

use crate::routing::LAG_RETRY_DELAY;
use fulmargw_model::position::Position;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time without any response to an outstanding statement after which a server counts as
/// unresponsive.
///
/// It is longer than a server takes to work off a full statement queue.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without a response to an outstanding commit after which a primary counts as stuck.
pub const COMMIT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a server may close each new connection without a response before it counts as
/// unreachable.
///
/// A server at its connection limit closes new connections, and it counts the connections of a
/// host that lost power for another 3 s.
pub const DROP_TIMEOUT: Duration = Duration::from_secs(4);
/// First delay before another statement is sent to a server without a free slot.
const BUSY_DELAY: Duration = Duration::from_millis(15);
/// Number of times that this delay doubles. A longer delay would leave freed slots unused.
const BUSY_DOUBLINGS: u32 = 2;
/// First delay before another connection is opened to a server after a failure; it doubles with
/// each further failure.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Upper limit of that delay.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(400);

/// Why a server counts as failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Connections cannot be opened, are closed without a response, or break.
    Unreachable,
    /// Statements get no response.
    Silent,
    /// Commits get no response, although other statements do.
    Stuck,
}

/// Health of a server as its responses show it.
#[derive(Debug, Clone)]
pub struct Health {
    /// Statements without a response yet: time of sending, and whether each one commits.
    outstanding: BTreeMap<u64, (Instant, bool)>,
    next_ticket: u64,
    /// Time of the last response to any statement.
    last_response: Option<Instant>,
    /// Time of the last response to a commit.
    last_commit_response: Option<Instant>,
    /// Connection failures since the last response.
    failures: u32,
    /// Time of the first of these failures.
    failing_since: Option<Instant>,
    /// Time until which the server gets no new statements.
    paused_until: Option<Instant>,
    /// Connections that the server rejected or closed since it last accepted one.
    rejected_connections: u32,
    /// Time since which the server has closed new connections without any response.
    dropping_since: Option<Instant>,
    /// Rejections in a row because no slot was free.
    busy_rejections: u32,
    /// Time before which no connection is opened.
    open_after: Option<Instant>,
    /// Position that the server lagged behind, and when it reported so.
    lagged: Option<(Position, Instant)>,
    /// Log position that the server reported last.
    pub applied: Option<Position>,
}

/// Handle of an outstanding statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

impl Health {
    /// Returns the state of a server that has not been contacted yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            outstanding: BTreeMap::new(),
            next_ticket: 0,
            last_response: None,
            last_commit_response: None,
            failures: 0,
            failing_since: None,
            paused_until: None,
            rejected_connections: 0,
            dropping_since: None,
            busy_rejections: 0,
            open_after: None,
            lagged: None,
            applied: None,
        }
    }

    /// Records that a statement was sent.
    pub fn record_sent(&mut self, commits: bool, now: Instant) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.outstanding.insert(ticket, (now, commits));
        Ticket(ticket)
    }

    /// Records the response to a statement.
    pub fn record_response(&mut self, ticket: Ticket, now: Instant) {
        if let Some((_, true)) = self.outstanding.remove(&ticket.0) {
            self.last_commit_response = Some(now);
        }
        self.last_response = Some(now);
        self.failures = 0;
        self.failing_since = None;
        self.dropping_since = None;
        self.paused_until = None;
    }

    /// Reports whether a commit was sent and has no response yet.
    #[must_use]
    pub fn has_outstanding_commit(&self) -> bool {
        self.outstanding.values().any(|(_, commits)| *commits)
    }

    /// Stops waiting for the response to a statement.
    pub fn forget(&mut self, ticket: Ticket) {
        self.outstanding.remove(&ticket.0);
    }

    /// Records a connection that could not be opened or that broke.
    pub fn record_failure(&mut self, now: Instant) {
        let delay = MIN_RECONNECT_DELAY.saturating_mul(1 << self.failures.min(6));
        self.failures += 1;
        self.failing_since.get_or_insert(now);
        self.paused_until = Some(now + delay.min(MAX_RECONNECT_DELAY));
    }

    /// Records that the server rejected a connection because it has too many.
    pub fn record_connection_limit(&mut self, now: Instant) {
        self.dropping_since = None;
        self.delay_opening(now);
    }

    /// Records that the server accepted a connection and closed it without a response.
    pub fn record_drop(&mut self, now: Instant) {
        self.dropping_since.get_or_insert(now);
        self.delay_opening(now);
    }

    fn delay_opening(&mut self, now: Instant) {
        let delay = MIN_RECONNECT_DELAY.saturating_mul(1 << self.rejected_connections.min(6));
        self.rejected_connections += 1;
        self.open_after = Some(now + delay.min(MAX_RECONNECT_DELAY));
    }

    /// Records that the server rejected a statement because it had no free slot. Call it after
    /// [`Self::record_response`].
    ///
    /// Each rejection in a row makes the delay longer, so that hosts do not load the server with
    /// statements that it rejects.
    pub fn record_busy(&mut self, now: Instant) {
        let delay = BUSY_DELAY.saturating_mul(1 << self.busy_rejections.min(BUSY_DOUBLINGS));
        self.busy_rejections += 1;
        self.pause(now + delay);
    }

    /// Records that the server had a free slot.
    pub fn record_free_slot(&mut self) {
        self.busy_rejections = 0;
    }

    /// Records that the server accepted a connection.
    pub fn record_opened(&mut self) {
        self.rejected_connections = 0;
        self.open_after = None;
    }

    /// Reports whether a connection may be opened now.
    #[must_use]
    pub fn can_open(&self, now: Instant) -> bool {
        self.open_after.is_none_or(|after| after <= now)
    }

    /// Sends no new statements to the server until `until`.
    pub fn pause(&mut self, until: Instant) {
        self.paused_until = Some(
            self.paused_until
                .map_or(until, |current| current.max(until)),
        );
    }

    /// Records that the server lagged behind a position.
    pub fn record_lag(&mut self, position: Position, now: Instant) {
        self.lagged = Some((position, now));
    }

    /// Returns the position that the server recently lagged behind, and how long ago.
    #[must_use]
    pub fn recent_lag(&self, now: Instant) -> Option<(Position, Duration)> {
        let (position, at) = self.lagged?;
        let ago = now.saturating_duration_since(at);
        (ago < LAG_RETRY_DELAY).then_some((position, ago))
    }

    /// Reports whether the server may get new statements.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        self.paused_until.is_none_or(|until| until <= now)
            && self.time_unresponsive(now) < SILENCE_TIMEOUT
    }

    /// Returns why the server counts as failed, and for how long it has.
    #[must_use]
    pub fn trouble(&self, now: Instant) -> Option<(Trouble, Duration)> {
        if let Some(since) = self.failing_since {
            return Some((Trouble::Unreachable, now.saturating_duration_since(since)));
        }
        let dropping_for = self
            .dropping_since
            .map(|since| now.saturating_duration_since(since));
        if let Some(age) = dropping_for.filter(|age| *age >= DROP_TIMEOUT) {
            return Some((Trouble::Unreachable, age));
        }
        let unresponsive = self.time_unresponsive(now);
        if unresponsive >= SILENCE_TIMEOUT {
            return Some((Trouble::Silent, unresponsive));
        }
        let stuck = time_without_response(
            self.outstanding.values().filter(|it| it.1),
            self.last_commit_response,
            now,
        );
        (stuck >= COMMIT_TIMEOUT).then_some((Trouble::Stuck, stuck))
    }

    /// Reports whether the server responded within the last `within`.
    #[must_use]
    pub fn has_responded(&self, within: Duration, now: Instant) -> bool {
        self.last_response
            .is_some_and(|at| now.saturating_duration_since(at) <= within)
    }

    /// Returns for how long statements have been outstanding without any response.
    fn time_unresponsive(&self, now: Instant) -> Duration {
        time_without_response(self.outstanding.values(), self.last_response, now)
    }
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the time since the oldest outstanding statement was sent, or since the last response
/// if that is shorter.
fn time_without_response<'a>(
    outstanding: impl Iterator<Item = &'a (Instant, bool)>,
    last_response: Option<Instant>,
    now: Instant,
) -> Duration {
    let oldest = outstanding.map(|(sent, _)| *sent).min();
    oldest.map_or(Duration::ZERO, |sent| {
        let since = last_response.map_or(sent, |responded| responded.max(sent));
        now.saturating_duration_since(since)
    })
}
