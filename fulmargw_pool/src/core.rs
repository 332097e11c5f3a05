//! Shared state of the proxy's tasks.

use crate::{
    activity,
    admission::Admission,
    backend::Server,
    budget::Budget,
    configuration::Configuration,
    dialect::Dialect,
    freshness::Moment,
    job::{Job, Outcome, Pin, PooledConnection, Transaction},
    member::Members,
    placement::Placement,
    scheduling::Plan,
    settings::{Limits, Settings},
    store::Platform,
    table::{Backend, Queues, Servers, Shares},
    tasks::Tasks,
    worker,
};
use fulmargw_decision::{
    breaker,
    evacuation::{Exclusion, Orders},
    queue::{Capacity, Entry, Priority, Ticket},
    store_clock::StoreClock,
};
use fulmargw_model::{
    execution::{Request, ServerId},
    lock::{Mutex, Rank},
    name::Name,
    position::Position,
};
use fulmargw_peer::{forward, report};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Maximum number of waiting jobs of one client account at one urgency, and of one service.
const QUEUE_BOUND: Capacity = Capacity {
    per_lane: 256,
    total: 1024,
};

/// Shared state of the proxy's tasks. Its tables must be locked in the order of their ranks.
#[derive(Debug)]
pub struct Core<D: Dialect, P: Platform> {
    /// Settings that the process started with.
    pub settings: Settings,
    /// Limits in force; a reload of the settings changes them.
    limits: watch::Sender<Arc<Limits>>,
    /// Identifier of this run of the process.
    pub incarnation: u64,
    /// Client of the platform.
    pub platform: P,
    /// Client for reports to peers.
    pub report_client: report::Client,
    /// Client for statements that peers run for this host.
    pub forward_client: forward::Client,
    /// Configuration in force.
    pub configuration: watch::Sender<Option<Arc<Configuration>>>,
    /// Orders to evacuate zones.
    pub orders: Mutex<Orders>,
    /// The store's clock, as its responses about the configuration show it. It has the rank of
    /// `orders`, and the two are never locked together.
    pub store_clock: Mutex<StoreClock>,
    /// Hosts of the fleet and their reports.
    pub members: Mutex<Members>,
    /// Token buckets of the client accounts.
    pub admission: Mutex<Admission>,
    /// Waiting jobs.
    pub queues: Mutex<Queues<D>>,
    /// Backend servers.
    pub servers: Mutex<Servers<D>>,
    /// Notified when a job starts to wait, or a server may run another statement.
    pub work_ready: Notify,
    /// Notified when a commit that was sent to a server got a response, or is given up.
    pub commit_ended: Notify,
    /// Notified when a commit waits for contact with the others.
    pub contact_wanted: Notify,
    /// Notified when a report should be sent to peers at once.
    pub report_now: Notify,
    /// Cancelled when the host stops accepting new sessions.
    pub draining: CancellationToken,
    /// Cancelled when idle sessions have to be closed.
    pub closing_idle: CancellationToken,
    /// Cancelled when open transactions have to be aborted.
    pub aborting: CancellationToken,
    /// Cancelled when all tasks have to stop.
    pub stop: CancellationToken,
    /// Tasks of sessions.
    pub sessions: TaskTracker,
    /// Counts of what else a graceful stop waits for.
    pub activity: activity::Counters,
    /// All other tasks.
    pub tasks: Tasks,
    /// Whether the registry has been read.
    pub registry_read: watch::Sender<bool>,
    /// Whether the peers are known.
    pub hosts_known: watch::Sender<bool>,
    /// Whether the orders to evacuate zones are known, or the deployment has none.
    pub orders_known: watch::Sender<bool>,
    /// Number of changes of the zones whose servers get nothing.
    pub exclusions: watch::Sender<u64>,
    /// Bounds of memory and connections.
    pub budget: Budget,
    /// Number of the next session.
    next_session: AtomicU64,
}

impl<D: Dialect, P: Platform> Core<D, P> {
    /// Returns the initial state of a host: without a configuration, servers or peers.
    #[must_use]
    pub fn new(settings: Settings, platform: P, report_client: report::Client) -> Self {
        let incarnation = rand::random();
        let own = settings.host.name.clone();
        let mut members = Members::new(own.clone());
        members.placement =
            Placement::new(settings.placement.clone(), settings.endpoint().location);
        let limits = settings.limits.clone();
        let admission = Admission::new(own, incarnation, limits.clone());
        let has_orders = settings.evacuation.is_some();
        let mut servers = Servers::new();
        if has_orders {
            servers.set_exclusion(Exclusion::All);
        }
        let budget = Budget::new(&limits);
        Self {
            settings,
            limits: watch::Sender::new(Arc::new(limits)),
            incarnation,
            platform,
            report_client,
            forward_client: forward::Client::new(),
            configuration: watch::Sender::new(None),
            orders: Mutex::new(Rank::Configuration, Orders::default()),
            store_clock: Mutex::new(Rank::Configuration, StoreClock::default()),
            members: Mutex::new(Rank::Fleet, members),
            admission: Mutex::new(Rank::Account, admission),
            queues: Mutex::new(Rank::Queue, Queues::new(QUEUE_BOUND)),
            servers: Mutex::new(Rank::Server, servers),
            work_ready: Notify::new(),
            commit_ended: Notify::new(),
            contact_wanted: Notify::new(),
            report_now: Notify::new(),
            draining: CancellationToken::new(),
            closing_idle: CancellationToken::new(),
            aborting: CancellationToken::new(),
            stop: CancellationToken::new(),
            sessions: TaskTracker::new(),
            activity: activity::Counters::default(),
            tasks: Tasks::default(),
            registry_read: watch::Sender::new(false),
            hosts_known: watch::Sender::new(false),
            orders_known: watch::Sender::new(!has_orders),
            exclusions: watch::Sender::new(0),
            budget,
            next_session: AtomicU64::new(0),
        }
    }

    /// Returns a unique number for a new session.
    pub fn next_session_number(&self) -> u64 {
        self.next_session.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the limits in force.
    #[must_use]
    pub fn limits(&self) -> Arc<Limits> {
        Arc::clone(&self.limits.borrow())
    }

    /// Replaces the limits.
    pub fn set_limits(&self, limits: Limits) {
        {
            let mut admission = self.admission.lock();
            let configuration = self.configuration();
            let catalog = configuration
                .as_ref()
                .map(|configuration| &configuration.catalog);
            admission.set_limits(limits.clone(), catalog, Instant::now());
        }
        self.budget.set_limits(&limits);
        self.limits.send_replace(Arc::new(limits));
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Returns how statements are scheduled.
    #[must_use]
    pub fn plan(&self) -> Plan {
        let configuration = self.configuration.borrow();
        let plan = configuration
            .as_ref()
            .map(|configuration| configuration.plan.clone());
        plan.unwrap_or_default()
    }

    /// Reports whether the host can serve new sessions.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_initialized = self.configuration.borrow().is_some()
            && *self.orders_known.borrow()
            && *self.registry_read.borrow()
            && *self.hosts_known.borrow();
        is_initialized && !self.draining.is_cancelled()
    }

    /// Returns a function that computes this host's shares of a server from its connection limit
    /// and slots.
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

    /// Adds a job to the queue of its service, and returns the ticket that removes it again; `None`
    /// for a job of an open transaction.
    ///
    /// If the queue is full, a job is shed: dropping it closes its reply channel, which notifies
    /// its submitter.
    pub fn enqueue(&self, job: Job<D>) -> Option<Ticket> {
        let plan = self.plan();
        let mut queues = self.queues.lock();
        if job.pinned.is_some() {
            queues.pinned.push_back(job);
            drop(queues);
            self.work_ready.notify_one();
            return None;
        }
        let request = &job.request;
        let service = request.service.clone();
        let (load, queue) = queues.load(&service);
        let (cost, demand) = load.demand(&plan, request, job.queued);
        let entry = Entry {
            account: request.account.clone(),
            urgency: Priority(request.priority),
            cost,
            queued_at: job.queued,
            deadline: job.deadline,
            item: job,
        };
        let (ticket, shed) = queue.push_estimated(entry, demand);
        drop(queues);
        drop(shed);
        self.work_ready.notify_one();
        Some(ticket)
    }

    /// Calls `change` with a backend server, if it is still registered.
    pub fn with_backend<T>(
        &self,
        id: &ServerId,
        change: impl FnOnce(&mut Backend<D>) -> T,
    ) -> Option<T> {
        self.servers.lock().backend(id).map(change)
    }

    /// Records the log position of a primary after it acknowledged a commit.
    pub fn acknowledge(&self, service: &Name, position: Position) {
        if let Some(group) = self.servers.lock().groups.get_mut(service) {
            group.acknowledge(position);
        }
    }

    /// Records a log position that a peer knows to be acknowledged.
    pub fn learn_acknowledged(&self, service: &Name, position: Position) {
        if let Some(group) = self.servers.lock().groups.get_mut(service) {
            group.learn_acknowledged(position, Instant::now());
        }
    }

    /// Rolls a transaction back, on this host or on a peer.
    pub fn roll_back(&self, pin: Pin<D>) {
        match pin {
            Pin::Local(pooled) => self.close_connection(pooled),
            Pin::Remote(remote) => drop(self.tasks.spawn("rollback", remote.roll_back())),
        }
    }

    /// Closes the connection of an open transaction, which rolls the transaction back.
    pub fn close_connection(&self, pooled: PooledConnection<D>) {
        self.with_backend(&pooled.server_id, Backend::connection_closed);
        drop(pooled);
        self.work_ready.notify_one();
    }

    /// Checks in a connection without an open transaction.
    pub fn return_connection(&self, pooled: PooledConnection<D>) {
        let PooledConnection {
            server_id,
            mut connection,
        } = pooled;
        connection.forget_large_state();
        self.with_backend(&server_id, |backend| backend.check_in(*connection));
        self.work_ready.notify_one();
    }

    /// Reports whether this host runs statements of a service for its peers.
    #[must_use]
    pub fn accepts_forwarded(&self, request: &Request) -> bool {
        let service = &request.service;
        let own = &self.settings.host.name;
        let is_excluded = {
            let members = self.members.lock();
            members.holders.is_excluded(service, own, Instant::now())
        };
        let knows_servers = || {
            let servers = self.servers.lock();
            let group = servers.groups.get(service);
            let target = request.target.as_ref();
            group.is_some_and(|group| target.is_none_or(|it| group.has_server_in(&it.zone)))
        };
        !is_excluded && self.is_ready() && knows_servers()
    }

    /// Reports whether a service has no usable primary now, or its primary is being replaced.
    #[must_use]
    pub fn lacks_primary(&self, service: &Name) -> bool {
        let now = Instant::now();
        let servers = self.servers.lock();
        let group = servers.groups.get(service);
        let is_held = servers.holds_commits(service, now);
        let primary = group.and_then(|group| group.primary());
        is_held || primary.is_none_or(|primary| !primary.health.is_usable(now))
    }

    /// Returns for how long this host has known no primary, if only the primary can run the
    /// statement now and that is too long for another one to wait for it. See [`breaker`].
    #[must_use]
    pub fn refuses_without_primary(&self, request: &Request) -> Option<Duration> {
        let moment = Moment::now();
        let margin = self.limits().staleness_margin();
        let waiting = self.queues.lock().service(&request.service).len();
        let servers = self.servers.lock();
        let group = servers.groups.get(&request.service)?;
        let away = group.time_without_primary(moment.now);
        if breaker::admits(away, waiting) {
            return None;
        }
        let requirements = worker::requirements(request, group, margin, moment);
        requirements.min_position.is_none().then_some(away)
    }

    /// Sends the outcome of a job to its submitter. If the submitter no longer waits for it, rolls
    /// back the open transaction.
    pub fn send_outcome(&self, job: Job<D>, done: Outcome<D>) {
        if let Err(Outcome::Answered {
            transaction: Transaction::Open(pin),
            ..
        }) = job.reply.send(done)
        {
            self.roll_back(pin);
        }
    }
}

/// Converts a number for a gauge. Versions and counts are far below 2^52, so they stay exact.
#[allow(
    clippy::cast_precision_loss,
    reason = "a gauge has no more precise type"
)]
#[must_use]
pub fn to_f64(number: u64) -> f64 {
    number as f64
}
