//! What a graceful stop waits for.

use crate::{core::Core, dialect::Dialect, store::Platform};
use serde::Serialize;
use tokio_util::task::{TaskTracker, task_tracker::TaskTrackerToken};

/// Counts what runs or is open, in addition to the sessions.
#[derive(Debug, Default)]
pub struct Counters {
    /// Open transactions of the sessions of this host.
    transactions: TaskTracker,
    /// Statements that run here for peers.
    forwarded_statements: TaskTracker,
    /// Transactions that are open here for peers and wait for their next statements.
    forwarded_transactions: TaskTracker,
}

impl Counters {
    /// Counts an open transaction of a session until the token is dropped.
    pub fn transaction(&self) -> TaskTrackerToken {
        self.transactions.token()
    }

    /// Counts a statement of a peer until the token is dropped.
    pub fn forwarded_statement(&self) -> TaskTrackerToken {
        self.forwarded_statements.token()
    }

    /// Counts an open transaction of a peer until the token is dropped.
    pub fn forwarded_transaction(&self) -> TaskTrackerToken {
        self.forwarded_transactions.token()
    }
}

/// Numbers of what a graceful stop waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Activity {
    /// Sessions of callers.
    pub sessions: usize,
    /// Open transactions of these sessions.
    pub transactions: usize,
    /// Statements that run here for peers.
    pub forwarded_statements: usize,
    /// Transactions that are open here for peers and wait for their next statements.
    pub forwarded_transactions: usize,
}

impl Activity {
    /// Counts what a graceful stop of a process has to wait for now.
    #[must_use]
    pub fn of<D: Dialect, P: Platform>(core: &Core<D, P>) -> Self {
        let counters = &core.activity;
        let forwarded_statements = counters.forwarded_statements.len();
        let forwarded_transactions = counters.forwarded_transactions.len();
        // The tracker of the sessions also has a token for each of these.
        let forwarded = forwarded_statements + forwarded_transactions;
        Self {
            sessions: core.sessions.len().saturating_sub(forwarded),
            transactions: counters.transactions.len(),
            forwarded_statements,
            forwarded_transactions,
        }
    }
}
