//! What a session keeps between its statements.

use crate::{dialect::Dialect, job::Pin};
use fulmargw_model::{
    client_account::Digest,
    execution::{Consistency, Template, Text, Variables},
    name::Name,
    position::Position,
};
use std::{collections::HashMap, sync::Arc};

/// State of one session.
#[derive(Debug)]
pub struct Session<D: Dialect> {
    /// Number on this host.
    pub number: u64,
    /// Database that it asked for.
    pub database: Name,
    /// Digest of its key.
    pub key: Digest,
    /// Service of its last operation.
    pub service: Option<Name>,
    /// Session values.
    pub values: Arc<Variables>,
    /// Prepared shapes by the names that the caller chose.
    pub prepared: HashMap<Text, Template>,
    /// Last position at which it committed.
    pub position: Option<Position>,
    /// Open transaction.
    pub open: Option<Open<D>>,
}

/// An open transaction.
#[derive(Debug)]
pub struct Open<D: Dialect> {
    /// Whether the caller said that it only reads.
    pub read_only: bool,
    /// Account that was admitted.
    pub account: Name,
    /// Rule of the route at its first statement.
    pub consistency: Consistency,
    /// Whether a write was sent.
    pub wrote: bool,
    /// Whether a statement failed.
    pub failed: bool,
    /// Why it was rolled back, if the caller does not know yet.
    pub aborted: Option<&'static str>,
    /// Where it is open, once it has begun on a server.
    pub pin: Option<Pin<D>>,
}

impl<D: Dialect> Session<D> {
    /// Makes a session without state.
    #[must_use]
    pub fn new(number: u64, database: Name, key: Digest) -> Self {
        Self {
            number,
            database,
            key,
            service: None,
            values: Arc::default(),
            prepared: HashMap::new(),
            position: None,
            open: None,
        }
    }

    /// Reports whether a transaction is open that is not known to be rolled back.
    #[must_use]
    pub fn has_work(&self) -> bool {
        self.open
            .as_ref()
            .is_some_and(|open| open.aborted.is_none())
    }

    /// Notes a commit of the session.
    pub fn advance(&mut self, position: Option<Position>) {
        if let Some(position) = position {
            let known = self.position.unwrap_or_default();
            self.position = Some(known.join(position));
        }
    }
}

impl<D: Dialect> Open<D> {
    /// Makes a transaction that has not begun on a server.
    #[must_use]
    pub fn new(read_only: bool, account: Name) -> Self {
        Self {
            read_only,
            account,
            consistency: Consistency::Current,
            wrote: false,
            failed: false,
            aborted: None,
            pin: None,
        }
    }
}
