//! Request and response bodies in the PostgreSQL protocol.

use crate::connection::TransactionState;
use bytes::Bytes;

/// Encoded messages of a caller, of which the last is a `Query` or `Sync` and no other is.
///
/// The response therefore has exactly one `ReadyForQuery`, at its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The encoded messages.
    pub messages: Bytes,
    /// Number of leading messages that the front end added to replay prepared statements. The
    /// `ParseComplete` or `CloseComplete` for each of them is removed from the response.
    pub replayed: usize,
}

/// Encoded response of a backend server to a caller, without the final `ReadyForQuery`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The encoded messages.
    pub messages: Bytes,
    /// Transaction state for the `ReadyForQuery` that the front end adds.
    pub transaction: TransactionState,
}
