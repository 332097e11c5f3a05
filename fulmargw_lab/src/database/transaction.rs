//! The open transaction of a connection.

use super::{
    entry::{Effect, Record},
    error::Error,
    table::Table,
};
use fulmargw_model::position::Term;
use std::collections::HashMap;

/// Changes that are buffered until the commit, when they become visible to other connections.
#[derive(Debug, Default)]
pub struct Transaction {
    /// Changes in order.
    pub effects: Vec<Effect>,
    /// Attempt of a request that is recorded at the commit.
    pub record: Option<Record>,
    /// Term of the server when the transaction began.
    pub term: Term,
    /// Whether a `BEGIN` opened it; otherwise it ends with the query.
    pub is_explicit: bool,
    /// Whether a statement failed, after which only `COMMIT` and `ROLLBACK` are accepted.
    pub is_failed: bool,
    /// Keys that were read, with the index of the entry that had changed each last; 0 if the key
    /// did not exist.
    reads: HashMap<String, u64>,
}

impl Transaction {
    /// Creates an empty transaction that begins in `term`.
    #[must_use]
    pub fn new(term: Term) -> Self {
        Self {
            term,
            ..Self::default()
        }
    }

    /// Reports whether a commit would store nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.effects.is_empty() && self.record.is_none()
    }

    /// Reads a key, including the transaction's own changes.
    pub fn get(&mut self, table: &Table, key: &str) -> Option<String> {
        self.reads
            .entry(key.to_owned())
            .or_insert_with(|| table.last_change(key));
        let own_effects = self.effects.iter().filter(|effect| effect.key() == key);
        own_effects.fold(table.get(key).map(str::to_owned), |value, effect| {
            effect.apply(value)
        })
    }

    /// Reads all keys, including the transaction's own changes.
    #[must_use]
    pub fn scan(&self, table: &Table) -> Vec<(String, String)> {
        let mut rows: std::collections::BTreeMap<String, String> = table
            .scan()
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect();
        for effect in &self.effects {
            let old = rows.remove(effect.key());
            if let Some(value) = effect.apply(old) {
                rows.insert(effect.key().to_owned(), value);
            }
        }
        rows.into_iter().collect()
    }

    /// Checks that no key that this transaction both read and wrote was changed by another one
    /// since the read.
    ///
    /// # Errors
    ///
    /// `40001` if such a key was changed.
    pub fn check_reads(&self, table: &Table) -> Result<(), Error> {
        let conflict = self.effects.iter().any(|effect| {
            let read = self.reads.get(effect.key());
            read.is_some_and(|read_change| *read_change != table.last_change(effect.key()))
        });
        if conflict {
            return Err(Error::serialization_failure());
        }
        Ok(())
    }
}
