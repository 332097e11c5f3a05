//! Chooses the holder of a service: the host that runs its statements for all hosts.
//!
//! With one holder per service, client accounts share few connections to its backend servers, and
//! one host sees the whole load on their statement slots. All hosts rank the hosts for a service in
//! the same way (rendezvous hashing); the first one that is available is the holder.

use fulmargw_decision::rendezvous;
use fulmargw_model::name::Name;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

/// Rankings of hosts by service, and hosts that are excluded as holders.
#[derive(Debug, Default)]
pub struct Holders {
    rankings: BTreeMap<Name, Vec<Name>>,
    /// Hosts that do not respond.
    unresponsive: BTreeSet<Name>,
    /// End of the exclusion by service and host.
    excluded: BTreeMap<(Name, Name), Instant>,
}

impl Holders {
    /// Returns a table without hosts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Discards the rankings because the list of hosts changed.
    pub fn clear_rankings(&mut self) {
        self.rankings.clear();
    }

    /// Returns the first host in a service's ranking that is alive and not excluded.
    pub fn choose<'a>(
        &mut self,
        service: &Name,
        hosts: impl IntoIterator<Item = &'a Name>,
        is_alive: impl Fn(&Name) -> bool,
        now: Instant,
    ) -> Option<Name> {
        let ranking = self.rankings.entry(service.clone()).or_insert_with(|| {
            let ranking = rendezvous::ranking(service.as_str().as_bytes(), hosts);
            ranking.into_iter().cloned().collect()
        });
        let is_available = available(&self.excluded, &self.unresponsive, service, is_alive, now);
        ranking.iter().find(|host| is_available(host)).cloned()
    }

    /// Returns the first host in a ranking of a service's hosts that is alive and not excluded.
    #[must_use]
    pub fn first_available(
        &self,
        service: &Name,
        ranking: &[Name],
        is_alive: impl Fn(&Name) -> bool,
        now: Instant,
    ) -> Option<Name> {
        let is_available = available(&self.excluded, &self.unresponsive, service, is_alive, now);
        ranking.iter().find(|host| is_available(host)).cloned()
    }

    /// Excludes a host for all services until it responds again; returns whether it was not yet
    /// excluded.
    pub fn mark_unresponsive(&mut self, host: &Name) -> bool {
        self.unresponsive.insert(host.clone())
    }

    /// Records that a host responds.
    pub fn record_response(&mut self, host: &Name) {
        self.unresponsive.remove(host);
    }

    /// Excludes a host for one service until `until`.
    pub fn exclude(&mut self, service: &Name, host: &Name, until: Instant) {
        self.excluded.insert((service.clone(), host.clone()), until);
    }

    /// Reports whether a host is excluded for a service.
    #[must_use]
    pub fn is_excluded(&self, service: &Name, host: &Name, now: Instant) -> bool {
        let until = self.excluded.get(&(service.clone(), host.clone()));
        until.is_some_and(|until| *until > now)
    }
}

/// Returns a function that reports whether a host is alive and not excluded for a service.
fn available(
    excluded: &BTreeMap<(Name, Name), Instant>,
    unresponsive: &BTreeSet<Name>,
    service: &Name,
    is_alive: impl Fn(&Name) -> bool,
    now: Instant,
) -> impl Fn(&Name) -> bool {
    move |host| {
        let until = excluded.get(&(service.clone(), host.clone()));
        !unresponsive.contains(host) && until.is_none_or(|until| *until <= now) && is_alive(host)
    }
}
