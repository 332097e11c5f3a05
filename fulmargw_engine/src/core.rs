//! State that the tasks of the engine share.

use crate::{
    control::ControlPlane,
    invariant,
    job::Job,
    journal::Journal,
    settings::Settings,
    table::{
        backend::Backend,
        pin::{Hold, Pins},
        queue::Queues,
        server::{Key, Servers},
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

/// Time for which a closed connection still counts against the server's limit, because the
/// server frees it only after it has read the end of the stream.
const CLOSE_TIME: Duration = Duration::from_millis(20);
/// Time between two looks at a server that was silent when connections to it were closed.
const SILENCE_CHECK: Duration = Duration::from_millis(50);
/// Time after which such a server, once it answers again, no longer counts them: it frees a
/// connection after the statement that it had received there, and a commit may wait for replicas.
const RESUME_TIME: Duration = Duration::from_secs(1);

/// Connection that a connector opens.
pub type Connection<C> = <C as Connector>::Connection;
/// Content of a request.
pub type Body<C> = <Connection<C> as connection::Connection>::Body;
/// Content of an answer.
pub type Answer<C> = <Connection<C> as connection::Connection>::Answer;
/// A waiting request.
pub type Waiting<C> = Job<Body<C>, Answer<C>>;

/// Shared state; the tables stand in the order in which they are locked.
#[derive(Debug)]
pub struct Core<C: Connector, G> {
    /// Settings of the engine.
    pub settings: Settings,
    /// Availability zone of this host.
    pub zone: Zone,
    /// Opens connections.
    pub connector: C,
    /// Decisions that hosts make together.
    pub gate: G,
    /// Waiting requests.
    pub queues: Mutex<Queues<Waiting<C>>>,
    /// Backend servers.
    pub servers: Mutex<Servers<Connection<C>>>,
    /// Callers and their open transactions.
    pub pins: Mutex<Pins<Connection<C>>>,
    /// Recent decisions.
    pub journal: Mutex<Journal>,
    /// Wakes a worker.
    pub work: Notify,
    /// Cancelled when no new transaction may begin.
    pub draining: CancellationToken,
    /// Cancelled when all tasks must end.
    pub stop: CancellationToken,
    /// Tasks of the engine.
    pub tasks: TaskTracker,
}

impl<C: Connector, G: ControlPlane> Core<C, G> {
    /// Makes the state of an engine without servers.
    pub fn new(settings: Settings, zone: Zone, connector: C, gate: G) -> Self {
        let bound = Capacity {
            per_lane: settings.lane_bound,
            total: settings.queue_bound,
        };
        Self {
            settings,
            zone,
            connector,
            gate,
            queues: Mutex::new(Rank::Queue, Queues::new(bound)),
            servers: Mutex::new(Rank::Server, Servers::new()),
            pins: Mutex::new(Rank::Pin, Pins::new()),
            journal: Mutex::new(Rank::Journal, Journal::new(Instant::now())),
            work: Notify::new(),
            draining: CancellationToken::new(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    /// Checks an invariant as the settings say.
    pub fn check(&self, invariant: &'static str, holds: bool) {
        invariant::check(self.settings.strict, invariant, holds);
    }

    /// Calls `change` with a server, if it is still configured.
    pub fn with_backend<T>(
        &self,
        key: &Key,
        change: impl FnOnce(&mut Backend<Connection<C>>) -> T,
    ) -> Option<T> {
        self.servers.lock().backend(key).map(change)
    }

    /// Closes connections that a server already counts as closing.
    pub fn close(self: &Arc<Self>, key: &Key, connections: Vec<Connection<C>>) {
        let closed = u32::try_from(connections.len()).unwrap_or(u32::MAX);
        if closed == 0 {
            return;
        }
        drop(connections);
        let core = Arc::clone(self);
        let key = key.clone();
        self.tasks.spawn(async move {
            sleep(CLOSE_TIME).await;
            core.outlast_silence(&key).await;
            core.with_backend(&key, |member| {
                member.load.closing = member.load.closing.saturating_sub(closed);
                member.refill.notify_one();
            });
        });
    }

    /// Waits until a server that is silent now has answered again and read what it had received.
    async fn outlast_silence(&self, key: &Key) {
        let is_silent = || {
            // A process that is gone counts nothing.
            let waits = |member: &mut Backend<_>| {
                member.failing.is_some() && member.reach != Reachability::Refused
            };
            self.with_backend(key, waits)
        };
        if is_silent() != Some(true) {
            return;
        }
        while is_silent() == Some(true) {
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = sleep(SILENCE_CHECK) => {}
            }
        }
        tokio::select! {
            () = self.stop.cancelled() => {}
            () = sleep(RESUME_TIME) => {}
        }
    }

    /// Takes back a lent connection: keeps it for the next request or closes it.
    pub fn give_back(self: &Arc<Self>, key: &Key, connection: Connection<C>, release: &Release) {
        let closed = self.with_backend(key, |member| {
            if release.pinned {
                member.load.pinned = member.load.pinned.saturating_sub(1);
            }
            if release.usable {
                return member.restore(connection, release.term);
            }
            member.discard();
            Some(connection)
        });
        if let Some(Some(connection)) = closed {
            self.close(key, vec![connection]);
        }
        self.work.notify_one();
    }

    /// Closes connections of transactions that were ended from outside.
    pub fn close_held(self: &Arc<Self>, held: Vec<(Hold, Connection<C>)>) {
        for (hold, connection) in held {
            let release = Release {
                term: hold.term,
                pinned: true,
                usable: false,
            };
            self.give_back(&hold.key, connection, &release);
        }
    }
}

/// How a lent connection comes back.
#[derive(Debug, Clone, Copy)]
pub struct Release {
    /// Term of the connection.
    pub term: Term,
    /// Whether a transaction held it.
    pub pinned: bool,
    /// Whether it is in order and without an open transaction.
    pub usable: bool,
}
