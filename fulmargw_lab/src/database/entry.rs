//! Entries of the replicated log.

use fulmargw_model::position::{Position, Term};
use serde::{Deserialize, Serialize};

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the primary that appended it.
    pub term: Term,
    /// Content of the entry.
    pub body: Body,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Marks the start of a term; always its first entry.
    Start,
    /// A committed transaction.
    Commit {
        /// Changes in the order of their statements.
        effects: Vec<Effect>,
        /// Attempt of a request that the transaction recorded.
        record: Option<Record>,
    },
    /// Cancels this attempt of a request and all earlier ones.
    Cancel(Record),
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Inserts the key or replaces its value.
    Put(String, String),
    /// Replaces the value if the key exists.
    Set(String, String),
    /// Appends to the value, or inserts the key if it does not exist.
    Append(String, String),
}

impl Effect {
    /// Returns the key that is changed.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Put(key, _) | Self::Set(key, _) | Self::Append(key, _) => key,
        }
    }

    /// Returns the value of the key after the change; `None` if the key does not exist.
    #[must_use]
    pub fn apply(&self, old: Option<String>) -> Option<String> {
        match self {
            Self::Put(_, value) => Some(value.clone()),
            Self::Set(_, value) => old.map(|_| value.clone()),
            Self::Append(_, value) => Some(old.unwrap_or_default() + value),
        }
    }
}

/// Identifies one attempt of a request, so that a request is committed at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identifier of the request.
    pub id: String,
    /// Number of the attempt.
    pub attempt: u64,
}

/// The log of one server, with the time at which it received or created each entry.
#[derive(Debug, Default)]
pub struct Log {
    entries: Vec<(Entry, Arrival)>,
}

/// Time at which a server received or created an entry.
pub type Arrival = tokio::time::Instant;

impl Log {
    /// Returns the position of the last entry.
    #[must_use]
    pub fn last(&self) -> Position {
        self.position(self.entries.len() as u64)
    }

    /// Returns the position at an index; its term is 0 if there is no such entry.
    #[must_use]
    pub fn position(&self, index: u64) -> Position {
        let term = self.get(index).map_or(Term(0), |(entry, _)| entry.term);
        Position { term, index }
    }

    /// Returns the entry at an index; the first entry has index 1.
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

    /// Returns the index of the first entry whose term is at least `term`.
    #[must_use]
    pub fn start_of(&self, term: Term) -> u64 {
        self.entries.partition_point(|(entry, _)| entry.term < term) as u64 + 1
    }
}
