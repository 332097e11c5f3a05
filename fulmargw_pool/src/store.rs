//! What the pool needs of the platform.

use crate::{backend::Registry, catalog::Catalog};
use bytes::Bytes;
use fulmargw_model::name::Name;
use std::{fmt::Debug, future::Future, time::Duration};

/// Version of a row or of the whole store; it increases with each transaction.
pub type Revision = u64;

/// Rows of this program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key within the program's table.
    pub key: String,
    /// Content.
    pub value: Bytes,
    /// Version at which it was written.
    pub revision: Revision,
}

/// The platform's store, registry and promotion calls.
pub trait Platform: Debug + Send + Sync + 'static {
    /// Reads the configuration; `None` if there is none yet.
    fn catalog(&self) -> impl Future<Output = Result<(Option<Catalog>, Revision), Error>> + Send;

    /// Reads the registered backend servers.
    fn registry(&self) -> impl Future<Output = Result<(Registry, Revision), Error>> + Send;

    /// Waits for a change of the configuration after `revision`, up to `wait`.
    fn watch_catalog(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<(Option<Catalog>, Revision), Error>> + Send;

    /// Waits for changes of the registry after `revision`, up to `wait`, and applies them.
    fn watch_registry(
        &self,
        registry: &mut Registry,
        revision: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Revision, Error>> + Send;

    /// Reads the program's own rows.
    fn rows(&self) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;

    /// Writes a row if it still has `expected`, 0 for a row that does not exist yet; returns
    /// the version, or `None` if the row has changed.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        expected: Option<Revision>,
    ) -> impl Future<Output = Result<Option<Revision>, Error>> + Send;

    /// Removes a row if it still has `expected`; returns whether it was removed.
    fn remove(
        &self,
        key: &str,
        expected: Revision,
    ) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Makes a backend server the primary of its service.
    fn promote(&self, order: &Promotion) -> impl Future<Output = Result<Outcome, Error>> + Send;
}

/// A call that makes a backend server the primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Promotion {
    /// Host that orders it.
    pub host: Name,
    /// Fencing token; the platform refuses tokens lower than one it has seen.
    pub token: Revision,
    /// Service whose primary changes.
    pub service: Name,
    /// Backend server that is to lead.
    pub server: Name,
}

/// Answer of the platform to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It is or will be carried out.
    Accepted,
    /// A higher token was used, or the server does not run.
    Refused,
    /// Too many calls; nothing was done.
    Throttled,
}

/// A failed call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
#[displaydoc("{step} at platform {peer}: {kind}")]
pub struct Error {
    /// Call that failed.
    pub step: &'static str,
    /// Address of the platform.
    pub peer: String,
    /// What happened.
    pub kind: Kind,
}

/// What happened in a failed call.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Kind {
    /// no answer: {0}
    NoResponse(String),
    /// refused with status {0}
    Refused(u16),
    /// the history does not reach back far enough
    Compacted,
    /// the content cannot be decoded: {0}
    Undecodable(String),
}

impl std::error::Error for Error {}
