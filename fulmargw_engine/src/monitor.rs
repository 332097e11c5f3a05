//! Control connection to one backend server: probes, waits for log positions, and commands.

use crate::{
    control::ControlPlane,
    core::{Connection, Core},
    table::{
        backend::{Backend, Command, Observation},
        server::ServerId,
    },
};
use fulmargw_backend::connection::{Connection as _, Connector, Error, Kind, Level};
use fulmargw_decision::promotion::Reachability;
use fulmargw_model::{
    backend_server::{Server, Status},
    outcome::Step,
    position::Term,
};
use std::{
    future::{Future, pending},
    mem,
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::{Instant, Interval, MissedTickBehavior, interval, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Longest time that a replica waits for a position in one call. It bounds the delay of a probe
/// or a command that comes during the wait.
const MAX_POSITION_WAIT: Duration = Duration::from_millis(25);
/// Delay before a lost control connection is opened again, in which the server can notice that
/// the old one is closed.
const RECONNECT_DELAY: Duration = Duration::from_millis(5);
/// Upper bound of the delay between attempts to reach a server.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Delay while the server's connection limit leaves no connection for this host.
const LIMIT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Watches one backend server until it leaves the configuration.
pub struct Monitor<C: Connector, P> {
    core: Arc<Core<C, P>>,
    server_id: ServerId,
    commands: mpsc::UnboundedReceiver<Command>,
    wake: Arc<Notify>,
    stop: CancellationToken,
    /// Status requests that the next status call completes.
    status_requests: Vec<oneshot::Sender<Observation>>,
    /// Consecutive failures since the last response.
    failures: u32,
}

impl<C: Connector, P: ControlPlane> Monitor<C, P> {
    /// Creates a monitor; `None` if the server is no longer configured.
    pub fn new(
        core: Arc<Core<C, P>>,
        server_id: ServerId,
        commands: mpsc::UnboundedReceiver<Command>,
    ) -> Option<Self> {
        let (wake, stop) = core.with_backend(&server_id, |backend| {
            (Arc::clone(&backend.wake_monitor), backend.stop.clone())
        })?;
        Some(Self {
            core,
            server_id,
            commands,
            wake,
            stop,
            status_requests: Vec::new(),
            failures: 0,
        })
    }

    /// Runs until the server leaves the configuration or the engine stops.
    pub async fn run(mut self) {
        let stop = self.stop.clone();
        let core = Arc::clone(&self.core);
        tokio::select! {
            () = stop.cancelled() => {}
            () = core.stop.cancelled() => {}
            () = self.watch() => {}
        }
    }

    /// Keeps a control connection open, and opens a new one after each failure.
    async fn watch(&mut self) {
        loop {
            let Some(server) = self.wait_for_share().await else {
                return;
            };
            match self.connect(&server).await {
                Ok(connection) => {
                    let error = self.serve(connection).await;
                    self.record_failure(&error);
                    sleep(RECONNECT_DELAY).await;
                }
                Err(error) => {
                    let delay = self.record_failure(&error);
                    self.reject_commands(delay).await;
                }
            }
        }
    }

    /// Waits until this host may hold a connection to the server; `None` if the server is no
    /// longer configured.
    async fn wait_for_share(&mut self) -> Option<Server> {
        loop {
            let (cap, server) = self.core.with_backend(&self.server_id, |backend| {
                (backend.connection_cap, backend.server.clone())
            })?;
            if cap > 0 {
                return Some(server);
            }
            self.reject_commands(LIMIT_RETRY_DELAY).await;
        }
    }

    async fn connect(&self, server: &Server) -> Result<Connection<C>, Error> {
        let limit = self.core.settings.connect_timeout();
        let opened = timeout(limit, self.core.connector.connect(server, Term(0))).await;
        opened.unwrap_or_else(|_| Err(self.error(Step::Connect, Kind::Timeout)))
    }

    fn error(&self, step: Step, kind: Kind) -> Error {
        Error {
            step,
            server: self.server_id.server.clone(),
            kind,
        }
    }

    /// Records a failure and returns the delay before the next attempt.
    fn record_failure(&mut self, error: &Error) -> Duration {
        self.status_requests.clear();
        if error.kind == Kind::TooManyConnections {
            return LIMIT_RETRY_DELAY;
        }
        self.failures += 1;
        let reachability = match error.kind {
            Kind::Refused(_) => Reachability::Refused,
            _ => Reachability::Silent,
        };
        let now = Instant::now();
        let known = self.core.with_backend(&self.server_id, |backend| {
            backend.failing_since.get_or_insert(now);
            backend.reachability
        });
        // Other idle connections have probably failed too, and opening new ones takes less time
        // than a request that runs into the fault.
        let closed = self.core.with_backend(&self.server_id, Backend::close_idle);
        self.core
            .close_connections(&self.server_id, closed.unwrap_or_default());
        // One failure may be that of a single connection; a second one is taken as a failure of
        // the server.
        if self.failures >= 2 && known != Some(reachability) {
            log::warn!(
                "backend server {} is not reachable: {error}",
                self.server_id
            );
            self.mark_unreachable(reachability);
        }
        let doubled = RECONNECT_DELAY.saturating_mul(1 << self.failures.saturating_sub(2).min(8));
        doubled.min(MAX_RECONNECT_DELAY)
    }

    /// Aborts all work on the server and closes its idle connections.
    fn mark_unreachable(&self, reachability: Reachability) {
        let closed = {
            let mut servers = self.core.servers.lock();
            let group = servers.groups.get_mut(&self.server_id.service);
            group.map(|group| group.mark_unreachable(&self.server_id.server, reachability))
        };
        self.core
            .close_connections(&self.server_id, closed.unwrap_or_default());
        let pinned = self.core.pins.lock().abort_on_server(&self.server_id);
        self.core.close_pinned(pinned);
        self.core.work_available.notify_one();
    }

    /// Drops commands during the delay, which shows their senders that the server is
    /// unreachable.
    async fn reject_commands(&mut self, delay: Duration) {
        let reject = async {
            while self.commands.recv().await.is_some() {}
            pending::<()>().await;
        };
        let _ = timeout(delay, reject).await;
    }

    /// Serves commands and probes on a connection until it fails or the share is lost.
    async fn serve(&mut self, mut connection: Connection<C>) -> Error {
        let mut ticks = interval(self.core.settings.probe_interval());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            if let Err(error) = self.serve_next(&mut connection, &mut ticks).await {
                return error;
            }
            let cap = self
                .core
                .with_backend(&self.server_id, |backend| backend.connection_cap);
            if cap.unwrap_or_default() == 0 {
                return self.error(Step::Confirm, Kind::TooManyConnections);
            }
        }
    }

    /// Waits for commands, the next probe or a wake-up, and serves what is due.
    async fn serve_next(
        &mut self,
        connection: &mut Connection<C>,
        ticks: &mut Interval,
    ) -> Result<(), Error> {
        let mut commands = Vec::new();
        let mut probe_due = false;
        tokio::select! {
            command = self.commands.recv() => commands.extend(command),
            _ = ticks.tick() => probe_due = true,
            () = self.wake.notified() => {}
        }
        while let Ok(command) = self.commands.try_recv() {
            commands.push(command);
        }
        for command in commands {
            probe_due |= self.execute_command(connection, command).await?;
        }
        if probe_due || !self.status_requests.is_empty() {
            self.probe(connection).await?;
        }
        self.wait_for_pending(connection).await
    }

    /// Executes a command; returns whether a probe is due afterwards.
    async fn execute_command(
        &mut self,
        connection: &mut Connection<C>,
        command: Command,
    ) -> Result<bool, Error> {
        match command {
            Command::Status(reply) => {
                self.status_requests.push(reply);
                return Ok(true);
            }
            Command::Fence(term, reply) => {
                let result = self.observe(connection.fence(term)).await;
                self.complete(reply, result)?;
            }
            Command::Promote(term, reply) => {
                let result = self.observe(connection.promote(term)).await;
                self.complete(reply, result)?;
            }
            Command::Cancel(id, attempt, reply) => {
                let result = self.with_timeout(connection.cancel(&id, attempt)).await;
                let usable = check_usable(&result);
                let _ = reply.send(result);
                usable?;
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Records and sends the result of a command; fails if the connection cannot be used again.
    fn complete(
        &self,
        reply: oneshot::Sender<Result<Observation, Error>>,
        result: Result<Observation, Error>,
    ) -> Result<(), Error> {
        let usable = check_usable(&result);
        if let Ok(observation) = &result {
            self.record_observation(*observation);
        }
        let _ = reply.send(result);
        usable
    }

    async fn probe(&mut self, connection: &mut Connection<C>) -> Result<(), Error> {
        let observation = self.observe(connection.status()).await?;
        self.failures = 0;
        self.record_observation(observation);
        for request in mem::take(&mut self.status_requests) {
            let _ = request.send(observation);
        }
        Ok(())
    }

    /// Waits on the server, for a bounded time, for the greatest position that is pending for it.
    async fn wait_for_pending(&mut self, connection: &mut Connection<C>) -> Result<(), Error> {
        let position = {
            let servers = self.core.servers.lock();
            let group = servers.groups.get(&self.server_id.service);
            group.and_then(|group| group.next_pending_position(&self.server_id.server))
        };
        let Some(position) = position else {
            return Ok(());
        };
        let waited = self
            .observe(connection.wait(Level::Received, position, MAX_POSITION_WAIT))
            .await;
        match waited {
            Ok(observation) => self.record_observation(observation),
            Err(error) if error.is_reusable() => {
                // The status shows which positions the replica has received, or that it promised
                // a greater term.
                self.probe(connection).await?;
            }
            Err(error) => return Err(error),
        }
        self.wake.notify_one();
        Ok(())
    }

    fn record_observation(&self, observation: Observation) {
        let mut servers = self.core.servers.lock();
        if let Some(group) = servers.groups.get_mut(&self.server_id.service) {
            group.record_observation(&self.server_id.server, observation);
        }
        drop(servers);
        self.core.work_available.notify_one();
    }

    /// Runs a call that returns a status, and adds the times of its request and response.
    async fn observe(
        &self,
        call: impl Future<Output = Result<Status, Error>>,
    ) -> Result<Observation, Error> {
        let requested_at = Instant::now();
        let status = self.with_timeout(call).await?;
        Ok(Observation {
            status,
            requested_at,
            responded_at: Instant::now(),
        })
    }

    async fn with_timeout<T>(
        &self,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let limit = self.core.settings.probe_timeout();
        let called = timeout(limit, call).await;
        called.unwrap_or_else(|_| Err(self.error(Step::Confirm, Kind::Timeout)))
    }
}

/// Returns the error of a call if the connection cannot be used after it.
fn check_usable<T>(result: &Result<T, Error>) -> Result<(), Error> {
    match result {
        Err(error) if !error.is_reusable() => Err(error.clone()),
        _ => Ok(()),
    }
}
