//! Control connection of a backend server: probes, waits and orders.

use crate::{
    control::ControlPlane,
    core::{Connection, Core},
    table::{
        backend::{Backend, Observation, Order},
        server::Key,
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

/// Longest time that a replica waits for a position in one call. It bounds the delay of a
/// probe or an order behind the wait.
const WAIT_TIME: Duration = Duration::from_millis(25);
/// Pause before a lost control connection is opened again, in which the server can notice that
/// the old one is closed.
const PAUSE: Duration = Duration::from_millis(5);
/// Greatest pause between attempts to reach a server.
const GREATEST_PAUSE: Duration = Duration::from_millis(200);
/// Pause while the limit of connections leaves none for this host.
const LIMIT_PAUSE: Duration = Duration::from_millis(50);

/// Watches one backend server until it leaves the configuration.
pub struct Monitor<C: Connector, G> {
    core: Arc<Core<C, G>>,
    key: Key,
    inbox: mpsc::UnboundedReceiver<Order>,
    nudge: Arc<Notify>,
    stop: CancellationToken,
    /// Status questions that the next status call answers.
    asks: Vec<oneshot::Sender<Observation>>,
    /// Failures since the last answer.
    failures: u32,
}

impl<C: Connector, G: ControlPlane> Monitor<C, G> {
    /// Makes a monitor; `None` if the server is no longer configured.
    pub fn new(
        core: Arc<Core<C, G>>,
        key: Key,
        inbox: mpsc::UnboundedReceiver<Order>,
    ) -> Option<Self> {
        let (nudge, stop) = core.with_backend(&key, |member| {
            (Arc::clone(&member.nudge), member.stop.clone())
        })?;
        Some(Self {
            core,
            key,
            inbox,
            nudge,
            stop,
            asks: Vec::new(),
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

    async fn watch(&mut self) {
        loop {
            let Some(server) = self.allowed().await else {
                return;
            };
            match self.connect(&server).await {
                Ok(connection) => {
                    let error = self.serve(connection).await;
                    self.fail(&error);
                    sleep(PAUSE).await;
                }
                Err(error) => {
                    let pause = self.fail(&error);
                    self.refuse_orders(pause).await;
                }
            }
        }
    }

    /// Waits until this host may hold a connection to the server.
    async fn allowed(&mut self) -> Option<Server> {
        loop {
            let (cap, server) = self
                .core
                .with_backend(&self.key, |member| (member.cap, member.server.clone()))?;
            if cap > 0 {
                return Some(server);
            }
            self.refuse_orders(LIMIT_PAUSE).await;
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
            server: self.key.server.clone(),
            kind,
        }
    }

    /// Notes a failure and returns the pause before the next attempt.
    fn fail(&mut self, error: &Error) -> Duration {
        self.asks.clear();
        if error.kind == Kind::TooManyConnections {
            return LIMIT_PAUSE;
        }
        self.failures += 1;
        let reach = match error.kind {
            Kind::Refused(_) => Reachability::Refused,
            _ => Reachability::Silent,
        };
        let now = Instant::now();
        let known = self.core.with_backend(&self.key, |member| {
            member.failing.get_or_insert(now);
            member.reach
        });
        // Other idle connections probably share the fault, and opening new ones takes less time
        // than a request that finds out.
        let closed = self.core.with_backend(&self.key, Backend::close_idle);
        self.core.close(&self.key, closed.unwrap_or_default());
        // One failure can be that of a single connection; a second one is of the server.
        if self.failures >= 2 && known != Some(reach) {
            log::warn!("backend server {} is not reachable: {error}", self.key);
            self.lose(reach);
        }
        let doubled = PAUSE.saturating_mul(1 << self.failures.saturating_sub(2).min(8));
        doubled.min(GREATEST_PAUSE)
    }

    fn lose(&self, reach: Reachability) {
        let closed = {
            let mut servers = self.core.servers.lock();
            let group = servers.groups.get_mut(&self.key.service);
            group.map(|group| group.lose(&self.key.server, reach))
        };
        self.core.close(&self.key, closed.unwrap_or_default());
        let held = self.core.pins.lock().revoke(&self.key);
        self.core.close_held(held);
        self.core.work.notify_one();
    }

    /// Drops orders for some time, which tells their senders that the server is unreachable.
    async fn refuse_orders(&mut self, pause: Duration) {
        let refuse = async {
            while self.inbox.recv().await.is_some() {}
            pending::<()>().await;
        };
        let _ = timeout(pause, refuse).await;
    }

    /// Serves orders and probes on a connection until it fails.
    async fn serve(&mut self, mut connection: Connection<C>) -> Error {
        let mut ticks = interval(self.core.settings.probe_interval());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            if let Err(error) = self.turn(&mut connection, &mut ticks).await {
                return error;
            }
            let cap = self.core.with_backend(&self.key, |member| member.cap);
            if cap.unwrap_or_default() == 0 {
                return self.error(Step::Confirm, Kind::TooManyConnections);
            }
        }
    }

    /// Waits for something to do and does it.
    async fn turn(
        &mut self,
        connection: &mut Connection<C>,
        ticks: &mut Interval,
    ) -> Result<(), Error> {
        let mut orders = Vec::new();
        let mut due = false;
        tokio::select! {
            order = self.inbox.recv() => orders.extend(order),
            _ = ticks.tick() => due = true,
            () = self.nudge.notified() => {}
        }
        while let Ok(order) = self.inbox.try_recv() {
            orders.push(order);
        }
        for order in orders {
            due |= self.obey(connection, order).await?;
        }
        if due || !self.asks.is_empty() {
            self.probe(connection).await?;
        }
        self.await_position(connection).await
    }

    /// Carries out an order; returns whether a status is due.
    async fn obey(&mut self, connection: &mut Connection<C>, order: Order) -> Result<bool, Error> {
        match order {
            Order::Status(reply) => {
                self.asks.push(reply);
                return Ok(true);
            }
            Order::Fence(term, reply) => {
                let result = self.call(connection.fence(term)).await;
                self.answer(reply, result)?;
            }
            Order::Promote(term, reply) => {
                let result = self.call(connection.promote(term)).await;
                self.answer(reply, result)?;
            }
            Order::Cancel(id, attempt, reply) => {
                let result = self.limit(connection.cancel(&id, attempt)).await;
                let failed = fatal(&result);
                let _ = reply.send(result);
                failed?;
                return Ok(false);
            }
        }
        Ok(true)
    }

    fn answer(
        &self,
        reply: oneshot::Sender<Result<Observation, Error>>,
        result: Result<Observation, Error>,
    ) -> Result<(), Error> {
        let failed = fatal(&result);
        if let Ok(seen) = &result {
            self.store(*seen);
        }
        let _ = reply.send(result);
        failed
    }

    async fn probe(&mut self, connection: &mut Connection<C>) -> Result<(), Error> {
        let seen = self.call(connection.status()).await?;
        self.failures = 0;
        self.store(seen);
        for ask in mem::take(&mut self.asks) {
            let _ = ask.send(seen);
        }
        Ok(())
    }

    /// Waits on the server for the greatest position that a write waits for.
    async fn await_position(&mut self, connection: &mut Connection<C>) -> Result<(), Error> {
        let position = {
            let servers = self.core.servers.lock();
            let group = servers.groups.get(&self.key.service);
            group.and_then(|group| group.pending_for(&self.key.server))
        };
        let Some(position) = position else {
            return Ok(());
        };
        let waited = self
            .call(connection.wait(Level::Received, position, WAIT_TIME))
            .await;
        match waited {
            Ok(seen) => self.store(seen),
            Err(error) if error.is_reusable() => {
                // The status tells which writes the replica holds, or that it promised more.
                self.probe(connection).await?;
            }
            Err(error) => return Err(error),
        }
        self.nudge.notify_one();
        Ok(())
    }

    fn store(&self, seen: Observation) {
        let mut servers = self.core.servers.lock();
        if let Some(group) = servers.groups.get_mut(&self.key.service) {
            group.store(&self.key.server, seen);
        }
        drop(servers);
        self.core.work.notify_one();
    }

    async fn call(
        &self,
        call: impl Future<Output = Result<Status, Error>>,
    ) -> Result<Observation, Error> {
        let asked = Instant::now();
        let status = self.limit(call).await?;
        Ok(Observation {
            status,
            asked,
            answered: Instant::now(),
        })
    }

    async fn limit<T>(&self, call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
        let limit = self.core.settings.probe_timeout();
        let called = timeout(limit, call).await;
        called.unwrap_or_else(|_| Err(self.error(Step::Confirm, Kind::Timeout)))
    }
}

/// Returns the error after which the connection cannot be used.
fn fatal<T>(result: &Result<T, Error>) -> Result<(), Error> {
    match result {
        Err(error) if !error.is_reusable() => Err(error.clone()),
        _ => Ok(()),
    }
}
