//! Records of client operations, as lines of JSON.

use serde::{Deserialize, Serialize};
use std::io;

/// One operation of one session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the session.
    pub session: usize,
    /// Client account of the session.
    pub account: String,
    /// Address of the host to which the operation was sent.
    pub host: String,
    /// The operation.
    pub operation: Operation,
    /// Start, in microseconds since the start of the load.
    pub begin_us: u64,
    /// End, in microseconds since the start of the load.
    pub end_us: u64,
    /// Outcome of the operation.
    pub outcome: Outcome,
    /// SQLSTATE of an error, a short text for an error without one, or empty.
    pub error: String,
}

/// An operation on keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Appends a unique value to each of these keys, in one transaction.
    Append(Vec<Write>),
    /// Reads a key, including every write that was acknowledged before.
    Current(String),
    /// Reads a key, possibly in an older state.
    Aged(String),
}

/// A key and the unique value that is appended to it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The value, see [`unique_value`].
    pub value: String,
}

/// Outcome of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A write was acknowledged.
    Acknowledged,
    /// A read returned these values.
    Values(Vec<String>),
    /// The operation certainly did not run.
    NotRun,
    /// The operation may or may not have run.
    Unknown,
}

/// Makes a value that is unique and names its key, so that the check detects a response that belongs
/// to another request.
#[must_use]
pub fn unique_value(key: &str, session: usize, number: u64) -> String {
    format!("{key}:{session}-{number}")
}

/// Splits the stored text of a key into the appended values, which are separated by commas.
#[must_use]
pub fn split_values(text: &str) -> Vec<String> {
    let values = text.split(',').filter(|value| !value.is_empty());
    values.map(str::to_owned).collect()
}

/// Writes events as JSON, one per line.
///
/// # Errors
///
/// Returns an error if the output fails.
pub fn write_lines(events: &[Event], mut output: impl io::Write) -> io::Result<()> {
    for event in events {
        serde_json::to_writer(&mut output, event)?;
        output.write_all(b"\n")?;
    }
    Ok(())
}
