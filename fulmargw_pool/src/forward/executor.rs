//! Runs the statements that a peer forwards on one connection, and keeps their open transactions.

use super::zone;
use crate::{
    barrier,
    core::Core,
    dialect::Dialect,
    dispatch, evacuation, failover,
    freshness::Moment,
    job::{self, Pin, PooledConnection},
    sampling,
    store::Platform,
};
use fulmargw_model::{
    abort,
    execution::{Code, NotRun, Request},
    lock::{Mutex, Rank},
    name::Name,
    position::Position,
};
use fulmargw_peer::forward::{self, BarrierReport, Outcome, Transaction, TransactionId};
use std::{
    collections::BTreeMap,
    mem,
    sync::{Arc, Weak},
    time::Duration,
};
use tokio::time::Instant;
use tokio_util::task::task_tracker::TaskTrackerToken;

/// Time beyond the idle timeout of transactions after which a transaction counts as abandoned.
const ABANDONED_MARGIN: Duration = Duration::from_secs(2);
/// Idle timeout of transactions while no configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Creates an [`Executor`] for each connection from a peer.
#[derive(Debug)]
pub struct Handler<D: Dialect, P: Platform>(pub Arc<Core<D, P>>);

impl<D: Dialect, P: Platform> forward::Handler for Handler<D, P> {
    type Executor = Executor<D, P>;

    fn executor(&self) -> Executor<D, P> {
        let transactions = Arc::new(Mutex::new(Rank::Pin, Transactions::default()));
        let core = Arc::clone(&self.0);
        let watched = close_transactions(core, Arc::downgrade(&transactions));
        self.0.tasks.spawn("peer transactions", watched);
        Executor {
            core: Arc::clone(&self.0),
            transactions,
        }
    }
}

/// Runs the statements of one connection from a peer.
#[derive(Debug)]
pub struct Executor<D: Dialect, P: Platform> {
    core: Arc<Core<D, P>>,
    transactions: Arc<Mutex<Transactions<D>>>,
}

/// Open transactions of one connection.
#[derive(Debug)]
struct Transactions<D: Dialect> {
    /// Why no transaction may be open any more.
    closed: Option<abort::Cause>,
    next: TransactionId,
    open: BTreeMap<TransactionId, OpenTransaction<D>>,
}

/// An open transaction that waits for its next statement.
#[derive(Debug)]
struct OpenTransaction<D: Dialect> {
    pooled: PooledConnection<D>,
    idle_since: Instant,
    /// Make a graceful stop wait until the transaction ends, and count it.
    _tokens: [TaskTrackerToken; 2],
}

impl<D: Dialect> Default for Transactions<D> {
    fn default() -> Self {
        Self {
            closed: None,
            next: 0,
            open: BTreeMap::new(),
        }
    }
}

impl<D: Dialect, P: Platform> forward::Executor for Executor<D, P> {
    async fn run(&self, request: Request, transaction: Option<TransactionId>) -> Outcome {
        self.roll_back_abandoned();
        let pooled = match transaction {
            None if !self.core.accepts_forwarded(&request) => return Outcome::NotServing,
            None => None,
            Some(transaction) => match self.transactions.lock().open.remove(&transaction) {
                Some(entry) => Some(entry.pooled),
                None => {
                    return Outcome::NotRun(NotRun {
                        server: None,
                        code: Code::Aborted,
                        retry_after: None,
                    });
                }
            },
        };
        let _running = [
            self.core.sessions.token(),
            self.core.activity.forwarded_statement(),
        ];
        let statement = request.statement.clone();
        let outcome = match pooled {
            Some(pooled) => dispatch::run(&self.core, request, Some(pooled)).await,
            None => match zone::run_here(&self.core, request).await {
                Ok(outcome) => outcome,
                Err(obstacle) => return Outcome::PassedOn(obstacle),
            },
        };
        if let job::Outcome::NotRun(NotRun { code, .. }) = &outcome {
            log::info!(event = "order_not_run", request:% = statement.request(), code = code.label(); "forwarded statement not run");
        }
        match outcome {
            job::Outcome::Answered {
                reply,
                trace,
                transaction: outcome,
            } => Outcome::Answered {
                reply,
                trace,
                transaction: match outcome {
                    job::Transaction::Open(pin) => self.store(pin, transaction),
                    job::Transaction::RolledBack(cause) => Transaction::RolledBack(cause),
                    job::Transaction::Ended => Transaction::Ended,
                },
            },
            job::Outcome::NotRun(not_run) => Outcome::NotRun(not_run),
            job::Outcome::Lost { server, timed_out } => Outcome::Lost { server, timed_out },
        }
    }

    fn roll_back(&self, transaction: TransactionId) {
        let entry = self.transactions.lock().open.remove(&transaction);
        if let Some(entry) = entry {
            self.core.close_connection(entry.pooled);
        }
    }

    async fn reaches(&self, service: Name, server: Name) -> bool {
        failover::reaches(&self.core, &service, &server).await
    }

    fn acknowledged_position(&self, service: Name) -> Option<Position> {
        evacuation::acknowledged(&self.core, &service)
    }

    async fn raise_barrier(
        &self,
        service: Name,
        token: u64,
        period: Duration,
    ) -> Option<BarrierReport> {
        barrier::raise(&self.core, &service, token, period).await
    }

    fn lift_barrier(&self, service: Name, token: u64) {
        barrier::lift(&self.core, &service, token);
    }

    fn sample(&self, service: Name) -> Option<forward::Sample> {
        let moment = Moment::now();
        let mut servers = self.core.servers.lock();
        let group = servers.groups.get_mut(&service)?;
        group.sample_requested = Some(moment.now);
        let age = group.freshness.newest_age(moment);
        if age.is_none_or(|age| age >= sampling::MAX_SAMPLE_AGE) {
            // The asking host may have reads that must not run on the primary.
            group.sample_needed = Some(moment.now);
        }
        let newest = group.freshness.newest()?;
        Some(forward::Sample {
            position: newest.position,
            age: newest.age(moment),
        })
    }

    fn has_open_transactions(&self) -> bool {
        !self.transactions.lock().open.is_empty()
    }

    fn close(&self) {
        close_all(&self.core, &self.transactions, abort::Cause::Disconnected);
    }
}

impl<D: Dialect, P: Platform> Executor<D, P> {
    /// Stores an open transaction until its next statement, unless it has to be rolled back: this host has
    /// rolled back all of them while the statement ran, or the connection must not be used any more.
    fn store(&self, pin: Pin<D>, number: Option<TransactionId>) -> Transaction {
        let Pin::Local(pooled) = pin else {
            // Statements of peers are not passed on to a third host.
            self.core.roll_back(pin);
            return Transaction::RolledBack(abort::Cause::Disconnected);
        };
        let mut transactions = self.transactions.lock();
        let is_evacuated = pooled.connection.is_closed();
        let cause = transactions
            .closed
            .or(is_evacuated.then_some(abort::Cause::ZoneEvacuated));
        if let Some(cause) = cause {
            drop(transactions);
            log::info!(event = "forwarded_transaction_aborted", server = pooled.server_id.server.as_str(), cause = cause.text(); "rolling back a transaction of a peer whose statement was under way");
            self.core.close_connection(pooled);
            return Transaction::RolledBack(cause);
        }
        let transaction = number.unwrap_or_else(|| {
            transactions.next += 1;
            transactions.next
        });
        let entry = OpenTransaction {
            pooled,
            idle_since: Instant::now(),
            _tokens: [
                self.core.sessions.token(),
                self.core.activity.forwarded_transaction(),
            ],
        };
        transactions.open.insert(transaction, entry);
        Transaction::Open(transaction)
    }

    /// Rolls back transactions that the peer has abandoned.
    fn roll_back_abandoned(&self) {
        let idle = self
            .core
            .configuration()
            .map_or(DEFAULT_IDLE_TIMEOUT, |configuration| {
                configuration.catalog.transaction_idle
            });
        let limit = idle + ABANDONED_MARGIN;
        let abandoned: Vec<OpenTransaction<D>> = {
            let mut transactions = self.transactions.lock();
            let old = transactions
                .open
                .extract_if(.., |_, entry| entry.idle_since.elapsed() >= limit);
            old.map(|(_, entry)| entry).collect()
        };
        for entry in abandoned {
            log::info!(event = "transaction_forgotten", server = entry.pooled.server_id.server.as_str(); "rolling back a transaction that a peer has abandoned");
            self.core.close_connection(entry.pooled);
        }
    }
}

/// Closes the transactions when the host aborts them, and those on servers of evacuated zones.
async fn close_transactions<D: Dialect, P: Platform>(
    core: Arc<Core<D, P>>,
    transactions: Weak<Mutex<Transactions<D>>>,
) {
    let mut exclusions = core.exclusions.subscribe();
    loop {
        let is_aborting = tokio::select! {
            () = core.aborting.cancelled() => true,
            changed = exclusions.changed() => changed.is_err(),
        };
        let Some(transactions) = transactions.upgrade() else {
            return;
        };
        if is_aborting {
            return close_all(&core, &transactions, abort::Cause::Stopping);
        }
        close_evacuated(&core, &transactions);
    }
}

/// Rolls back the transactions on servers of evacuated zones.
fn close_evacuated<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    transactions: &Mutex<Transactions<D>>,
) {
    let evacuated: Vec<OpenTransaction<D>> = {
        let mut transactions = transactions.lock();
        let closed = transactions
            .open
            .extract_if(.., |_, entry| entry.pooled.connection.is_closed());
        closed.map(|(_, entry)| entry).collect()
    };
    for entry in evacuated {
        log::info!(event = "transaction_evacuated", server = entry.pooled.server_id.server.as_str(); "rolling back a transaction of a peer in an evacuated zone");
        core.close_connection(entry.pooled);
    }
}

/// Rolls back all transactions, and those whose statement is under way once that has been answered.
fn close_all<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    transactions: &Mutex<Transactions<D>>,
    cause: abort::Cause,
) {
    let open = {
        let mut transactions = transactions.lock();
        transactions.closed.get_or_insert(cause);
        mem::take(&mut transactions.open)
    };
    for entry in open.into_values() {
        core.close_connection(entry.pooled);
    }
}
