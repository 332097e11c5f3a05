//! State that a session keeps between statements.

use crate::{catalog::Keyring, dialect::Dialect, job::Pin};
use fulmargw_model::{
    abort,
    client_account::Digest,
    execution::{Consistency, Template, Text, Variables},
    name::Name,
    position::Position,
};
use std::{collections::HashMap, sync::Arc};
use tokio_util::task::task_tracker::TaskTrackerToken;

/// Account name sent to backend servers for callers without an API key on open routes.
const KEYLESS_ACCOUNT: &str = "-";

/// On whose behalf an operation was admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Client account that backend servers are told.
    pub account: Name,
    /// Whether the caller was admitted to an open route without a valid API key.
    pub is_keyless: bool,
}

impl Caller {
    /// Returns the caller of an account whose API key is valid.
    #[must_use]
    pub fn with_key(account: &Name) -> Self {
        Self {
            account: account.clone(),
            is_keyless: false,
        }
    }

    /// Returns a caller of an open route without a valid API key.
    #[must_use]
    pub fn keyless() -> Self {
        Self {
            account: Name::new(KEYLESS_ACCOUNT),
            is_keyless: true,
        }
    }
}

impl Caller {
    /// Reports whether a key still belongs to the account, if the caller was admitted with one.
    fn is_allowed(&self, key: &Digest, keys: &Keyring) -> bool {
        self.is_keyless || keys.account(key) == Some(&self.account)
    }
}

/// State of one session.
#[derive(Debug)]
pub struct Session<D: Dialect> {
    /// Number of the session, unique on this host.
    pub number: u64,
    /// Name of the database that the caller requested.
    pub database: Name,
    /// Digest of the caller's API key.
    pub key_digest: Digest,
    /// On whose behalf the last operation was admitted, or refused for its rate.
    pub caller: Option<Caller>,
    /// Service that ran the last operation.
    pub service: Option<Name>,
    /// Session variables.
    pub variables: Arc<Variables>,
    /// Statement templates by the names under which the caller prepared them.
    pub prepared: HashMap<Text, Template>,
    /// Log position of the last commit of the session.
    pub last_commit: Option<Position>,
    /// Open transaction.
    pub transaction: Option<OpenTransaction<D>>,
}

/// An open transaction.
#[derive(Debug)]
pub struct OpenTransaction<D: Dialect> {
    /// Whether the caller began the transaction as read-only.
    pub read_only: bool,
    /// On whose behalf the transaction was admitted.
    pub caller: Caller,
    /// Consistency rule of the route when the first statement ran.
    pub consistency: Consistency,
    /// Number of statements that backend servers have answered.
    pub statements: u32,
    /// Whether a write was sent.
    pub has_written: bool,
    /// Whether a statement failed.
    pub has_failed: bool,
    /// Why the transaction was rolled back, until the caller is notified.
    pub abort_cause: Option<abort::Cause>,
    /// Connection to which the transaction is pinned, once it has begun on a backend server.
    pub pin: Option<Pin<D>>,
    /// Counts the transaction while it is open.
    pub token: Option<TaskTrackerToken>,
}

impl<D: Dialect> Session<D> {
    /// Creates a session without variables, prepared statements or a transaction.
    #[must_use]
    pub fn new(number: u64, database: Name, key_digest: Digest) -> Self {
        Self {
            number,
            database,
            key_digest,
            caller: None,
            service: None,
            variables: Arc::default(),
            prepared: HashMap::new(),
            last_commit: None,
            transaction: None,
        }
    }

    /// Reports whether a transaction is open that has not been rolled back by this host.
    #[must_use]
    pub fn has_live_transaction(&self) -> bool {
        self.transaction
            .as_ref()
            .is_some_and(|transaction| transaction.abort_cause.is_none())
    }

    /// Reports whether the open transaction may go on: its API key still belongs to the account for
    /// which it was admitted, or it was admitted without one.
    #[must_use]
    pub fn may_continue(&self, keys: &Keyring) -> bool {
        let transaction = self.transaction.as_ref();
        transaction.is_none_or(|transaction| transaction.caller.is_allowed(&self.key_digest, keys))
    }

    /// Reports whether the last operation could still be admitted for the same account.
    #[must_use]
    pub fn is_admitted_by(&self, keys: &Keyring) -> bool {
        let caller = self.caller.as_ref();
        caller.is_none_or(|caller| caller.is_allowed(&self.key_digest, keys))
    }

    /// Records the position of a commit of the session.
    pub fn record_commit(&mut self, position: Option<Position>) {
        if let Some(position) = position {
            let known = self.last_commit.unwrap_or_default();
            self.last_commit = Some(known.join(position));
        }
    }
}

impl<D: Dialect> OpenTransaction<D> {
    /// Creates a transaction that has not begun on a backend server.
    #[must_use]
    pub fn new(read_only: bool, caller: Caller) -> Self {
        Self {
            read_only,
            caller,
            consistency: Consistency::Current,
            statements: 0,
            has_written: false,
            has_failed: false,
            abort_cause: None,
            pin: None,
            token: None,
        }
    }
}
