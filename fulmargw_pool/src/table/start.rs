//! What a process that has started has to know before it passes on the first commits.
//!
//! The process before it may have confirmed a commit barrier, on which other hosts rely. A claim names the
//! server of a promotion that may be about to take effect, and it is written before the barrier is raised. So
//! commits wait until the claims have been read, and those of a service with such a claim for longer.

use super::{
    Change, Group, Servers,
    barrier::{PERIOD, Wait},
    handover::Handover,
};
use crate::{backend::Role, dialect::Dialect};
use fulmargw_model::name::Name;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A claim that names the server of a promotion which may still take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Service whose primary is to be replaced.
    pub service: Name,
    /// Server that is to be promoted.
    pub candidate: Name,
    /// Fencing token of the promotion.
    pub token: u64,
}

/// Whether a process knows the claims that were open when it started.
#[derive(Debug)]
pub struct Start {
    /// Time from which commits pass whatever is known. The barriers that an earlier process may have
    /// confirmed have ended by then.
    ends_at: Instant,
    /// Cancelled once the claims have been read.
    verified: CancellationToken,
}

impl Start {
    /// Returns the state of a process that starts now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            ends_at: now + PERIOD,
            verified: CancellationToken::new(),
        }
    }

    /// Reports whether commits are held because the claims are not known.
    #[must_use]
    pub fn holds_commits(&self, now: Instant) -> bool {
        now < self.ends_at && !self.verified.is_cancelled()
    }

    /// Returns the time since the process started; longer times than [`PERIOD`] are not told apart.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        PERIOD.saturating_sub(self.ends_at.saturating_duration_since(now))
    }

    /// Returns what the first commits wait for; `None` if the claims are known, or it has taken too long.
    pub(super) fn wait(&self, now: Instant) -> Option<Wait> {
        let wait = || Wait::new(self.ends_at, self.verified.clone());
        self.holds_commits(now).then(wait)
    }
}

impl<D: Dialect> Servers<D> {
    /// Records the claims that were read after the process had started. Returns what they have changed; `None`
    /// if they were known before.
    pub fn verify_start(&mut self, claims: Vec<Claim>, now: Instant) -> Option<Vec<Change>> {
        if self.start.verified.is_cancelled() {
            return None;
        }
        for claim in claims {
            self.handover(&claim.service.clone()).record_claim(claim);
        }
        self.start.verified.cancel();
        let mut changes = Vec::new();
        self.settle_claims(now, &mut changes);
        Some(changes)
    }

    /// Holds the commits of services with a claim whose candidate is not the primary yet, and ends the claims of
    /// the others.
    pub(super) fn settle_claims(&mut self, now: Instant, changes: &mut Vec<Change>) {
        for (service, group) in &mut self.groups {
            if let Some(handover) = self.handovers.get_mut(service) {
                handover.settle_claim(group, self.start.ends_at, now, changes);
            }
        }
    }
}

impl Handover {
    /// Records a claim, unless its promotion or a later one is known.
    fn record_claim(&mut self, claim: Claim) {
        let known = self.promotion();
        if known.is_none_or(|known| known.token < claim.token) {
            self.claim = Some(claim);
        }
    }

    /// Ends the claim and its barrier if the candidate is the primary, and the claim alone if the time for which
    /// commits may be held is over. Holds the commits otherwise.
    fn settle_claim<D: Dialect>(
        &mut self,
        group: &mut Group<D>,
        ends_at: Instant,
        now: Instant,
        changes: &mut Vec<Change>,
    ) {
        let Some(claim) = self.claim.clone() else {
            return;
        };
        let candidate = group.backends.get(&claim.candidate);
        let leads = candidate.is_some_and(|it| it.server.role == Role::Primary);
        let left = ends_at.saturating_duration_since(now);
        if left.is_zero() && !leads {
            // The barrier ends by itself. A peer may have raised it again since.
            self.claim = None;
            return;
        }
        if leads {
            group.set_promoted(&claim.candidate, now);
            let ended = self.lift(claim.token);
            changes.extend(ended.map(|ended| Change::BarrierEnded(claim.service, ended)));
            return;
        }
        let is_held = self.barrier.is_up(now);
        // A barrier with a greater token holds the commits as well.
        let _ = self.barrier.raise(claim.token, left, now);
        if !is_held {
            changes.push(Change::Claimed(claim));
        }
    }
}
