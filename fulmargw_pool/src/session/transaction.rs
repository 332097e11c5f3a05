//! Begin, end and abort of the transactions of a session.

use super::{
    Driver, Output, START_TIMEOUT,
    access::{self, Denial},
    failure::Failure,
    state::{Caller, OpenTransaction},
};
use crate::{
    borrow,
    configuration::Configuration,
    dialect::Dialect,
    job::{Outcome, Pin, Transaction},
    statement::{self, Query},
    store::Platform,
};
use fulmargw_model::{
    abort,
    execution::{Code, Kind, Statement, Visibility},
    name::Name,
    position::Position,
};
use std::{future, sync::Arc};
use tokio::time::Instant;

impl<D: Dialect, P: Platform> Driver<D, P> {
    /// Admits a transaction. It begins on a backend server with its first statement.
    pub(super) async fn begin(
        &mut self,
        query: &Query,
        read_only: bool,
        configuration: &Configuration,
    ) -> Output {
        match self.admit(configuration).await {
            Ok(caller) => {
                let mut transaction = OpenTransaction::new(read_only, caller);
                transaction.token = Some(self.core.activity.transaction());
                self.session.transaction = Some(transaction);
                self.complete()
            }
            Err(failure) => self.refuse_operation(query, &failure, configuration),
        }
    }

    /// Checks the API key and takes a token of the account's rate. Returns the caller's account.
    pub(super) async fn admit(&mut self, configuration: &Configuration) -> Result<Caller, Failure> {
        let authorized = access::authorize(
            configuration,
            &self.session.database,
            &self.session.key_digest,
        );
        let (route, caller) = authorized.map_err(Denial::of_statement)?;
        self.session.caller = Some(caller.clone());
        if caller.is_keyless {
            return Ok(caller);
        }
        let admitted = borrow::admit(&self.core, &caller.account, route.objective).await;
        admitted.map(|()| caller.clone()).map_err(|refusal| {
            log::info!(
                event = "rate_exceeded", session = self.session.number,
                account = caller.account.as_str(), rate = refusal.rate, has_share = refusal.has_share,
                available = refusal.available, version = configuration.catalog.version;
                "the rate of the account is exceeded"
            );
            Failure::later(
                Code::Busy,
                "the rate of the account is exceeded",
                refusal.retry_after,
            )
        })
    }

    /// Commits or rolls back the open transaction.
    pub(super) async fn end_transaction(
        &mut self,
        query: Query,
        kind: Kind,
        received: Instant,
        configuration: &Configuration,
    ) -> Output {
        let Some(mut transaction) = self.session.transaction.take() else {
            return self.complete();
        };
        let Some(pin) = transaction.pin.take() else {
            if kind == Kind::Rollback || !transaction.has_failed {
                return self.complete();
            }
            return self.refuse(&Failure::new(
                Code::Aborted,
                "a statement of the transaction had failed",
            ));
        };
        let timeout = self.timeout(configuration);
        // The end of a transaction that has written nothing commits nothing, so a commit barrier does
        // not hold it.
        let sent_kind = match kind {
            Kind::Commit if !transaction.has_written => Kind::InTransaction,
            kind => kind,
        };
        let statement = Statement {
            id: query.id.clone(),
            text: query.text.clone(),
            template: None,
            kind: sent_kind,
        };
        let visibility = Visibility {
            consistency: transaction.consistency,
            last_commit: None,
        };
        let account = transaction.caller.account.clone();
        let outcome = self
            .submit(
                statement,
                visibility,
                account,
                Some(pin),
                received + timeout,
                None,
            )
            .await;
        match outcome {
            Outcome::Answered {
                reply,
                trace,
                transaction: remaining,
            } => {
                // The transaction is over for the caller, whatever its state on the server.
                if let Transaction::Open(pin) = remaining {
                    self.core.roll_back(pin);
                }
                if kind == Kind::Commit && transaction.has_written && reply.result.is_ok() {
                    self.record_commit(&trace.server_id.service, reply.position);
                }
                self.log_reply(&query, &trace, &reply, received, configuration);
                self.relay(reply)
            }
            Outcome::NotRun(_) => {
                self.refuse(&Failure::new(Code::Aborted, "the connection was lost"))
            }
            Outcome::Lost { server, .. } => {
                let failure = if kind == Kind::Commit && transaction.has_written {
                    Failure::new(Code::InDoubt, "the commit was sent but got no response")
                } else if kind == Kind::Commit {
                    Failure::new(Code::Aborted, "the connection was lost")
                } else {
                    return self.complete();
                };
                self.log_no_response(&query, server.as_ref(), &failure, received);
                self.refuse(&failure)
            }
        }
    }

    /// Records a commit before it is acknowledged to the caller.
    pub(super) fn record_commit(&mut self, service: &Name, position: Option<Position>) {
        self.session.record_commit(position);
        if let Some(position) = position {
            self.core.acknowledge(service, position);
        }
    }

    /// Rolls back the open transaction. The response to its next statement notifies the caller.
    pub(super) fn abort(&mut self, cause: abort::Cause) {
        self.log_abort(cause);
        if let Some(transaction) = &mut self.session.transaction {
            if let Some(pin) = transaction.pin.take() {
                self.core.roll_back(pin);
            }
            transaction.abort_cause = Some(cause);
        }
    }

    /// Reports to the caller that the transaction was rolled back, after which it is over.
    pub(super) fn report_abort(
        &mut self,
        query: &Query,
        cause: abort::Cause,
        configuration: &Configuration,
    ) -> Output {
        if self.session.has_live_transaction() {
            self.abort(cause);
        }
        self.session.transaction = None;
        if query.statement == statement::Statement::Rollback {
            return self.complete();
        }
        let failure = Failure::new(Code::Aborted, cause.text());
        self.log_refusal(query, &failure, configuration);
        self.refuse(&failure)
    }

    /// Rolls back the open transaction at the end of the session.
    pub(super) fn close(&mut self) {
        if let Some(pin) = self
            .session
            .transaction
            .take()
            .and_then(|transaction| transaction.pin)
        {
            self.core.roll_back(pin);
        }
    }

    pub(super) fn idle_deadline(&self) -> Instant {
        let idle = self
            .core
            .configuration()
            .map(|configuration| configuration.catalog.transaction_idle);
        Instant::now() + idle.unwrap_or(START_TIMEOUT)
    }

    /// Waits until the configuration in force no longer allows the open transaction to go on.
    ///
    /// A change of the route applies from the next transaction on, a withdrawn key at once.
    pub(super) async fn key_withdrawn(&self) {
        let mut configuration = self.core.configuration.subscribe();
        let is_withdrawn = |current: &Option<Arc<Configuration>>| {
            current
                .as_ref()
                .is_some_and(|current| !self.session.may_continue(&current.keys))
        };
        if configuration.wait_for(is_withdrawn).await.is_err() {
            // The process is ending, so there is no later configuration.
            future::pending::<()>().await;
        }
    }

    /// Waits until nothing may be sent on the connection of the open transaction any more. A peer
    /// rolls its transactions back itself.
    pub(super) async fn connection_closed(&self) {
        let transaction = self.session.transaction.as_ref();
        match transaction.and_then(|transaction| transaction.pin.as_ref()) {
            Some(Pin::Local(pooled)) => pooled.connection.closed().await,
            Some(Pin::Remote(_)) | None => future::pending().await,
        }
    }
}
