//! Fetches newer configuration documents and fleet records from peers.

use crate::{agent::Agent, peers::Peers, table::NewerVersion};
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

/// Delay between attempts to fetch a newer version.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time after an advance notice during which the version is not fetched, because the host that
/// stores it sends it to all members.
const PUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// A newer version that this host lacks.
#[derive(Debug)]
struct MissingVersion {
    /// A host that has the document, if one is known.
    source: Option<Name>,
    since: Instant,
}

impl<S: Store, P: Peers> Agent<S, P> {
    pub(crate) async fn fetch_documents(self) {
        loop {
            self.shared.fetch_now.notified().await;
            while let Some(missing) = self.missing_version(Instant::now()) {
                let push_expected =
                    missing.source.is_none() && missing.since.elapsed() < PUSH_TIMEOUT;
                if !push_expected {
                    self.fetch_from_members(missing.source.as_ref()).await;
                    self.shared.poll_now.notify_one();
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }

    fn missing_version(&self, now: Instant) -> Option<MissingVersion> {
        let configuration = self.shared.configuration.lock();
        if configuration.document.is_some()
            && configuration.greatest_known(now) <= configuration.version()
        {
            return None;
        }
        let newer: &NewerVersion = configuration.newer.values().next_back()?;
        Some(MissingVersion {
            source: newer.source.clone(),
            since: newer.since,
        })
    }

    /// Fetches the document from `source` if that host is a member, otherwise from all members.
    async fn fetch_from_members(&self, source: Option<&Name>) {
        let others = self.other_members();
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
            self.apply_configuration(document);
        }
    }

    async fn fetch_all(&self, addresses: &[SocketAddr]) -> Vec<Configuration> {
        let peers = &self.shared.peers;
        let calls = addresses.iter().map(|peer| peers.configuration(*peer));
        join_all(calls).await.into_iter().flatten().collect()
    }

    /// Fetches the fleet record of a member and applies it if it is newer.
    pub(crate) async fn fetch_fleet(self, source: Instance) {
        let others = self.other_members();
        let member = others.iter().find(|member| member.host.name == source.host);
        let Some(member) = member else { return };
        let peer = member.host.document_address;
        if let Ok(record) = self.shared.peers.fleet(peer).await {
            self.apply_record(record);
        }
    }

    /// Obtains the first configuration from peers while the store is unreachable.
    ///
    /// An accepted version reaches so many members that every set of the size of the removal
    /// quorum contains one that has it. With documents from fewer members, this host could
    /// accept an API key that has been withdrawn.
    pub(crate) async fn recover_from_peers(&self) {
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
            self.apply_configuration(newest);
        }
    }

    /// Returns the newest fleet record of the seed hosts.
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
