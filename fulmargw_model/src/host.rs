//! Hosts, each running one fulmargw process.

use crate::{availability_zone::Zone, name::Name};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The incarnation number of a host as a member of the fleet. Each restart or rejoin gets a
/// greater one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// The name of a host and the addresses at which its peers reach it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Unique name of the host.
    pub name: Name,
    /// Availability zone in which the host runs.
    pub zone: Zone,
    /// Address of the peer protocol listener.
    pub address: SocketAddr,
    /// Address of the HTTP listener that serves documents to peers.
    pub document_address: SocketAddr,
}
