//! The open transaction of a connection.

use super::{
    entry::{Effect, Record},
    error::Error,
    table::Table,
};
use fulmargw_model::position::Term;
use std::collections::HashMap;

/// Buffered changes; they become visible to others at the commit.
#[derive(Debug, Default)]
pub struct Transaction {
    /// Changes in order.
    pub effects: Vec<Effect>,
    /// Request that the transaction records.
    pub record: Option<Record>,
    /// Term in which the transaction began; 0 on connections without a term.
    pub term: Term,
    /// Whether a `BEGIN` opened it; otherwise it ends with the query.
    pub explicit: bool,
    /// Whether a statement failed, so that only the end is accepted.
    pub failed: bool,
    /// Index at which each key was read last changed.
    reads: HashMap<String, u64>,
}

impl Transaction {
    /// Makes an empty transaction that begins in `term`.
    #[must_use]
    pub fn new(term: Term) -> Self {
        Self {
            term,
            ..Self::default()
        }
    }

    /// Reports whether a commit has nothing to store.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.effects.is_empty() && self.record.is_none()
    }

    /// Reads a key as this transaction sees it.
    pub fn get(&mut self, table: &Table, key: &str) -> Option<String> {
        self.reads
            .entry(key.to_owned())
            .or_insert_with(|| table.changed(key));
        let own = self.effects.iter().filter(|effect| effect.key() == key);
        own.fold(table.get(key).map(str::to_owned), |value, effect| {
            effect.apply(value)
        })
    }

    /// Reads all keys; the transaction's own changes are included.
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

    /// Checks that no key that was read and written changed meanwhile.
    ///
    /// # Errors
    ///
    /// `40001` if one did.
    pub fn check_reads(&self, table: &Table) -> Result<(), Error> {
        let conflict = self.effects.iter().any(|effect| {
            let read = self.reads.get(effect.key());
            read.is_some_and(|changed| *changed != table.changed(effect.key()))
        });
        if conflict {
            return Err(Error::serialization());
        }
        Ok(())
    }
}
