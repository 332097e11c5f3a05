//! Requests of callers, independent of the front-end protocol.

use crate::{name::Name, position::Position};
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc, time::Duration};
use tokio::time::Instant;

/// The consistency class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// May write; runs on the primary.
    Write,
    /// Sees every write that was acknowledged before the request began.
    Current,
    /// Sees data that is at most this old, and the session's own writes.
    Aged(Duration),
}

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Executing it again has no further effect.
    Idempotent,
    /// It must be executed at most once.
    Once,
}

/// The part of a transaction that a request contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// A transaction of its own, or a statement inside the caller's open transaction.
    Statement,
    /// Begins a transaction.
    Begin,
    /// Ends a transaction.
    End,
}

/// The identifier by which every host recognises a repeated request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub Arc<str>);

impl Id {
    /// Maximum length of an identifier, in bytes.
    pub const MAX_BYTES: usize = 64;

    /// Creates an identifier from 128 random bits.
    #[must_use]
    pub fn random() -> Self {
        Self(Arc::from(format!("{:032x}", rand::random::<u128>())))
    }

    /// Parses an identifier of 1 to [`Self::MAX_BYTES`] ASCII letters, digits, `-`, `_`, `.` or
    /// `:`; returns `None` for any other text.
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

/// A request of a caller. `B` is the body, which only the front end and the backend connector
/// interpret.
#[derive(Debug)]
pub struct Request<B> {
    /// Number of the caller's connection on this host. Requests of one caller are never reordered.
    pub caller: u64,
    /// Client account that the request counts against.
    pub account: Name,
    /// Route that the caller uses.
    pub route: Name,
    /// Service that executes the request.
    pub service: Name,
    /// Consistency class.
    pub class: Class,
    /// Whether it may be executed more than once.
    pub repeat: Repeat,
    /// Part of a transaction that it contains.
    pub part: Part,
    /// Identifier, from the caller or generated.
    pub id: Id,
    /// Log position that the response must include.
    pub required: Position,
    /// Time at which the caller stops waiting for a response.
    pub deadline: Instant,
    /// Protocol-specific body.
    pub body: B,
}
