//! Calls to other hosts, as the agent needs them.

use fulmargw_model::{
    configuration::{Configuration, Version},
    fleet::Fleet,
};
use fulmargw_peer::{
    client::{Connections, Error},
    message::{
        Announcement, LeaseRequest, LeaseResponse, LoanRequest, LoanResponse, RemovalRequest,
        VersionNotice,
    },
};
use std::{future::Future, net::SocketAddr, sync::Arc};

/// The other hosts. Every call has a deadline of its own.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Asks the host at peer address `peer` to confirm the lease.
    fn confirm(
        &self,
        peer: SocketAddr,
        question: LeaseRequest,
    ) -> impl Future<Output = Result<LeaseResponse, Error>> + Send;

    /// Asks for the consent to a removal.
    fn consent(
        &self,
        peer: SocketAddr,
        removal: RemovalRequest,
    ) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Tells of a coming configuration version.
    fn note(
        &self,
        peer: SocketAddr,
        note: VersionNotice,
    ) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Asks for tokens.
    fn borrow(
        &self,
        peer: SocketAddr,
        demand: LoanRequest,
    ) -> impl Future<Output = Result<LoanResponse, Error>> + Send;

    /// Tells of a new primary.
    fn announce(
        &self,
        peer: SocketAddr,
        announcement: Announcement,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Sends a configuration document and returns the version that the host has then.
    fn push(
        &self,
        peer: SocketAddr,
        configuration: Arc<Configuration>,
    ) -> impl Future<Output = Result<Version, Error>> + Send;

    /// Fetches the configuration from the host at document address `peer`.
    fn configuration(
        &self,
        peer: SocketAddr,
    ) -> impl Future<Output = Result<Configuration, Error>> + Send;

    /// Fetches the fleet record from the host at document address `peer`.
    fn fleet(&self, peer: SocketAddr) -> impl Future<Output = Result<Fleet, Error>> + Send;

    /// Closes connections to peer addresses that are not in `members`.
    fn retain(&self, members: &[SocketAddr]);
}

impl Peers for Connections {
    async fn confirm(
        &self,
        peer: SocketAddr,
        question: LeaseRequest,
    ) -> Result<LeaseResponse, Error> {
        Connections::confirm(self, peer, question).await
    }

    async fn consent(&self, peer: SocketAddr, removal: RemovalRequest) -> Result<bool, Error> {
        Connections::consent(self, peer, removal).await
    }

    async fn note(&self, peer: SocketAddr, note: VersionNotice) -> Result<bool, Error> {
        Connections::note(self, peer, note).await
    }

    async fn borrow(&self, peer: SocketAddr, demand: LoanRequest) -> Result<LoanResponse, Error> {
        Connections::borrow(self, peer, demand).await
    }

    async fn announce(&self, peer: SocketAddr, announcement: Announcement) -> Result<(), Error> {
        Connections::announce(self, peer, announcement).await
    }

    async fn push(
        &self,
        peer: SocketAddr,
        configuration: Arc<Configuration>,
    ) -> Result<Version, Error> {
        Connections::push(self, peer, configuration).await
    }

    async fn configuration(&self, peer: SocketAddr) -> Result<Configuration, Error> {
        Connections::configuration(self, peer).await
    }

    async fn fleet(&self, peer: SocketAddr) -> Result<Fleet, Error> {
        Connections::fleet(self, peer).await
    }

    fn retain(&self, members: &[SocketAddr]) {
        Connections::retain(self, members);
    }
}
