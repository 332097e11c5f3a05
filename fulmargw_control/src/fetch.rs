//! Fetches newer documents from other hosts.

use crate::{agent::Agent, peers::Peers, table::Heard};
use fulmargw_decision::lease;
use fulmargw_model::{
    configuration::Configuration,
    fleet::{Fleet, Instance, State},
    name::Name,
};
use fulmargw_platform::store::Store;
use futures::future::join_all;
use metrics::counter;
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep};

/// Pause between attempts to get a version that another host has heard of.
const PAUSE: Duration = Duration::from_millis(250);

/// Age up to which a noted version is left to the push of its host.
const PUSH_TIME: Duration = Duration::from_millis(300);

/// A version worth fetching and who has it.
#[derive(Debug)]
struct Wanted {
    source: Option<Name>,
    since: Instant,
}

impl<S: Store, P: Peers> Agent<S, P> {
    pub(crate) async fn fetch_documents(self) {
        loop {
            self.shared.fetch.notified().await;
            while let Some(wanted) = self.wanted(Instant::now()) {
                let pushed = wanted.source.is_none() && wanted.since.elapsed() < PUSH_TIME;
                if !pushed {
                    self.fetch_from_members(wanted.source.as_ref()).await;
                    self.shared.poll.notify_one();
                }
                sleep(PAUSE).await;
            }
        }
    }

    fn wanted(&self, now: Instant) -> Option<Wanted> {
        let configuration = self.shared.configuration.lock();
        if configuration.document.is_some()
            && configuration.greatest(now) <= configuration.version()
        {
            return None;
        }
        let heard: &Heard = configuration.heard.values().next_back()?;
        Some(Wanted {
            source: heard.source.clone(),
            since: heard.since,
        })
    }

    /// Asks the host that is known to have the document, or else all of them.
    async fn fetch_from_members(&self, source: Option<&Name>) {
        let others = self.others();
        let mut addresses: Vec<SocketAddr> = others
            .iter()
            .filter(|member| source.is_none_or(|source| member.host.name == *source))
            .map(|member| member.host.document_address)
            .collect();
        if addresses.is_empty() {
            addresses = others
                .iter()
                .map(|member| member.host.document_address)
                .collect();
        }
        for document in self.fetch_all(&addresses).await {
            self.adopt(document);
        }
    }

    async fn fetch_all(&self, addresses: &[SocketAddr]) -> Vec<Configuration> {
        let peers = &self.shared.peers;
        let calls = addresses.iter().map(|peer| peers.configuration(*peer));
        join_all(calls).await.into_iter().flatten().collect()
    }

    /// Takes a newer fleet record from a member.
    pub(crate) async fn fetch_fleet(self, source: Instance) {
        let others = self.others();
        let member = others.iter().find(|member| member.host.name == source.host);
        let Some(member) = member else { return };
        let peer = member.host.document_address;
        if let Ok(record) = self.shared.peers.fleet(peer).await {
            self.adopt_fleet(record);
        }
    }

    /// Obtains a first configuration from other hosts while the store is down.
    ///
    /// An accepted version is at so many members that any consent-sized set of them has it.
    /// Asking fewer could bring back a withdrawn key.
    pub(crate) async fn recover(&self) {
        let known = self.shared.configuration.lock().document.is_some();
        if known || self.shared.settings.seeds.is_empty() {
            return;
        }
        let Some(fleet) = self.fetch_seed_fleet().await else {
            return;
        };
        let own = &self.shared.host;
        let others: Vec<SocketAddr> = fleet
            .members
            .iter()
            .filter(|member| member.state == State::Active && member.host.address != own.address)
            .map(|member| member.host.document_address)
            .collect();
        let documents = self.fetch_all(&others).await;
        if others.is_empty() || documents.len() < lease::removal_quorum(others.len()) {
            return;
        }
        counter!("fulmargw_recoveries_total").increment(1);
        let newest = documents
            .into_iter()
            .max_by_key(|document| document.version);
        if let Some(newest) = newest {
            self.adopt(newest);
        }
    }

    /// Returns the newest fleet record that a seed has.
    async fn fetch_seed_fleet(&self) -> Option<Fleet> {
        let peers = &self.shared.peers;
        let calls = self
            .shared
            .settings
            .seeds
            .iter()
            .map(|seed| peers.fleet(*seed));
        let records = join_all(calls).await.into_iter().flatten();
        records.max_by_key(|record| record.generation)
    }
}
