//! Public handle of the engine: start, request submission, drain and state dump.

use crate::{
    control::ControlPlane,
    core::{Answer, Body, Core},
    settings::Settings,
    state::State,
    submit::Submit,
    supervisor,
    table::backend::Backend,
    worker,
};
use fulmargw_backend::connection::Connector;
use fulmargw_model::{
    availability_zone::Zone, configuration::Configuration, outcome::Outcome, request::Request,
};
use std::{fmt, sync::Arc, time::Duration};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout_at},
};

/// Interval at which a drain polls for requests and transactions that have not finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Executes requests on backend servers. Clones share the same state.
pub struct Engine<C: Connector, P: ControlPlane>(Arc<Core<C, P>>);

impl<C: Connector, P: ControlPlane> Clone for Engine<C, P> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<C: Connector, P: ControlPlane> fmt::Debug for Engine<C, P> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Engine").finish_non_exhaustive()
    }
}

impl<C: Connector, P: ControlPlane> Engine<C, P> {
    /// Spawns the workers and the tasks of the configured services on the current Tokio runtime.
    #[must_use]
    pub fn start(settings: Settings, zone: Zone, connector: C, control_plane: P) -> Self {
        let core = Arc::new(Core::new(settings, zone, connector, control_plane));
        for _ in 0..core.settings.worker_count.max(1) {
            core.tasks.spawn(worker::run(Arc::clone(&core)));
        }
        core.tasks.spawn(supervisor::run(Arc::clone(&core)));
        Self(core)
    }

    /// Refuses new transactions, lets running ones finish until `deadline`, and then closes
    /// all connections. Returns whether everything finished in time.
    pub async fn drain(&self, deadline: Instant) -> bool {
        self.0.draining.cancel();
        while self.is_busy() && Instant::now() < deadline {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        let finished = !self.is_busy();
        self.0.stop.cancel();
        self.0.tasks.close();
        let ended = timeout_at(deadline, self.0.tasks.wait()).await;
        self.close_idle();
        finished && ended.is_ok()
    }

    fn close_idle(&self) {
        let mut servers = self.0.servers.lock();
        let backends = servers.groups.values_mut().flat_map(|it| &mut it.backends);
        let idle: Vec<_> = backends.flat_map(Backend::close_idle).collect();
        drop(servers);
        drop(idle);
    }

    fn is_busy(&self) -> bool {
        let waiting = self.0.queues.lock().len();
        let checked_out = {
            let servers = self.0.servers.lock();
            let mut backends = servers.groups.values().flat_map(|group| &group.backends);
            backends.any(|backend| backend.load.checked_out > 0)
        };
        waiting > 0 || checked_out
    }

    /// Reports whether the open connections to every backend server are within the connection
    /// limit divided by `divisor`, and the cap is not above that either, so no more are opened.
    ///
    /// A host confirms a membership change that lowers its share only when this holds.
    #[must_use]
    pub fn is_within_share(&self, divisor: u32) -> bool {
        let servers = self.0.servers.lock();
        let mut backends = servers.groups.values().flat_map(|group| &group.backends);
        backends.all(|backend| {
            let cap = backend.server.connections / divisor.max(1);
            backend.connection_cap <= cap && backend.open() <= cap
        })
    }

    /// Returns the current state for a dump.
    #[must_use]
    pub fn dump(&self) -> State {
        State::capture(&self.0)
    }
}

impl<C: Connector, P: ControlPlane> Submit for Engine<C, P> {
    type Body = Body<C>;
    type Answer = Answer<C>;

    fn open_caller(&self) -> u64 {
        self.0.pins.lock().add_caller()
    }

    fn close_caller(&self, caller: u64) {
        let pinned = self.0.pins.lock().remove_caller(caller);
        self.0.close_pinned(pinned.into_iter().collect());
    }

    async fn submit(&self, request: Request<Body<C>>) -> Outcome<Answer<C>> {
        self.0.execute(request).await
    }

    fn configuration(&self) -> watch::Receiver<Arc<Configuration>> {
        self.0.control_plane.configuration()
    }
}
