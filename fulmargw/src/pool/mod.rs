//! A process that pools sessions in front of the database groups of a platform.

pub mod error;
pub mod lines;
pub mod reload;
pub mod settings;
pub mod stop;

use self::{error::Error, lines::Lines};
use crate::{recorder, serve::signal::Signals};
use fulmargw_peer::{forward as statement, report};
use fulmargw_pool::{
    core::Core, dump, failover, follow, forward, listener, probe, settings::Settings, worker,
};
use platform::{client::Client, frame};
use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};
use tokio::net::TcpListener;

/// Tasks that run statements. It is above the statements that run at the same time on all
/// servers, so that statements which wait for a dark server leave workers to others.
const WORKERS: usize = 192;
/// Longest time for one report to another host.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The state of a process on the users' platform.
type Pool = Core<frame::Lines, Client>;

/// Serves callers until a signal arrives, and then stops.
///
/// # Errors
///
/// The step of the start that failed.
pub async fn run(settings: Settings, file: &Path) -> Result<(), Error> {
    let lines = Lines::install(&settings.host).map_err(Error::Log)?;
    let metrics = recorder::install().map_err(Error::Metrics)?;
    let mut signals = Signals::install().map_err(Error::Signals)?;
    let host = settings.host.clone();
    let client = Client::new(
        settings.platform.store_address,
        settings.platform.order_address,
    )
    .map_err(Error::Client)?;
    let reports = report::Client::new(REPORT_TIMEOUT).map_err(Error::Client)?;
    let peers = bind("other hosts", host.peer_address).await?;
    let statements = bind("statements of other hosts", host.statement_address).await?;
    let ready = bind("the balancer", host.ready_address).await?;
    let scrapes = bind("metrics", host.metrics_address).await?;
    let callers = bind("callers", host.front_address).await?;
    let core = Arc::new(Pool::new(settings, client, reports));
    log::info!(event = "start", incarnation = core.incarnation, file:% = file.display(), version = env!("CARGO_PKG_VERSION"); "process starts");
    let tasks = &core.tasks;
    tasks.spawn(lines.clone().keep());
    for _ in 0..WORKERS {
        tasks.spawn(worker::run(Arc::clone(&core)));
    }
    tasks.spawn(follow::catalog(Arc::clone(&core)));
    tasks.spawn(follow::registry::run(Arc::clone(&core)));
    tasks.spawn(follow::membership::run(Arc::clone(&core)));
    tasks.spawn(follow::report::run(Arc::clone(&core)));
    tasks.spawn(failover::run(Arc::clone(&core)));
    tasks.spawn(reload::run(Arc::clone(&core), file.to_owned()));
    let handler = follow::report::Handler(Arc::clone(&core));
    tasks.spawn(report::serve(peers, handler, core.stop.clone()));
    let handler = forward::Handler(Arc::clone(&core));
    tasks.spawn(statement::serve(statements, handler, core.stop.clone()));
    let readiness = Arc::clone(&core);
    let stop = core.stop.clone();
    tasks.spawn(probe::serve_readiness(
        ready,
        move || readiness.is_ready(),
        stop,
    ));
    let stop = core.stop.clone();
    let described = Arc::clone(&core);
    let state = move || render(&described);
    tasks.spawn(probe::serve_metrics(
        scrapes,
        move || metrics.render(),
        state,
        stop,
    ));
    tasks.spawn(listener::run(Arc::clone(&core), callers));
    signals.next().await;
    stop::stop(&core).await;
    log::info!(event = "stop", incarnation = core.incarnation; "process stops");
    lines.flush();
    Ok(())
}

/// Renders the state dump.
fn render(core: &Pool) -> String {
    serde_json::to_string_pretty(&dump::dump(core)).unwrap_or_else(|cause| {
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
