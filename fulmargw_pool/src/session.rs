//! Sessions of callers, and what each statement asks of them.

mod execute;
mod failure;
pub mod state;
mod trace;

use self::{
    failure::Failure,
    state::{Open, Session},
    trace::count,
};
use crate::{
    borrow,
    core::{Configuration, Core},
    dialect::Dialect,
    job::Outcome,
    message::{Request, Response},
    statement::{Query, Statement},
    store::Platform,
};
use fulmargw_model::{
    client_account::Digest,
    execution::{self, Code, Kind, Text, TransactionState as Transaction, Visibility},
    name::Name,
    position::Position,
};
use futures::{SinkExt as _, StreamExt as _};
use std::{io, sync::Arc, time::Duration};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep_until, timeout},
};
use tokio_util::codec::Framed;

/// Longest time for the first message of a connection.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for which a session waits for the configuration; callers give up after 2 s.
const POLICY_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a refused caller may come back when no better time is known.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Account that backend servers are told of callers without a key on open routes.
const OPEN_ACCOUNT: &str = "-";

/// What the caller gets for a statement.
struct Output {
    answers: Vec<Response>,
    closes: bool,
}

/// Serves one connection of a caller until it ends.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>, stream: TcpStream) {
    let number = core.next_session_number();
    let mut framed = Framed::new(stream, D::FrontendCodec::default());
    let first = tokio::select! {
        first = timeout(START_TIMEOUT, framed.next()) => first,
        () = core.aborting.cancelled() => return,
    };
    let Ok(Some(Ok(Request::Start { database, key }))) = first else {
        return;
    };
    wait_for_policy(&core).await;
    let session = match start(&core, number, &database, &key) {
        Ok(session) => session,
        Err(failure) => {
            log::info!(event = "start_refused", session = number, database = database.as_str(), code = failure.code.label(), cause = failure.cause; "session refused");
            count(&failure.code);
            // The caller may have gone; nothing else is owed to it.
            let _ = framed.send(failure.answer()).await;
            return;
        }
    };
    let ready = Response::Ready(Transaction::Idle, None);
    if framed.send(ready).await.is_err() {
        return;
    }
    let mut service = Service { core, session };
    // A connection that breaks ends the session like one that is closed.
    let _ = service.serve(&mut framed).await;
    service.end();
}

/// Waits for the configuration, which a host that starts has after one call to the platform.
async fn wait_for_policy<D: Dialect, P: Platform>(core: &Core<D, P>) {
    let mut configuration = core.configuration.subscribe();
    // Without a configuration in time the session is refused.
    let _ = timeout(POLICY_TIME, configuration.wait_for(Option::is_some)).await;
}

fn start<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    number: u64,
    database: &Name,
    key: &Text,
) -> Result<Session<D>, Failure> {
    let Some(configuration) = core.configuration() else {
        return Err(Failure::later(
            Code::Busy,
            "no configuration is known yet",
            RETRY_AFTER,
        ));
    };
    let Some(route) = configuration.catalog.routes.get(database) else {
        return Err(Failure::new(
            Code::UnknownDatabase,
            "no route has this name",
        ));
    };
    let digest = Digest::of(key);
    if configuration.keys.account(&digest).is_none() && !route.is_open {
        return Err(Failure::new(Code::Denied, "the key is not accepted"));
    }
    Ok(Session::new(number, database.clone(), digest))
}

/// A session with the state that it shares with others.
struct Service<D: Dialect, P: Platform> {
    core: Arc<Core<D, P>>,
    session: Session<D>,
}

impl<D: Dialect, P: Platform> Service<D, P> {
    async fn serve(&mut self, framed: &mut Framed<TcpStream, D::FrontendCodec>) -> io::Result<()> {
        loop {
            let Some(request) = self.next(framed).await? else {
                return Ok(());
            };
            let output = match request {
                Request::Terminate => return Ok(()),
                Request::Query(query) => self.answer(query).await,
                Request::Start { .. } | Request::Malformed => self.malformed(),
                Request::FramingError(code) => {
                    framed
                        .send(Failure::new(code, "the message cannot be read").answer())
                        .await?;
                    return Ok(());
                }
            };
            for answer in output.answers {
                framed.feed(answer).await?;
            }
            framed.flush().await?;
            if output.closes {
                return Ok(());
            }
        }
    }

    /// Waits for the next request; `None` if the session ends.
    async fn next(
        &mut self,
        framed: &mut Framed<TcpStream, D::FrontendCodec>,
    ) -> io::Result<Option<Request>> {
        let core = Arc::clone(&self.core);
        loop {
            let idle_limit = self.idle_limit();
            tokio::select! {
                biased;
                request = framed.next() => return request.transpose(),
                () = core.closing_idle.cancelled(), if self.session.open.is_none() => return Ok(None),
                () = core.aborting.cancelled(), if self.session.has_work() => {
                    self.abort("the host is stopping");
                }
                () = sleep_until(idle_limit), if self.session.has_work() => {
                    self.abort("the transaction was idle for too long");
                }
            }
        }
    }

    fn idle_limit(&self) -> Instant {
        let idle = self
            .core
            .configuration()
            .map(|configuration| configuration.catalog.transaction_idle);
        Instant::now() + idle.unwrap_or(START_TIMEOUT)
    }

    /// Rolls an open transaction back; the next statement learns of it.
    fn abort(&mut self, cause: &'static str) {
        if let Some(open) = &mut self.session.open {
            log::info!(event = "transaction_aborted", session = self.session.number, cause; "transaction rolled back");
            if let Some(pin) = open.pin.take() {
                self.core.roll_back(pin);
            }
            open.aborted = Some(cause);
        }
    }

    fn end(&mut self) {
        if let Some(pin) = self.session.open.take().and_then(|open| open.pin) {
            self.core.roll_back(pin);
        }
    }

    fn malformed(&self) -> Output {
        self.refuse(&Failure::new(
            Code::Malformed,
            "the statement is not understood",
        ))
    }

    fn state(&self) -> Transaction {
        match &self.session.open {
            None => Transaction::Idle,
            Some(open) if open.failed => Transaction::Failed,
            Some(_) => Transaction::Open,
        }
    }

    fn local(&self) -> Output {
        Output {
            answers: vec![
                Response::Complete(Text::from_static(b"-")),
                Response::Ready(self.state(), None),
            ],
            closes: false,
        }
    }

    fn refuse(&self, failure: &Failure) -> Output {
        count(&failure.code);
        Output {
            answers: vec![failure.answer(), Response::Ready(self.state(), None)],
            closes: false,
        }
    }

    async fn answer(&mut self, query: Query) -> Output {
        let received = Instant::now();
        let Some(configuration) = self.core.configuration() else {
            return self.refuse(&Failure::later(
                Code::Busy,
                "no configuration is known yet",
                RETRY_AFTER,
            ));
        };
        if let Some(cause) = self.session.open.as_ref().and_then(|open| open.aborted) {
            self.session.open = None;
            if query.statement == Statement::Rollback {
                return self.local();
            }
            self.log_refusal(&query, &Failure::new(Code::Aborted, cause), &configuration);
            return self.refuse(&Failure::new(Code::Aborted, cause));
        }
        if self.session.open.as_ref().is_some_and(|open| open.failed) {
            let ends = matches!(query.statement, Statement::Commit | Statement::Rollback);
            if !ends {
                return self.malformed();
            }
        }
        match query.statement.clone() {
            Statement::Unknown => self.malformed(),
            Statement::Set { name, value } => {
                Arc::make_mut(&mut self.session.values).insert(name, value);
                self.local()
            }
            Statement::Prepare { name, shape } => {
                self.session.prepared.insert(name, shape);
                self.local()
            }
            Statement::Deallocate { name } => match self.session.prepared.remove(&name) {
                Some(_) => self.local(),
                None => self.refuse(&Failure::new(
                    Code::UnknownName,
                    "no statement is prepared under this name",
                )),
            },
            Statement::Begin { read_only } => self.begin(&query, read_only, &configuration).await,
            Statement::Commit | Statement::Rollback if self.session.open.is_none() => {
                if query.statement == Statement::Rollback {
                    self.local()
                } else {
                    self.malformed()
                }
            }
            Statement::Commit => {
                self.finish(query, Kind::Commit, received, &configuration)
                    .await
            }
            Statement::Rollback => {
                self.finish(query, Kind::Rollback, received, &configuration)
                    .await
            }
            Statement::Read => {
                let work = (query.text.clone(), None);
                self.execute(query, false, work, received, &configuration)
                    .await
            }
            Statement::Write => {
                let work = (query.text.clone(), None);
                self.execute(query, true, work, received, &configuration)
                    .await
            }
            Statement::Execute { name, arguments } => {
                let Some(shape) = self.session.prepared.get(&name).cloned() else {
                    return self.refuse(&Failure::new(
                        Code::UnknownName,
                        "no statement is prepared under this name",
                    ));
                };
                let text = D::encode_execute(&shape.shared_name, &arguments);
                let writes = shape.writes;
                self.execute(query, writes, (text, Some(shape)), received, &configuration)
                    .await
            }
        }
    }

    /// Admits a transaction; it begins on a server with its first statement.
    async fn begin(
        &mut self,
        query: &Query,
        read_only: bool,
        configuration: &Configuration,
    ) -> Output {
        if self.session.open.is_some() {
            return self.malformed();
        }
        match self.admit(configuration).await {
            Ok(account) => {
                self.session.open = Some(Open::new(read_only, account));
                self.local()
            }
            Err(failure) => self.refuse_operation(query, &failure, configuration),
        }
    }

    /// Refuses an operation that is not admitted; a session without a key or route ends.
    fn refuse_operation(
        &self,
        query: &Query,
        failure: &Failure,
        configuration: &Configuration,
    ) -> Output {
        self.log_refusal(query, failure, configuration);
        Output {
            closes: matches!(failure.code, Code::Denied | Code::UnknownDatabase),
            ..self.refuse(failure)
        }
    }

    /// Checks the key and takes one operation out of the account's share.
    async fn admit(&self, configuration: &Configuration) -> Result<Name, Failure> {
        let Some(route) = configuration.catalog.routes.get(&self.session.database) else {
            return Err(Failure::new(Code::UnknownDatabase, "the route was removed"));
        };
        let account = match configuration.keys.account(&self.session.key) {
            Some(account) => account.clone(),
            None if route.is_open => return Ok(Name::new(OPEN_ACCOUNT)),
            None => return Err(Failure::new(Code::Denied, "the key was withdrawn")),
        };
        let taken = borrow::admit(&self.core, &account, route.objective).await;
        taken.map(|()| account.clone()).map_err(|refusal| {
            log::info!(
                event = "rate_exceeded", session = self.session.number,
                account = account.as_str(), rate = refusal.rate, has_share = refusal.has_share,
                available = refusal.available, version = configuration.catalog.version;
                "no token of the account"
            );
            Failure::later(
                Code::Busy,
                "the rate of the account is exceeded",
                refusal.retry_after,
            )
        })
    }

    /// Ends the open transaction.
    async fn finish(
        &mut self,
        query: Query,
        kind: Kind,
        received: Instant,
        configuration: &Configuration,
    ) -> Output {
        let Some(mut open) = self.session.open.take() else {
            return self.local();
        };
        let Some(pin) = open.pin.take() else {
            if kind == Kind::Rollback || !open.failed {
                return self.local();
            }
            return self.refuse(&Failure::new(Code::Aborted, "the transaction had failed"));
        };
        let timeout = self.timeout(configuration);
        let work = execution::Statement {
            id: query.id.clone(),
            text: query.text.clone(),
            template: None,
            kind,
        };
        let sight = Visibility {
            consistency: open.consistency,
            last_commit: None,
        };
        let account = open.account.clone();
        let done = self
            .submit(work, sight, account, Some(pin), received + timeout, None)
            .await;
        match done {
            Outcome::Answered { reply, place, .. } => {
                if kind == Kind::Commit && open.wrote && reply.result.is_ok() {
                    self.committed(&place.key.service, reply.position);
                }
                self.log_answer(&query, &place, &reply, received, configuration);
                self.relay(reply)
            }
            Outcome::NotRun(_) => {
                self.refuse(&Failure::new(Code::Aborted, "the connection was lost"))
            }
            Outcome::Lost { server, .. } => {
                let failure = if kind == Kind::Commit && open.wrote {
                    Failure::new(Code::InDoubt, "the commit was sent and not answered")
                } else if kind == Kind::Commit {
                    Failure::new(Code::Aborted, "the connection was lost")
                } else {
                    return self.local();
                };
                self.log_lost(&query, server.as_ref(), &failure, received);
                self.refuse(&failure)
            }
        }
    }

    /// Notes a commit that the caller is about to learn of.
    fn committed(&mut self, service: &Name, position: Option<Position>) {
        self.session.advance(position);
        if let Some(position) = position {
            self.core.acknowledge(service, position);
        }
    }

    fn timeout(&self, configuration: &Configuration) -> Duration {
        let route = configuration.catalog.routes.get(&self.session.database);
        route.map_or(START_TIMEOUT, |route| route.timeout)
    }
}
