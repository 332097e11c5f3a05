//! Sessions of callers: reads statements, keeps the session state and sends the responses.

pub mod access;
mod channel;
mod execute;
pub mod failure;
mod kept;
mod response;
pub mod state;
pub mod step;
mod trace;
mod transaction;
pub(crate) mod withdrawal;

use self::{
    access::Denial,
    channel::{Cause, Channel, End},
    failure::Failure,
    kept::Kept,
    response::send,
    state::Session,
    step::Step,
    trace::count_error,
};
use crate::{
    configuration::Configuration,
    core::Core,
    dialect::Dialect,
    message::{Request, Response},
    statement::Query,
    store::Platform,
};
use fulmargw_budget::{session, slot::Slot};
use fulmargw_model::{
    abort,
    client_account::Digest,
    execution::{Code, Text, TransactionState},
    name::Name,
};
use std::{sync::Arc, time::Duration};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep_until, timeout},
};

/// Longest time to wait for the first message of a connection. Also replaces the idle timeout of a
/// transaction and the timeout of a route while the configuration does not give one.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for which a new session waits for the configuration. Callers give up after 2 s.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Retry delay that a refused caller is given if no better one is known.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Responses to one statement.
struct Output {
    responses: Vec<Response>,
    closes_session: bool,
}

/// Serves one connection from a caller until it ends. The slot counts it until its session opens.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>, stream: TcpStream, slot: Slot) {
    let number = core.next_session_number();
    let callers = &core.settings.callers;
    let mut channel = Channel::<D>::new(stream);
    let first = tokio::select! {
        // A caller whose first message has arrived is served, although its place was given away.
        biased;
        first = timeout(START_TIMEOUT, channel.next(&core.budget, callers)) => first,
        () = core.aborting.cancelled() => return,
        () = slot.revoked().cancelled() => {
            return trace::log_early_close(number, Cause::ManyStarting, &channel);
        }
    };
    let (database, key) = match first {
        Ok(Ok(Some(Request::Start { database, key }))) => (database, key),
        Ok(Ok(_) | Err(End::Closed)) => return,
        Ok(Err(End::Cause(cause))) => return trace::log_early_close(number, cause, &channel),
        Err(_) => return trace::log_early_close(number, Cause::NoStart, &channel),
    };
    wait_for_configuration(&core).await;
    let opened = open_session(&core, number, &database, &key);
    drop(slot);
    let (session, owner, counted) = match opened {
        Ok(opened) => opened,
        Err(failure) => {
            log::info!(event = "start_refused", session = number, database = database.as_str(), code = failure.code.label(), cause = failure.cause; "session refused");
            count_error(&failure.code);
            // If the caller has closed the connection, there is nothing left to do.
            let _ = send(&mut channel, &core, failure.response()).await;
            return;
        }
    };
    channel.set_owner(owner.clone());
    let ready = Response::Ready(TransactionState::Idle, None);
    if send(&mut channel, &core, ready).await.is_err() {
        return;
    }
    let mut driver = Driver {
        core,
        session,
        owner,
        kept: Kept::default(),
    };
    // An I/O error ends the session like a closed connection.
    if let Err(End::Cause(cause)) = driver.serve(&mut channel).await {
        driver.log_close(cause, &channel);
    }
    driver.close();
    drop(counted);
}

/// Waits for the configuration, which a starting host fetches from the platform.
async fn wait_for_configuration<D: Dialect, P: Platform>(core: &Core<D, P>) {
    let mut configuration = core.configuration.subscribe();
    // After a timeout the session is refused, because no configuration is known.
    let _ = timeout(
        CONFIGURATION_TIMEOUT,
        configuration.wait_for(Option::is_some),
    )
    .await;
}

fn open_session<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    number: u64,
    database: &Name,
    key: &Text,
) -> Result<(Session<D>, Name, session::Session), Failure> {
    let Some(configuration) = core.configuration() else {
        return Err(Failure::later(
            Code::Busy,
            "no configuration is known yet",
            RETRY_AFTER,
        ));
    };
    let digest = Digest::of(key);
    let (_, caller) =
        access::authorize(&configuration, database, &digest).map_err(Denial::of_session)?;
    let account = caller.account;
    let callers = &core.settings.callers;
    let counted = core
        .budget
        .open_session(&account, &core.limits(), callers)
        .map_err(failure::too_many_sessions)?;
    let session = Session::new(number, database.clone(), digest);
    Ok((session, account, counted))
}

/// A session with the shared state of the pool.
struct Driver<D: Dialect, P: Platform> {
    core: Arc<Core<D, P>>,
    session: Session<D>,
    /// Account that opened the session and pays for its memory.
    owner: Name,
    kept: Kept,
}

impl<D: Dialect, P: Platform> Driver<D, P> {
    async fn serve(&mut self, channel: &mut Channel<D>) -> Result<(), End> {
        let core = Arc::clone(&self.core);
        let callers = &core.settings.callers;
        loop {
            let Some(request) = self.next(channel).await? else {
                return Ok(());
            };
            let output = match request {
                Request::Terminate => return Ok(()),
                Request::Query(query) => {
                    match self.await_readers(channel, &query.statement).await {
                        // The reservation ends when the size of the response is known.
                        Ok(_reserved) => self.handle_query(query).await,
                        Err(failure) => self.refuse(&failure),
                    }
                }
                Request::Start { .. } | Request::Malformed => self.refuse_malformed(),
                Request::FramingError(kind) => {
                    let failure =
                        Failure::new(kind, "the message is too long or not framed correctly");
                    return send(channel, &core, failure.response()).await;
                }
            };
            channel.hold_responses(&core.budget, output.bytes());
            for response in output.responses {
                channel.feed(response, callers).await?;
            }
            channel.flush(callers).await?;
            channel.release_responses();
            if output.closes_session {
                return Ok(());
            }
        }
    }

    /// Waits for the next request. Returns `None` if the session ends.
    async fn next(&mut self, channel: &mut Channel<D>) -> Result<Option<Request>, End> {
        let core = Arc::clone(&self.core);
        let callers = &core.settings.callers;
        loop {
            let idle_deadline = self.idle_deadline();
            tokio::select! {
                biased;
                request = channel.next(&core.budget, callers) => return request,
                () = core.closing_idle.cancelled(), if self.session.transaction.is_none() => return Ok(None),
                () = core.aborting.cancelled(), if self.session.has_live_transaction() => {
                    self.abort(abort::Cause::Stopping);
                }
                () = self.connection_closed(), if self.session.has_live_transaction() => {
                    self.abort(abort::Cause::ZoneEvacuated);
                }
                () = self.key_withdrawn(), if self.session.has_live_transaction() => {
                    self.abort(abort::Cause::KeyWithdrawn);
                }
                () = sleep_until(idle_deadline), if self.session.has_live_transaction() => {
                    self.abort(abort::Cause::Idle);
                }
            }
        }
    }

    fn refuse_malformed(&self) -> Output {
        self.refuse(&step::malformed())
    }

    fn transaction_state(&self) -> TransactionState {
        match &self.session.transaction {
            None => TransactionState::Idle,
            Some(transaction) if transaction.has_failed => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        }
    }

    /// Responds with success to a statement that needs no backend server.
    fn complete(&self) -> Output {
        Output {
            responses: vec![
                Response::Complete(Text::from_static(b"-")),
                Response::Ready(self.transaction_state(), None),
            ],
            closes_session: false,
        }
    }

    fn refuse(&self, failure: &Failure) -> Output {
        count_error(&failure.code);
        Output {
            responses: vec![
                failure.response(),
                Response::Ready(self.transaction_state(), None),
            ],
            closes_session: false,
        }
    }

    async fn handle_query(&mut self, query: Query) -> Output {
        let received = Instant::now();
        let Some(configuration) = self.core.configuration() else {
            return self.refuse(&Failure::later(
                Code::Busy,
                "no configuration is known yet",
                RETRY_AFTER,
            ));
        };
        match step::decide(&self.session, &configuration, &query.statement) {
            Step::ReportAbort(cause) => self.report_abort(&query, cause, &configuration),
            Step::Refuse(failure) => self.refuse(&failure),
            Step::RefuseSession(failure) => self.refuse_operation(&query, &failure, &configuration),
            Step::Complete => self.complete(),
            Step::Set { name, value } => self.set_variable(&name, &value),
            Step::Prepare { name, template } => self.keep_template(&name, &template),
            Step::Deallocate { name } => self.deallocate(&name),
            Step::Begin { read_only } => self.begin(&query, read_only, &configuration).await,
            Step::End(kind) => {
                self.end_transaction(query, kind, received, &configuration)
                    .await
            }
            Step::Execute { writes, prepared } => {
                let text_and_template = match prepared {
                    None => (query.text.clone(), None),
                    Some((template, arguments)) => {
                        let text = D::encode_execute(&template.shared_name, &arguments);
                        (text, Some(template))
                    }
                };
                self.execute(query, writes, text_and_template, received, &configuration)
                    .await
            }
        }
    }

    /// Refuses an operation that was not admitted. The session ends if its API key or route is no
    /// longer valid.
    fn refuse_operation(
        &self,
        query: &Query,
        failure: &Failure,
        configuration: &Configuration,
    ) -> Output {
        self.log_refusal(query, failure, configuration);
        Output {
            closes_session: matches!(failure.code, Code::Denied | Code::UnknownDatabase),
            ..self.refuse(failure)
        }
    }

    fn timeout(&self, configuration: &Configuration) -> Duration {
        let route = configuration.catalog.routes.get(&self.session.database);
        route.map_or(START_TIMEOUT, |route| route.timeout)
    }
}
