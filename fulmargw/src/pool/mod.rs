//! The process of `fulmargw pool`, which proxies callers to the database groups of a platform.

pub mod environment;
pub mod error;
mod hang;
pub mod lines;
pub mod process;
pub mod progress;
pub mod reload;
pub mod settings;
pub mod stop;
mod threads;
mod watchdog;

use self::{error::Error, process::Process};
use crate::{
    recorder,
    serve::signal::Signals,
    version::{self, BUILD, Build},
};
use fulmargw_budget::http::Listener;
use fulmargw_peer::{codec as peer, forward as statement, report};
use fulmargw_pool::{
    contact, core::Core, dump, failover, follow, forward, listener, probe, settings::Settings,
    supervisor, worker,
};
use platform::{client::Client, codec};
use serde::Serialize;
use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};
use tokio::net::TcpListener;

/// Number of tasks that run statements. It is greater than the number of statements that run at the
/// same time on all backend servers, so that statements which wait for an unresponsive server do
/// not use up all workers.
const WORKER_COUNT: usize = 192;
/// Timeout of one report to a peer.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The state of a pool process.
type Pool = Core<codec::LineProtocol, Client>;

/// Proxies callers until a signal arrives, and then stops gracefully.
///
/// # Errors
///
/// Returns an error if a step of the start fails.
pub async fn run(settings: Settings, file: &Path, process: &Process) -> Result<(), Error> {
    let Process { sink, progress } = process;
    let metrics = recorder::install().map_err(Error::Metrics)?;
    version::record();
    let mut signals = Signals::install().map_err(Error::Signals)?;
    process.watch()?;
    let host = settings.host.clone();
    let client = Client::new(
        settings.platform.store_address,
        settings.platform.promotion_address,
    )
    .map_err(Error::Client)?;
    let peer_reports = report::Client::new(REPORT_TIMEOUT).map_err(Error::Client)?;
    let report_listener = bind("reports of other hosts", host.peer_address).await?;
    let statement_listener = bind("statements of other hosts", host.statement_address).await?;
    let readiness_listener = bind("the balancer", host.ready_address).await?;
    let metrics_listener = bind("metrics", host.metrics_address).await?;
    let caller_listener = bind("callers", host.front_address).await?;
    let core = Arc::new(Pool::new(settings, client, peer_reports));
    log_start(&core, file);
    let tasks = &core.tasks;
    tasks.spawn("log", sink.clone().flush_periodically());
    for _ in 0..WORKER_COUNT {
        supervise(&core, "worker", worker::run);
    }
    supervise(&core, "configuration", follow::catalog);
    supervise(&core, "registry", follow::registry::run);
    supervise(&core, "evacuations", follow::evacuation::run);
    supervise(&core, "membership", follow::membership::run);
    supervise(&core, "restorations", follow::restoration::run);
    supervise(&core, "reports", follow::report::run);
    supervise(&core, "contact", contact::run);
    supervise(&core, "failover", failover::run);
    let reloading = reload::run(Arc::clone(&core), Arc::clone(progress), file.to_owned());
    tasks.spawn("settings", reloading);
    let handler = follow::report::Handler(Arc::clone(&core));
    let budget = &core.budget;
    let listener = Listener::new(report_listener, budget.report_connections.clone());
    let bodies = budget.report_bodies.clone();
    let stop = core.stop.clone();
    tasks.spawn(
        "report server",
        report::serve(listener, bodies, handler, stop),
    );
    let handler = forward::Handler(Arc::clone(&core));
    let slots = budget.peer_connections.clone();
    let listener = peer::bounded(statement_listener, slots, budget.peer_frames.clone());
    tasks.spawn(
        "statement server",
        statement::serve(listener, handler, core.stop.clone()),
    );
    let probed = Arc::clone(&core);
    let stop = core.stop.clone();
    let listener = Listener::new(readiness_listener, budget.readiness_connections.clone());
    tasks.spawn(
        "readiness",
        probe::serve_readiness(listener, move || probed.is_ready(), stop),
    );
    let stop = core.stop.clone();
    let dumped = Arc::clone(&core);
    let state = move || render_state(&dumped);
    let listener = Listener::new(metrics_listener, budget.metrics_connections.clone());
    tasks.spawn(
        "metrics",
        probe::serve_metrics(listener, move || metrics.render(), state, stop),
    );
    tasks.spawn(
        "listener",
        listener::run(Arc::clone(&core), caller_listener),
    );
    signals.next().await;
    stop::stop(&core, progress).await;
    log::info!(event = "stop", incarnation = core.incarnation; "process stopped");
    Ok(())
}

/// Logs what runs, and what of its settings comes from the environment.
fn log_start(core: &Pool, file: &Path) {
    let settings = &core.settings;
    log::info!(
        event = "start", incarnation = core.incarnation, file:% = file.display(),
        version = BUILD.version, commit = BUILD.commit,
        millicores = settings.limits.millicores(), zones = settings.zones.len(),
        configuration_apply_ms = settings.limits.configuration_apply_ms,
        heartbeat_interval_ms = settings.limits.heartbeat_interval_ms,
        evacuation_apply_ms = settings.evacuation.map(|bounds| bounds.apply_ms);
        "process starting"
    );
}

/// State dump of the process.
#[derive(Debug, Serialize)]
struct State {
    /// What the program was built from.
    build: Build,
    #[serde(flatten)]
    dump: dump::Dump,
}

/// Spawns a task that runs as long as the process, also after it has failed.
fn supervise<F>(core: &Arc<Pool>, task: &'static str, run: fn(Arc<Pool>) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let shared = Arc::clone(core);
    let start = move || run(Arc::clone(&shared));
    core.tasks.spawn(task, supervisor::run(task, start));
}

/// Renders the state dump as JSON; empty if it cannot be encoded.
fn render_state(core: &Pool) -> String {
    let state = State {
        build: BUILD,
        dump: dump::dump(core),
    };
    serde_json::to_string_pretty(&state).unwrap_or_else(|cause| {
        log::error!(event = "dump_failed", cause:% = cause; "cannot encode the state dump");
        String::new()
    })
}

async fn bind(listener: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| Error::Bind {
            listener,
            address,
            cause,
        })
}
