//! State of the engine for a dump.

use crate::{
    control::ControlPlane,
    core::Core,
    journal::{Entry, milliseconds, promotion::Promotion},
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
    /// Groups of backend servers.
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
    /// Writes that wait for a majority.
    pub unconfirmed: usize,
    /// Backend servers.
    pub servers: Vec<Server>,
}

/// State of one backend server.
#[derive(Debug, Clone, Serialize)]
pub struct Server {
    /// Name of the server.
    pub name: Name,
    /// Whether it is to leave.
    pub leaving: bool,
    /// Answers to the probes.
    pub reach: Reachability,
    /// Role of the last status.
    pub role: Option<Role>,
    /// Term of the last status.
    pub term: Option<Term>,
    /// Greatest promised term of the last status.
    pub promised: Option<Term>,
    /// Received position of the last status.
    pub received: Option<Position>,
    /// Applied position of the last status.
    pub applied: Option<Position>,
    /// Age of the last status, in milliseconds.
    pub status_age_ms: Option<u64>,
    /// Upper bound of the age of the data, in milliseconds.
    pub staleness_ms: Option<u64>,
    /// Connections that this host may hold.
    pub connection_cap: u32,
    /// Connections that count against the limit.
    pub connections: u32,
    /// Idle connections for work.
    pub idle: usize,
    /// Connections of open transactions.
    pub pinned: u32,
    /// Statements that run.
    pub running: u32,
    /// Statements that may run at the same time.
    pub slots: u32,
}

/// Waiting requests of a client account.
#[derive(Debug, Clone, Serialize)]
pub struct Lane {
    /// Service for which they wait.
    pub service: Name,
    /// Client account.
    pub account: Name,
    /// Urgency of the lane.
    pub urgency: Urgency,
    /// Number of requests.
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
    /// Server on which it is open.
    pub server: Name,
    /// Identifier of the request that began it.
    pub request: Id,
    /// Time since it began, in milliseconds.
    pub age_ms: u64,
}

impl State {
    /// Collects the state. The tables are locked one after another, so the parts can differ by
    /// a moment.
    pub(crate) fn of<C: Connector, G: ControlPlane>(core: &Core<C, G>) -> Self {
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

fn services<C: Connector, G: ControlPlane>(core: &Core<C, G>, now: Instant) -> Vec<Service> {
    let servers = core.servers.lock();
    let groups = servers.groups.iter();
    let service = groups.map(|(name, group)| Service {
        name: name.clone(),
        primary: group.primary().map(|primary| primary.server),
        unconfirmed: group.pending.len(),
        servers: group
            .backends
            .iter()
            .map(|member| {
                let status = member.status();
                let bound = status.and_then(|status| group.bound(&status, now));
                server(member, bound.map(milliseconds), now)
            })
            .collect(),
    });
    service.collect()
}

fn server<K>(member: &Backend<K>, staleness_ms: Option<u64>, now: Instant) -> Server {
    let status = member.status();
    let field = |get: fn(&Status) -> Position| status.as_ref().map(get);
    Server {
        name: member.server.name.clone(),
        leaving: member.server.leaving,
        reach: member.reach,
        role: status.map(|status| status.role),
        term: status.map(|status| status.term),
        promised: status.map(|status| status.promised),
        received: field(|status| status.received),
        applied: field(|status| status.applied),
        status_age_ms: member
            .seen
            .map(|seen| milliseconds(now.saturating_duration_since(seen.asked))),
        staleness_ms,
        connection_cap: member.cap,
        connections: member.open(),
        idle: member.idle.len(),
        pinned: member.load.pinned,
        running: member.load.running,
        slots: member.server.slots,
    }
}

fn transactions<C: Connector, G: ControlPlane>(
    core: &Core<C, G>,
    now: Instant,
) -> Vec<Transaction> {
    let pins = core.pins.lock();
    let open = pins.iter().map(|(caller, hold)| Transaction {
        caller,
        account: hold.account.clone(),
        service: hold.key.service.clone(),
        server: hold.key.server.clone(),
        request: hold.id.clone(),
        age_ms: milliseconds(now.saturating_duration_since(hold.began)),
    });
    open.collect()
}
