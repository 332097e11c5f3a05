//! Forwards statements to the holders of their services, and runs statements that peers forward.

mod claim;
mod executor;
mod zone;

pub use self::executor::Handler;
use crate::{
    clock::millis,
    core::Core,
    dialect::Dialect,
    dispatch::{self, remaining},
    job::{self, Pin},
    store::Platform,
    traffic,
};
use fulmargw_model::{
    execution::{Kind, Request},
    name::Name,
};
use fulmargw_peer::forward::{self, Error, Outcome, RemoteTransaction};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, timeout};

/// Time for which a host that declined a statement of a service is excluded as its holder.
const DECLINED_EXCLUSION: Duration = Duration::from_millis(300);
/// Longest time for which a statement waits until the peers are known.
const HOSTS_KNOWN_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between pings to a host whose connection failed.
const PING_INTERVAL: Duration = Duration::from_millis(300);

/// Runs a statement on the host where its transaction is open, or else on the holder of its
/// service.
pub(crate) async fn run<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    request: Request,
    pin: Option<Pin<D>>,
) -> job::Outcome<D> {
    match pin {
        Some(Pin::Local(pooled)) => dispatch::run(core, request, Some(pooled)).await,
        Some(Pin::Remote(remote)) => run_on_peer(core, request, *remote).await,
        None => run_on_holder(core, request).await,
    }
}

/// Runs a statement on the holder of its service, and on the next one if a holder declines or does
/// not respond. A statement that may have run is sent again only if it is a read.
async fn run_on_holder<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    request: Request,
) -> job::Outcome<D> {
    let deadline = Instant::now() + request.remaining;
    if !wait_for_hosts(core).await {
        log::info!(event = "hosts_unknown", request:% = request.statement.request(), service = request.service.as_str(); "peers are not known yet; running the statement on this host");
    }
    let mut request = match zone::run(core, request, deadline).await {
        Ok(outcome) => return outcome,
        Err(request) => request,
    };
    loop {
        let holder = core.members.lock().holder(&request.service, Instant::now());
        request.remaining = remaining(deadline);
        let Some((host, address)) = holder else {
            return dispatch::run(core, request, None).await;
        };
        match core
            .forward_client
            .run(&host, address, request.clone())
            .await
        {
            Ok((Outcome::NotServing, _)) => {
                log::info!(event = "holder_declined", request:% = request.statement.request(), host = host.as_str(), service = request.service.as_str(); "host does not accept statements of the service; excluding it as holder for a time");
                let until = Instant::now() + DECLINED_EXCLUSION;
                core.members
                    .lock()
                    .holders
                    .exclude(&request.service, &host, until);
            }
            Ok((outcome, remote)) => return from_peer(outcome, remote),
            Err(error) => {
                exclude_until_response(core, &host, address, &error);
                let can_retry = request.statement.kind == Kind::Read;
                if matches!(error, Error::Lost { .. }) && !can_retry {
                    return job::Outcome::Lost {
                        server: None,
                        timed_out: false,
                    };
                }
            }
        }
    }
}

/// Waits until the peers are known and reports whether they are. A starting host learns of them
/// with a few calls to the platform.
async fn wait_for_hosts<D: Dialect, P: Platform>(core: &Core<D, P>) -> bool {
    let mut hosts_known = core.hosts_known.subscribe();
    let known = timeout(
        HOSTS_KNOWN_TIMEOUT,
        hosts_known.wait_for(|is_known| *is_known),
    )
    .await;
    known.is_ok()
}

/// Runs a statement of a transaction that is open on a peer.
async fn run_on_peer<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    request: Request,
    remote: RemoteTransaction,
) -> job::Outcome<D> {
    let host = remote.host.clone();
    let is_other_zone = core.members.lock().is_in_other_zone(&host);
    let statement = is_other_zone.then(|| request.statement.clone());
    let response = remote.run(request).await;
    if let Some(statement) = statement {
        traffic::count(&statement, response.as_ref().ok().map(|it| &it.0));
    }
    match response {
        Ok((outcome, remote)) => from_peer(outcome, remote),
        Err(error) => {
            let (Error::Unreachable { peer, .. } | Error::Lost { peer, .. }) = error;
            exclude_until_response(core, &host, peer, &error);
            job::Outcome::Lost {
                server: None,
                timed_out: false,
            }
        }
    }
}

/// Converts the outcome that a peer reported.
fn from_peer<D: Dialect>(outcome: Outcome, remote: Option<RemoteTransaction>) -> job::Outcome<D> {
    match outcome {
        Outcome::Answered {
            reply,
            trace,
            transaction,
        } => job::Outcome::Answered {
            reply,
            trace,
            transaction: match (transaction, remote) {
                (_, Some(remote)) => job::Transaction::Open(Pin::Remote(Box::new(remote))),
                (forward::Transaction::RolledBack(cause), None) => {
                    job::Transaction::RolledBack(cause)
                }
                (forward::Transaction::Open(_) | forward::Transaction::Ended, None) => {
                    job::Transaction::Ended
                }
            },
        },
        Outcome::NotRun(not_run) => job::Outcome::NotRun(not_run),
        Outcome::Lost { server, timed_out } => job::Outcome::Lost { server, timed_out },
        Outcome::NotServing | Outcome::PassedOn(_) => {
            dispatch::not_run(fulmargw_model::execution::Code::Busy)
        }
    }
}

/// Excludes an unresponsive host as holder until it responds to a ping.
fn exclude_until_response<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    host: &Name,
    address: SocketAddr,
    error: &Error,
) {
    if !core.members.lock().holders.mark_unresponsive(host) {
        return;
    }
    metrics::counter!("fulmargw_pool_holders_lost_total").increment(1);
    log::info!(event = "holder_lost", host = host.as_str(), cause:% = error; "host does not respond; excluding it as holder until it does");
    let host = host.clone();
    let core = Arc::clone(core);
    let tasks = core.tasks.clone();
    tasks.spawn("holder ping", async move {
        let since = Instant::now();
        loop {
            tokio::select! {
                () = sleep(PING_INTERVAL) => {}
                () = core.stop.cancelled() => return,
            }
            let is_listed = core.members.lock().peers.contains_key(&host);
            if !is_listed || core.forward_client.ping(address).await.is_ok() {
                break;
            }
        }
        core.members.lock().holders.record_response(&host);
        let lost_ms = millis(since.elapsed());
        log::info!(event = "holder_found", host = host.as_str(), lost_ms; "host responds again");
    });
}
