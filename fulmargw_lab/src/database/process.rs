//! Shared state and start of a backend server process.

use super::{
    admin,
    fault::Fault,
    observation::Observation,
    replication, session,
    state::{Start, State},
};
use fulmargw_model::lock::{Mutex, Rank};
use std::{
    io,
    net::SocketAddr,
    process,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
    time::Instant,
};

/// Settings of a server.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the server.
    pub name: String,
    /// Address of the PostgreSQL protocol.
    pub listen: SocketAddr,
    /// Address at which a primary replicates to this server.
    pub replication: SocketAddr,
    /// Address of the admin interface.
    pub admin: SocketAddr,
    /// The other servers of the group.
    pub peers: Vec<Peer>,
    /// Number of statements that may run at the same time.
    pub slots: usize,
    /// Limit on open connections.
    pub max_connections: usize,
    /// Delay before the server responds to a start-up message.
    pub connect_time: Duration,
    /// Time for which a statement occupies a slot.
    pub statement_time: Duration,
    /// Initial state of the server.
    pub start: Start,
    /// Whether a connection above the limit, or a password message, ends the process.
    pub strict: bool,
}

/// Another server of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the server.
    pub name: String,
    /// Its replication address.
    pub address: SocketAddr,
}

/// Shared state of a server process.
#[derive(Debug)]
pub struct Server {
    /// Settings.
    pub settings: Settings,
    /// Terms, log and data; lock rank [`Rank::Server`].
    pub state: Mutex<State>,
    /// Injected faults; lock rank [`Rank::Configuration`].
    pub fault: Mutex<Fault>,
    /// Records for the checks of tests and experiments; lock rank [`Rank::Journal`].
    pub observation: Mutex<Observation>,
    /// One permit for each statement that may run.
    pub slots: Semaphore,
    /// Connections with a number up to this one get no more responses; 0 for none.
    pub last_unresponsive: AtomicU64,
    /// Number of the last connection that was accepted; the first has number 1.
    pub last_connection: AtomicU64,
    /// Number of changes of `state` and `fault`.
    changes: watch::Sender<u64>,
}

impl Server {
    /// Creates the shared state.
    #[must_use]
    pub fn new(settings: Settings) -> Arc<Self> {
        let fault = Fault {
            statement_us: u64::try_from(settings.statement_time.as_micros()).unwrap_or(u64::MAX),
            ..Fault::default()
        };
        Arc::new(Self {
            state: Mutex::new(Rank::Server, State::new(settings.start, Instant::now())),
            fault: Mutex::new(Rank::Configuration, fault),
            observation: Mutex::new(Rank::Journal, Observation::default()),
            slots: Semaphore::new(settings.slots),
            last_unresponsive: AtomicU64::new(0),
            last_connection: AtomicU64::new(0),
            changes: watch::Sender::new(0),
            settings,
        })
    }

    /// Returns a receiver that is notified of later changes of the state and the faults.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Wakes the tasks that wait for a change of the state or the faults.
    pub fn notify_changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Stops sending responses on all connections that are open now.
    pub fn stop_responding(&self) {
        let last_connection = self.last_connection.load(Ordering::SeqCst);
        self.last_unresponsive
            .store(last_connection, Ordering::SeqCst);
    }

    /// Ends the process in strict mode after a violation, which is logged.
    pub fn exit_if_strict(&self, violation: &str) {
        if self.settings.strict {
            log::error!("server {} ends: {violation}", self.settings.name);
            process::exit(3);
        }
    }
}

/// Binds the addresses and starts the server's tasks, which run until the process ends.
///
/// # Errors
///
/// If an address cannot be bound.
pub async fn start(settings: Settings) -> io::Result<Arc<Server>> {
    let sessions = TcpListener::bind(settings.listen).await?;
    let replication = TcpListener::bind(settings.replication).await?;
    let admin = TcpListener::bind(settings.admin).await?;
    let server = Server::new(settings);
    tokio::spawn(session::serve(Arc::clone(&server), sessions));
    tokio::spawn(replication::serve(Arc::clone(&server), replication));
    tokio::spawn(replication::apply_entries(Arc::clone(&server)));
    for peer in server.settings.peers.clone() {
        tokio::spawn(replication::replicate_to(Arc::clone(&server), peer.clone()));
        tokio::spawn(replication::request_promises(Arc::clone(&server), peer));
    }
    tokio::spawn(admin::serve(Arc::clone(&server), admin));
    Ok(server)
}
