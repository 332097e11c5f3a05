//! Orders and open transactions of one connection from another host.

use crate::{
    core::Core,
    dialect::Dialect,
    dispatch, failover,
    job::{self, Pin, PooledConnection},
    store::Platform,
};
use fulmargw_model::{
    execution::{Code, NotRun, Request},
    lock::{Mutex, Rank},
    name::Name,
    position::Position,
};
use fulmargw_peer::forward::{self, Outcome, TransactionId};
use std::{collections::BTreeMap, mem, sync::Arc, time::Duration};
use tokio::time::Instant;
use tokio_util::task::task_tracker::TaskTrackerToken;

/// Time beyond the longest idle time of transactions after which one counts as forgotten.
const FORGOTTEN_MARGIN: Duration = Duration::from_secs(2);
/// Longest idle time of a transaction while no configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(5);

/// Opens a visitor for each connection from another host.
#[derive(Debug)]
pub struct Handler<D: Dialect, P: Platform>(pub Arc<Core<D, P>>);

impl<D: Dialect, P: Platform> forward::Handler for Handler<D, P> {
    type Executor = Executor<D, P>;

    fn executor(&self) -> Executor<D, P> {
        let table = Arc::new(Mutex::new(Rank::Pin, Table::default()));
        let ending = self.0.aborting.clone();
        let transactions = Arc::downgrade(&table);
        let core = Arc::clone(&self.0);
        self.0.tasks.spawn(async move {
            ending.cancelled().await;
            if let Some(table) = transactions.upgrade() {
                close(&core, &table);
            }
        });
        Executor {
            core: Arc::clone(&self.0),
            table,
        }
    }
}

/// Runs the orders of one connection.
#[derive(Debug)]
pub struct Executor<D: Dialect, P: Platform> {
    core: Arc<Core<D, P>>,
    table: Arc<Mutex<Table<D>>>,
}

/// Open transactions.
#[derive(Debug)]
struct Table<D: Dialect> {
    is_closed: bool,
    next: TransactionId,
    open: BTreeMap<TransactionId, Entry<D>>,
}

/// An open transaction that waits for its next statement.
#[derive(Debug)]
struct Entry<D: Dialect> {
    held: PooledConnection<D>,
    since: Instant,
    /// Makes a graceful stop wait for the transaction.
    _token: TaskTrackerToken,
}

impl<D: Dialect> Default for Table<D> {
    fn default() -> Self {
        Self {
            is_closed: false,
            next: 0,
            open: BTreeMap::new(),
        }
    }
}

impl<D: Dialect, P: Platform> forward::Executor for Executor<D, P> {
    async fn run(&self, order: Request, transaction: Option<TransactionId>) -> Outcome {
        self.sweep();
        let held = match transaction {
            None if !self.core.accepts_forwarded(&order.service) => return Outcome::NotServing,
            None => None,
            Some(transaction) => match self.table.lock().open.remove(&transaction) {
                Some(entry) => Some(entry.held),
                None => {
                    return Outcome::NotRun(NotRun {
                        server: None,
                        code: Code::Aborted,
                    });
                }
            },
        };
        let _running = self.core.sessions.token();
        let work = order.statement.clone();
        let done = dispatch::run(&self.core, order, held).await;
        if let job::Outcome::NotRun(NotRun { code, .. }) = &done {
            log::info!(event = "order_not_run", request:% = work.request(), code = code.label(); "statement of another host not run");
        }
        match done {
            job::Outcome::Answered { reply, place, pin } => Outcome::Answered {
                reply,
                place,
                transaction: pin.and_then(|pin| self.keep(pin, transaction)),
            },
            job::Outcome::NotRun(not_run) => Outcome::NotRun(not_run),
            job::Outcome::Lost { server, timed_out } => Outcome::Lost { server, timed_out },
        }
    }

    fn roll_back(&self, transaction: TransactionId) {
        let entry = self.table.lock().open.remove(&transaction);
        if let Some(entry) = entry {
            self.core.close_connection(entry.held);
        }
    }

    async fn reaches(&self, service: Name, server: Name) -> bool {
        failover::reaches(&self.core, &service, &server).await
    }

    fn acknowledged_position(&self, service: Name) -> Option<Position> {
        self.core.acknowledged(&service)
    }

    fn has_open_transactions(&self) -> bool {
        !self.table.lock().open.is_empty()
    }

    fn close(&self) {
        close(&self.core, &self.table);
    }
}

impl<D: Dialect, P: Platform> Executor<D, P> {
    /// Keeps a transaction for its next statement; `None` if the connection has ended.
    fn keep(&self, pin: Pin<D>, known: Option<TransactionId>) -> Option<TransactionId> {
        let Pin::Local(held) = pin else {
            self.core.roll_back(pin);
            return None;
        };
        let mut table = self.table.lock();
        if table.is_closed {
            drop(table);
            self.core.close_connection(held);
            return None;
        }
        let transaction = known.unwrap_or_else(|| {
            table.next += 1;
            table.next
        });
        let entry = Entry {
            held,
            since: Instant::now(),
            _token: self.core.sessions.token(),
        };
        table.open.insert(transaction, entry);
        Some(transaction)
    }

    /// Rolls back transactions that the other host has lost sight of.
    fn sweep(&self) {
        let idle = self
            .core
            .configuration()
            .map_or(DEFAULT_IDLE, |configuration| {
                configuration.catalog.transaction_idle
            });
        let limit = idle + FORGOTTEN_MARGIN;
        let forgotten: Vec<Entry<D>> = {
            let mut table = self.table.lock();
            let old = table
                .open
                .extract_if(.., |_, entry| entry.since.elapsed() >= limit);
            old.map(|(_, entry)| entry).collect()
        };
        for entry in forgotten {
            log::info!(event = "transaction_forgotten", server = entry.held.key.server.as_str(); "rolling back a transaction that another host does not end");
            self.core.close_connection(entry.held);
        }
    }
}

fn close<D: Dialect, P: Platform>(core: &Core<D, P>, table: &Mutex<Table<D>>) {
    let open = {
        let mut table = table.lock();
        table.is_closed = true;
        mem::take(&mut table.open)
    };
    for entry in open.into_values() {
        core.close_connection(entry.held);
    }
}
