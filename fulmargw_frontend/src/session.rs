//! Sessions of callers, from the start-up to the end of the connection.

mod channel;
mod local;
mod relay;
mod request;

use crate::{
    batch::Collector,
    error::Failure,
    prepared::Store,
    settings::Settings,
    startup::{self, Hello, Parameters},
    variable::{Variable, Variables},
};
use channel::Channel;
use fulmargw_backend::{
    batch::{Answer, Batch},
    connection::TransactionState,
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

/// What the sessions of a host share.
#[derive(Debug, Clone)]
pub struct Host<S> {
    /// Carries requests to their outcomes.
    pub submit: S,
    /// Limits.
    pub settings: Arc<Settings>,
    /// Cancelled for a graceful shutdown.
    pub shutdown: CancellationToken,
}

/// Why a session ends.
#[derive(Debug)]
pub(crate) enum End {
    /// The caller closed the connection, or it broke.
    Closed,
    /// The session is ended with an error for the caller.
    Fatal(Failure),
}

impl From<Failure> for End {
    fn from(failure: Failure) -> Self {
        Self::Fatal(failure)
    }
}

/// The registration of a caller, which ends when it is dropped.
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

    /// Ends an open transaction of the caller by registering anew.
    fn renew(&mut self) {
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
    host: Host<S>,
    caller: Caller<S>,
    channel: Channel,
    configuration: watch::Receiver<Arc<Configuration>>,
    grant: Grant,
    variables: Variables,
    /// Position that the caller was told last.
    reported: String,
    statements: Store,
    collector: Collector,
    transaction: TransactionState,
    /// Whether the front end gave up the transaction that the caller has not ended yet.
    broken: bool,
    /// Whether messages up to the next `Sync` are skipped after an error.
    skipping: bool,
    /// Time at which an open transaction is interrupted by the shutdown.
    drain_until: Option<Instant>,
}

/// Serves one caller connection to its end.
pub(crate) async fn serve<S>(host: Host<S>, stream: TcpStream)
where
    S: Submit<Body = Batch, Answer = Answer>,
{
    let Ok(mut channel) = Channel::new(stream, &host.settings) else {
        return;
    };
    let limit = host.settings.startup_timeout;
    let begun = time::timeout(limit, begin(&host, &mut channel));
    let end = match begun.await {
        Ok(Ok(accepted)) => {
            let (end, returned) = Session::new(host, channel, accepted).run().await;
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
}

/// A caller that was accepted.
#[derive(Debug)]
struct Accepted {
    grant: Grant,
    variables: Variables,
    configuration: watch::Receiver<Arc<Configuration>>,
}

/// Carries a connection through the start-up, up to and without the first `ReadyForQuery`.
async fn begin<S>(host: &Host<S>, channel: &mut Channel) -> Result<Accepted, End>
where
    S: Submit<Body = Batch, Answer = Answer>,
{
    let parameters = hello(channel).await?;
    let mut configuration = host.submit.configuration();
    let current = configuration.borrow_and_update().clone();
    let grant = match startup::authorize(&current, &parameters, None)? {
        Some(grant) => grant,
        None => ask(channel, &mut configuration, &parameters).await?,
    };
    let variables = parameters.variables()?;
    channel.allow(host.settings.maximum_frame_bytes);
    Ok(Accepted {
        grant,
        variables,
        configuration,
    })
}

/// Reads the parameters of the session; requests for encryption are declined.
async fn hello(channel: &mut Channel) -> Result<Parameters, End> {
    // A client asks at most once for each of the two ways of encryption.
    for _ in 0..3 {
        match channel.hello().await? {
            Hello::Encryption => {
                channel.output.no_encryption();
                channel.flush().await?;
            }
            Hello::Cancel => return Err(End::Closed),
            Hello::Session(parameters) => {
                let extensions = parameters.extensions();
                if parameters.minor_version > 0 || !extensions.is_empty() {
                    channel.output.negotiate(extensions);
                }
                return Ok(parameters);
            }
        }
    }
    Err(Failure::protocol("too many requests for encryption").into())
}

/// Asks for the key and decides under the configuration that is then in force.
async fn ask(
    channel: &mut Channel,
    configuration: &mut watch::Receiver<Arc<Configuration>>,
    parameters: &Parameters,
) -> Result<Grant, End> {
    channel.output.ask_password();
    channel.flush().await?;
    let frame = channel.frame().await?;
    let key = startup::password(&frame).ok_or_else(|| Failure::protocol("no password message"))?;
    let current = configuration.borrow_and_update().clone();
    let grant = startup::authorize(&current, parameters, Some(&key))?;
    grant.ok_or(End::Closed)
}

impl<S> Session<S>
where
    S: Submit<Body = Batch, Answer = Answer>,
{
    fn new(host: Host<S>, channel: Channel, accepted: Accepted) -> Self {
        Self {
            caller: Caller::new(host.submit.clone()),
            channel,
            configuration: accepted.configuration,
            grant: accepted.grant,
            variables: accepted.variables,
            reported: String::new(),
            statements: Store::new(&host.settings),
            collector: Collector::default(),
            transaction: TransactionState::Idle,
            broken: false,
            skipping: false,
            drain_until: None,
            host,
        }
    }

    /// Serves the caller until its session ends.
    async fn run(mut self) -> (End, Channel) {
        let end = match self.greet().await {
            Ok(()) => loop {
                if let Err(end) = self.step().await {
                    break end;
                }
            },
            Err(end) => end,
        };
        (end, self.channel)
    }

    /// Sends the end of the start-up.
    async fn greet(&mut self) -> Result<(), End> {
        // The identifiers only have to look valid, as requests to cancel are not supported.
        let number = i32::try_from(self.caller.number & 0x7fff_ffff).unwrap_or_default();
        self.channel.output.accept(number, number);
        startup::report(&mut self.channel.output, &self.host.settings);
        self.reported = self.variables.show(Variable::Position);
        let name = Variable::Position.name();
        self.channel.output.parameter(name, &self.reported);
        self.ready().await
    }

    /// Reports a changed position and that the caller can send its next request.
    async fn ready(&mut self) -> Result<(), End> {
        let position = self.variables.show(Variable::Position);
        if position != self.reported {
            let name = Variable::Position.name();
            self.channel.output.parameter(name, &position);
            self.reported = position;
        }
        self.channel.output.ready(self.transaction);
        self.channel.flush().await
    }

    /// Waits for the next event of the session and treats it.
    async fn step(&mut self) -> Result<(), End> {
        let (idle, idle_failure) = self.idle_limit();
        let between = self.transaction == TransactionState::Idle && self.collector.is_empty();
        if self.is_drained() {
            return Err(Failure::shutdown().into());
        }
        let drain = self.host.settings.drain;
        tokio::select! {
            biased;
            changed = self.configuration.changed() => {
                changed.map_err(|_| Failure::shutdown())?;
                self.revalidate()
            }
            // A request that arrived before the shutdown is still served.
            frame = self.channel.frame() => self.treat(&frame?).await,
            () = drained(&self.host.shutdown, between, &mut self.drain_until, drain) => {
                Err(Failure::shutdown().into())
            }
            () = time::sleep(idle) => Err(idle_failure.into()),
        }
    }

    /// Reports whether the time of an open transaction after the shutdown is over.
    fn is_drained(&self) -> bool {
        self.drain_until
            .is_some_and(|until| until <= Instant::now())
    }

    fn idle_limit(&self) -> (Duration, Failure) {
        let settings = &self.host.settings;
        match self.transaction {
            TransactionState::Idle => (settings.idle_timeout, Failure::idle()),
            TransactionState::Open | TransactionState::Failed => (
                settings.transaction_idle_timeout,
                Failure::idle_transaction(),
            ),
        }
    }

    /// Checks the grant under the configuration in force.
    fn revalidate(&mut self) -> Result<(), End> {
        let configuration = self.configuration.borrow_and_update().clone();
        match self.grant.revalidate(&configuration) {
            Ok(grant) => {
                if grant.service != self.grant.service {
                    // The open transaction is at the former service.
                    self.fail_transaction();
                }
                self.grant = grant;
                Ok(())
            }
            Err(refusal) => Err(Failure::refused(&refusal).into()),
        }
    }
}

/// Waits until the shutdown ends a session: at once between requests, and after a limit in a
/// transaction.
async fn drained(
    shutdown: &CancellationToken,
    between: bool,
    until: &mut Option<Instant>,
    limit: Duration,
) {
    shutdown.cancelled().await;
    let until = *until.get_or_insert_with(|| Instant::now() + limit);
    if !between {
        time::sleep_until(until).await;
    }
}
