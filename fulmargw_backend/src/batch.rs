//! Bodies of requests and answers in the PostgreSQL protocol.

use crate::connection::TransactionState;
use bytes::Bytes;

/// Encoded messages of a caller that end with one `Query` or one `Sync`, and have no other.
///
/// The answer therefore ends with exactly one `ReadyForQuery`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The encoded messages.
    pub messages: Bytes,
    /// Number of leading messages that the front end added to replay prepared statements;
    /// each is answered by a `ParseComplete` or `CloseComplete` that is left out.
    pub replayed: usize,
}

/// Encoded messages of a backend server for a caller, without the final `ReadyForQuery`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The encoded messages.
    pub messages: Bytes,
    /// Transaction state for the `ReadyForQuery` that the front end adds.
    pub transaction: TransactionState,
}
