//! Execution of the statements of one connection, independent of the wire protocol.

use super::{
    entry::{Effect, Record},
    error::Error,
    fault::Exit,
    function::{self, Function},
    process::Server,
    sql::Statement,
    transaction::Transaction,
};
use fulmargw_model::position::{Position, Term};
use std::{future, process, sync::Arc, time::Duration};
use tokio::time::{self, Instant};

/// Longest wait for a replica before an injected exit after a commit.
const EXIT_TIMEOUT: Duration = Duration::from_millis(300);
/// Exit status of an injected exit.
const EXIT_STATUS: i32 = 9;

/// Result rows and command tag of a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Rows of text columns.
    pub rows: Vec<Vec<String>>,
    /// Command tag.
    pub tag: String,
}

impl Reply {
    fn tag(tag: &str) -> Self {
        Self {
            rows: Vec::new(),
            tag: tag.to_owned(),
        }
    }

    fn rows(rows: Vec<Vec<String>>) -> Self {
        let tag = format!("SELECT {}", rows.len());
        Self { rows, tag }
    }
}

/// Runs the statements of one connection and keeps its transaction.
#[derive(Debug)]
pub struct Executor {
    server: Arc<Server>,
    /// Term to which the connection is bound; 0 if it is not bound.
    term: Term,
    transaction: Option<Transaction>,
    /// Position of the last commit on this connection.
    last_commit: Position,
}

impl Executor {
    /// Creates the executor of a new connection that is bound to `term`, or to none if it is 0.
    pub fn new(server: Arc<Server>, term: Term) -> Self {
        Self {
            server,
            term,
            transaction: None,
            last_commit: Position::default(),
        }
    }

    /// Returns the open transaction if a `BEGIN` opened it.
    pub fn explicit_transaction(&self) -> Option<&Transaction> {
        self.transaction
            .as_ref()
            .filter(|transaction| transaction.is_explicit)
    }

    /// Runs one statement. Without `BEGIN` its changes are committed by
    /// [`Self::commit_implicit`].
    pub async fn run(
        &mut self,
        statement: &Statement,
        parameters: &[String],
    ) -> Result<Reply, Error> {
        let result = self.dispatch(statement, parameters).await;
        if result.is_err() {
            self.mark_failed();
        }
        result
    }

    /// Marks an explicit transaction as failed, and discards an implicit one.
    pub fn mark_failed(&mut self) {
        match &mut self.transaction {
            Some(transaction) if transaction.is_explicit => transaction.is_failed = true,
            _ => self.transaction = None,
        }
    }

    /// Commits the changes of statements outside an explicit transaction.
    pub async fn commit_implicit(&mut self) -> Result<(), Error> {
        match self.transaction.take() {
            Some(transaction) if transaction.is_explicit => {
                self.transaction = Some(transaction);
                Ok(())
            }
            Some(transaction) => self.commit(transaction).await,
            None => Ok(()),
        }
    }

    async fn dispatch(
        &mut self,
        statement: &Statement,
        parameters: &[String],
    ) -> Result<Reply, Error> {
        match statement {
            Statement::Rollback => {
                self.transaction = None;
                return Ok(Reply::tag("ROLLBACK"));
            }
            Statement::Commit => return self.end_transaction().await,
            _ => {}
        }
        if self
            .explicit_transaction()
            .is_some_and(|transaction| transaction.is_failed)
        {
            return Err(Error::failed_transaction());
        }
        if let Statement::Call(name, arguments) = statement {
            let row = self.call(Function::parse(name, arguments)?).await?;
            return Ok(Reply::rows(vec![row]));
        }
        self.server.state.lock().check_term(self.term)?;
        if statement.needs_slot() {
            self.occupy_slot().await;
        }
        self.run_on_table(statement, parameters)
    }

    /// Waits for a slot and occupies it for the statement time.
    async fn occupy_slot(&self) {
        let Ok(_permit) = self.server.slots.acquire().await else {
            return;
        };
        let duration = self.server.fault.lock().statement_time();
        crate::timer::sleep(duration).await;
        self.server.observation.lock().statements += 1;
    }

    fn run_on_table(
        &mut self,
        statement: &Statement,
        parameters: &[String],
    ) -> Result<Reply, Error> {
        let server = Arc::clone(&self.server);
        let state = server.state.lock();
        state.check_term(self.term)?;
        let term = state.status(Instant::now()).term;
        let transaction = self
            .transaction
            .get_or_insert_with(|| Transaction::new(term));
        if self.term != Term(0) && transaction.term != self.term {
            return Err(Error::wrong_term());
        }
        let text = |operand: &super::sql::Operand| operand.text(parameters);
        let (effect, tag) = match statement {
            Statement::Begin => {
                transaction.is_explicit = true;
                return Ok(Reply::tag("BEGIN"));
            }
            Statement::Get(key) => {
                let value = transaction.get(state.table(), &text(key)?);
                return Ok(Reply::rows(
                    value.map(|value| vec![value]).into_iter().collect(),
                ));
            }
            Statement::Scan => {
                let rows = transaction.scan(state.table()).into_iter();
                return Ok(Reply::rows(
                    rows.map(|(key, value)| vec![key, value]).collect(),
                ));
            }
            Statement::Number(number) => return Ok(Reply::rows(vec![vec![number.clone()]])),
            Statement::Accepted(tag) => return Ok(Reply::tag(tag)),
            Statement::Put(key, value) => (Effect::Put(text(key)?, text(value)?), "INSERT 0 1"),
            Statement::Append(key, value) => (Effect::Append(text(key)?, text(value)?), "UPDATE 1"),
            Statement::Set(key, value) => {
                let key = text(key)?;
                let exists = transaction.get(state.table(), &key).is_some();
                let tag = if exists { "UPDATE 1" } else { "UPDATE 0" };
                (Effect::Set(key, text(value)?), tag)
            }
            Statement::Call(..) | Statement::Commit | Statement::Rollback => {
                return Err(Error::syntax("unexpected statement"));
            }
        };
        state.check_primary(self.term)?;
        transaction.effects.push(effect);
        Ok(Reply::tag(tag))
    }

    async fn end_transaction(&mut self) -> Result<Reply, Error> {
        let Some(transaction) = self.transaction.take() else {
            return Ok(Reply::tag("COMMIT"));
        };
        if transaction.is_failed {
            return Ok(Reply::tag("ROLLBACK"));
        }
        self.server.state.lock().check_term(self.term)?;
        self.commit(transaction).await?;
        Ok(Reply::tag("COMMIT"))
    }

    async fn commit(&mut self, transaction: Transaction) -> Result<(), Error> {
        let exit = if transaction.is_empty() {
            None
        } else {
            self.server.fault.lock().exit
        };
        if exit == Some(Exit::BeforeCommit) {
            process::exit(EXIT_STATUS);
        }
        let now = Instant::now();
        let result = self.server.state.lock().commit(transaction, self.term, now);
        if let Some(position) = result? {
            self.last_commit = position;
            self.server.notify_changed();
            self.server.observation.lock().commits += 1;
            if exit == Some(Exit::AfterCommit) {
                self.exit_once_replicated(position.index).await;
            }
        }
        Ok(())
    }

    /// Exits without a response once a replica has confirmed the entry at `index`.
    async fn exit_once_replicated(&self, index: u64) {
        let mut changes = self.server.subscribe();
        let replicated = async {
            while !self.server.state.lock().is_replicated(index) {
                if changes.changed().await.is_err() {
                    future::pending::<()>().await;
                }
            }
        };
        // The process also exits if no replica confirms the entry in time.
        let _ = time::timeout(EXIT_TIMEOUT, replicated).await;
        process::exit(EXIT_STATUS);
    }

    async fn call(&mut self, function: Function) -> Result<Vec<String>, Error> {
        let now = Instant::now();
        match function {
            Function::Status => {}
            Function::Fence(term) => {
                self.server.state.lock().fence(term, now)?;
                self.server.notify_changed();
            }
            Function::Promote(term) => {
                self.server.state.lock().promote(term, now)?;
                self.server.notify_changed();
            }
            Function::Wait {
                received,
                position,
                timeout,
            } => self.wait(received, position, timeout).await?,
            Function::Record(id, attempt) => return self.record(Record { id, attempt }),
            Function::Position => {
                let Position { term, index } = self.last_commit;
                return Ok(vec![term.0.to_string(), index.to_string()]);
            }
            Function::Cancel(id, attempt) => return self.cancel(Record { id, attempt }),
        }
        let status = self.server.state.lock().status(Instant::now());
        Ok(function::status_row(&status))
    }

    async fn wait(
        &self,
        received: bool,
        position: Position,
        timeout: Duration,
    ) -> Result<(), Error> {
        let mut changes = self.server.subscribe();
        let reached = async {
            while !self.server.state.lock().has_reached(received, position)? {
                if changes.changed().await.is_err() {
                    break;
                }
            }
            Ok(())
        };
        match time::timeout(timeout, reached).await {
            Ok(result) => result,
            Err(_) => Err(Error::lagging()),
        }
    }

    fn record(&mut self, record: Record) -> Result<Vec<String>, Error> {
        let state = self.server.state.lock();
        state.check_primary(self.term)?;
        let transaction = self
            .transaction
            .as_mut()
            .filter(|transaction| transaction.is_explicit);
        let transaction = transaction.ok_or_else(Error::no_transaction)?;
        state.check_record(&record)?;
        let row = vec![record.id.clone(), record.attempt.to_string()];
        transaction.record = Some(record);
        Ok(row)
    }

    fn cancel(&self, record: Record) -> Result<Vec<String>, Error> {
        let now = Instant::now();
        let result = self.server.state.lock().cancel(record, self.term, now);
        self.server.notify_changed();
        let (committed, position) = result?;
        let committed_text = if committed { "t" } else { "f" };
        Ok(vec![
            committed_text.to_owned(),
            position.term.0.to_string(),
            position.index.to_string(),
        ])
    }
}
