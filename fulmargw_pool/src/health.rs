//! What a host believes of one backend server from the answers it got.

use crate::routing::LAG_RETRY_DELAY;
use fulmargw_model::position::Position;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time without any answer to a waiting statement after which a server counts as silent.
///
/// It is above the time that a full queue of a server takes.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without any answer to a waiting commit after which a primary counts as stuck.
pub const COMMIT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a server may accept new connections only to drop them.
///
/// A full server drops them, and it counts the connections of a host without power for 3 s.
pub const DROP_TIMEOUT: Duration = Duration::from_secs(4);
/// First pause before a server without a free slot is tried again.
const BUSY_PAUSE: Duration = Duration::from_millis(15);
/// Times that this pause doubles. A longer one would leave slots empty that became free.
const BUSY_DOUBLINGS: u32 = 2;
/// First and longest pause before a server that refused a connection is tried again.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Why a server does not work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Connections are refused, dropped or break.
    Unreachable,
    /// Statements get no answer.
    Silent,
    /// Commits get no answer.
    Stuck,
}

/// Record of a server's answers.
#[derive(Debug, Clone)]
pub struct Health {
    /// Statements that wait for an answer: when each was sent, and whether it commits.
    waiting: BTreeMap<u64, (Instant, bool)>,
    next: u64,
    answered: Option<Instant>,
    committed: Option<Instant>,
    failures: u32,
    failing_since: Option<Instant>,
    pause_until: Option<Instant>,
    turned_away: u32,
    /// Since when new connections were dropped, without any answer.
    dropped_since: Option<Instant>,
    busy: u32,
    open_after: Option<Instant>,
    lagged: Option<(Position, Instant)>,
    /// Position that the server told last.
    pub applied: Option<Position>,
}

/// A waiting statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

impl Health {
    /// Makes a record without answers.
    #[must_use]
    pub fn new() -> Self {
        Self {
            waiting: BTreeMap::new(),
            next: 0,
            answered: None,
            committed: None,
            failures: 0,
            failing_since: None,
            pause_until: None,
            turned_away: 0,
            dropped_since: None,
            busy: 0,
            open_after: None,
            lagged: None,
            applied: None,
        }
    }

    /// Notes that a statement was sent.
    pub fn record_sent(&mut self, commits: bool, now: Instant) -> Ticket {
        let ticket = self.next;
        self.next += 1;
        self.waiting.insert(ticket, (now, commits));
        Ticket(ticket)
    }

    /// Notes the answer to a statement.
    pub fn record_response(&mut self, ticket: Ticket, now: Instant) {
        if let Some((_, true)) = self.waiting.remove(&ticket.0) {
            self.committed = Some(now);
        }
        self.answered = Some(now);
        self.failures = 0;
        self.failing_since = None;
        self.dropped_since = None;
        self.pause_until = None;
    }

    /// Notes that a statement is no longer waited for.
    pub fn forget(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket.0);
    }

    /// Notes a connection that could not be opened or that broke.
    pub fn record_failure(&mut self, now: Instant) {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.failures.min(6));
        self.failures += 1;
        self.failing_since.get_or_insert(now);
        self.pause_until = Some(now + pause.min(LONGEST_PAUSE));
    }

    /// Notes that the server said it has too many connections to open another one.
    pub fn record_connection_limit(&mut self, now: Instant) {
        self.dropped_since = None;
        self.delay_opening(now);
    }

    /// Notes that the server accepted a connection and dropped it without a word.
    pub fn record_drop(&mut self, now: Instant) {
        self.dropped_since.get_or_insert(now);
        self.delay_opening(now);
    }

    fn delay_opening(&mut self, now: Instant) {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.turned_away.min(6));
        self.turned_away += 1;
        self.open_after = Some(now + pause.min(LONGEST_PAUSE));
    }

    /// Notes that the server had no free slot, after [`Self::record_response`]. Each time in a row
    /// makes the pause longer, so that hosts do not keep it busy with refusals.
    pub fn record_busy(&mut self, now: Instant) {
        let pause = BUSY_PAUSE.saturating_mul(1 << self.busy.min(BUSY_DOUBLINGS));
        self.busy += 1;
        self.pause(now + pause);
    }

    /// Notes that the server had a free slot.
    pub fn record_free_slot(&mut self) {
        self.busy = 0;
    }

    /// Notes that the server took another connection.
    pub fn record_opened(&mut self) {
        self.turned_away = 0;
        self.open_after = None;
    }

    /// Reports whether a connection may be opened.
    #[must_use]
    pub fn can_open(&self, now: Instant) -> bool {
        self.open_after.is_none_or(|after| after <= now)
    }

    /// Keeps new work away for a time.
    pub fn pause(&mut self, until: Instant) {
        self.pause_until = Some(self.pause_until.map_or(until, |known| known.max(until)));
    }

    /// Notes that the server lacked a position.
    pub fn record_lag(&mut self, position: Position, now: Instant) {
        self.lagged = Some((position, now));
    }

    /// Returns the position that the server lacked recently, and how long ago.
    #[must_use]
    pub fn recent_lag(&self, now: Instant) -> Option<(Position, Duration)> {
        let (position, at) = self.lagged?;
        let ago = now.saturating_duration_since(at);
        (ago < LAG_RETRY_DELAY).then_some((position, ago))
    }

    /// Reports whether new work may go to the server.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        self.pause_until.is_none_or(|until| until <= now) && self.silence(now) < SILENCE_TIMEOUT
    }

    /// Returns since when the server has been in trouble, and why.
    #[must_use]
    pub fn trouble(&self, now: Instant) -> Option<(Trouble, Duration)> {
        if let Some(since) = self.failing_since {
            return Some((Trouble::Unreachable, now.saturating_duration_since(since)));
        }
        let dropping = self
            .dropped_since
            .map(|since| now.saturating_duration_since(since));
        if let Some(age) = dropping.filter(|age| *age >= DROP_TIMEOUT) {
            return Some((Trouble::Unreachable, age));
        }
        let silence = self.silence(now);
        if silence >= SILENCE_TIMEOUT {
            return Some((Trouble::Silent, silence));
        }
        let stuck = oldest(self.waiting.values().filter(|it| it.1), self.committed, now);
        (stuck >= COMMIT_TIMEOUT).then_some((Trouble::Stuck, stuck))
    }

    /// Reports whether the server answered within a time.
    #[must_use]
    pub fn has_responded(&self, within: Duration, now: Instant) -> bool {
        self.answered
            .is_some_and(|at| now.saturating_duration_since(at) <= within)
    }

    /// Returns for how long statements have waited without any answer.
    fn silence(&self, now: Instant) -> Duration {
        oldest(self.waiting.values(), self.answered, now)
    }
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the time since the oldest sending, or since the last answer if that is shorter.
fn oldest<'a>(
    waiting: impl Iterator<Item = &'a (Instant, bool)>,
    answered: Option<Instant>,
    now: Instant,
) -> Duration {
    let sent = waiting.map(|(sent, _)| *sent).min();
    sent.map_or(Duration::ZERO, |sent| {
        let since = answered.map_or(sent, |answered| answered.max(sent));
        now.saturating_duration_since(since)
    })
}
