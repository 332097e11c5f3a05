//! Requests of callers, independent of any protocol.

use crate::{name::Name, position::Position};
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Consistency that a request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// May change data; runs on the primary.
    Write,
    /// Reads every write that was acknowledged before the request began.
    Current,
    /// Reads data that is at most this old, and the session's own writes.
    Aged(Duration),
}

/// Whether a request may be run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Running it twice has the same effect as once.
    Idempotent,
    /// It must run at most once.
    Once,
}

/// The part of a transaction that a request carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// A whole transaction of its own, or work inside the caller's open transaction.
    Statement,
    /// Begins a transaction.
    Begin,
    /// Ends a transaction.
    End,
}

/// The identifier that makes a request recognisable on every host.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub Arc<str>);

impl Id {
    /// The longest accepted identifier, in bytes.
    pub const MAX_BYTES: usize = 64;

    /// Makes an identifier from 128 random bits.
    #[must_use]
    pub fn random() -> Self {
        Self(Arc::from(format!("{:032x}", rand::random::<u128>())))
    }

    /// Accepts 1 to [`Self::MAX_BYTES`] ASCII letters, digits, `-`, `_`, `.` and `:`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
        let valid = !text.is_empty() && text.len() <= Self::MAX_BYTES && text.bytes().all(allowed);
        valid.then(|| Self(Arc::from(text)))
    }
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// One request of a caller. `B` is the body, which only the front end and the backend
/// connector understand.
#[derive(Debug)]
pub struct Request<B> {
    /// Caller connection on this host; requests of one caller are never reordered.
    pub caller: u64,
    /// Client account that the request counts against.
    pub account: Name,
    /// Route by which it came.
    pub route: Name,
    /// Service that answers.
    pub service: Name,
    /// Consistency that it needs.
    pub class: Class,
    /// Whether it may be run again.
    pub repeat: Repeat,
    /// Part of a transaction that it carries.
    pub part: Part,
    /// Identifier, from the caller or random.
    pub id: Id,
    /// Position that the answer must include.
    pub required: Position,
    /// Time after which nobody waits for the answer.
    pub deadline: Instant,
    /// Protocol-specific content.
    pub body: B,
}
