//! The RPC service that each host offers to its peers for lease, rate and configuration.

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

/// Handles the requests of peers. The methods respond from memory and don't block.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Confirms or refuses the lease of the requesting host.
    fn confirm(&self, request: &LeaseRequest) -> LeaseResponse;

    /// Returns whether this host consents to the removal of a member.
    fn consent(&self, request: &RemovalRequest) -> bool;

    /// Records the advance notice of a configuration version and returns true.
    fn record_notice(&self, notice: &VersionNotice) -> bool;

    /// Lends rate tokens.
    fn lend(&self, request: &LoanRequest) -> LoanResponse;

    /// Handles the announcement of a new primary, which is only a hint.
    fn record_announcement(&self, announcement: Announcement);

    /// Applies a configuration document and returns the version then in force.
    fn push(&self, configuration: Configuration) -> Version;

    /// Returns the configuration in force, if there is one.
    fn configuration(&self) -> Option<Arc<Configuration>>;

    /// Returns the fleet record, if there is one.
    fn fleet(&self) -> Option<Arc<Fleet>>;
}

/// RPC methods of the control plane.
#[tarpc::service]
pub trait Control {
    /// Confirms or refuses the lease of the requesting host.
    async fn confirm(question: LeaseRequest) -> LeaseResponse;

    /// Returns whether this host consents to the removal of a member.
    async fn consent(removal: RemovalRequest) -> bool;

    /// Records the advance notice of a configuration version and returns true.
    async fn note(note: VersionNotice) -> bool;

    /// Lends rate tokens.
    async fn borrow(demand: LoanRequest) -> LoanResponse;

    /// Handles the announcement of a new primary, which is only a hint.
    async fn announce(announcement: Announcement);

    /// Applies a configuration document and returns the version then in force.
    async fn push(configuration: Arc<Configuration>) -> Version;
}

/// Implements the RPC methods with a handler.
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
        self.0.record_notice(&note)
    }

    async fn borrow(self, _: Context, demand: LoanRequest) -> LoanResponse {
        self.0.lend(&demand)
    }

    async fn announce(self, _: Context, announcement: Announcement) {
        self.0.record_announcement(announcement);
    }

    async fn push(self, _: Context, configuration: Arc<Configuration>) -> Version {
        self.0.push(Arc::unwrap_or_clone(configuration))
    }
}
