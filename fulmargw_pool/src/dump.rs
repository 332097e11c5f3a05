//! What a process knows and believes, for a dump on request. It has no keys and no statements.

use crate::{
    backend::Server,
    clock::millis,
    core::Core,
    dialect::Dialect,
    member::Members,
    store::Platform,
    table::{self, Group},
};
use fulmargw_model::{name::Name, position::Position};
use serde::Serialize;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// State of a process.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// Name of the host.
    pub host: Name,
    /// Identifier of this life of the process.
    pub incarnation: u64,
    /// Whether new sessions are served.
    pub is_ready: bool,
    /// Whether the process is stopping.
    pub is_stopping: bool,
    /// Version of the configuration in force.
    pub version: Option<u64>,
    /// Sessions and their transactions that a graceful stop waits for.
    pub sessions: usize,
    /// Other hosts.
    pub hosts: Vec<Host>,
    /// Services.
    pub services: Vec<Service>,
    /// Client accounts.
    pub accounts: BTreeMap<Name, Account>,
}

/// Another host.
#[derive(Debug, Serialize)]
pub struct Host {
    /// Its name.
    pub name: Name,
    /// Time since its last report, in milliseconds.
    pub heard_ms: Option<u64>,
    /// Whether it said that it stops.
    pub is_stopping: bool,
    /// Version of its configuration.
    pub version: Option<u64>,
}

/// A service.
#[derive(Debug, Serialize)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Host that runs its statements; this one if it is absent.
    pub holder: Option<Name>,
    /// Statements that wait here.
    pub waiting: usize,
    /// Server that is believed to lead.
    pub primary: Option<Name>,
    /// Position of the primary's log when it last acknowledged a commit.
    pub acknowledged: Option<Position>,
    /// Backend servers.
    pub servers: Vec<Backend>,
}

/// A backend server.
#[derive(Debug, Serialize)]
pub struct Backend {
    /// What the registry says.
    #[serde(flatten)]
    pub server: Server,
    /// Statements of this host that run there.
    pub running: u32,
    /// Open connections of this host.
    pub connections: u32,
    /// Whether new work may go there.
    pub is_usable: bool,
    /// Why it does not work, and for how many milliseconds.
    pub trouble: Option<(String, u64)>,
    /// Position that it told last.
    pub applied: Option<Position>,
}

/// A client account.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Account {
    /// Rate over all hosts with the tolerated excess, in operations per second.
    pub rate: f64,
    /// Tokens that are available here.
    pub available: f64,
    /// Tokens that are lent to other hosts.
    pub lent: f64,
    /// Whether this host is one of those that divide the rate.
    pub is_home: bool,
}

/// Describes the state of a process.
#[must_use]
pub fn dump<D: Dialect, P: Platform>(core: &Core<D, P>) -> Dump {
    let now = Instant::now();
    let names: Vec<Name> = core.servers.lock().groups.keys().cloned().collect();
    let (hosts, holders) = {
        let mut members = core.members.lock();
        let hosts = hosts(&members, now);
        let holder = |name: &Name| members.holder(name, now).map(|(host, _)| host);
        let holders: Vec<Option<Name>> = names.iter().map(holder).collect();
        (hosts, holders)
    };
    let accounts = core.admission.lock().dump_accounts();
    let waiting: Vec<usize> = {
        let mut queues = core.queues.lock();
        let waiting = names.iter().map(|name| queues.service(name).len());
        waiting.collect()
    };
    let services = {
        let servers = core.servers.lock();
        let parts = names.into_iter().zip(holders).zip(waiting);
        let described = parts.filter_map(|((name, holder), waiting)| {
            let group = servers.groups.get(&name)?;
            Some(service(name, holder, waiting, group, now))
        });
        described.collect()
    };
    Dump {
        host: core.settings.host.name.clone(),
        incarnation: core.incarnation,
        is_ready: core.is_ready(),
        is_stopping: core.draining.is_cancelled(),
        version: core
            .configuration()
            .map(|configuration| configuration.catalog.version),
        sessions: core.sessions.len(),
        hosts,
        services,
        accounts,
    }
}

fn hosts(members: &Members, now: Instant) -> Vec<Host> {
    let described = members.peers.iter().map(|(name, peer)| {
        let report = peer.report.as_ref();
        Host {
            name: name.clone(),
            heard_ms: report.map(|(_, at)| millis(now.saturating_duration_since(*at))),
            is_stopping: report.is_some_and(|(report, _)| report.is_stopping),
            version: report.map(|(report, _)| report.version),
        }
    });
    described.collect()
}

fn service<D: Dialect>(
    name: Name,
    holder: Option<Name>,
    waiting: usize,
    group: &Group<D>,
    now: Instant,
) -> Service {
    Service {
        name,
        holder,
        waiting,
        primary: group.primary_id.clone(),
        acknowledged: group.acknowledged,
        servers: group.backends.values().map(|it| backend(it, now)).collect(),
    }
}

fn backend<D: Dialect>(backend: &table::Backend<D>, now: Instant) -> Backend {
    let trouble = backend.health.trouble(now);
    Backend {
        server: backend.server.clone(),
        running: backend.running,
        connections: backend.open,
        is_usable: backend.health.is_usable(now),
        trouble: trouble.map(|(kind, age)| (format!("{kind:?}"), millis(age))),
        applied: backend.health.applied,
    }
}
