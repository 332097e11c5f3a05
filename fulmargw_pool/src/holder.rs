//! Chooses the host that runs the statements of a service.
//!
//! One host for each service keeps the connections to its backend servers, so that accounts
//! share few connections, and sees the whole load on their slots. All hosts rank the hosts for
//! a service in the same way; the first that works is the holder.

use fulmargw_decision::rendezvous;
use fulmargw_model::name::Name;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

/// Rankings of hosts, and hosts that are passed over.
#[derive(Debug, Default)]
pub struct Holders {
    rankings: BTreeMap<Name, Vec<Name>>,
    silent: BTreeSet<Name>,
    excluded: BTreeMap<(Name, Name), Instant>,
}

impl Holders {
    /// Makes a table without hosts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Forgets the rankings because the list of hosts changed.
    pub fn clear_rankings(&mut self) {
        self.rankings.clear();
    }

    /// Returns the first host of a service's ranking that is alive and not passed over.
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
        let excluded = &self.excluded;
        let silent = &self.silent;
        let works = |host: &&Name| {
            let until = excluded.get(&(service.clone(), (*host).clone()));
            !silent.contains(*host) && until.is_none_or(|until| *until <= now) && is_alive(host)
        };
        ranking.iter().find(works).cloned()
    }

    /// Passes a host over for all services until it answers; returns whether that is new.
    pub fn mark_silent(&mut self, host: &Name) -> bool {
        self.silent.insert(host.clone())
    }

    /// Notes that a host answers.
    pub fn mark_answering(&mut self, host: &Name) {
        self.silent.remove(host);
    }

    /// Passes a host over for one service.
    pub fn exclude(&mut self, service: &Name, host: &Name, until: Instant) {
        self.excluded.insert((service.clone(), host.clone()), until);
    }

    /// Reports whether a host is passed over for a service.
    #[must_use]
    pub fn is_excluded(&self, service: &Name, host: &Name, now: Instant) -> bool {
        let until = self.excluded.get(&(service.clone(), host.clone()));
        until.is_some_and(|until| *until > now)
    }
}
