//! State that the tasks of the engine share.

use crate::{
    control::ControlPlane,
    invariant,
    job::Job,
    journal::Journal,
    settings::Settings,
    table::{
        backend::Backend,
        pin::{Pin, Pins},
        queue::Queues,
        server::{ServerId, Servers},
    },
};
use fulmargw_backend::connection::{self, Connector};
use fulmargw_decision::{promotion::Reachability, queue::Capacity};
use fulmargw_model::{
    availability_zone::Zone,
    lock::{Mutex, Rank},
    position::Term,
};
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Time for which a closed connection still counts against the server's connection limit,
/// because the server frees it only after it has read the end of the stream.
const CLOSE_DELAY: Duration = Duration::from_millis(20);
/// Poll interval for a server that did not respond when connections to it were closed.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which such a server, once it responds again, no longer counts the closed
/// connections. The server frees a connection only after the statement that it had already
/// received on it, and a commit may wait for replicas.
const RESUME_DELAY: Duration = Duration::from_secs(1);

/// Connection that a connector opens.
pub type Connection<C> = <C as Connector>::Connection;
/// Content of a request.
pub type Body<C> = <Connection<C> as connection::Connection>::Body;
/// Content of a response.
pub type Answer<C> = <Connection<C> as connection::Connection>::Answer;
/// A job that waits in a queue.
pub type QueuedJob<C> = Job<Body<C>, Answer<C>>;

/// Shared state. The mutexes are declared in the order in which they must be locked.
#[derive(Debug)]
pub struct Core<C: Connector, P> {
    /// Settings of the engine.
    pub settings: Settings,
    /// Availability zone of this host.
    pub zone: Zone,
    /// Opens connections to backend servers.
    pub connector: C,
    /// Interface to the control plane.
    pub control_plane: P,
    /// Waiting requests.
    pub queues: Mutex<Queues<QueuedJob<C>>>,
    /// Backend servers.
    pub servers: Mutex<Servers<Connection<C>>>,
    /// Callers and the connections that their open transactions pin.
    pub pins: Mutex<Pins<Connection<C>>>,
    /// Recent request outcomes and promotions.
    pub journal: Mutex<Journal>,
    /// Wakes one worker to look for a job that can run.
    pub work_available: Notify,
    /// Cancelled when no new transaction may begin.
    pub draining: CancellationToken,
    /// Cancelled when all tasks must end.
    pub stop: CancellationToken,
    /// Tasks of the engine.
    pub tasks: TaskTracker,
}

impl<C: Connector, P: ControlPlane> Core<C, P> {
    /// Creates the state of an engine without servers.
    pub fn new(settings: Settings, zone: Zone, connector: C, control_plane: P) -> Self {
        let capacity = Capacity {
            per_lane: settings.lane_bound,
            total: settings.queue_bound,
        };
        Self {
            settings,
            zone,
            connector,
            control_plane,
            queues: Mutex::new(Rank::Queue, Queues::new(capacity)),
            servers: Mutex::new(Rank::Server, Servers::new()),
            pins: Mutex::new(Rank::Pin, Pins::new()),
            journal: Mutex::new(Rank::Journal, Journal::new(Instant::now())),
            work_available: Notify::new(),
            draining: CancellationToken::new(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    /// Checks an invariant; the setting `strict` decides whether a violation panics.
    pub fn check(&self, invariant: &'static str, holds: bool) {
        invariant::check(self.settings.strict, invariant, holds);
    }

    /// Calls `access` with a server; `None` if the server is no longer configured.
    pub fn with_backend<T>(
        &self,
        server_id: &ServerId,
        access: impl FnOnce(&mut Backend<Connection<C>>) -> T,
    ) -> Option<T> {
        self.servers.lock().backend(server_id).map(access)
    }

    /// Closes connections that are already counted as closing, and stops counting them once the
    /// server has freed them.
    pub fn close_connections(
        self: &Arc<Self>,
        server_id: &ServerId,
        connections: Vec<Connection<C>>,
    ) {
        let closed = u32::try_from(connections.len()).unwrap_or(u32::MAX);
        if closed == 0 {
            return;
        }
        drop(connections);
        let core = Arc::clone(self);
        let server_id = server_id.clone();
        self.tasks.spawn(async move {
            sleep(CLOSE_DELAY).await;
            core.wait_for_resume(&server_id).await;
            core.with_backend(&server_id, |backend| {
                backend.load.closing = backend.load.closing.saturating_sub(closed);
                backend.wake_pool.notify_one();
            });
        });
    }

    /// Waits until a server that does not respond now has responded again and processed what it
    /// had already received.
    async fn wait_for_resume(&self, server_id: &ServerId) {
        let is_unresponsive = || {
            // A server that refuses connections has no process left that counts any.
            let may_count = |backend: &mut Backend<_>| {
                backend.failing_since.is_some() && backend.reachability != Reachability::Refused
            };
            self.with_backend(server_id, may_count)
        };
        if is_unresponsive() != Some(true) {
            return;
        }
        while is_unresponsive() == Some(true) {
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = sleep(SILENCE_POLL_INTERVAL) => {}
            }
        }
        tokio::select! {
            () = self.stop.cancelled() => {}
            () = sleep(RESUME_DELAY) => {}
        }
    }

    /// Checks in a connection: returns it to the pool or closes it.
    pub fn check_in(
        self: &Arc<Self>,
        server_id: &ServerId,
        connection: Connection<C>,
        release: &Release,
    ) {
        let closed = self.with_backend(server_id, |backend| {
            if release.pinned {
                backend.load.pinned = backend.load.pinned.saturating_sub(1);
            }
            if release.usable {
                return backend.check_in(connection, release.term);
            }
            backend.discard();
            Some(connection)
        });
        if let Some(Some(connection)) = closed {
            self.close_connections(server_id, vec![connection]);
        }
        self.work_available.notify_one();
    }

    /// Closes the pinned connections of transactions, which rolls the transactions back.
    pub fn close_pinned(self: &Arc<Self>, pinned: Vec<(Pin, Connection<C>)>) {
        for (pin, connection) in pinned {
            let release = Release {
                term: pin.term,
                pinned: true,
                usable: false,
            };
            self.check_in(&pin.server_id, connection, &release);
        }
    }
}

/// State of a connection that is checked in.
#[derive(Debug, Clone, Copy)]
pub struct Release {
    /// Term to which the connection is bound.
    pub term: Term,
    /// Whether the connection is counted as pinned by a transaction.
    pub pinned: bool,
    /// Whether the connection works and has no open transaction.
    pub usable: bool,
}
