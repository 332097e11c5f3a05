//! State that the tasks of the pool share.

use crate::{
    admission::Admission,
    backend::Server,
    catalog::{Catalog, Keyring},
    dialect::Dialect,
    job::{Job, Outcome, Pin, PooledConnection},
    member::Members,
    settings::{Limits, Settings},
    store::Platform,
    table::{Backend, Queues, Servers, Shares},
};
use fulmargw_decision::queue::{Capacity, Entry, Ticket, Urgency};
use fulmargw_model::{
    execution::ServerId,
    lock::{Mutex, Rank},
    name::Name,
    position::Position,
};
use fulmargw_peer::{forward, report};
use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Most waiting jobs of one account and urgency, and of a service.
const QUEUE_BOUND: Capacity = Capacity {
    per_lane: 256,
    total: 1024,
};

/// Cost of a statement that only the primary can run, against the quota of its account.
const PRIMARY_COST: u32 = 2;

/// A configuration in force, with the index of its keys.
#[derive(Debug)]
pub struct Configuration {
    /// The configuration.
    pub catalog: Catalog,
    /// Accounts by key.
    pub keys: Keyring,
}

/// The shared state. Tables are locked in the order of their ranks.
#[derive(Debug)]
pub struct Core<D: Dialect, P: Platform> {
    /// Settings that the process started with.
    pub settings: Settings,
    /// Bounds in force; a reload of the settings changes them.
    limits: watch::Sender<Arc<Limits>>,
    /// Identifier of this life of the process.
    pub incarnation: u64,
    /// The platform.
    pub platform: P,
    /// Calls to other hosts.
    pub report_client: report::Client,
    /// Statements that other hosts run for this one.
    pub forward_client: forward::Client,
    /// Configuration in force.
    pub configuration: watch::Sender<Option<Arc<Configuration>>>,
    /// Other hosts and what they report.
    pub members: Mutex<Members>,
    /// Token buckets.
    pub admission: Mutex<Admission>,
    /// Waiting jobs.
    pub queues: Mutex<Queues<D>>,
    /// Backend servers.
    pub servers: Mutex<Servers<D>>,
    /// Announces that a job waits or a server has room.
    pub work_ready: Notify,
    /// Announces that a primary may need to be replaced.
    pub primary_suspected: Notify,
    /// Announces that other hosts should hear a report at once.
    pub report_now: Notify,
    /// Cancelled when the host takes no new sessions.
    pub draining: CancellationToken,
    /// Cancelled when idle sessions are to be closed.
    pub closing_idle: CancellationToken,
    /// Cancelled when open transactions are to be ended.
    pub aborting: CancellationToken,
    /// Cancelled when everything stops.
    pub stop: CancellationToken,
    /// Tasks of sessions.
    pub sessions: TaskTracker,
    /// All other tasks.
    pub tasks: TaskTracker,
    /// Whether the registry has been read.
    pub registry_read: watch::Sender<bool>,
    /// Whether the other hosts are known.
    pub hosts_known: watch::Sender<bool>,
    next_session: AtomicU64,
}

impl<D: Dialect, P: Platform> Core<D, P> {
    /// Makes the state of a host that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, platform: P, peers: report::Client) -> Self {
        let incarnation = rand::random();
        let own = settings.host.name.clone();
        let members = Members::new(own.clone());
        let limits = settings.limits.clone();
        let admission = Admission::new(own, incarnation, limits.clone());
        Self {
            settings,
            limits: watch::Sender::new(Arc::new(limits)),
            incarnation,
            platform,
            report_client: peers,
            forward_client: forward::Client::new(),
            configuration: watch::Sender::new(None),
            members: Mutex::new(Rank::Fleet, members),
            admission: Mutex::new(Rank::Account, admission),
            queues: Mutex::new(Rank::Queue, Queues::new(QUEUE_BOUND)),
            servers: Mutex::new(Rank::Server, Servers::new()),
            work_ready: Notify::new(),
            primary_suspected: Notify::new(),
            report_now: Notify::new(),
            draining: CancellationToken::new(),
            closing_idle: CancellationToken::new(),
            aborting: CancellationToken::new(),
            stop: CancellationToken::new(),
            sessions: TaskTracker::new(),
            tasks: TaskTracker::new(),
            registry_read: watch::Sender::new(false),
            hosts_known: watch::Sender::new(false),
            next_session: AtomicU64::new(0),
        }
    }

    /// Returns the number of a new session.
    pub fn next_session_number(&self) -> u64 {
        self.next_session.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the bounds in force.
    #[must_use]
    pub fn limits(&self) -> Arc<Limits> {
        Arc::clone(&self.limits.borrow())
    }

    /// Takes other bounds.
    pub fn set_limits(&self, limits: Limits) {
        {
            let mut admission = self.admission.lock();
            let configuration = self.configuration();
            let catalog = configuration
                .as_ref()
                .map(|configuration| &configuration.catalog);
            admission.set_limits(limits.clone(), catalog, Instant::now());
        }
        self.limits.send_replace(Arc::new(limits));
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Reports whether the host can serve new sessions.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let knows = self.configuration.borrow().is_some()
            && *self.registry_read.borrow()
            && *self.hosts_known.borrow();
        knows && !self.draining.is_cancelled()
    }

    /// Takes a configuration if it is newer than the one in force.
    pub fn adopt(&self, catalog: Catalog, source: &str) -> bool {
        let version = catalog.version;
        let previous = self
            .configuration()
            .map_or(0, |configuration| configuration.catalog.version);
        if version <= previous {
            return false;
        }
        {
            let mut admission = self.admission.lock();
            admission.configure(&catalog, Instant::now());
        }
        let keys = Keyring::of(&catalog);
        let configuration = Arc::new(Configuration { catalog, keys });
        let adopted = self.configuration.send_if_modified(|known| {
            let newer = known
                .as_ref()
                .is_none_or(|known| known.catalog.version < version);
            if newer {
                *known = Some(configuration);
            }
            newer
        });
        if adopted {
            metrics::gauge!("fulmargw_pool_configuration_version").set(to_f64(version));
            log::info!(event = "configuration", version, previous, source; "configuration in force");
        }
        adopted
    }

    /// Returns what this host may use of the servers, by their connection limits and slots.
    pub fn shares(&self) -> impl Fn(&Server) -> Shares + use<D, P> {
        let hosts = self.members.lock().count();
        let limits = self.limits();
        let configuration = self.configuration();
        move |server| {
            let services = configuration
                .as_ref()
                .map(|configuration| &configuration.catalog.services);
            let service = services.and_then(|services| services.get(&server.service));
            let limit = service.map_or(u32::MAX, |service| service.connection_limit);
            Shares {
                holder: limits.holder_share(server.slots, limit, hosts),
                standby: limits.standby_share(limit, hosts),
            }
        }
    }

    /// Adds a job to the queue; a job that was shed for it is dropped, which its submitter
    /// sees. Returns the ticket that removes it.
    pub fn enqueue(&self, job: Job<D>) -> Option<Ticket> {
        let mut queues = self.queues.lock();
        if job.pinned.is_some() {
            queues.pinned.push_back(job);
            drop(queues);
            self.work_ready.notify_one();
            return None;
        }
        let order = &job.order;
        let service = order.service.clone();
        let entry = Entry {
            account: order.account.clone(),
            urgency: if order.is_urgent {
                Urgency::Urgent
            } else {
                Urgency::Browse
            },
            cost: if order.statement.kind.needs_primary() {
                PRIMARY_COST
            } else {
                1
            },
            deadline: job.deadline,
            item: job,
        };
        let (ticket, shed) = queues.service(&service).push(entry);
        drop(queues);
        drop(shed);
        self.work_ready.notify_one();
        Some(ticket)
    }

    /// Calls `change` with a server, if it is still registered.
    pub fn with_backend<T>(
        &self,
        key: &ServerId,
        change: impl FnOnce(&mut Backend<D>) -> T,
    ) -> Option<T> {
        self.servers.lock().backend(key).map(change)
    }

    /// Notes the position of a primary's log after it acknowledged a commit.
    pub fn acknowledge(&self, service: &Name, position: Position) {
        if let Some(group) = self.servers.lock().groups.get_mut(service) {
            group.acknowledge(position);
        }
    }

    /// Returns what is known to be acknowledged by the primary of a service.
    pub fn acknowledged(&self, service: &Name) -> Option<Position> {
        self.servers.lock().groups.get(service)?.acknowledged
    }

    /// Rolls a transaction back, wherever it is open.
    pub fn roll_back(&self, pin: Pin<D>) {
        match pin {
            Pin::Local(held) => self.close_connection(held),
            Pin::Remote(remote) => drop(self.tasks.spawn(remote.roll_back())),
        }
    }

    /// Closes the connection of a transaction, which rolls it back.
    pub fn close_connection(&self, held: PooledConnection<D>) {
        self.with_backend(&held.key, Backend::connection_closed);
        drop(held);
        self.work_ready.notify_one();
    }

    /// Takes back a connection without an open transaction.
    pub fn return_connection(&self, held: PooledConnection<D>) {
        let PooledConnection { key, connection } = held;
        self.with_backend(&key, |backend| backend.check_in(*connection));
        self.work_ready.notify_one();
    }

    /// Reports whether this host runs statements of a service for other hosts.
    #[must_use]
    pub fn accepts_forwarded(&self, service: &Name) -> bool {
        let own = &self.settings.host.name;
        let shunned = {
            let members = self.members.lock();
            members.holders.is_excluded(service, own, Instant::now())
        };
        let knows = || self.servers.lock().groups.contains_key(service);
        !shunned && self.is_ready() && knows()
    }

    /// Reports whether a service has no primary that takes work now.
    #[must_use]
    pub fn lacks_primary(&self, service: &Name) -> bool {
        let now = Instant::now();
        let servers = self.servers.lock();
        let group = servers.groups.get(service);
        let primary = group.and_then(|group| group.primary());
        primary.is_none_or(|primary| !primary.health.is_usable(now))
    }

    /// Answers a job whose submitter may have gone.
    pub fn answer(&self, job: Job<D>, done: Outcome<D>) {
        if let Err(Outcome::Answered { pin: Some(pin), .. }) = job.reply.send(done) {
            self.roll_back(pin);
        }
    }
}

/// Converts a number for a gauge; versions are far below 2^52.
#[allow(
    clippy::cast_precision_loss,
    reason = "a gauge has no more precise type"
)]
#[must_use]
pub fn to_f64(number: u64) -> f64 {
    number as f64
}
