//! Prepared statements of a session.
//!
//! A session does not keep its backend connection, so its statements are prepared again on each
//! connection that runs one of its batches.

use crate::{batch::Operation, error::Failure, settings::Settings, statement::Kind};
use bytes::Bytes;
use std::collections::HashMap;

/// A prepared statement.
#[derive(Debug, Clone)]
pub struct Statement {
    /// The encoded `Parse` message.
    pub parse: Bytes,
    /// Kind of the statement.
    pub kind: Kind,
}

/// The prepared statements of a session by name; the empty name is that of the unnamed statement.
#[derive(Debug)]
pub struct Store {
    statements: HashMap<Bytes, Statement>,
    /// Total length of the named statements, in bytes.
    bytes: usize,
    max_count: usize,
    max_bytes: usize,
}

impl Store {
    /// Creates an empty store with the limits of the settings.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            statements: HashMap::new(),
            bytes: 0,
            max_count: settings.prepared_statements,
            max_bytes: settings.prepared_bytes,
        }
    }

    /// Returns a statement by name.
    #[must_use]
    pub fn get(&self, name: &[u8]) -> Option<&Statement> {
        self.statements.get(name)
    }

    /// Checks that `count` more named statements with a total length of `bytes` are within the
    /// limits.
    ///
    /// # Errors
    ///
    /// If the session would have too many statements, or statements that are too long in total.
    pub fn check_limits(&self, count: usize, bytes: usize) -> Result<(), Failure> {
        let limit = |what, limit| Err(Failure::limit_exceeded(what, limit));
        if count > 0 && self.statements.len() + count > self.max_count {
            return limit("prepared statements", self.max_count);
        }
        if bytes > 0 && self.bytes + bytes > self.max_bytes {
            return limit("bytes of prepared statements", self.max_bytes);
        }
        Ok(())
    }

    /// Adds or replaces a statement. An unnamed statement above the length limit is not stored and
    /// can be used only in the batch that prepares it.
    pub fn insert(&mut self, name: &[u8], prepared: Statement) {
        self.remove(name);
        if name.is_empty() && prepared.parse.len() > self.max_bytes {
            return;
        }
        if !name.is_empty() {
            self.bytes += prepared.parse.len();
        }
        // Copied, because a slice would keep the whole input buffer in memory.
        let prepared = Statement {
            parse: Bytes::copy_from_slice(&prepared.parse),
            ..prepared
        };
        self.statements
            .insert(Bytes::copy_from_slice(name), prepared);
    }

    /// Applies a batch in which the first `parsed` `Parse` messages and the first `closed` `Close`
    /// messages succeeded.
    pub fn apply(&mut self, operations: Vec<Operation>, parsed: usize, closed: usize) {
        let (mut parsed, mut closed) = (parsed, closed);
        for operation in operations {
            let remaining = match operation {
                Operation::Parse { .. } => &mut parsed,
                Operation::CloseStatement(_) | Operation::ClosePortal(_) => &mut closed,
                _ => continue,
            };
            if *remaining == 0 {
                return;
            }
            *remaining -= 1;
            match operation {
                Operation::Parse { name, prepared } => self.insert(&name, prepared),
                Operation::CloseStatement(name) => self.remove(&name),
                _ => {}
            }
        }
    }

    /// Removes a statement if it exists.
    pub fn remove(&mut self, name: &[u8]) {
        let removed = self.statements.remove(name);
        if let Some(prepared) = removed.filter(|_| !name.is_empty()) {
            self.bytes -= prepared.parse.len();
        }
    }
}
