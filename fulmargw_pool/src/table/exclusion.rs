//! What backend servers of evacuated zones, and cold ones, may be sent.

use super::{Backend, Group, Servers};
use crate::{backend::Server, catalog::Cold, dialect::Dialect, health::Health};
use fulmargw_decision::{
    cold::{Bucket, Limit},
    evacuation::{Exclusion, Standing},
};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Limit of the requests to a server while it is cold.
#[derive(Debug, Clone, Copy)]
pub(super) struct ColdState {
    bucket: Bucket,
    /// Whether this host runs the statements of the service. No other host sends the server any.
    is_holder: bool,
}

impl<D: Dialect> Servers<D> {
    /// Replaces the zones whose servers get nothing. Closes the idle connections there.
    pub fn set_exclusion(&mut self, exclusion: Exclusion) {
        self.exclusion = exclusion;
        self.apply_exclusion();
    }

    /// Returns the zones whose servers get nothing.
    #[must_use]
    pub fn exclusion(&self) -> &Exclusion {
        &self.exclusion
    }

    /// Closes or opens each server, as its zone requires.
    pub(super) fn apply_exclusion(&mut self) {
        let groups = self.groups.values_mut();
        for backend in groups.flat_map(|group| group.backends.values_mut()) {
            if self.exclusion.contains(&backend.server.zone) {
                backend.exclude();
            } else {
                backend.admit();
            }
        }
    }
}

impl<D: Dialect> Group<D> {
    /// Returns the servers as far as orders concern them. `is_suitable` reports whether a server is
    /// suitable apart from its zone being evacuated.
    #[must_use]
    pub fn standings(&self, is_suitable: impl Fn(&Server) -> bool) -> Vec<Standing> {
        let standing = |backend: &Backend<D>| Standing {
            is_primary: self.primary_id.as_ref() == Some(&backend.server.id),
            is_evacuated: backend.is_excluded(),
            is_suitable: is_suitable(&backend.server),
        };
        self.backends.values().map(standing).collect()
    }

    /// Reports whether a server of the group gets nothing because of its zone.
    #[must_use]
    pub fn has_excluded(&self) -> bool {
        self.backends.values().any(Backend::is_excluded)
    }
}

impl<D: Dialect> Backend<D> {
    /// Reports whether the server gets nothing because of its zone.
    #[must_use]
    pub fn is_excluded(&self) -> bool {
        self.gate.is_cancelled()
    }

    /// Returns the token that is cancelled once the server gets nothing any more. Each connection
    /// has a copy and sends nothing from then on.
    #[must_use]
    pub fn gate(&self) -> CancellationToken {
        self.gate.clone()
    }

    fn exclude(&mut self) {
        if !self.is_excluded() {
            self.gate.cancel();
            self.close_idle();
        }
    }

    /// Lets the server get statements again. What was known of its health is out of date.
    fn admit(&mut self) {
        if self.is_excluded() {
            self.gate = CancellationToken::new();
            self.health = Health::new();
        }
    }

    /// Reports whether the server may get a statement now: its zone is not evacuated, and the limit
    /// of a cold server allows one.
    #[must_use]
    pub fn accepts(&self, now: Instant) -> bool {
        let is_within_limit = |cold: &ColdState| cold.is_holder && cold.bucket.has_token(now);
        !self.is_excluded() && self.cold.as_ref().is_none_or(is_within_limit)
    }

    /// Reports whether the requests to the server are limited because it is cold.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.cold.is_some()
    }

    /// Counts requests to the server if it is cold.
    pub fn count_requests(&mut self, requests: u32, now: Instant) {
        if let Some(cold) = &mut self.cold {
            cold.bucket.take(requests, now);
        }
    }

    /// Limits the requests to the server while it is cold, or ends the limit. Returns whether it
    /// begins or ends. `cold` is what the server serves while it is cold, with the allowed overage
    /// and slack in `limit`.
    pub fn limit_cold(&mut self, cold: Option<(Cold, Limit)>, now: Instant) -> bool {
        let limit = cold
            .filter(|(cold, _)| self.may_be_cold(cold.duration, now))
            .map(|(_, limit)| limit);
        let was_cold = self.is_cold();
        match (limit, &mut self.cold) {
            (None, _) => self.cold = None,
            (Some(limit), Some(cold)) => cold.bucket.set_limit(limit, now),
            (Some(limit), None) => {
                self.cold = Some(ColdState {
                    bucket: Bucket::new(limit, now),
                    is_holder: false,
                });
            }
        }
        was_cold != self.is_cold()
    }

    /// Reports whether the server was cold when it wrote its entry and may still be. A server that
    /// writes no further entry is warm after a cold start at the latest.
    fn may_be_cold(&self, cold_start: Duration, now: Instant) -> bool {
        let remaining = Duration::from_millis(self.server.cold_remaining_ms);
        let elapsed = now.saturating_duration_since(self.entered_at);
        !remaining.is_zero() && elapsed < remaining.max(cold_start)
    }

    /// Sets whether this host runs the statements of the service, as far as a cold server is
    /// concerned.
    pub fn set_cold_holder(&mut self, is_holder: bool, now: Instant) {
        if let Some(cold) = &mut self.cold {
            if !cold.is_holder {
                cold.bucket.clear(now);
            }
            cold.is_holder = is_holder;
        }
    }
}
