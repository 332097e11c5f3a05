//! Parameters of a load, and the function that generates it.

use super::session::Session;
use crate::history::event::Event;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{task::JoinSet, time::Instant};

/// Parameters of a load, which ends after a time or a number of operations.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Addresses at which hosts accept callers.
    pub hosts: Vec<SocketAddr>,
    /// Client accounts that send operations.
    pub accounts: Vec<Account>,
    /// Number of keys that are read and written.
    pub keys: usize,
    /// Kinds of operations and their weights.
    pub mix: Mix,
    /// Probability with which a session moves to another host before an operation.
    pub host_change_probability: f64,
    /// Whether writes carry a request id and are retried after an unknown outcome.
    pub request_ids: bool,
    /// Timeout of one operation, after which its outcome is unknown.
    pub timeout: Duration,
    /// Time from the start of the load after which no operation begins.
    pub duration: Duration,
    /// Greatest number of operations of one session.
    pub max_operations: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// A client account and its load.
#[derive(Debug, Clone)]
pub struct Account {
    /// Name of the account.
    pub name: String,
    /// API key.
    pub key: String,
    /// Number of concurrent sessions.
    pub sessions: usize,
    /// Operations per second, over all sessions of the account.
    pub rate: f64,
}

/// Weights of the kinds of operations, and the routes on which they are sent.
#[derive(Debug, Clone)]
pub struct Mix {
    /// Weight of single appends.
    pub write: u32,
    /// Weight of transactions of two appends.
    pub transaction: u32,
    /// Weight of current reads.
    pub current: u32,
    /// Weight of aged reads.
    pub aged: u32,
    /// Route of writes.
    pub write_route: String,
    /// Route of current reads.
    pub current_route: String,
    /// Route of aged reads.
    pub aged_route: String,
}

impl Default for Mix {
    fn default() -> Self {
        Self {
            write: 4,
            transaction: 1,
            current: 3,
            aged: 3,
            write_route: "write".to_owned(),
            current_route: "current".to_owned(),
            aged_route: "aged".to_owned(),
        }
    }
}

/// Runs a load and returns its history in the order in which operations ended. Times in the history
/// count from `epoch`.
pub async fn run(plan: Plan, epoch: Instant) -> Vec<Event> {
    let plan = Arc::new(plan);
    let mut sessions = JoinSet::new();
    let mut number = 0;
    for account in &plan.accounts {
        for _ in 0..account.sessions {
            let session = Session::new(Arc::clone(&plan), account.clone(), number, epoch);
            sessions.spawn(session.run());
            number += 1;
        }
    }
    let mut events: Vec<Event> = sessions.join_all().await.into_iter().flatten().collect();
    events.sort_by_key(|event| event.end_us);
    events
}
