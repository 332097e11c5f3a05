//! Work connections of a backend server: opened in advance and held within the limit.

use crate::{
    control::ControlPlane,
    core::{self, Core, Release},
    table::{backend::Idle, server::Key},
};
use fulmargw_backend::connection::{Connection as _, Connector};
use fulmargw_model::{backend_server::Server, position::Term};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, interval, sleep, timeout};

/// Time between two checks of the share of this host.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time without an answer after which an idle connection is checked.
const IDLE_TIME: Duration = Duration::from_secs(1);
/// Pause after a connection could not be opened.
const PAUSE: Duration = Duration::from_millis(20);

/// Keeps the work connections of one backend server.
pub struct Pool<C: Connector, G> {
    core: Arc<Core<C, G>>,
    key: Key,
    /// Time at which this host lost its share, until its work was stopped.
    lost: Option<Instant>,
}

impl<C: Connector, G: ControlPlane> Pool<C, G> {
    /// Makes a pool without connections.
    pub fn new(core: Arc<Core<C, G>>, key: Key) -> Self {
        Self {
            core,
            key,
            lost: None,
        }
    }

    /// Runs until the server leaves the configuration or the engine stops.
    pub async fn run(mut self) {
        let tokens = self.core.with_backend(&self.key, |member| {
            (Arc::clone(&member.refill), member.stop.clone())
        });
        let Some((refill, stop)) = tokens else {
            return;
        };
        let core = Arc::clone(&self.core);
        let mut checks = interval(CHECK_INTERVAL);
        loop {
            self.check_share();
            self.follow_plan();
            self.check_idle();
            tokio::select! {
                () = stop.cancelled() => return,
                () = core.stop.cancelled() => return,
                () = refill.notified() => {}
                _ = checks.tick() => {}
            }
        }
    }

    /// Takes the share of this host from the gate.
    fn check_share(&mut self) {
        let now = Instant::now();
        let leased = self.core.gate.has_lease(now);
        let divisor = self.core.gate.share_divisor().filter(|_| leased);
        self.core.with_backend(&self.key, |member| {
            let limit = member.server.connections;
            member.cap = divisor.map_or(0, |divisor| limit / divisor.max(1));
        });
        if divisor.is_some() {
            self.lost = None;
            return;
        }
        let lost = *self.lost.get_or_insert(now);
        if now.saturating_duration_since(lost) >= self.core.settings.lease_grace() {
            self.stop_work();
        }
    }

    fn measure(&self, server: &Server) {
        let Some(load) = self
            .core
            .with_backend(&self.key, |it| (it.open(), it.load.running))
        else {
            return;
        };
        let service = self.key.service.as_str().to_owned();
        let name = server.name.as_str().to_owned();
        metrics::gauge!(
            "fulmargw_connections", "service" => service.clone(), "server" => name.clone()
        )
        .set(load.0);
        metrics::gauge!(
            "fulmargw_slots_in_use", "service" => service.clone(), "server" => name.clone()
        )
        .set(load.1);
        metrics::gauge!("fulmargw_slots", "service" => service, "server" => name).set(server.slots);
    }

    /// Asks one idle connection for an answer, so that a silent one is found before a request
    /// needs it.
    fn check_idle(&self) {
        let Some(since) = Instant::now().checked_sub(IDLE_TIME) else {
            return;
        };
        let lent = self.core.with_backend(&self.key, |member| {
            // The last idle connection is left for requests.
            let spare = member.idle.len() > 1;
            spare.then(|| member.lend_for_check(since)).flatten()
        });
        if let Some(Some(idle)) = lent {
            let checked = check(Arc::clone(&self.core), self.key.clone(), idle);
            self.core.tasks.spawn(checked);
        }
    }

    fn stop_work(&self) {
        self.core.with_backend(&self.key, |member| {
            if member.load.lent > 0 {
                member.cut();
            }
        });
        let held = self.core.pins.lock().revoke(&self.key);
        self.core.close_held(held);
    }

    fn follow_plan(&self) {
        let planned = self.core.with_backend(&self.key, |member| {
            let plan = member.plan();
            let within = plan.open == 0 || member.open() <= member.cap;
            (plan, within, member.server.clone())
        });
        let Some((plan, within, server)) = planned else {
            return;
        };
        self.measure(&server);
        self.core.check("connection-cap", within);
        self.core.close(&self.key, plan.close);
        for _ in 0..plan.open {
            let core = Arc::clone(&self.core);
            let opening = open(core, self.key.clone(), server.clone(), plan.term);
            self.core.tasks.spawn(opening);
        }
    }
}

/// Asks a lent connection for its status and gives it back.
async fn check<C: Connector, G: ControlPlane>(
    core: Arc<Core<C, G>>,
    key: Key,
    mut idle: Idle<core::Connection<C>>,
) {
    let limit = core.settings.probe_timeout();
    let status = tokio::select! {
        () = core.stop.cancelled() => return,
        status = timeout(limit, idle.connection.status()) => status,
    };
    let release = Release {
        term: idle.term,
        pinned: false,
        usable: matches!(status, Ok(Ok(_))),
    };
    core.give_back(&key, idle.connection, &release);
}

/// Opens one connection that is already counted as opening.
async fn open<C: Connector, G: ControlPlane>(
    core: Arc<Core<C, G>>,
    key: Key,
    server: Server,
    term: Term,
) {
    let limit = core.settings.connect_timeout();
    let opened = tokio::select! {
        () = core.stop.cancelled() => return,
        opened = timeout(limit, core.connector.connect(&server, term)) => opened,
    };
    let Ok(Ok(connection)) = opened else {
        sleep(PAUSE).await;
        core.with_backend(&key, |member| {
            member.load.opening = member.load.opening.saturating_sub(1);
            member.refill.notify_one();
        });
        return;
    };
    let stored = core.with_backend(&key, |member| {
        member.load.opening = member.load.opening.saturating_sub(1);
        member.idle.push(Idle {
            connection,
            term,
            answered: Instant::now(),
        });
        member.refill.notify_one();
    });
    if stored.is_some() {
        core.work.notify_one();
    }
}
