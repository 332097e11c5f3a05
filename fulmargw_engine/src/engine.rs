//! Entry point of the engine.

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

/// Time between two looks at the work that is still running.
const DRAIN_INTERVAL: Duration = Duration::from_millis(10);

/// Carries requests of callers to their outcomes. Clones share the same state.
pub struct Engine<C: Connector, G: ControlPlane>(Arc<Core<C, G>>);

impl<C: Connector, G: ControlPlane> Clone for Engine<C, G> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<C: Connector, G: ControlPlane> fmt::Debug for Engine<C, G> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Engine").finish_non_exhaustive()
    }
}

impl<C: Connector, G: ControlPlane> Engine<C, G> {
    /// Starts the workers and the tasks of the configured services on the current runtime.
    #[must_use]
    pub fn start(settings: Settings, zone: Zone, connector: C, gate: G) -> Self {
        let core = Arc::new(Core::new(settings, zone, connector, gate));
        for _ in 0..core.settings.worker_count.max(1) {
            core.tasks.spawn(worker::run(Arc::clone(&core)));
        }
        core.tasks.spawn(supervisor::run(Arc::clone(&core)));
        Self(core)
    }

    /// Begins no new transaction, lets running ones finish until `deadline`, and then closes
    /// all connections. Returns whether everything finished.
    pub async fn drain(&self, deadline: Instant) -> bool {
        self.0.draining.cancel();
        while self.is_busy() && Instant::now() < deadline {
            sleep(DRAIN_INTERVAL).await;
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
        let members = servers.groups.values_mut().flat_map(|it| &mut it.backends);
        let idle: Vec<_> = members.flat_map(Backend::close_idle).collect();
        drop(servers);
        drop(idle);
    }

    fn is_busy(&self) -> bool {
        let waiting = self.0.queues.lock().len();
        let lent = {
            let servers = self.0.servers.lock();
            let mut members = servers.groups.values().flat_map(|group| &group.backends);
            members.any(|member| member.load.lent > 0)
        };
        waiting > 0 || lent
    }

    /// Reports whether the open connections are within a share of one in `divisor`, and no
    /// more are about to be opened.
    ///
    /// A host confirms a change of the membership only after this is true.
    #[must_use]
    pub fn is_within_share(&self, divisor: u32) -> bool {
        let servers = self.0.servers.lock();
        let mut members = servers.groups.values().flat_map(|group| &group.backends);
        members.all(|member| {
            let cap = member.server.connections / divisor.max(1);
            member.cap <= cap && member.open() <= cap
        })
    }

    /// Returns the present state for a dump.
    #[must_use]
    pub fn dump(&self) -> State {
        State::of(&self.0)
    }
}

impl<C: Connector, G: ControlPlane> Submit for Engine<C, G> {
    type Body = Body<C>;
    type Answer = Answer<C>;

    fn open_caller(&self) -> u64 {
        self.0.pins.lock().open()
    }

    fn close_caller(&self, caller: u64) {
        let held = self.0.pins.lock().close(caller);
        self.0.close_held(held.into_iter().collect());
    }

    async fn submit(&self, request: Request<Body<C>>) -> Outcome<Answer<C>> {
        self.0.carry(request).await
    }

    fn configuration(&self) -> watch::Receiver<Arc<Configuration>> {
        self.0.gate.configuration()
    }
}
