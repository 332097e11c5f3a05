//! Interface for calls to peers.

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

/// Calls to peers. Each call has its own timeout.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Requests a confirmation of this host's lease from the host with peer address `peer`.
    fn confirm(
        &self,
        peer: SocketAddr,
        request: LeaseRequest,
    ) -> impl Future<Output = Result<LeaseResponse, Error>> + Send;

    /// Requests a peer's consent to the removal of a member.
    fn consent(
        &self,
        peer: SocketAddr,
        request: RemovalRequest,
    ) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Sends advance notice of a configuration version.
    fn send_notice(
        &self,
        peer: SocketAddr,
        notice: VersionNotice,
    ) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Requests a loan of rate tokens from a peer.
    fn borrow(
        &self,
        peer: SocketAddr,
        request: LoanRequest,
    ) -> impl Future<Output = Result<LoanResponse, Error>> + Send;

    /// Announces a new primary.
    fn announce(
        &self,
        peer: SocketAddr,
        announcement: Announcement,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Sends a configuration document and returns the version that the host then has in force.
    fn push(
        &self,
        peer: SocketAddr,
        configuration: Arc<Configuration>,
    ) -> impl Future<Output = Result<Version, Error>> + Send;

    /// Fetches the configuration document from the host with document address `peer`.
    fn configuration(
        &self,
        peer: SocketAddr,
    ) -> impl Future<Output = Result<Configuration, Error>> + Send;

    /// Fetches the fleet record from the host with document address `peer`.
    fn fleet(&self, peer: SocketAddr) -> impl Future<Output = Result<Fleet, Error>> + Send;

    /// Closes connections to peer addresses that are not in `members`.
    fn retain(&self, members: &[SocketAddr]);
}

impl Peers for Connections {
    async fn confirm(
        &self,
        peer: SocketAddr,
        request: LeaseRequest,
    ) -> Result<LeaseResponse, Error> {
        Connections::confirm(self, peer, request).await
    }

    async fn consent(&self, peer: SocketAddr, request: RemovalRequest) -> Result<bool, Error> {
        Connections::consent(self, peer, request).await
    }

    async fn send_notice(&self, peer: SocketAddr, notice: VersionNotice) -> Result<bool, Error> {
        Connections::send_notice(self, peer, notice).await
    }

    async fn borrow(&self, peer: SocketAddr, request: LoanRequest) -> Result<LoanResponse, Error> {
        Connections::borrow(self, peer, request).await
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
