//! Messages of the platform's HTTP interface, encoded as MessagePack.
//!
//! `POST /table/read` takes [`Read`] and answers [`Rows`]; `POST /table/commit` takes
//! [`Transaction`] and answers [`Commit`]; `GET /hosts` answers [`Hosts`]; `GET` and `PUT`
//! of `/object/{key}` carry bytes. Status 503 means that the platform is down.

use bytes::Bytes;
use fulmargw_model::name::Name;
use serde::{Deserialize, Serialize};

/// Asks for the rows of some keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// Keys to read at one point in time.
    pub keys: Vec<String>,
}

/// Rows in the order of the keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// One entry per key; `None` if there is no such row.
    pub rows: Vec<Option<Row>>,
}

/// A stored value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Number that grows with every write of the row; the first is 1.
    pub revision: u64,
    /// Stored bytes.
    pub value: Bytes,
}

/// Writes that happen all together, if every condition holds.
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

/// What became of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Commit {
    /// All writes are stored.
    Done,
    /// A condition did not hold; nothing was written.
    Conflict,
}

/// The platform's view of the hosts; it lags behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// Hosts that the platform believes to be live.
    pub live: Vec<Name>,
    /// Hosts that the platform is about to take away.
    pub leaving: Vec<Name>,
}
