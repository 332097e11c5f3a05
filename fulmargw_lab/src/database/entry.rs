//! Entries of the replicated log.

use fulmargw_model::position::{Position, Term};
use serde::{Deserialize, Serialize};

/// An entry of the replicated log; its index is its place in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the primary that appended it.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// First entry of a term.
    Start,
    /// A committed transaction.
    Commit {
        /// Changes in order.
        effects: Vec<Effect>,
        /// Request that the transaction recorded.
        record: Option<Record>,
    },
    /// Cancels this and earlier attempts of a request.
    Cancel(Record),
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Inserts or replaces.
    Put(String, String),
    /// Replaces if the key exists.
    Set(String, String),
    /// Appends, and inserts if the key does not exist.
    Append(String, String),
}

impl Effect {
    /// Returns the key that changes.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Put(key, _) | Self::Set(key, _) | Self::Append(key, _) => key,
        }
    }

    /// Returns the value of the key after the change.
    #[must_use]
    pub fn apply(&self, old: Option<String>) -> Option<String> {
        match self {
            Self::Put(_, value) => Some(value.clone()),
            Self::Set(_, value) => old.map(|_| value.clone()),
            Self::Append(_, value) => Some(old.unwrap_or_default() + value),
        }
    }
}

/// An attempt of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identifier of the request.
    pub id: String,
    /// Number of the attempt.
    pub attempt: u64,
}

/// The log of one server, with the time at which each entry arrived there.
#[derive(Debug, Default)]
pub struct Log {
    entries: Vec<(Entry, Arrival)>,
}

/// Time at which an entry arrived.
pub type Arrival = tokio::time::Instant;

impl Log {
    /// Returns the position of the last entry.
    #[must_use]
    pub fn last(&self) -> Position {
        self.position(self.entries.len() as u64)
    }

    /// Returns the position of an entry; index 0 is the default position.
    #[must_use]
    pub fn position(&self, index: u64) -> Position {
        let term = self.get(index).map_or(Term(0), |(entry, _)| entry.term);
        Position { term, index }
    }

    /// Returns the entry at an index, which starts at 1.
    #[must_use]
    pub fn get(&self, index: u64) -> Option<&(Entry, Arrival)> {
        let offset = usize::try_from(index.checked_sub(1)?).ok()?;
        self.entries.get(offset)
    }

    /// Appends an entry and returns its position.
    pub fn push(&mut self, entry: Entry, at: Arrival) -> Position {
        self.entries.push((entry, at));
        self.last()
    }

    /// Removes all entries after an index.
    pub fn truncate(&mut self, index: u64) {
        self.entries
            .truncate(usize::try_from(index).unwrap_or(usize::MAX));
    }

    /// Returns the index of the first entry of a term.
    #[must_use]
    pub fn start_of(&self, term: Term) -> u64 {
        self.entries.partition_point(|(entry, _)| entry.term < term) as u64 + 1
    }
}
