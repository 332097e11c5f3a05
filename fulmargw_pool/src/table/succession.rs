//! Check of what a promoted server has of the commits that were acknowledged before its promotion.

use crate::clock::millis;
use fulmargw_model::{
    name::Name,
    position::{Position, Term},
};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// A promotion that this host knows of and whose effect it has not seen yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Succession {
    /// The promoted server.
    pub server: Name,
    /// Time at which this host learned of the promotion.
    known_at: Instant,
    /// Greatest index that is known to be acknowledged, by term.
    acknowledged: BTreeMap<Term, u64>,
    /// Latest term that was acknowledged before. A server without a commit of its own term reports it.
    earlier_term: Term,
}

/// What the first proof of a promoted server shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Effect {
    /// Log position that the server reported.
    pub position: Position,
    /// Acknowledged position of an earlier term that its log lacks.
    pub missing: Option<Position>,
    /// Time since this host learned of the promotion.
    pub elapsed: Duration,
}

impl Succession {
    /// Returns the state at the time at which this host learns that `server` was promoted.
    #[must_use]
    pub fn new(server: Name, acknowledged: Option<Position>, now: Instant) -> Self {
        let mut succession = Self {
            server,
            known_at: now,
            acknowledged: BTreeMap::new(),
            earlier_term: acknowledged.map_or(Term(0), |position| position.term),
        };
        if let Some(position) = acknowledged {
            succession.acknowledge(position);
        }
        succession
    }

    /// Records that a position is known to be acknowledged. It may be one of the old primary, which
    /// leads until the promotion takes effect.
    pub fn acknowledge(&mut self, position: Position) {
        let index = self.acknowledged.entry(position.term).or_default();
        *index = position.index.max(*index);
    }

    /// Returns the effect of the promotion once the server has proved to be the primary.
    #[must_use]
    pub fn effect(&self, position: Position, now: Instant) -> Effect {
        let known = self.acknowledged.iter();
        let earlier =
            known.filter(|(term, _)| **term < position.term || **term <= self.earlier_term);
        let missing = earlier
            .map(|(term, index)| Position {
                term: *term,
                index: *index,
            })
            .rfind(|acknowledged| !position.satisfies(*acknowledged));
        Effect {
            position,
            missing,
            elapsed: now.saturating_duration_since(self.known_at),
        }
    }
}

impl Effect {
    /// Writes the line of the promotion, and counts it if an acknowledged commit is missing.
    pub fn log(&self, service: &Name, server: &Name) {
        let position = (self.position.term.0, self.position.index);
        let elapsed_ms = millis(self.elapsed);
        log::info!(event = "promotion_effective", service = service.as_str(), server = server.as_str(), position:? = position, elapsed_ms; "the promoted server has proved to be the primary");
        if let Some(missing) = self.missing {
            metrics::counter!("fulmargw_pool_acknowledged_commits_missing_total").increment(1);
            log::error!(event = "acknowledged_commit_missing", service = service.as_str(), server = server.as_str(), position:? = position, acknowledged:? = (missing.term.0, missing.index); "the promoted server lacks an acknowledged commit");
        }
    }
}
