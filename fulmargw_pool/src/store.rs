//! Interface to the platform: its store, registry of backend servers, and promotion calls.

use crate::{backend::Registry, catalog::Catalog};
use bytes::Bytes;
use fulmargw_decision::evacuation::Order;
use fulmargw_model::name::Name;
use std::{
    fmt::{self, Debug, Display, Formatter},
    future::Future,
    time::Duration,
};
use tokio::sync::watch;

/// Number of a period in which the store has lost nothing that it acknowledged. It increases when
/// the store is restored from a copy. 0 for a store that does not count eras.
pub type Era = u64;

/// Revision of a row or of the whole store; it increases with each transaction.
///
/// A restored store counts on from an older number, so the same number stands for different
/// transactions in different eras.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision {
    /// Era of the store. It comes first in the order.
    pub era: Era,
    /// Number of the transaction in this era.
    pub number: u64,
}

/// Number of bits of a fencing token below the era. Together with eras below 2^13 a token stays an
/// integer that every JSON parser keeps exactly.
const NUMBER_BITS: u32 = 40;

impl Revision {
    /// Returns the fencing token of a claim that was written at this revision. It is unique, and
    /// greater than the token of every earlier claim, also of those that the store has lost.
    #[must_use]
    pub fn fencing_token(self) -> u64 {
        (self.era << NUMBER_BITS) | self.number
    }
}

impl Display for Revision {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.number)
    }
}

/// State of a row on which a write is conditional.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The row does not exist.
    Absent,
    /// The row has this revision.
    Unchanged(Revision),
}

/// A row of this program's table in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key within the program's table.
    pub key: String,
    /// Content.
    pub value: Bytes,
    /// Revision at which it was written.
    pub revision: Revision,
}

/// What rows of the operator's table say.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct OperatorRows {
    /// The configuration; `None` if the rows have none.
    pub catalog: Option<Catalog>,
    /// Orders to evacuate zones, in the order of their revisions.
    pub orders: Vec<Order>,
}

/// What a response of the store says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// Revision of the store.
    pub revision: Revision,
    /// Time of the store's steady clock when it sent the response, if it says so.
    pub sent: Option<Duration>,
}

/// A client of the platform. Each call fails with an [`Error`] if the platform does not respond, or
/// rejects the call. Reads and watches fail with [`Kind::Restored`] if the store was restored
/// meanwhile, or since the revision from which to watch.
pub trait Platform: Debug + Send + Sync + 'static {
    /// Returns the greatest era in a response of the store so far; `None` if there was none.
    fn era(&self) -> watch::Receiver<Option<Era>>;

    /// Reads the rows of the operator's table.
    fn operator_rows(&self) -> impl Future<Output = Result<(OperatorRows, Seen), Error>> + Send;

    /// Reads the registered backend servers.
    fn registry(&self) -> impl Future<Output = Result<(Registry, Seen), Error>> + Send;

    /// Waits up to `wait` for changes of the operator's table after `revision`, and returns these.
    fn watch_operator_rows(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<(OperatorRows, Seen), Error>> + Send;

    /// Waits up to `wait` for changes of the registry after `revision`, and applies them to
    /// `registry`.
    fn watch_registry(
        &self,
        registry: &mut Registry,
        revision: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Seen, Error>> + Send;

    /// Reads the row with the replica set of a service; `None` if there is none yet. Its key is the
    /// name of the service.
    fn replica_set(
        &self,
        service: &Name,
    ) -> impl Future<Output = Result<Option<Row>, Error>> + Send;

    /// Writes the row with the replica set of a service if `expected` holds. Returns the new revision,
    /// or `None` if the condition does not hold. See [`Self::put`] for restorations of the store.
    fn put_replica_set(
        &self,
        service: &Name,
        value: Bytes,
        expected: Condition,
    ) -> impl Future<Output = Result<Option<Revision>, Error>> + Send;

    /// Reads the rows of this program's table.
    fn rows(&self) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;

    /// Writes a row. With `expected`, only if this condition holds. Returns the new revision, or
    /// `None` if the condition does not hold.
    ///
    /// A condition on a revision does not hold once the store was restored. If the restoration is
    /// noticed only by the response, the row may have been written nevertheless.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        expected: Option<Condition>,
    ) -> impl Future<Output = Result<Option<Revision>, Error>> + Send;

    /// Removes a row if it still has the revision `expected`; returns whether it was removed.
    fn remove(
        &self,
        key: &str,
        expected: Revision,
    ) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Promotes a backend server to primary of its service.
    fn promote(&self, promotion: &Promotion)
    -> impl Future<Output = Result<Outcome, Error>> + Send;
}

/// A request to promote a backend server to primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Promotion {
    /// Host that requests it.
    pub host: Name,
    /// Fencing token; the platform rejects tokens smaller than one that it has seen.
    pub token: u64,
    /// Service whose primary changes.
    pub service: Name,
    /// Backend server to promote.
    pub server: Name,
}

/// Response of the platform to a promotion call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The promotion has taken effect or will.
    Accepted,
    /// A greater token was used, or the server does not run.
    Refused,
    /// Too many calls; this one had no effect.
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
    /// Cause of the failure.
    pub kind: Kind,
}

/// Cause of a failed call.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Kind {
    /// no response: {0}
    NoResponse(String),
    /// rejected with status {0}
    Refused(u16),
    /// the requested revision has been compacted
    Compacted,
    /// the store was restored from a copy
    Restored,
    /// the condition of the write does not hold
    Conflict,
    /// the content cannot be decoded: {0}
    Undecodable(String),
    /// the content cannot be encoded: {0}
    Unencodable(String),
}

impl std::error::Error for Error {}
