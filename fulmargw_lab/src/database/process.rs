//! The shared state of a server process and its start.

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
    /// The other members with their replication addresses.
    pub peers: Vec<Peer>,
    /// Statements that run at the same time.
    pub slots: usize,
    /// Limit of open connections.
    pub max_connections: usize,
    /// Time to open a connection.
    pub connect_time: Duration,
    /// Time for which a statement holds a slot.
    pub statement_time: Duration,
    /// How the server starts.
    pub start: Start,
    /// Whether a connection above the limit, or a password, ends the process.
    pub strict: bool,
}

/// Another member of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the member.
    pub name: String,
    /// Its replication address.
    pub address: SocketAddr,
}

/// Shared state of a server process.
#[derive(Debug)]
pub struct Server {
    /// Settings.
    pub settings: Settings,
    /// Terms, log and data; rank of backend server state.
    pub state: Mutex<State>,
    /// Faults in force; rank of configuration.
    pub fault: Mutex<Fault>,
    /// Notes for checks; rank of the journal.
    pub observation: Mutex<Observation>,
    /// Permits of running statements.
    pub slots: Semaphore,
    /// Connections with a number up to this one get no answers any more.
    pub last_unresponsive: AtomicU64,
    /// Number of the last_connection connection.
    pub last_connection: AtomicU64,
    /// Counts changes of `state` and `fault`.
    changes: watch::Sender<u64>,
}

impl Server {
    /// Makes the shared state.
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

    /// Returns a receiver that sees every later change of the state.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Tells waiting tasks that the state changed.
    pub fn notify_changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Stops answers on all connections that are open now.
    pub fn stop_responding(&self) {
        let last_connection = self.last_connection.load(Ordering::SeqCst);
        self.last_unresponsive
            .store(last_connection, Ordering::SeqCst);
    }

    /// Ends the process in strict mode, because a rule was broken.
    pub fn exit_if_strict(&self, rule: &str) {
        if self.settings.strict {
            log::error!("server {} ends: {rule}", self.settings.name);
            process::exit(3);
        }
    }
}

/// Binds the addresses and serves until the process ends.
///
/// # Errors
///
/// If an address cannot be bound.
pub async fn start(settings: Settings) -> io::Result<Arc<Server>> {
    let hosts = TcpListener::bind(settings.listen).await?;
    let primaries = TcpListener::bind(settings.replication).await?;
    let operators = TcpListener::bind(settings.admin).await?;
    let server = Server::new(settings);
    tokio::spawn(session::serve(Arc::clone(&server), hosts));
    tokio::spawn(replication::follow(Arc::clone(&server), primaries));
    tokio::spawn(replication::apply(Arc::clone(&server)));
    for peer in server.settings.peers.clone() {
        tokio::spawn(replication::lead(Arc::clone(&server), peer.clone()));
        tokio::spawn(replication::recover(Arc::clone(&server), peer));
    }
    tokio::spawn(admin::serve(Arc::clone(&server), operators));
    Ok(server)
}
