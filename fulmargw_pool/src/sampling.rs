//! Samples the log positions of primaries when reads need newer ones than statement responses gave.

use crate::{
    backend::Server,
    connection::{Connection, PrimaryCheck},
    core::Core,
    dialect::Dialect,
    failover,
    freshness::{Moment, Sample},
    member::Executor,
    store::Platform,
    table::{Backend, Effect},
    traffic,
};
use fulmargw_model::{execution::ServerId, name::Name};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{Instant, timeout};

/// Timeout of one request to a primary.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Age of the newest sample after which another one is taken.
pub(crate) const MAX_SAMPLE_AGE: Duration = Duration::from_millis(400);
/// Minimum time between two requests to another host for a sample of a service, so that one without
/// newer samples is not asked in each round.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(180);
/// Approximate bytes of a request for a sample and its response, without the name of the service.
const SAMPLE_BYTES: usize = 90;
/// Number of requests to the primary for one sample.
const SAMPLE_REQUESTS: u32 = 2;
/// Time after the last read for which samples are taken.
const SAMPLING_PERIOD: Duration = Duration::from_secs(2);

/// Takes the samples that are due: from the primary, or from the host that runs statements on it if
/// the service is placed by zone.
pub fn run<D: Dialect, P: Platform>(core: &Arc<Core<D, P>>) {
    let moment = Moment::now();
    for due in due(core, moment) {
        let executor = {
            let mut members = core.members.lock();
            let is_placed = members.is_placed(&due.service);
            is_placed.then(|| members.executor(&due.service, &due.zone, moment.now))
        };
        match executor {
            Some(Executor::Peer {
                address,
                is_other_zone,
                ..
            }) => {
                if let Some(group) = core.servers.lock().groups.get_mut(&due.service) {
                    group.sample_fetched = Some(moment.now);
                }
                if is_other_zone {
                    traffic::record("samples", due.service.as_str().len() + SAMPLE_BYTES);
                }
                core.tasks.spawn(
                    "sample",
                    fetch_sample(Arc::clone(core), due.service, address),
                );
            }
            Some(Executor::Own) | None => sample_primary(core, due, moment),
        }
    }
}

/// A service whose next sample is due.
struct Due {
    service: Name,
    primary_id: Name,
    /// Zone of the primary.
    zone: Name,
    /// Whether a read waits for the sample, because it must not run on the primary.
    is_needed: bool,
}

/// Returns the services whose next samples are due.
fn due<D: Dialect, P: Platform>(core: &Core<D, P>, moment: Moment) -> Vec<Due> {
    let elapsed = |at: Instant| moment.now.saturating_duration_since(at);
    let drain_window = core.limits().drain_window();
    let servers = core.servers.lock();
    let groups = servers.groups.iter();
    let due = groups.filter_map(|(service, group)| {
        let is_recent = |at: Instant| elapsed(at) < SAMPLING_PERIOD;
        let is_needed = group.sample_needed.is_some_and(is_recent);
        let is_read = is_needed || group.sample_requested.is_some_and(is_recent);
        let was_fetched = group
            .sample_fetched
            .is_some_and(|at| elapsed(at) < MIN_FETCH_INTERVAL);
        let age = group.freshness.newest_age(moment);
        if !is_read || was_fetched || age.is_some_and(|age| age < MAX_SAMPLE_AGE) {
            return None;
        }
        let primary = group.primary()?;
        if !group.is_awaited(primary, drain_window, moment.now) {
            return None;
        }
        let primary = &primary.server;
        Some(Due {
            service: service.clone(),
            primary_id: primary.id.clone(),
            zone: primary.zone.clone(),
            is_needed,
        })
    });
    due.collect()
}

/// Takes a sample on an idle connection to the primary, or on a new one if a read waits for it.
fn sample_primary<D: Dialect, P: Platform>(core: &Arc<Core<D, P>>, due: Due, moment: Moment) {
    let server_id = ServerId {
        service: due.service,
        server: due.primary_id,
    };
    let source = core.with_backend(&server_id, |backend| {
        if !backend.health.is_usable(moment.now) || !backend.accepts(moment.now) {
            return None;
        }
        let source = match backend.take_idle() {
            Some(connection) => Source::Idle(Box::new(connection)),
            None if due.is_needed && backend.reserve_connection(moment.now) => {
                Source::New(backend.server.clone())
            }
            None => return None,
        };
        backend.count_requests(SAMPLE_REQUESTS, moment.now);
        Some(source)
    });
    if let Some(source) = source.flatten() {
        core.tasks
            .spawn("sample", sample_from(Arc::clone(core), server_id, source));
    }
}

/// Gets the newest sample of the host that runs statements on the primary.
async fn fetch_sample<D: Dialect, P: Platform>(
    core: Arc<Core<D, P>>,
    service: Name,
    address: SocketAddr,
) {
    let requested = Moment::now();
    let client = &core.forward_client;
    let response = client.sample(address, service.clone(), REQUEST_TIMEOUT);
    let passed_on = match response.await {
        Ok(sample) => sample,
        Err(cause) => {
            metrics::counter!("fulmargw_pool_sample_failures_total").increment(1);
            log::debug!(event = "sample_failed", service = service.as_str(), cause:% = cause; "host did not pass on a log position");
            return;
        }
    };
    let sample = passed_on.and_then(|it| Sample::passed_on(it.position, it.age, requested));
    if let Some(sample) = sample
        && let Some(group) = core.servers.lock().groups.get_mut(&service)
    {
        group.freshness.add(sample);
    }
}

/// Connection over which a sample is taken.
enum Source<D: Dialect> {
    Idle(Box<Connection<D>>),
    /// A connection to this server has to be opened, and is counted already.
    New(Server),
}

async fn sample_from<D: Dialect, P: Platform>(
    core: Arc<Core<D, P>>,
    server_id: ServerId,
    source: Source<D>,
) {
    let connection = match source {
        Source::Idle(connection) => Some(*connection),
        Source::New(server) => failover::connect(&core, &server).await,
    };
    match connection {
        Some(connection) => take_sample(core, server_id, connection).await,
        None => {
            core.with_backend(&server_id, Backend::connection_closed);
        }
    }
}

/// Takes a sample: makes a server prove that it is the primary, and requests its log position.
async fn take_sample<D: Dialect, P: Platform>(
    core: Arc<Core<D, P>>,
    server_id: ServerId,
    mut connection: Connection<D>,
) {
    let moment = Moment::now();
    let result = timeout(REQUEST_TIMEOUT, connection.verify_primary()).await;
    let Ok(Ok(check)) = result else {
        core.with_backend(&server_id, |backend| {
            backend.connection_closed();
            backend.health.record_failure(Instant::now());
        });
        return;
    };
    let effect = apply_check(&core, &server_id, connection, moment, check);
    if let Some(effect) = effect {
        effect.log(&server_id.service, &server_id.server);
    }
}

/// Applies what a server has proved, and checks in the connection. Returns the effect of a promotion
/// that this is the first proof of.
fn apply_check<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    server_id: &ServerId,
    connection: Connection<D>,
    moment: Moment,
    check: PrimaryCheck,
) -> Option<Effect> {
    let mut servers = core.servers.lock();
    let group = servers.groups.get_mut(&server_id.service)?;
    let server = &server_id.server;
    let mut effect = None;
    if check.is_primary && group.primary_id.as_ref() == Some(server) {
        effect = group.confirm_primary(server, check.position, Instant::now());
    }
    if let (true, Some(position)) = (check.is_primary, check.position) {
        group.freshness.add(Sample {
            requested_at: moment.now,
            requested_since_boot: moment.since_boot,
            position,
        });
    }
    if let Some(backend) = group.backends.get_mut(server) {
        backend.check_in(connection);
    }
    effect
}
