//! What a host knows of the replacement of primaries.
//!
//! It is kept apart from the backend servers, so that the order in which a process that starts learns of
//! the registry, of promotions and of commit barriers does not matter.

use super::{
    Change, Group, PROMOTION_GRACE, Servers,
    barrier::{Barrier, Ended, Wait},
    contact::Contact,
    start::Claim,
};
use crate::{clock, dialect::Dialect};
use fulmargw_decision::contact::Requests;
use fulmargw_model::name::Name;
use fulmargw_peer::report::Promotion;
use tokio::time::Instant;

/// What a host knows of the replacement of the primary of one service, whether or not it knows any server of
/// that service.
#[derive(Debug, Default)]
pub struct Handover {
    /// Holds the commits of the service while its primary is replaced.
    pub barrier: Barrier,
    /// Latest known promotion.
    latest: Option<Latest>,
    /// Claim that was open when the process started.
    pub(super) claim: Option<Claim>,
    /// Contact of this host with the witnesses of the service.
    pub contact: Contact,
    /// Requests that this host has had as a witness of the service.
    pub requests: Requests,
}

/// The latest known promotion of a service.
#[derive(Debug)]
struct Latest {
    promotion: Promotion,
    known_at: Instant,
    /// Whether its server still has to become the assumed primary, because it was not registered yet.
    is_pending: bool,
}

/// What a promotion has changed on this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Applied {
    /// Whether the assumed primary is another server now.
    pub is_new_primary: bool,
    /// The commit barrier that it has ended.
    pub ended: Option<Ended>,
}

impl Handover {
    /// Returns the latest known promotion.
    #[must_use]
    pub fn promotion(&self) -> Option<&Promotion> {
        self.latest.as_ref().map(|latest| &latest.promotion)
    }

    /// Returns the fencing token of the latest promotion or of the open claim, if it is for a server.
    #[must_use]
    pub fn token_of(&self, server: &Name) -> Option<u64> {
        let promotion = self.promotion().filter(|it| it.server == *server);
        let claim = self.claim.as_ref().filter(|it| it.candidate == *server);
        promotion.map(|it| it.token).max(claim.map(|it| it.token))
    }

    /// Ends the barrier and the claim, unless they have a greater token.
    pub fn lift(&mut self, token: u64) -> Option<Ended> {
        self.claim.take_if(|claim| claim.token <= token);
        self.barrier.lift(token)
    }

    /// Makes the promoted server the assumed primary of its group once it is registered, and ends the barrier
    /// then. While it is not registered, the assumed primary is still the old one, so commits are held.
    fn apply<D: Dialect>(&mut self, group: &mut Group<D>, now: Instant) -> Option<Applied> {
        let latest = self.latest.as_mut().filter(|latest| latest.is_pending)?;
        let Promotion { server, token, .. } = &latest.promotion;
        let token = *token;
        if !group.backends.contains_key(server) {
            // A server that registers later than this is a new process under the same identifier.
            let since = latest.known_at.max(group.known_since);
            let left = (since + PROMOTION_GRACE).saturating_duration_since(now);
            latest.is_pending = !left.is_zero();
            if latest.is_pending {
                // A barrier with a greater token holds the commits as well.
                let _ = self.barrier.raise(token, left, now);
            }
            return None;
        }
        latest.is_pending = false;
        Some(Applied {
            is_new_primary: group.set_promoted(server, now),
            ended: self.lift(token),
        })
    }
}

impl<D: Dialect> Servers<D> {
    /// Returns what is known of the replacement of a primary, to be changed.
    pub fn handover(&mut self, service: &Name) -> &mut Handover {
        self.handovers.entry(service.clone()).or_default()
    }

    /// Returns the latest known promotion of a service.
    #[must_use]
    pub fn promotion(&self, service: &Name) -> Option<&Promotion> {
        self.handovers.get(service)?.promotion()
    }

    /// Returns the latest known promotions of all services.
    pub fn promotions(&self) -> impl Iterator<Item = &Promotion> {
        self.handovers.values().filter_map(Handover::promotion)
    }

    /// Records a promotion, and applies it as soon as its server is registered. Returns what it has changed;
    /// `None` if it is not newer than the latest known one of its service.
    pub fn record_promotion(&mut self, promotion: &Promotion, now: Instant) -> Option<Applied> {
        let service = &promotion.service;
        let handover = self.handovers.entry(service.clone()).or_default();
        let known = handover.promotion();
        if known.is_some_and(|known| known.token >= promotion.token) {
            return None;
        }
        handover.latest = Some(Latest {
            promotion: promotion.clone(),
            known_at: now,
            is_pending: true,
        });
        let group = self.groups.get_mut(service);
        let applied = group.and_then(|group| handover.apply(group, now));
        Some(applied.unwrap_or(Applied {
            is_new_primary: false,
            ended: None,
        }))
    }

    /// Applies the promotions whose servers have been registered since they became known.
    pub(super) fn apply_promotions(&mut self, now: Instant, changes: &mut Vec<Change>) {
        for (service, group) in &mut self.groups {
            let Some(handover) = self.handovers.get_mut(service) else {
                continue;
            };
            let Some(Applied {
                is_new_primary,
                ended,
            }) = handover.apply(group, now)
            else {
                continue;
            };
            let promoted = group.primary().filter(|_| is_new_primary);
            changes.extend(promoted.map(|it| Change::PrimaryPromoted(it.server.clone())));
            changes.extend(ended.map(|ended| Change::BarrierEnded(service.clone(), ended)));
        }
    }

    /// Returns what the commits of a service wait for; `None` if they may be sent.
    #[must_use]
    pub fn wait(&self, service: &Name, now: Instant) -> Option<Wait> {
        let handover = self.handovers.get(service);
        let barrier = handover.and_then(|it| it.barrier.wait(now));
        barrier.or_else(|| self.start.wait(now))
    }

    /// Reports whether the commits of a service have to wait.
    #[must_use]
    pub fn holds_commits(&self, service: &Name, now: Instant) -> bool {
        let handover = self.handovers.get(service);
        let has_lost_contact =
            || handover.is_some_and(|it| it.contact.is_lost(clock::since_boot()));
        self.wait(service, now).is_some() || has_lost_contact()
    }
}
