//! Execution of statements on one connection, independent of the protocol.

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

/// Longest wait for a replica before an exit after a commit.
const EXIT_WAIT: Duration = Duration::from_millis(300);
/// Status of an exit that was injected.
const EXIT_STATUS: i32 = 9;

/// Rows and the command tag of a statement.
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

/// What a connection keeps between statements.
#[derive(Debug)]
pub struct Executor {
    server: Arc<Server>,
    /// Term to which the connection is bound; 0 if to none.
    bound: Term,
    transaction: Option<Transaction>,
    committed: Position,
}

impl Executor {
    /// Makes the state of a new connection.
    pub fn new(server: Arc<Server>, bound: Term) -> Self {
        Self {
            server,
            bound,
            transaction: None,
            committed: Position::default(),
        }
    }

    /// Returns the open transaction that a `BEGIN` opened.
    pub fn explicit(&self) -> Option<&Transaction> {
        self.transaction.as_ref().filter(|open| open.explicit)
    }

    /// Runs one statement. Without `BEGIN` its changes wait for [`Self::finish`].
    pub async fn run(
        &mut self,
        statement: &Statement,
        parameters: &[String],
    ) -> Result<Reply, Error> {
        let result = self.dispatch(statement, parameters).await;
        if result.is_err() {
            self.fail();
        }
        result
    }

    /// Marks an explicit transaction as failed and drops an implicit one.
    pub fn fail(&mut self) {
        match &mut self.transaction {
            Some(open) if open.explicit => open.failed = true,
            _ => self.transaction = None,
        }
    }

    /// Commits what statements outside of an explicit transaction changed.
    pub async fn finish(&mut self) -> Result<(), Error> {
        match self.transaction.take() {
            Some(open) if open.explicit => {
                self.transaction = Some(open);
                Ok(())
            }
            Some(open) => self.commit(open).await,
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
            Statement::Commit => return self.end().await,
            _ => {}
        }
        if self.explicit().is_some_and(|open| open.failed) {
            return Err(Error::failed_transaction());
        }
        if let Statement::Call(name, arguments) = statement {
            let row = self.call(Function::parse(name, arguments)?).await?;
            return Ok(Reply::rows(vec![row]));
        }
        self.server.state.lock().check_term(self.bound)?;
        if statement.needs_slot() {
            self.occupy_slot().await;
        }
        self.access(statement, parameters)
    }

    /// Holds a slot for the statement time.
    async fn occupy_slot(&self) {
        let Ok(_permit) = self.server.slots.acquire().await else {
            return;
        };
        let duration = self.server.fault.lock().statement_time();
        crate::timer::sleep(duration).await;
        self.server.observation.lock().statements += 1;
    }

    fn access(&mut self, statement: &Statement, parameters: &[String]) -> Result<Reply, Error> {
        let server = Arc::clone(&self.server);
        let member = server.state.lock();
        member.check_term(self.bound)?;
        let term = member.status(Instant::now()).term;
        let open = self
            .transaction
            .get_or_insert_with(|| Transaction::new(term));
        if self.bound != Term(0) && open.term != self.bound {
            return Err(Error::wrong_term());
        }
        let text = |operand: &super::sql::Operand| operand.text(parameters);
        let (effect, tag) = match statement {
            Statement::Begin => {
                open.explicit = true;
                return Ok(Reply::tag("BEGIN"));
            }
            Statement::Get(key) => {
                let value = open.get(member.table(), &text(key)?);
                return Ok(Reply::rows(
                    value.map(|value| vec![value]).into_iter().collect(),
                ));
            }
            Statement::Scan => {
                let rows = open.scan(member.table()).into_iter();
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
                let found = open.get(member.table(), &key).is_some();
                let tag = if found { "UPDATE 1" } else { "UPDATE 0" };
                (Effect::Set(key, text(value)?), tag)
            }
            Statement::Call(..) | Statement::Commit | Statement::Rollback => {
                return Err(Error::syntax("unexpected statement"));
            }
        };
        member.check_primary(self.bound)?;
        open.effects.push(effect);
        Ok(Reply::tag(tag))
    }

    async fn end(&mut self) -> Result<Reply, Error> {
        let Some(open) = self.transaction.take() else {
            return Ok(Reply::tag("COMMIT"));
        };
        if open.failed {
            return Ok(Reply::tag("ROLLBACK"));
        }
        self.server.state.lock().check_term(self.bound)?;
        self.commit(open).await?;
        Ok(Reply::tag("COMMIT"))
    }

    async fn commit(&mut self, open: Transaction) -> Result<(), Error> {
        let exit = if open.is_empty() {
            None
        } else {
            self.server.fault.lock().exit
        };
        if exit == Some(Exit::BeforeCommit) {
            process::exit(EXIT_STATUS);
        }
        let now = Instant::now();
        let result = self.server.state.lock().commit(open, self.bound, now);
        if let Some(position) = result? {
            self.committed = position;
            self.server.notify_changed();
            self.server.observation.lock().commits += 1;
            if exit == Some(Exit::AfterCommit) {
                self.exit_after(position.index).await;
            }
        }
        Ok(())
    }

    /// Exits without an answer once a replica holds the entry.
    async fn exit_after(&self, index: u64) {
        let mut changes = self.server.subscribe();
        let matched = async {
            while !self.server.state.lock().is_replicated(index) {
                if changes.changed().await.is_err() {
                    future::pending::<()>().await;
                }
            }
        };
        // Without a replica the process exits all the same.
        let _ = time::timeout(EXIT_WAIT, matched).await;
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
                let Position { term, index } = self.committed;
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
            Err(_) => Err(Error::behind()),
        }
    }

    fn record(&mut self, record: Record) -> Result<Vec<String>, Error> {
        let member = self.server.state.lock();
        member.check_primary(self.bound)?;
        let open = self.transaction.as_mut().filter(|open| open.explicit);
        let open = open.ok_or_else(Error::no_transaction)?;
        member.check_record(&record)?;
        let row = vec![record.id.clone(), record.attempt.to_string()];
        open.record = Some(record);
        Ok(row)
    }

    fn cancel(&self, record: Record) -> Result<Vec<String>, Error> {
        let now = Instant::now();
        let result = self.server.state.lock().cancel(record, self.bound, now);
        self.server.notify_changed();
        let (committed, position) = result?;
        let flag = if committed { "t" } else { "f" };
        Ok(vec![
            flag.to_owned(),
            position.term.0.to_string(),
            position.index.to_string(),
        ])
    }
}
