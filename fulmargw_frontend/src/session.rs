//! Caller sessions, from the start-up to the end of the connection.

mod channel;
mod local;
mod message;
mod request;

use crate::{
    batch::Collector,
    error::Failure,
    prepared::Store,
    settings::Settings,
    startup::{self, Parameters},
    variable::{Variable, Variables},
};
use channel::Channel;
use fulmargw_backend::{
    batch::{Answer, Batch},
    connection::TransactionState,
};
use fulmargw_budget::{
    memory::Budget,
    session::{Session as Counted, Sessions},
    slot::Slot,
};
use fulmargw_decision::access::Grant;
use fulmargw_engine::submit::Submit;
use fulmargw_model::configuration::Configuration;
use std::{sync::Arc, time::Duration};
use tokio::{
    net::TcpStream,
    sync::watch,
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

/// State shared by all sessions of this host.
#[derive(Debug, Clone)]
pub struct Context<S> {
    /// Executes requests.
    pub submit: S,
    /// Limits of caller connections and requests.
    pub settings: Arc<Settings>,
    /// Cancelled when a graceful shutdown starts.
    pub shutdown: CancellationToken,
    /// Memory for large messages.
    pub messages: Budget,
    /// Open sessions.
    pub sessions: Sessions,
}

/// Reason for the end of a session.
#[derive(Debug)]
pub(crate) enum End {
    /// The caller closed the connection, or it failed.
    Closed,
    /// This host ends the session and reports an error to the caller.
    Fatal(Failure),
}

impl From<Failure> for End {
    fn from(failure: Failure) -> Self {
        Self::Fatal(failure)
    }
}

/// Registration of a caller with the engine; it ends on drop.
#[derive(Debug)]
struct Caller<S: Submit> {
    submit: S,
    number: u64,
}

impl<S: Submit> Caller<S> {
    fn new(submit: S) -> Self {
        let number = submit.open_caller();
        Self { submit, number }
    }

    /// Aborts an open transaction of the caller: replaces the registration, and the engine rolls
    /// back the transaction of the old one.
    fn abort_transaction(&mut self) {
        self.submit.close_caller(self.number);
        self.number = self.submit.open_caller();
    }
}

impl<S: Submit> Drop for Caller<S> {
    fn drop(&mut self) {
        self.submit.close_caller(self.number);
    }
}

/// One session.
#[derive(Debug)]
struct Session<S: Submit> {
    context: Context<S>,
    caller: Caller<S>,
    channel: Channel,
    configuration: watch::Receiver<Arc<Configuration>>,
    grant: Grant,
    variables: Variables,
    /// Value of `fulmar.position` that was last reported to the caller.
    reported_position: String,
    statements: Store,
    collector: Collector,
    transaction: TransactionState,
    /// Whether the front end aborted a transaction that the caller has not ended yet.
    is_aborted: bool,
    /// Whether messages up to the next `Sync` are ignored, after an error in a batch.
    skips_to_sync: bool,
    /// Time at which the shutdown interrupts an open transaction.
    drain_deadline: Option<Instant>,
}

/// Serves one caller connection until it ends.
pub(crate) async fn serve<S>(context: Context<S>, stream: TcpStream, slot: Slot)
where
    S: Submit<Body = Batch, Answer = Answer>,
{
    let messages = context.messages.clone();
    let Ok(mut channel) = Channel::new(stream, &context.settings, messages) else {
        return;
    };
    let timeout = context.settings.startup_timeout;
    let started = time::timeout(timeout, start_up(&context, &mut channel));
    let Some(started) = slot.revoked().run_until_cancelled(started).await else {
        return;
    };
    drop(slot);
    let mut counted = None;
    let started = started.map(|started| {
        let accepted = started?;
        counted = Some(count_session(&context, &accepted)?);
        Ok(accepted)
    });
    let end = match started {
        Ok(Ok(accepted)) => {
            channel.set_owner(accepted.grant.account.clone());
            let (end, returned) = Session::new(context, channel, accepted).run().await;
            channel = returned;
            end
        }
        Ok(Err(end)) => end,
        Err(_) => End::Closed,
    };
    if let End::Fatal(failure) = end {
        metrics::counter!("fulmargw_sessions_ended_total", "code" => failure.code).increment(1);
        channel.output.fatal(&failure);
        channel.close().await;
    }
    drop(counted);
}

/// Counts the session of an authorized caller, or refuses it.
fn count_session<S>(context: &Context<S>, accepted: &Accepted) -> Result<Counted, End> {
    let settings = &context.settings;
    let (most, most_of_account) = (settings.sessions, settings.sessions_per_account);
    let account = &accepted.grant.account;
    let counted = context.sessions.open(account, most, most_of_account);
    counted.map_err(|_| {
        metrics::counter!("fulmargw_sessions_refused_total").increment(1);
        Failure::too_many_sessions().into()
    })
}

/// An authorized caller.
#[derive(Debug)]
struct Accepted {
    grant: Grant,
    variables: Variables,
    configuration: watch::Receiver<Arc<Configuration>>,
}

/// Performs the start-up of a connection, up to the decision whether the caller is accepted.
async fn start_up<S>(context: &Context<S>, channel: &mut Channel) -> Result<Accepted, End>
where
    S: Submit<Body = Batch, Answer = Answer>,
{
    let parameters = read_parameters(channel).await?;
    let mut configuration = context.submit.configuration();
    let current = configuration.borrow_and_update().clone();
    let grant = match startup::authorize(&current, &parameters, None)? {
        Some(grant) => grant,
        None => request_key(channel, &mut configuration, &parameters).await?,
    };
    let variables = parameters.variables()?;
    channel.set_max_message_bytes(context.settings.maximum_frame_bytes);
    Ok(Accepted {
        grant,
        variables,
        configuration,
    })
}

/// Reads the session parameters; declines requests for encryption.
async fn read_parameters(channel: &mut Channel) -> Result<Parameters, End> {
    // A client requests each of the two kinds of encryption (TLS and GSSAPI) at most once.
    for _ in 0..3 {
        match channel.startup_request().await? {
            startup::Request::Encryption => {
                channel.output.decline_encryption();
                channel.flush().await?;
            }
            startup::Request::Cancel => return Err(End::Closed),
            startup::Request::Session(parameters) => {
                let extensions = parameters.extensions();
                if parameters.minor_version > 0 || !extensions.is_empty() {
                    channel.output.negotiate_version(extensions);
                }
                return Ok(parameters);
            }
        }
    }
    Err(Failure::protocol_violation("too many requests for encryption").into())
}

/// Requests the key and authorizes the caller with the configuration in force when it arrives.
async fn request_key(
    channel: &mut Channel,
    configuration: &mut watch::Receiver<Arc<Configuration>>,
    parameters: &Parameters,
) -> Result<Grant, End> {
    channel.output.request_password();
    channel.flush().await?;
    let frame = channel.frame().await?;
    let key = startup::password(&frame)
        .ok_or_else(|| Failure::protocol_violation("expected a password message"))?;
    let current = configuration.borrow_and_update().clone();
    let grant = startup::authorize(&current, parameters, Some(&key))?;
    grant.ok_or(End::Closed)
}

impl<S> Session<S>
where
    S: Submit<Body = Batch, Answer = Answer>,
{
    fn new(context: Context<S>, channel: Channel, accepted: Accepted) -> Self {
        Self {
            caller: Caller::new(context.submit.clone()),
            channel,
            configuration: accepted.configuration,
            grant: accepted.grant,
            variables: accepted.variables,
            reported_position: String::new(),
            statements: Store::new(&context.settings),
            collector: Collector::default(),
            transaction: TransactionState::Idle,
            is_aborted: false,
            skips_to_sync: false,
            drain_deadline: None,
            context,
        }
    }

    /// Serves the caller until its session ends.
    async fn run(mut self) -> (End, Channel) {
        let end = match self.finish_startup().await {
            Ok(()) => loop {
                if let Err(end) = self.handle_event().await {
                    break end;
                }
            },
            Err(end) => end,
        };
        (end, self.channel)
    }

    /// Sends the messages that end the start-up.
    async fn finish_startup(&mut self) -> Result<(), End> {
        // The numbers only have to be valid, because cancel requests are not supported.
        let number = i32::try_from(self.caller.number & 0x7fff_ffff).unwrap_or_default();
        self.channel.output.authentication_ok(number, number);
        startup::report_parameters(&mut self.channel.output, &self.context.settings);
        self.reported_position = self.variables.show(Variable::Position);
        let name = Variable::Position.name();
        self.channel
            .output
            .parameter_status(name, &self.reported_position);
        self.ready().await
    }

    /// Reports a changed log position, then that the session is ready for the next request.
    async fn ready(&mut self) -> Result<(), End> {
        let position = self.variables.show(Variable::Position);
        if position != self.reported_position {
            let name = Variable::Position.name();
            self.channel.output.parameter_status(name, &position);
            self.reported_position = position;
        }
        self.channel.output.ready_for_query(self.transaction);
        self.channel.end_request();
        self.channel.flush().await
    }

    /// Waits for the next event of the session and handles it.
    async fn handle_event(&mut self) -> Result<(), End> {
        let (idle_timeout, idle_failure) = self.idle_timeout();
        let is_between_requests =
            self.transaction == TransactionState::Idle && self.collector.is_empty();
        if self.is_drain_over() {
            return Err(Failure::shutting_down().into());
        }
        let drain = self.context.settings.drain;
        tokio::select! {
            biased;
            changed = self.configuration.changed() => {
                changed.map_err(|_| Failure::shutting_down())?;
                self.revalidate()
            }
            // Polled before the shutdown, so that a request that has arrived is still served.
            frame = self.channel.frame() => self.handle_message(&frame?).await,
            () = wait_for_drain(
                &self.context.shutdown,
                is_between_requests,
                &mut self.drain_deadline,
                drain,
            ) => {
                Err(Failure::shutting_down().into())
            }
            () = time::sleep(idle_timeout) => Err(idle_failure.into()),
        }
    }

    /// Returns whether the time for open transactions after the start of the shutdown is over.
    fn is_drain_over(&self) -> bool {
        self.drain_deadline
            .is_some_and(|deadline| deadline <= Instant::now())
    }

    fn idle_timeout(&self) -> (Duration, Failure) {
        let settings = &self.context.settings;
        match self.transaction {
            TransactionState::Idle => (settings.idle_timeout, Failure::idle_timeout()),
            TransactionState::Open | TransactionState::Failed => (
                settings.transaction_idle_timeout,
                Failure::transaction_idle_timeout(),
            ),
        }
    }

    /// Checks the caller's access again after a change of the configuration.
    fn revalidate(&mut self) -> Result<(), End> {
        let configuration = self.configuration.borrow_and_update().clone();
        match self.grant.revalidate(&configuration) {
            Ok(grant) => {
                if grant.service != self.grant.service {
                    // The open transaction runs on the service to which the route led before.
                    self.fail_transaction();
                }
                self.grant = grant;
                Ok(())
            }
            Err(refusal) => Err(Failure::refused(&refusal).into()),
        }
    }
}

/// Waits until the shutdown ends a session: immediately between requests, otherwise after
/// `drain`.
async fn wait_for_drain(
    shutdown: &CancellationToken,
    is_between_requests: bool,
    deadline: &mut Option<Instant>,
    drain: Duration,
) {
    shutdown.cancelled().await;
    let deadline = *deadline.get_or_insert_with(|| Instant::now() + drain);
    if !is_between_requests {
        time::sleep_until(deadline).await;
    }
}
