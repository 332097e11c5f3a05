//! The service that each host offers to the others.

use crate::message::{Announcement, Confirmation, Demand, Loan, Note, Question, Removal};
use fulmargw_model::{
    configuration::{Configuration, Version},
    fleet::Fleet,
};
use std::sync::Arc;
use tarpc::context::Context;

/// What a host answers to its peers. Answers come from memory, so nothing here waits.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Confirms or refuses a lease.
    fn confirm(&self, question: &Question) -> Confirmation;

    /// Consents to a removal or not.
    fn consent(&self, removal: &Removal) -> bool;

    /// Remembers a coming configuration version.
    fn note(&self, note: &Note) -> bool;

    /// Lends tokens.
    fn lend(&self, demand: &Demand) -> Loan;

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
    async fn confirm(question: Question) -> Confirmation;

    /// Consents to a removal or not.
    async fn consent(removal: Removal) -> bool;

    /// Remembers a coming configuration version.
    async fn note(note: Note) -> bool;

    /// Lends tokens.
    async fn borrow(demand: Demand) -> Loan;

    /// Takes the hint of a new primary.
    async fn announce(announcement: Announcement);

    /// Takes a configuration document.
    async fn push(configuration: Arc<Configuration>) -> Version;
}

/// Offers a handler as the remote procedures.
#[derive(Debug, Clone)]
pub(crate) struct Adapter<H>(pub(crate) H);

impl<H: Handler> Control for Adapter<H> {
    async fn confirm(self, _: Context, question: Question) -> Confirmation {
        self.0.confirm(&question)
    }

    async fn consent(self, _: Context, removal: Removal) -> bool {
        self.0.consent(&removal)
    }

    async fn note(self, _: Context, note: Note) -> bool {
        self.0.note(&note)
    }

    async fn borrow(self, _: Context, demand: Demand) -> Loan {
        self.0.lend(&demand)
    }

    async fn announce(self, _: Context, announcement: Announcement) {
        self.0.announced(announcement);
    }

    async fn push(self, _: Context, configuration: Arc<Configuration>) -> Version {
        self.0.push(Arc::unwrap_or_clone(configuration))
    }
}
