//! The service that each host offers to the others.

use crate::message::{
    Announcement, LeaseRequest, LeaseResponse, LoanRequest, LoanResponse, RemovalRequest,
    VersionNotice,
};
use fulmargw_model::{
    configuration::{Configuration, Version},
    fleet::Fleet,
};
use std::sync::Arc;
use tarpc::context::Context;

/// What a host answers to its peers. Answers come from memory, so nothing here waits.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Confirms or refuses a lease.
    fn confirm(&self, question: &LeaseRequest) -> LeaseResponse;

    /// Consents to a removal or not.
    fn consent(&self, removal: &RemovalRequest) -> bool;

    /// Remembers a coming configuration version.
    fn note(&self, note: &VersionNotice) -> bool;

    /// Lends tokens.
    fn lend(&self, demand: &LoanRequest) -> LoanResponse;

    /// Takes the hint of a new primary.
    fn announced(&self, announcement: Announcement);

    /// Takes a configuration document and returns the version then in force.
    fn push(&self, configuration: Configuration) -> Version;

    /// Returns the configuration in force, if there is one.
    fn configuration(&self) -> Option<Arc<Configuration>>;

    /// Returns the fleet record, if there is one.
    fn fleet(&self) -> Option<Arc<Fleet>>;
}

/// The remote procedures.
#[tarpc::service]
pub trait Control {
    /// Confirms or refuses a lease.
    async fn confirm(question: LeaseRequest) -> LeaseResponse;

    /// Consents to a removal or not.
    async fn consent(removal: RemovalRequest) -> bool;

    /// Remembers a coming configuration version.
    async fn note(note: VersionNotice) -> bool;

    /// Lends tokens.
    async fn borrow(demand: LoanRequest) -> LoanResponse;

    /// Takes the hint of a new primary.
    async fn announce(announcement: Announcement);

    /// Takes a configuration document.
    async fn push(configuration: Arc<Configuration>) -> Version;
}

/// Offers a handler as the remote procedures.
#[derive(Debug, Clone)]
pub(crate) struct Adapter<H>(pub(crate) H);

impl<H: Handler> Control for Adapter<H> {
    async fn confirm(self, _: Context, question: LeaseRequest) -> LeaseResponse {
        self.0.confirm(&question)
    }

    async fn consent(self, _: Context, removal: RemovalRequest) -> bool {
        self.0.consent(&removal)
    }

    async fn note(self, _: Context, note: VersionNotice) -> bool {
        self.0.note(&note)
    }

    async fn borrow(self, _: Context, demand: LoanRequest) -> LoanResponse {
        self.0.lend(&demand)
    }

    async fn announce(self, _: Context, announcement: Announcement) {
        self.0.announced(announcement);
    }

    async fn push(self, _: Context, configuration: Arc<Configuration>) -> Version {
        self.0.push(Arc::unwrap_or_clone(configuration))
    }
}
