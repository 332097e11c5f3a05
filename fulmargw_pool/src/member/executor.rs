//! The hosts that run statements placed by zone, and the zones of the peers.

use super::{Members, Peer, may_hold};
use fulmargw_model::name::Name;
use fulmargw_peer::report::Location;
use std::{collections::BTreeMap, net::SocketAddr};
use tokio::time::Instant;

/// The host that runs the statements of a service on the servers of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Executor {
    /// This host.
    Own,
    /// A peer.
    Peer {
        /// Name of the host.
        host: Name,
        /// Address at which it accepts statements.
        address: SocketAddr,
        /// Whether it is in another zone than this host.
        is_other_zone: bool,
    },
}

impl Members {
    /// Reports whether the statements of a service are placed by zone.
    pub fn is_placed(&mut self, service: &Name) -> bool {
        let peers = locations(&self.peers);
        let rankings = self.placement.of_service(service, &self.own, peers);
        rankings.is_some()
    }

    /// Returns the host that runs the statements of a service on the servers of a zone: the first
    /// host of the zone's ranking that is available, or the holder of the service.
    pub fn executor(&mut self, service: &Name, zone: &Name, now: Instant) -> Executor {
        let timing = self.timing();
        let peers = locations(&self.peers);
        let rankings = self.placement.of_service(service, &self.own, peers);
        let ranking = rankings.and_then(|rankings| rankings.get(zone));
        let host = ranking.and_then(|ranking| {
            let is_alive = may_hold(&self.peers, self.is_stopping, timing, now);
            let holders = &self.holders;
            holders.first_available(service, ranking, is_alive, now)
        });
        let holder = match host {
            Some(host) => {
                let peer = self.peers.get(&host);
                peer.map(|peer| (host, peer.endpoint.statements))
            }
            None => self.holder(service, now),
        };
        holder.map_or(Executor::Own, |(host, address)| Executor::Peer {
            is_other_zone: self.is_in_other_zone(&host),
            host,
            address,
        })
    }

    /// Reports whether this host runs the statements of a service on the servers of a zone.
    pub fn runs_on(&mut self, service: &Name, zone: &Name, now: Instant) -> bool {
        if self.is_placed(service) {
            matches!(self.executor(service, zone, now), Executor::Own)
        } else {
            self.holder(service, now).is_none()
        }
    }

    /// Reports whether a peer is known to be in another zone than this host.
    #[must_use]
    pub fn is_in_other_zone(&self, host: &Name) -> bool {
        let peer = self.peers.get(host);
        let location = peer.and_then(|peer| peer.endpoint.location.as_ref());
        let own = self.placement.location();
        matches!((own, location), (Some(own), Some(other)) if own.zone != other.zone)
    }

    /// Reports whether the peer that receives reports at `address` is known to be in another zone.
    #[must_use]
    pub fn is_address_in_other_zone(&self, address: SocketAddr) -> bool {
        let mut peers = self.peers.iter();
        let peer = peers.find(|(_, peer)| peer.endpoint.reports == address);
        peer.is_some_and(|(name, _)| self.is_in_other_zone(name))
    }

    /// Returns the peers in the same zone and those in other zones; `None` if no service is placed by
    /// zone.
    pub(super) fn peers_by_zone(&self) -> Option<[Vec<Name>; 2]> {
        if !self.placement.is_in_use() {
            return None;
        }
        let own = self.placement.location()?;
        let mut by_zone = [Vec::new(), Vec::new()];
        for (name, location) in locations(&self.peers) {
            let is_far = location?.zone != own.zone;
            by_zone[usize::from(is_far)].push(name.clone());
        }
        Some(by_zone)
    }
}

/// Returns the peers with their locations.
fn locations(peers: &BTreeMap<Name, Peer>) -> impl Iterator<Item = (&Name, Option<&Location>)> {
    let peers = peers.iter();
    peers.map(|(name, peer)| (name, peer.endpoint.location.as_ref()))
}
