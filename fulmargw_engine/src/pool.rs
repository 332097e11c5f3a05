//! Pool of work connections to one backend server: opened in advance, within this host's share
//! of the server's connection limit.

use crate::{
    control::ControlPlane,
    core::{self, Core, Release},
    table::{backend::Idle, server::ServerId},
};
use fulmargw_backend::connection::{Connection as _, Connector};
use fulmargw_model::{backend_server::Server, position::Term};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, interval, sleep, timeout};

/// Interval at which the pool reads this host's share and adjusts its connections.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Time since its last response after which an idle connection is checked.
const IDLE_CHECK_AGE: Duration = Duration::from_secs(1);
/// Pause after a connection could not be opened.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maintains the work connections to one backend server.
pub struct Pool<C: Connector, P> {
    core: Arc<Core<C, P>>,
    server_id: ServerId,
    /// Time at which this host lost its share; `None` while it has one.
    share_lost_at: Option<Instant>,
}

impl<C: Connector, P: ControlPlane> Pool<C, P> {
    /// Creates a pool without connections.
    pub fn new(core: Arc<Core<C, P>>, server_id: ServerId) -> Self {
        Self {
            core,
            server_id,
            share_lost_at: None,
        }
    }

    /// Runs until the server leaves the configuration or the engine stops.
    pub async fn run(mut self) {
        let signals = self.core.with_backend(&self.server_id, |backend| {
            (Arc::clone(&backend.wake_pool), backend.stop.clone())
        });
        let Some((wake, stop)) = signals else {
            return;
        };
        let core = Arc::clone(&self.core);
        let mut updates = interval(UPDATE_INTERVAL);
        loop {
            self.update_cap();
            self.adjust_connections();
            self.check_idle();
            tokio::select! {
                () = stop.cancelled() => return,
                () = core.stop.cancelled() => return,
                () = wake.notified() => {}
                _ = updates.tick() => {}
            }
        }
    }

    /// Sets the connection cap from this host's share, and aborts running work when the grace
    /// period after the loss of the share is over.
    fn update_cap(&mut self) {
        let now = Instant::now();
        let has_lease = self.core.control_plane.has_lease(now);
        let divisor = self
            .core
            .control_plane
            .share_divisor()
            .filter(|_| has_lease);
        self.core.with_backend(&self.server_id, |backend| {
            let limit = backend.server.connections;
            backend.connection_cap = divisor.map_or(0, |divisor| limit / divisor.max(1));
        });
        if divisor.is_some() {
            self.share_lost_at = None;
            return;
        }
        let lost_at = *self.share_lost_at.get_or_insert(now);
        if now.saturating_duration_since(lost_at) >= self.core.settings.lease_grace() {
            self.abort_work();
        }
    }

    fn record_metrics(&self, server: &Server) {
        let Some(load) = self
            .core
            .with_backend(&self.server_id, |it| (it.open(), it.load.running))
        else {
            return;
        };
        let service = self.server_id.service.as_str().to_owned();
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

    /// Checks one idle connection, so that one that no longer responds is found before a request
    /// uses it.
    fn check_idle(&self) {
        let Some(since) = Instant::now().checked_sub(IDLE_CHECK_AGE) else {
            return;
        };
        let checked_out = self.core.with_backend(&self.server_id, |backend| {
            // The last idle connection stays available for requests.
            let has_spare = backend.idle.len() > 1;
            has_spare.then(|| backend.check_out_unused(since)).flatten()
        });
        if let Some(Some(idle)) = checked_out {
            let checking = check_connection(Arc::clone(&self.core), self.server_id.clone(), idle);
            self.core.tasks.spawn(checking);
        }
    }

    /// Aborts running statements and open transactions on the server.
    fn abort_work(&self) {
        self.core.with_backend(&self.server_id, |backend| {
            if backend.load.checked_out > 0 {
                backend.abort_running();
            }
        });
        let pinned = self.core.pins.lock().abort_on_server(&self.server_id);
        self.core.close_pinned(pinned);
    }

    /// Opens and closes connections as planned for the current cap and term.
    fn adjust_connections(&self) {
        let planned = self.core.with_backend(&self.server_id, |backend| {
            let plan = backend.plan();
            let within_cap = plan.open == 0 || backend.open() <= backend.connection_cap;
            (plan, within_cap, backend.server.clone())
        });
        let Some((plan, within_cap, server)) = planned else {
            return;
        };
        self.record_metrics(&server);
        self.core.check("connection-cap", within_cap);
        self.core.close_connections(&self.server_id, plan.close);
        for _ in 0..plan.open {
            let core = Arc::clone(&self.core);
            let opening = open_connection(core, self.server_id.clone(), server.clone(), plan.term);
            self.core.tasks.spawn(opening);
        }
    }
}

/// Requests the status on a checked-out connection, and checks it in.
async fn check_connection<C: Connector, P: ControlPlane>(
    core: Arc<Core<C, P>>,
    server_id: ServerId,
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
    core.check_in(&server_id, idle.connection, &release);
}

/// Opens one connection that is already counted as opening.
async fn open_connection<C: Connector, P: ControlPlane>(
    core: Arc<Core<C, P>>,
    server_id: ServerId,
    server: Server,
    term: Term,
) {
    let limit = core.settings.connect_timeout();
    let opened = tokio::select! {
        () = core.stop.cancelled() => return,
        opened = timeout(limit, core.connector.connect(&server, term)) => opened,
    };
    let Ok(Ok(connection)) = opened else {
        sleep(RETRY_DELAY).await;
        core.with_backend(&server_id, |backend| {
            backend.load.opening = backend.load.opening.saturating_sub(1);
            backend.wake_pool.notify_one();
        });
        return;
    };
    let stored = core.with_backend(&server_id, |backend| {
        backend.load.opening = backend.load.opening.saturating_sub(1);
        backend.idle.push(Idle {
            connection,
            term,
            responded_at: Instant::now(),
        });
        backend.wake_pool.notify_one();
    });
    if stored.is_some() {
        core.work_available.notify_one();
    }
}
