//! State dump of the process for operators. It contains no API keys and no statement texts.

use crate::{
    activity::Activity,
    backend::Server,
    clock::millis,
    configuration::Source,
    core::Core,
    dialect::Dialect,
    member::{Executor, Members},
    scheduling::Load,
    store::Platform,
    table::{self, Group, barrier},
};
use fulmargw_budget::memory::Summary;
use fulmargw_decision::work;
use fulmargw_model::{name::Name, position::Position};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

/// State of the process.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// Name of the host.
    pub host: Name,
    /// Incarnation number of the process.
    pub incarnation: u64,
    /// Whether the host accepts new sessions.
    pub is_ready: bool,
    /// Whether the process is stopping.
    pub is_stopping: bool,
    /// Version of the configuration in force.
    pub version: Option<u64>,
    /// How the host got it; absent if it has none.
    pub configuration: Option<Applied>,
    /// Number of sessions and open transactions for which a graceful stop waits.
    pub sessions: usize,
    /// What a graceful stop waits for, by kind.
    pub activity: Activity,
    /// Number of running background tasks by name.
    pub tasks: BTreeMap<&'static str, usize>,
    /// Peers of this host.
    pub hosts: Vec<Host>,
    /// Services that have backend servers in the registry.
    pub services: Vec<Service>,
    /// Client accounts.
    pub accounts: BTreeMap<Name, Account>,
    /// Orders to evacuate zones; absent if none are known or the deployment has none.
    pub evacuation: Option<Evacuation>,
    /// Memory that connections hold, by purpose.
    pub memory: Vec<Memory>,
    /// Number of sessions of each client account, the largest first.
    pub account_sessions: Vec<(Name, usize)>,
}

/// How a host got the configuration in force.
#[derive(Debug, Serialize)]
pub struct Applied {
    /// Where it came from.
    pub source: Source,
    /// Time since it is in force on this host, in milliseconds.
    pub in_force_ms: u64,
}

/// Orders to evacuate zones.
#[derive(Debug, Serialize)]
pub struct Evacuation {
    /// Era and number of the store's revision at which they were read.
    pub revision: (u64, u64),
    /// Zones whose servers get nothing, and for how long this host has known it, in milliseconds.
    pub zones: BTreeMap<Name, u64>,
}

/// Memory that connections hold for one purpose.
#[derive(Debug, Serialize)]
pub struct Memory {
    /// What the memory is for.
    pub purpose: &'static str,
    /// Size of the budget, in bytes.
    pub limit: u64,
    /// Bytes that are held.
    pub reserved: u64,
    /// Most bytes that were held at the same time.
    pub peak: u64,
    /// Client accounts by the bytes that they hold, the largest first.
    pub owners: Vec<(Name, u64)>,
}

/// A peer.
#[derive(Debug, Serialize)]
pub struct Host {
    /// Name of the host.
    pub name: Name,
    /// Time since its last report, in milliseconds.
    #[serde(rename = "heard_ms")]
    pub report_age_ms: Option<u64>,
    /// Whether the host reported that it is stopping.
    pub is_stopping: bool,
    /// Version of the configuration in force there.
    pub version: Option<u64>,
}

/// A service.
#[derive(Debug, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Holder of the service: the host that runs its statements. Absent if it is this host.
    pub holder: Option<Name>,
    /// Hosts that run its statements on the servers of each zone, by zone. Absent if the service is
    /// not placed by zone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub executors: Option<BTreeMap<Name, Name>>,
    /// Number of statements that wait on this host.
    pub waiting: usize,
    /// Backend server that this host takes for the primary.
    pub primary: Option<Name>,
    /// Log position of the last acknowledged commit that this host knows of.
    pub acknowledged: Option<Position>,
    /// Commit barrier of the service; absent if none is up.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub barrier: Option<Barrier>,
    /// Backend servers of the service.
    pub servers: Vec<Backend>,
}

/// A commit barrier that is up.
#[derive(Debug, Serialize)]
pub struct Barrier {
    /// Fencing token of the promotion for which it is raised.
    pub token: u64,
    /// Time until it ends by itself, in milliseconds.
    pub remaining_ms: u64,
    /// Whether responses to commits are kept until it ends.
    pub is_sealed: bool,
}

/// A backend server.
#[derive(Debug, Serialize)]
pub struct Backend {
    /// Entry of the server in the registry.
    #[serde(flatten)]
    pub server: Server,
    /// Number of this host's statements that run on the server.
    pub running: u32,
    /// Maximum number of this host's statements there at a time.
    pub limit: u32,
    /// How long a statement takes there, in percent of what is usual.
    pub slowness_percent: u32,
    /// Number of this host's connections to the server.
    pub connections: u32,
    /// Whether new statements may be sent to the server.
    pub is_usable: bool,
    /// Whether it gets nothing because its zone is evacuated.
    pub is_evacuated: bool,
    /// Whether its requests are limited because it is cold.
    pub is_cold: bool,
    /// Kind of failure and its duration in milliseconds, while the server is failing.
    pub trouble: Option<(String, u64)>,
    /// Log position that the server reported last.
    pub applied: Option<Position>,
    /// Number of connections that open transactions hold, by account.
    pub held: BTreeMap<Name, u32>,
    /// Number of slots that are reserved for the priorities above the lowest.
    pub reserved: u32,
    /// Estimated work of the statements on the server, by kind.
    pub work: Vec<Work>,
}

/// Estimated work of a kind of statement on a server.
#[derive(Debug, Clone, Serialize)]
pub struct Work {
    /// Kind of the statement.
    #[serde(flatten)]
    pub kind: work::Kind,
    /// Mean, in milliseconds.
    pub mean_ms: u64,
    /// Mean deviation, in milliseconds.
    pub deviation_ms: u64,
    /// Number of completed statements.
    pub samples: u32,
    /// Whether there are enough recent samples to decide by the estimate.
    pub is_reliable: bool,
}

/// A client account.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Account {
    /// Rate over all hosts with the allowed overage, in operations per second.
    pub rate: f64,
    /// Tokens that are available on this host.
    pub available: f64,
    /// Tokens that are lent to peers.
    pub lent: f64,
    /// Whether this host is a home host of the account.
    pub is_home: bool,
}

/// Returns the state of the process.
#[must_use]
pub fn dump<D: Dialect, P: Platform>(core: &Core<D, P>) -> Dump {
    let now = Instant::now();
    let (names, zones) = {
        let servers = core.servers.lock();
        let names: Vec<Name> = servers.groups.keys().cloned().collect();
        (names, servers.zones())
    };
    let (hosts, holders) = {
        let mut members = core.members.lock();
        let hosts = hosts(&members, now);
        let describe = |name: &Name| Holders {
            holder: members.holder(name, now).map(|(host, _)| host),
            executors: executors(&mut members, name, zones.get(name), now),
        };
        let holders: Vec<Holders> = names.iter().map(describe).collect();
        (hosts, holders)
    };
    let accounts = core.admission.lock().dump_accounts();
    let evacuation = evacuation(core, now);
    let waiting: Vec<(usize, Works)> = {
        let mut queues = core.queues.lock();
        let waiting = names.iter().map(|name| {
            let (load, queue) = queues.load(name);
            (queue.len(), works(load, now))
        });
        waiting.collect()
    };
    let services = {
        let servers = core.servers.lock();
        let parts = names.into_iter().zip(holders).zip(waiting);
        let described = parts.filter_map(|((name, holders), (waiting, works))| {
            let group = servers.groups.get(&name)?;
            let handover = servers.handovers.get(&name);
            let barrier = handover.and_then(|it| it.barrier.state(now));
            let mut service = service(name, holders, waiting, (group, barrier), now);
            for server in &mut service.servers {
                let works = works.get(&server.server.id).cloned();
                (server.reserved, server.work) = works.unwrap_or_default();
            }
            Some(service)
        });
        described.collect()
    };
    let configuration = core.configuration();
    Dump {
        host: core.settings.host.name.clone(),
        incarnation: core.incarnation,
        is_ready: core.is_ready(),
        is_stopping: core.draining.is_cancelled(),
        version: configuration
            .as_ref()
            .map(|configuration| configuration.catalog.version),
        configuration: configuration.map(|configuration| Applied {
            source: configuration.source.clone(),
            in_force_ms: millis(configuration.in_force_since.elapsed()),
        }),
        sessions: core.sessions.len(),
        activity: Activity::of(core),
        tasks: core.tasks.counts(),
        hosts,
        services,
        accounts,
        evacuation,
        memory: core.budget.summaries().into_iter().map(memory).collect(),
        account_sessions: core.budget.sessions.by_account(),
    }
}

fn memory(summary: Summary) -> Memory {
    let Summary {
        purpose,
        limit,
        reserved,
        peak,
        owners,
    } = summary;
    Memory {
        purpose,
        limit,
        reserved,
        peak,
        owners,
    }
}

fn evacuation<D: Dialect, P: Platform>(core: &Core<D, P>, now: Instant) -> Option<Evacuation> {
    let orders = core.orders.lock();
    let revision = orders.snapshot()?.revision;
    let zones = orders.in_force(now);
    Some(Evacuation {
        revision: (revision.era, revision.number),
        zones: zones
            .map(|(zone, age)| (zone.clone(), millis(age)))
            .collect(),
    })
}

fn hosts(members: &Members, now: Instant) -> Vec<Host> {
    let described = members.peers.iter().map(|(name, peer)| {
        let report = peer.report.as_ref();
        Host {
            name: name.clone(),
            report_age_ms: report.map(|(_, at)| millis(now.saturating_duration_since(*at))),
            is_stopping: report.is_some_and(|(report, _)| report.is_stopping),
            version: report.map(|(report, _)| report.version),
        }
    });
    described.collect()
}

/// The hosts that run the statements of a service.
struct Holders {
    holder: Option<Name>,
    executors: Option<BTreeMap<Name, Name>>,
}

/// Returns the executors of a service by zone; `None` if it is not placed by zone.
fn executors(
    members: &mut Members,
    service: &Name,
    zones: Option<&BTreeSet<Name>>,
    now: Instant,
) -> Option<BTreeMap<Name, Name>> {
    if !members.is_placed(service) {
        return None;
    }
    let executors = zones?.iter().map(|zone| {
        let host = match members.executor(service, zone, now) {
            Executor::Own => members.own().clone(),
            Executor::Peer { host, .. } => host,
        };
        (zone.clone(), host)
    });
    Some(executors.collect())
}

fn service<D: Dialect>(
    name: Name,
    holders: Holders,
    waiting: usize,
    (group, barrier): (&Group<D>, Option<barrier::State>),
    now: Instant,
) -> Service {
    Service {
        name,
        holder: holders.holder,
        executors: holders.executors,
        waiting,
        primary: group.primary_id.clone(),
        acknowledged: group.acknowledged,
        barrier: barrier.map(|state| Barrier {
            token: state.token,
            remaining_ms: millis(state.remaining),
            is_sealed: state.is_sealed,
        }),
        servers: group
            .backends
            .values()
            .map(|it| {
                let is_primary = group.primary_id.as_ref() == Some(&it.server.id);
                backend(it, is_primary, now)
            })
            .collect(),
    }
}

fn backend<D: Dialect>(backend: &table::Backend<D>, is_primary: bool, now: Instant) -> Backend {
    let trouble = backend.health.trouble(now);
    Backend {
        server: backend.server.clone(),
        running: backend.running,
        limit: backend.max_running(is_primary, now),
        slowness_percent: backend.slowness_percent(now),
        connections: backend.open,
        is_usable: backend.health.is_usable(now) && backend.accepts(now),
        is_evacuated: backend.is_excluded(),
        is_cold: backend.is_cold(),
        trouble: trouble.map(|(kind, age)| (format!("{kind:?}"), millis(age))),
        applied: backend.health.applied,
        held: backend.held(),
        reserved: 0,
        work: Vec::new(),
    }
}

/// Reserved slots and estimated work by server.
type Works = BTreeMap<Name, (u32, Vec<Work>)>;

fn works(load: &Load, now: Instant) -> Works {
    let mut works = Works::new();
    for (server, kind, estimate) in load.profile.estimates() {
        let entry = works.entry(server.clone());
        let (_, kinds) = entry.or_insert_with(|| (load.reserved(server), Vec::new()));
        kinds.push(Work {
            kind,
            mean_ms: millis(estimate.mean),
            deviation_ms: millis(estimate.deviation),
            samples: estimate.samples,
            is_reliable: estimate.is_reliable(now),
        });
    }
    works
}
