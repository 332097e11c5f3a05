//! Messages of the platform's HTTP interface, encoded as MessagePack.
//!
//! `POST /table/read` takes [`Read`] and returns [`Rows`]; `POST /table/commit` takes
//! [`Transaction`] and returns [`Commit`]; `GET /hosts` returns [`Hosts`]; `GET` and `PUT`
//! of `/object/{key}` carry bytes. Status 503 means that the platform is down.

use bytes::Bytes;
use fulmargw_model::name::Name;
use serde::{Deserialize, Serialize};

/// Request for the rows of some keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// Keys whose rows are read as of one point in time.
    pub keys: Vec<String>,
}

/// Response to [`Read`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// One row per key, in the order of the keys; `None` if there is no such row.
    pub rows: Vec<Option<Row>>,
}

/// A stored value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Number of the last write of the row; increases with every write and starts at 1.
    pub revision: u64,
    /// Stored bytes.
    pub value: Bytes,
}

/// Writes that are committed together, if every condition holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Revisions that the rows must have.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub writes: Vec<Write>,
}

/// A row and the revision that it must have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Expected revision; 0 means that the row must not exist.
    pub revision: u64,
}

/// A row and its new value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// Bytes to store.
    pub value: Bytes,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Commit {
    /// All writes were committed.
    Done,
    /// A condition did not hold; nothing was written.
    Conflict,
}

/// The platform's host list, which lags behind the actual state of the hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// Hosts that the platform assumes to be running.
    pub live: Vec<Name>,
    /// Hosts that the platform is about to remove.
    pub leaving: Vec<Name>,
}
