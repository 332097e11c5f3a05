//! Scheduling of statements by priority: estimates of their work, slots that are reserved, early
//! refusals, and the connections that an account may hold.

mod load;
mod refusal;

pub use self::load::{Hold, Holds, Load, Running, View};
pub(crate) use self::refusal::refusal;
use crate::{
    catalog::Catalog,
    core::Core,
    dialect::Dialect,
    job::Job,
    routing::{Availability, Candidate},
    settings::Scheduling,
    store::Platform,
    table::{Backend, Group},
};
use fulmargw_decision::{
    hold::{self, Connections},
    queue::{Priority, Queue},
    work::Kind,
};
use fulmargw_model::{
    execution::{self, Reply, Request, Trace},
    name::Name,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// Number of priorities from which on statements are scheduled by their work unless the settings
/// say otherwise.
const MIN_PRIORITIES: usize = 3;
/// Part of a server's connections that one account may hold by default while others wait for one.
const ACCOUNT_CONNECTIONS: f64 = 0.5;

/// How the statements of a configuration are scheduled.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Whether statements that would wait too long are refused when they arrive.
    pub early_refusal: bool,
    /// Whether slots are reserved for the priorities above the lowest.
    pub reserves: bool,
    /// Part of a server's connections that one account may hold while others wait for one.
    pub account_connections: Option<f64>,
    services: Arc<BTreeMap<Name, Ranks>>,
}

/// The priorities of the routes of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ranks {
    /// Lowest priority.
    pub lowest: u32,
    /// Shortest objective of the higher ones.
    pub objective_above: Duration,
}

impl Plan {
    /// Returns the plan for a configuration.
    #[must_use]
    pub fn of(settings: &Scheduling, catalog: &Catalog) -> Self {
        let routes = catalog.routes.values();
        let priorities: BTreeSet<u32> = routes.map(|route| route.priority).collect();
        let is_on = priorities.len() >= MIN_PRIORITIES;
        let ranks = |service: &Name| (service.clone(), Ranks::of(service, catalog));
        let services = catalog.services.keys().map(ranks).collect();
        Self {
            early_refusal: settings.early_refusal.unwrap_or(is_on),
            reserves: settings.reserve.unwrap_or(is_on),
            account_connections: settings
                .account_connections
                .or(is_on.then_some(ACCOUNT_CONNECTIONS)),
            services: Arc::new(services),
        }
    }

    /// Reports whether the work of statements is estimated.
    #[must_use]
    pub fn estimates(&self) -> bool {
        self.early_refusal || self.reserves
    }

    /// Returns the priorities of a service for which slots are reserved.
    #[must_use]
    pub fn reservation(&self, service: &Name) -> Option<Ranks> {
        let ranks = self.services.get(service).filter(|_| self.reserves);
        ranks.copied()
    }
}

impl Ranks {
    fn of(service: &Name, catalog: &Catalog) -> Self {
        let routes = || {
            let routes = catalog.routes.values();
            routes.filter(|route| route.service == *service)
        };
        let lowest = routes().map(|route| route.priority).max();
        let lowest = lowest.unwrap_or_default();
        let above = routes().filter(|route| route.priority < lowest);
        Self {
            lowest,
            objective_above: above
                .map(|route| route.objective)
                .min()
                .unwrap_or(Duration::MAX),
        }
    }
}

/// Returns the kind of a statement for the estimate of its work.
#[must_use]
pub fn kind(request: &Request) -> Kind {
    Kind {
        priority: request.priority,
        class: request.statement.kind.into(),
    }
}

/// Records the work of a statement that a server has run.
pub(crate) fn record<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    request: &Request,
    trace: &Trace,
    reply: &Reply,
    elapsed: Duration,
) {
    let has_run = match &reply.result {
        Ok(_) => true,
        Err((cause, _)) => !cause.is_not_run(),
    };
    if !has_run || !core.plan().estimates() {
        return;
    }
    // Opening a connection occupies the slot as well.
    let work = elapsed + trace.opened;
    let mut queues = core.queues.lock();
    let (load, _) = queues.load(&trace.server_id.service);
    load.profile
        .record(kind(request), &trace.server_id.server, work, Instant::now());
}

/// Counts a connection as held by the open transaction of an account, and logs when the account
/// reaches its bound.
#[must_use]
pub fn hold<D: Dialect>(plan: &Plan, backend: &mut Backend<D>, account: &Name) -> Hold {
    let hold = backend.hold(account);
    let Connections { limit, held, .. } = backend.connections(account);
    if let Some(part) = plan.account_connections
        && held == hold::bound(limit, part)
    {
        log::info!(event = "connections_bounded", server = backend.server.id.as_str(), account = account.as_str(), held, limit; "open transactions of an account hold as many connections as it may while others wait for one");
    }
    hold
}

/// Returns the part of a server's connections to which the accounts are bound now; `None` unless a
/// server has no further connection and several accounts wait.
#[must_use]
pub fn connection_bound<D: Dialect>(
    plan: &Plan,
    group: &Group<D>,
    queue: &Queue<Job<D>, Priority>,
) -> Option<f64> {
    let part = plan.account_connections?;
    let mut servers = group.backends.values();
    let is_scarce = servers.any(|backend| backend.open >= backend.share().connections);
    let has_several = || {
        let mut accounts = queue.lanes().map(|(account, _, _)| account);
        let first = accounts.next();
        accounts.any(|account| Some(account) != first)
    };
    (is_scarce && has_several()).then_some(part)
}

/// Makes the servers unavailable on which an account may not begin a transaction now.
pub fn apply_bound<D: Dialect>(
    part: f64,
    request: &Request,
    group: &Group<D>,
    candidates: &mut [Candidate],
) {
    if !matches!(
        request.statement.kind,
        execution::Kind::FirstInTransaction { .. }
    ) {
        return;
    }
    for (candidate, backend) in candidates.iter_mut().zip(group.backends.values()) {
        let connections = backend.connections(&request.account);
        let is_available = matches!(
            candidate.availability,
            Availability::Idle | Availability::Openable
        );
        if is_available && !hold::may_begin(connections, part, true) {
            metrics::counter!("fulmargw_pool_transactions_held_back_total").increment(1);
            candidate.availability = Availability::Exhausted;
        }
    }
}
