//! Snapshot of the engine's state for the state dump.

use crate::{
    control::ControlPlane,
    core::Core,
    journal::{Entry, promotion::Promotion, whole_milliseconds},
    table::backend::Backend,
};
use fulmargw_backend::connection::Connector;
use fulmargw_decision::{promotion::Reachability, queue::Urgency};
use fulmargw_model::{
    backend_server::{Role, Status},
    name::Name,
    position::{Position, Term},
    request::Id,
};
use serde::Serialize;
use tokio::time::Instant;

/// State of an engine at one time.
#[derive(Debug, Clone, Serialize)]
pub struct State {
    /// Services with their backend servers.
    pub services: Vec<Service>,
    /// Lanes with waiting requests.
    pub lanes: Vec<Lane>,
    /// Open transactions.
    pub transactions: Vec<Transaction>,
    /// Recent requests, the oldest first.
    pub journal: Vec<Entry>,
    /// Recent promotions, the oldest first.
    pub promotions: Vec<Promotion>,
}

/// State of one service.
#[derive(Debug, Clone, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Server that accepts writes, if one is known.
    pub primary: Option<Name>,
    /// Number of log positions that wait for confirmation by a majority.
    pub unconfirmed: usize,
    /// Backend servers.
    pub servers: Vec<Server>,
}

/// State of one backend server.
#[derive(Debug, Clone, Serialize)]
pub struct Server {
    /// Name of the server.
    pub name: Name,
    /// Whether the configuration has the server drained.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// How the server responds to the probes.
    #[serde(rename = "reach")]
    pub reachability: Reachability,
    /// Role in the last status.
    pub role: Option<Role>,
    /// Term in the last status.
    pub term: Option<Term>,
    /// Greatest promised term in the last status.
    pub promised: Option<Term>,
    /// Received log position in the last status.
    pub received: Option<Position>,
    /// Applied log position in the last status.
    pub applied: Option<Position>,
    /// Age of the last status, in milliseconds.
    pub status_age_ms: Option<u64>,
    /// Upper bound of the age of the server's data, in milliseconds.
    pub staleness_ms: Option<u64>,
    /// Number of connections that this host may hold.
    pub connection_cap: u32,
    /// Number of connections that count against the cap.
    pub connections: u32,
    /// Number of idle work connections.
    pub idle: usize,
    /// Number of connections that open transactions pin.
    pub pinned: u32,
    /// Number of statements that run.
    pub running: u32,
    /// Number of statements that may run at the same time.
    pub slots: u32,
}

/// Waiting requests of one client account at one urgency.
#[derive(Debug, Clone, Serialize)]
pub struct Lane {
    /// Service for which the requests wait.
    pub service: Name,
    /// Client account.
    pub account: Name,
    /// Urgency of the requests.
    pub urgency: Urgency,
    /// Number of waiting requests.
    pub waiting: usize,
}

/// An open transaction.
#[derive(Debug, Clone, Serialize)]
pub struct Transaction {
    /// Number of the caller.
    pub caller: u64,
    /// Client account.
    pub account: Name,
    /// Service of the server.
    pub service: Name,
    /// Server on which the transaction is open.
    pub server: Name,
    /// Identifier of the request that began the transaction.
    pub request: Id,
    /// Time since the begin, in milliseconds.
    pub age_ms: u64,
}

impl State {
    /// Captures the state. The tables are locked one after another, so the parts may be from
    /// slightly different times.
    pub(crate) fn capture<C: Connector, P: ControlPlane>(core: &Core<C, P>) -> Self {
        let now = Instant::now();
        let mut lanes = Vec::new();
        for (service, queue) in core.queues.lock().iter() {
            lanes.extend(queue.queue.lanes().map(|(account, urgency, waiting)| Lane {
                service: service.clone(),
                account: account.clone(),
                urgency,
                waiting,
            }));
        }
        let services = services(core, now);
        let transactions = transactions(core, now);
        let journal = core.journal.lock();
        Self {
            services,
            lanes,
            transactions,
            journal: journal.entries().cloned().collect(),
            promotions: journal.promotions().cloned().collect(),
        }
    }
}

fn services<C: Connector, P: ControlPlane>(core: &Core<C, P>, now: Instant) -> Vec<Service> {
    let servers = core.servers.lock();
    let groups = servers.groups.iter();
    let services = groups.map(|(name, group)| Service {
        name: name.clone(),
        primary: group.primary().map(|primary| primary.server),
        unconfirmed: group.pending.len(),
        servers: group
            .backends
            .iter()
            .map(|backend| {
                let status = backend.status();
                let staleness = status.and_then(|status| group.max_staleness(&status, now));
                server(backend, staleness.map(whole_milliseconds), now)
            })
            .collect(),
    });
    services.collect()
}

fn server<K>(backend: &Backend<K>, staleness_ms: Option<u64>, now: Instant) -> Server {
    let status = backend.status();
    let position_of = |get: fn(&Status) -> Position| status.as_ref().map(get);
    Server {
        name: backend.server.name.clone(),
        draining: backend.server.leaving,
        reachability: backend.reachability,
        role: status.map(|status| status.role),
        term: status.map(|status| status.term),
        promised: status.map(|status| status.promised),
        received: position_of(|status| status.received),
        applied: position_of(|status| status.applied),
        status_age_ms: backend.observation.map(|observation| {
            whole_milliseconds(now.saturating_duration_since(observation.requested_at))
        }),
        staleness_ms,
        connection_cap: backend.connection_cap,
        connections: backend.open(),
        idle: backend.idle.len(),
        pinned: backend.load.pinned,
        running: backend.load.running,
        slots: backend.server.slots,
    }
}

fn transactions<C: Connector, P: ControlPlane>(
    core: &Core<C, P>,
    now: Instant,
) -> Vec<Transaction> {
    let pins = core.pins.lock();
    let open = pins.iter().map(|(caller, pin)| Transaction {
        caller,
        account: pin.account.clone(),
        service: pin.server_id.service.clone(),
        server: pin.server_id.server.clone(),
        request: pin.id.clone(),
        age_ms: whole_milliseconds(now.saturating_duration_since(pin.started_at)),
    });
    open.collect()
}
