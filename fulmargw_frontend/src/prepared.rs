//! Prepared statements of a session, which are replayed on whatever connection it uses.

use crate::{batch::Operation, error::Failure, settings::Settings, statement::Kind};
use bytes::Bytes;
use std::collections::HashMap;

/// A prepared statement.
#[derive(Debug, Clone)]
pub struct Prepared {
    /// The encoded `Parse` message.
    pub parse: Bytes,
    /// What the front end knows about the statement.
    pub kind: Kind,
}

/// The prepared statements of a session by name; the empty name is the unnamed statement.
#[derive(Debug)]
pub struct Store {
    statements: HashMap<Bytes, Prepared>,
    /// Length of the named statements, in bytes.
    bytes: usize,
    count_limit: usize,
    bytes_limit: usize,
}

impl Store {
    /// Makes an empty store with the limits of the settings.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            statements: HashMap::new(),
            bytes: 0,
            count_limit: settings.prepared_statements,
            bytes_limit: settings.prepared_bytes,
        }
    }

    /// Returns a statement.
    #[must_use]
    pub fn get(&self, name: &[u8]) -> Option<&Prepared> {
        self.statements.get(name)
    }

    /// Checks that `count` named statements of `bytes` in total fit in addition.
    ///
    /// # Errors
    ///
    /// If the session has too many statements or too long ones.
    pub fn check(&self, count: usize, bytes: usize) -> Result<(), Failure> {
        let limit = |what, limit| Err(Failure::limit(what, limit));
        if count > 0 && self.statements.len() + count > self.count_limit {
            return limit("prepared statements", self.count_limit);
        }
        if bytes > 0 && self.bytes + bytes > self.bytes_limit {
            return limit("bytes of prepared statements", self.bytes_limit);
        }
        Ok(())
    }

    /// Adds or replaces a statement. An unnamed one that is too long is not kept, and then
    /// serves only the batch that prepares it.
    pub fn insert(&mut self, name: &[u8], prepared: Prepared) {
        self.remove(name);
        if name.is_empty() && prepared.parse.len() > self.bytes_limit {
            return;
        }
        if !name.is_empty() {
            self.bytes += prepared.parse.len();
        }
        // Copies, because a slice would keep the whole input buffer that it came in.
        let prepared = Prepared {
            parse: Bytes::copy_from_slice(&prepared.parse),
            ..prepared
        };
        self.statements
            .insert(Bytes::copy_from_slice(name), prepared);
    }

    /// Applies a batch of which the first `parsed` and `closed` messages of their kinds
    /// succeeded.
    pub fn apply(&mut self, operations: Vec<Operation>, parsed: usize, closed: usize) {
        let (mut parsed, mut closed) = (parsed, closed);
        for operation in operations {
            let left = match operation {
                Operation::Parse { .. } => &mut parsed,
                Operation::CloseStatement(_) | Operation::ClosePortal(_) => &mut closed,
                _ => continue,
            };
            if *left == 0 {
                return;
            }
            *left -= 1;
            match operation {
                Operation::Parse { name, prepared } => self.insert(&name, prepared),
                Operation::CloseStatement(name) => self.remove(&name),
                _ => {}
            }
        }
    }

    /// Removes a statement, if it exists.
    pub fn remove(&mut self, name: &[u8]) {
        let removed = self.statements.remove(name);
        if let Some(prepared) = removed.filter(|_| !name.is_empty()) {
            self.bytes -= prepared.parse.len();
        }
    }
}
