//! Sessions of callers: their state, and the way of each statement to its answer.

pub mod state;

use self::state::{Open, Session};
use crate::{
    borrow,
    core::{Core, Policy},
    dialect::Dialect,
    job::{Done, Held, Job, Kind, NotRun, Place, Sight, Work},
    message::{Answer, Code, Request, State as Transaction, Text},
    statement::{Query, Statement},
    store::Platform,
};
use fulmargw_decision::queue::Urgency;
use fulmargw_model::{client_account::Digest, name::Name};
use futures::{SinkExt as _, StreamExt as _};
use std::{io, sync::Arc, time::Duration};
use tokio::{
    net::TcpStream,
    sync::oneshot,
    time::{Instant, sleep, sleep_until, timeout_at},
};
use tokio_util::codec::Framed;

/// Longest time for the first message of a connection.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before a statement that was turned away is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(8);
/// Most times that a statement is tried again.
const MOST_RETRIES: u32 = 60;
/// Part of the timeout of a statement after which it is not tried again, and for which it waits
/// while no primary is known. What is refused then can still be tried elsewhere in time.
const RETRY_SHARE: f64 = 0.5;
/// Replicas that may lack the position before a read goes to the primary.
const MOST_LAGGING: u32 = 2;
/// Priorities up to this one go before others.
const URGENT_PRIORITY: u32 = 1;
/// Time after which a refused caller may come back when no better time is known.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// A refusal or failure that this host itself gives.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Failure {
    code: Code,
    cause: &'static str,
    retry_after: Option<Duration>,
}

impl Failure {
    fn new(code: Code, cause: &'static str) -> Self {
        Self {
            code,
            cause,
            retry_after: None,
        }
    }

    fn later(code: Code, cause: &'static str, retry_after: Duration) -> Self {
        Self {
            code,
            cause,
            retry_after: Some(retry_after),
        }
    }

    fn answer(&self) -> Answer {
        let text = match self.retry_after {
            Some(after) => format!("{}; retry after {} ms", self.cause, after.as_millis()),
            None => self.cause.to_owned(),
        };
        Answer::Error(self.code.clone(), Text::from(text))
    }
}

/// What the caller gets for a statement.
struct Output {
    answers: Vec<Answer>,
    closes: bool,
}

/// Serves one connection of a caller until it ends.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>, stream: TcpStream) {
    let number = core.open_session();
    let mut framed = Framed::new(stream, D::Front::default());
    let first = tokio::select! {
        first = tokio::time::timeout(START_TIMEOUT, framed.next()) => first,
        () = core.ending.cancelled() => return,
    };
    let Ok(Some(Ok(Request::Start { database, key }))) = first else {
        return;
    };
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
    let ready = Answer::Ready(Transaction::Idle, None);
    if framed.send(ready).await.is_err() {
        return;
    }
    let mut service = Service { core, session };
    // A connection that breaks ends the session like one that is closed.
    let _ = service.serve(&mut framed).await;
    service.end();
}

fn start<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    number: u64,
    database: &Name,
    key: &Text,
) -> Result<Session<D>, Failure> {
    let Some(policy) = core.policy() else {
        return Err(Failure::later(
            Code::Busy,
            "no configuration is known yet",
            RETRY_AFTER,
        ));
    };
    let Some(route) = policy.catalog.routes.get(database) else {
        return Err(Failure::new(
            Code::UnknownDatabase,
            "no route has this name",
        ));
    };
    let digest = Digest::of(key);
    if policy.keys.account(&digest).is_none() && !route.is_open {
        return Err(Failure::new(Code::Denied, "the key is not accepted"));
    }
    Ok(Session::new(number, database.clone(), digest))
}

fn count(code: &Code) {
    metrics::counter!("fulmargw_pool_refusals_total", "code" => code.label()).increment(1);
}

/// A session with the state that it shares with others.
struct Service<D: Dialect, P: Platform> {
    core: Arc<Core<D, P>>,
    session: Session<D>,
}

impl<D: Dialect, P: Platform> Service<D, P> {
    async fn serve(&mut self, framed: &mut Framed<TcpStream, D::Front>) -> io::Result<()> {
        loop {
            let Some(request) = self.next(framed).await? else {
                return Ok(());
            };
            let output = match request {
                Request::Terminate => return Ok(()),
                Request::Query(query) => self.answer(query).await,
                Request::Start { .. } | Request::Malformed => self.malformed(),
                Request::Broken(code) => {
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
        framed: &mut Framed<TcpStream, D::Front>,
    ) -> io::Result<Option<Request>> {
        let core = Arc::clone(&self.core);
        loop {
            let idle_limit = self.idle_limit();
            tokio::select! {
                biased;
                request = framed.next() => return request.transpose(),
                () = core.closing.cancelled(), if self.session.open.is_none() => return Ok(None),
                () = core.ending.cancelled(), if self.session.has_work() => {
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
            .policy()
            .map(|policy| policy.catalog.transaction_idle);
        Instant::now() + idle.unwrap_or(START_TIMEOUT)
    }

    /// Rolls an open transaction back; the next statement learns of it.
    fn abort(&mut self, cause: &'static str) {
        if let Some(open) = &mut self.session.open {
            log::info!(event = "transaction_aborted", session = self.session.number, cause; "transaction rolled back");
            if let Some(held) = open.held.take() {
                self.core.discard(held);
            }
            open.aborted = Some(cause);
        }
    }

    fn end(&mut self) {
        if let Some(held) = self.session.open.take().and_then(|open| open.held) {
            self.core.discard(held);
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
                Answer::Complete(Text::from_static(b"-")),
                Answer::Ready(self.state(), None),
            ],
            closes: false,
        }
    }

    fn refuse(&self, failure: &Failure) -> Output {
        count(&failure.code);
        Output {
            answers: vec![failure.answer(), Answer::Ready(self.state(), None)],
            closes: false,
        }
    }

    async fn answer(&mut self, query: Query) -> Output {
        let received = Instant::now();
        let Some(policy) = self.core.policy() else {
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
            self.log_refusal(&query, &Failure::new(Code::Aborted, cause), &policy);
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
            Statement::Begin { read_only } => self.begin(&query, read_only, &policy).await,
            Statement::Commit | Statement::Rollback if self.session.open.is_none() => {
                if query.statement == Statement::Rollback {
                    self.local()
                } else {
                    self.malformed()
                }
            }
            Statement::Commit => self.finish(query, Kind::Commit, received, &policy).await,
            Statement::Rollback => self.finish(query, Kind::Rollback, received, &policy).await,
            Statement::Read => {
                let work = (query.text.clone(), None);
                self.execute(query, false, work, received, &policy).await
            }
            Statement::Write => {
                let work = (query.text.clone(), None);
                self.execute(query, true, work, received, &policy).await
            }
            Statement::Execute { name, arguments } => {
                let Some(shape) = self.session.prepared.get(&name).cloned() else {
                    return self.refuse(&Failure::new(
                        Code::UnknownName,
                        "no statement is prepared under this name",
                    ));
                };
                let text = D::execute(&shape.shared_name, &arguments);
                let writes = shape.writes;
                self.execute(query, writes, (text, Some(shape)), received, &policy)
                    .await
            }
        }
    }

    /// Admits a transaction; it begins on a server with its first statement.
    async fn begin(&mut self, query: &Query, read_only: bool, policy: &Policy) -> Output {
        if self.session.open.is_some() {
            return self.malformed();
        }
        match self.admit(policy).await {
            Ok(account) => {
                self.session.open = Some(Open::new(read_only, account));
                self.local()
            }
            Err(failure) => {
                self.log_refusal(query, &failure, policy);
                let closes = failure.code == Code::Denied || failure.code == Code::UnknownDatabase;
                Output {
                    closes,
                    ..self.refuse(&failure)
                }
            }
        }
    }

    /// Checks the key and takes one operation out of the account's share.
    async fn admit(&self, policy: &Policy) -> Result<Name, Failure> {
        let Some(route) = policy.catalog.routes.get(&self.session.database) else {
            return Err(Failure::new(Code::UnknownDatabase, "the route was removed"));
        };
        let account = match policy.keys.account(&self.session.key) {
            Some(account) => account.clone(),
            None if route.is_open => return Ok(Name::new(OPEN_ACCOUNT)),
            None => return Err(Failure::new(Code::Denied, "the key was withdrawn")),
        };
        let taken = borrow::admit(&self.core, &account).await;
        taken.map(|()| account.clone()).map_err(|refusal| {
            log::info!(
                event = "rate_exceeded", session = self.session.number,
                account = account.as_str(), rate = refusal.rate, has_share = refusal.has_share,
                available = refusal.available, version = policy.catalog.version;
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
        policy: &Policy,
    ) -> Output {
        let Some(mut open) = self.session.open.take() else {
            return self.local();
        };
        let Some(held) = open.held.take() else {
            if kind == Kind::Rollback || !open.failed {
                return self.local();
            }
            return self.refuse(&Failure::new(Code::Aborted, "the transaction had failed"));
        };
        let timeout = self.timeout(policy);
        let work = Work {
            id: query.id.clone(),
            text: query.text.clone(),
            shape: None,
            kind,
        };
        let sight = Sight {
            consistency: open.consistency,
            session: None,
        };
        let account = open.account.clone();
        let done = self
            .submit(work, sight, account, Some(held), received + timeout, None)
            .await;
        match done {
            Done::Answered { reply, place, .. } => {
                if kind == Kind::Commit && open.wrote && reply.end.is_ok() {
                    self.session.advance(reply.position);
                }
                self.log_answer(&query, &place, &reply, received, policy);
                self.relay(reply)
            }
            Done::NotRun(_) => self.refuse(&Failure::new(Code::Aborted, "the connection was lost")),
            Done::Lost { place, .. } => {
                let failure = if kind == Kind::Commit && open.wrote {
                    Failure::new(Code::InDoubt, "the commit was sent and not answered")
                } else if kind == Kind::Commit {
                    Failure::new(Code::Aborted, "the connection was lost")
                } else {
                    return self.local();
                };
                self.log_lost(&query, &place, &failure, received);
                self.refuse(&failure)
            }
        }
    }

    fn timeout(&self, policy: &Policy) -> Duration {
        let route = policy.catalog.routes.get(&self.session.database);
        route.map_or(START_TIMEOUT, |route| route.timeout)
    }

    /// Runs a read or write, inside the open transaction or as one of its own.
    async fn execute(
        &mut self,
        query: Query,
        writes: bool,
        (text, shape): (Text, Option<crate::statement::Shape>),
        received: Instant,
        policy: &Policy,
    ) -> Output {
        let mut work = Work {
            id: query.id.clone(),
            text,
            shape,
            kind: if writes { Kind::Write } else { Kind::Read },
        };
        let Some(open) = &mut self.session.open else {
            let account = match self.admit(policy).await {
                Ok(account) => account,
                Err(failure) => {
                    self.log_refusal(&query, &failure, policy);
                    let closes = matches!(failure.code, Code::Denied | Code::UnknownDatabase);
                    return Output {
                        closes,
                        ..self.refuse(&failure)
                    };
                }
            };
            return self.persist(query, work, account, received, policy).await;
        };
        open.wrote |= writes;
        let account = open.account.clone();
        match open.held.take() {
            None => {
                work.kind = Kind::First {
                    read_only: open.read_only,
                };
                self.persist(query, work, account, received, policy).await
            }
            Some(held) => {
                work.kind = Kind::Inside;
                let sight = Sight {
                    consistency: open.consistency,
                    session: None,
                };
                let deadline = received + self.timeout(policy);
                let done = self
                    .submit(work, sight, account, Some(held), deadline, None)
                    .await;
                self.inside(&query, done, received, policy)
            }
        }
    }

    /// Answers a later statement of a transaction.
    fn inside(
        &mut self,
        query: &Query,
        done: Done<D>,
        received: Instant,
        policy: &Policy,
    ) -> Output {
        match done {
            Done::Answered { reply, place, held } => {
                self.log_answer(query, &place, &reply, received, policy);
                match (&mut self.session.open, held) {
                    (Some(open), Some(held)) => {
                        open.failed = reply.state == Transaction::Failed;
                        open.held = Some(held);
                    }
                    _ => self.session.open = None,
                }
                self.relay(reply)
            }
            Done::NotRun(_) => {
                self.session.open = None;
                self.refuse(&Failure::new(Code::Aborted, "the connection was lost"))
            }
            Done::Lost { place, timed_out } => {
                self.session.open = None;
                let cause = if timed_out {
                    "the statement got no answer in time"
                } else {
                    "the connection was lost"
                };
                let failure = Failure::new(Code::Aborted, cause);
                self.log_lost(query, &place, &failure, received);
                self.refuse(&failure)
            }
        }
    }

    /// Runs a statement that has no connection yet, and tries again while it certainly has not
    /// run and there is time.
    async fn persist(
        &mut self,
        query: Query,
        work: Work,
        account: Name,
        received: Instant,
        policy: &Policy,
    ) -> Output {
        let Some(route) = policy.catalog.routes.get(&self.session.database) else {
            self.session.open = None;
            return self.refuse(&Failure::new(
                Code::UnknownDatabase,
                "the route was removed",
            ));
        };
        self.session.service = Some(route.service.clone());
        let deadline = received + route.timeout;
        let last_try = received + route.timeout.mul_f64(RETRY_SHARE);
        let mut sight = Sight {
            consistency: route.consistency,
            session: self.session.position,
        };
        if let Some(open) = &mut self.session.open {
            open.consistency = route.consistency;
        }
        let mut avoid = None;
        let mut lagging = 0;
        for _ in 0..MOST_RETRIES {
            let done = self
                .submit(
                    work.clone(),
                    sight,
                    account.clone(),
                    None,
                    deadline,
                    avoid.take(),
                )
                .await;
            match done {
                Done::Answered { reply, place, held } => {
                    let turned = match &reply.end {
                        Err((code, _)) => code.is_not_run(),
                        Ok(_) => false,
                    };
                    if turned && Instant::now() < last_try {
                        if let Some(held) = held {
                            self.core.discard(held);
                        }
                        let lags = matches!(&reply.end, Err((Code::Lagging, _)));
                        lagging += u32::from(lags);
                        sight.settle(lagging >= MOST_LAGGING);
                        avoid = Some(place.key.server.clone());
                        sleep(RETRY_PAUSE).await;
                        continue;
                    }
                    return self.answered(&query, &work, reply, &place, held, received, policy);
                }
                Done::NotRun(NotRun { server, code }) => {
                    if server.is_some() && Instant::now() < last_try {
                        lagging += u32::from(code == Code::Lagging);
                        sight.settle(lagging >= MOST_LAGGING);
                        avoid = server;
                        sleep(RETRY_PAUSE).await;
                        continue;
                    }
                    let failure =
                        Failure::later(Code::Busy, "no backend server is free", RETRY_AFTER);
                    log::info!(event = "not_run", request:% = display(&query.id), session = self.session.number, service = route.service.as_str(), code = code.label(), elapsed_ms = millis(received.elapsed()); "request refused");
                    return self.fail(&failure);
                }
                Done::Lost { place, timed_out } => {
                    let again = work.kind == Kind::Read && !timed_out && Instant::now() < last_try;
                    if again {
                        avoid = Some(place.key.server.clone());
                        continue;
                    }
                    let failure = lost(&work, timed_out);
                    self.log_lost(&query, &place, &failure, received);
                    return self.fail(&failure);
                }
            }
        }
        self.fail(&Failure::later(
            Code::Busy,
            "no backend server is free",
            RETRY_AFTER,
        ))
    }

    #[allow(
        clippy::too_many_arguments,
        reason = "the parts of one finished exchange"
    )]
    fn answered(
        &mut self,
        query: &Query,
        work: &Work,
        reply: crate::connection::Reply,
        place: &Place,
        held: Option<Held<D>>,
        received: Instant,
        policy: &Policy,
    ) -> Output {
        self.log_answer(query, place, &reply, received, policy);
        if work.kind == Kind::Write && reply.end.is_ok() {
            self.session.advance(reply.position);
        }
        if let Some(open) = &mut self.session.open {
            open.failed = reply.state == Transaction::Failed;
            open.held = held;
            if open.held.is_none() {
                self.session.open = None;
            }
        }
        self.relay(reply)
    }

    /// Ends an open transaction that got no connection, and refuses its statement.
    fn fail(&mut self, failure: &Failure) -> Output {
        self.session.open = None;
        self.refuse(failure)
    }

    fn relay(&self, reply: crate::connection::Reply) -> Output {
        let mut answers: Vec<Answer> = reply.rows.into_iter().map(Answer::Row).collect();
        answers.push(match reply.end {
            Ok(signature) => Answer::Complete(signature),
            Err((code, text)) => {
                count(&code);
                Answer::Error(code, text)
            }
        });
        answers.push(Answer::Ready(self.state(), reply.position));
        Output {
            answers,
            closes: false,
        }
    }

    async fn submit(
        &self,
        work: Work,
        sight: Sight,
        account: Name,
        held: Option<Held<D>>,
        deadline: Instant,
        avoid: Option<Name>,
    ) -> Done<D> {
        let service = match (&held, &self.session.service) {
            (Some(held), _) => held.key.service.clone(),
            (None, Some(service)) => service.clone(),
            (None, None) => return not_run(Code::Busy),
        };
        let policy = self.core.policy();
        let route = policy
            .as_ref()
            .and_then(|policy| policy.catalog.routes.get(&self.session.database));
        let urgent = route.is_some_and(|route| route.priority <= URGENT_PRIORITY);
        let objective = route.map_or(Duration::MAX, |route| route.objective);
        let needs_primary = work.kind.needs_primary();
        let cost = if needs_primary { 2 } else { 1 };
        let (reply, mut outcome) = oneshot::channel();
        let job = Job {
            service: service.clone(),
            account,
            work,
            sight,
            values: Arc::clone(&self.session.values),
            queued: Instant::now(),
            deadline,
            avoid,
            held,
            reply,
        };
        let urgency = if urgent {
            Urgency::Urgent
        } else {
            Urgency::Browse
        };
        let Some(ticket) = self.core.enqueue(job, urgency, cost) else {
            return outcome.await.unwrap_or_else(|_| not_run(Code::Busy));
        };
        let now = Instant::now();
        let patience = deadline.saturating_duration_since(now);
        let longest = now + patience.mul_f64(RETRY_SHARE);
        let limits = [longest.min(now + objective), longest];
        for (index, limit) in limits.into_iter().enumerate() {
            match timeout_at(limit, &mut outcome).await {
                Ok(done) => return done.unwrap_or_else(|_| not_run(Code::Busy)),
                Err(_) if index == 0 && self.core.lacks_primary(&service) => {}
                Err(_) => break,
            }
        }
        match self.core.withdraw(&service, ticket) {
            Some(_) => not_run(Code::Busy),
            // A worker has taken it and keeps to the deadline.
            None => outcome.await.unwrap_or_else(|_| not_run(Code::Busy)),
        }
    }

    fn log_answer(
        &self,
        query: &Query,
        place: &Place,
        reply: &crate::connection::Reply,
        received: Instant,
        policy: &Policy,
    ) {
        let outcome = match &reply.end {
            Ok(_) => "done",
            Err((code, _)) => code.label(),
        };
        log::info!(
            event = "answered", request:% = display(&query.id), session = self.session.number,
            server = place.key.server.as_str(), as_primary = place.as_primary,
            after:? = place.after.map(|it| (it.term.0, it.index)),
            after_age_ms = millis(place.age), waited_ms = millis(place.waited),
            version = policy.catalog.version, outcome, elapsed_ms = millis(received.elapsed());
            "request answered"
        );
    }

    fn log_refusal(&self, query: &Query, failure: &Failure, policy: &Policy) {
        log::info!(
            event = "refused", request:% = display(&query.id), session = self.session.number,
            database = self.session.database.as_str(), code = failure.code.label(),
            cause = failure.cause, version = policy.catalog.version;
            "request refused"
        );
    }

    fn log_lost(&self, query: &Query, place: &Place, failure: &Failure, received: Instant) {
        log::info!(
            event = "unanswered", request:% = display(&query.id), session = self.session.number,
            server = place.key.server.as_str(), code = failure.code.label(),
            cause = failure.cause, elapsed_ms = millis(received.elapsed());
            "backend server did not answer"
        );
    }
}

/// Account that backend servers are told of callers without a key on open routes.
const OPEN_ACCOUNT: &str = "-";

fn not_run<D: Dialect>(code: Code) -> Done<D> {
    Done::NotRun(NotRun { server: None, code })
}

fn lost(work: &Work, timed_out: bool) -> Failure {
    match work.kind {
        Kind::First { .. } => Failure::new(Code::Aborted, "the connection was lost"),
        Kind::Write => Failure::new(Code::InDoubt, "the write was sent and not answered"),
        _ if timed_out => Failure::new(Code::Timeout, "the statement got no answer in time"),
        _ => Failure::new(Code::Aborted, "the connection was lost"),
    }
}

fn display(id: &Text) -> String {
    String::from_utf8_lossy(id).into_owned()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
