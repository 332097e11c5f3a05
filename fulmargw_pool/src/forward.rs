//! Runs orders on the holders of their services, and those of other hosts here.

mod executor;

pub use self::executor::Handler;
use crate::{
    clock::millis,
    core::Core,
    dialect::Dialect,
    dispatch::{self, remaining},
    job::{self, Pin},
    store::Platform,
};
use fulmargw_model::{
    execution::{Kind, Request},
    name::Name,
};
use fulmargw_peer::forward::{Error, Outcome, RemoteTransaction};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, timeout};

/// Time for which a host that takes no work of a service is not asked for it.
const SHUN_TIME: Duration = Duration::from_millis(300);
/// Longest time for which a statement waits until the other hosts are known.
const JOIN_TIME: Duration = Duration::from_millis(200);
/// Time between two pings to a host whose connection failed.
const SEARCH_INTERVAL: Duration = Duration::from_millis(300);

/// Runs an order where its transaction is open, or on the holder of its service.
pub(crate) async fn run<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    order: Request,
    pin: Option<Pin<D>>,
) -> job::Outcome<D> {
    match pin {
        Some(Pin::Local(held)) => dispatch::run(core, order, Some(held)).await,
        Some(Pin::Remote(remote)) => resume(core, order, *remote).await,
        None => begin(core, order).await,
    }
}

async fn begin<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    mut order: Request,
) -> job::Outcome<D> {
    let deadline = Instant::now() + order.remaining;
    if !knows_hosts(core).await {
        log::info!(event = "hosts_unknown", request:% = order.statement.request(), service = order.service.as_str(); "running a statement without other hosts");
    }
    loop {
        let holder = core.members.lock().holder(&order.service, Instant::now());
        order.remaining = remaining(deadline);
        let Some((host, address)) = holder else {
            return dispatch::run(core, order, None).await;
        };
        match core.forward_client.run(&host, address, order.clone()).await {
            Ok((Outcome::NotServing, _)) => {
                log::info!(event = "holder_declined", request:% = order.statement.request(), host = host.as_str(), service = order.service.as_str(); "host takes no work of the service");
                let until = Instant::now() + SHUN_TIME;
                core.members
                    .lock()
                    .holders
                    .exclude(&order.service, &host, until);
            }
            Ok((outcome, remote)) => return done(outcome, remote),
            Err(error) => {
                lost(core, &host, address, &error);
                let repeatable = order.statement.kind == Kind::Read;
                if matches!(error, Error::Lost { .. }) && !repeatable {
                    return job::Outcome::Lost {
                        server: None,
                        timed_out: false,
                    };
                }
            }
        }
    }
}

/// Waits until the other hosts are known: one that starts learns of them within a few calls to
/// the platform.
async fn knows_hosts<D: Dialect, P: Platform>(core: &Core<D, P>) -> bool {
    let mut joined = core.hosts_known.subscribe();
    let known = timeout(JOIN_TIME, joined.wait_for(|joined| *joined)).await;
    known.is_ok()
}

async fn resume<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    order: Request,
    remote: RemoteTransaction,
) -> job::Outcome<D> {
    let host = remote.host.clone();
    match remote.run(order).await {
        Ok((outcome, remote)) => done(outcome, remote),
        Err(error) => {
            let (Error::Unreachable { peer, .. } | Error::Lost { peer, .. }) = error;
            lost(core, &host, peer, &error);
            job::Outcome::Lost {
                server: None,
                timed_out: false,
            }
        }
    }
}

fn done<D: Dialect>(outcome: Outcome, remote: Option<RemoteTransaction>) -> job::Outcome<D> {
    match outcome {
        Outcome::Answered { reply, place, .. } => job::Outcome::Answered {
            reply,
            place,
            pin: remote.map(|remote| Pin::Remote(Box::new(remote))),
        },
        Outcome::NotRun(not_run) => job::Outcome::NotRun(not_run),
        Outcome::Lost { server, timed_out } => job::Outcome::Lost { server, timed_out },
        Outcome::NotServing => dispatch::not_run(fulmargw_model::execution::Code::Busy),
    }
}

/// Passes a host over until it answers again.
fn lost<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    host: &Name,
    address: SocketAddr,
    error: &Error,
) {
    if !core.members.lock().holders.mark_silent(host) {
        return;
    }
    metrics::counter!("fulmargw_pool_holders_lost_total").increment(1);
    log::info!(event = "holder_lost", host = host.as_str(), cause:% = error; "host does not run statements now");
    let host = host.clone();
    let core = Arc::clone(core);
    let tasks = core.tasks.clone();
    tasks.spawn(async move {
        let since = Instant::now();
        loop {
            tokio::select! {
                () = sleep(SEARCH_INTERVAL) => {}
                () = core.stop.cancelled() => return,
            }
            let is_listed = core.members.lock().peers.contains_key(&host);
            if !is_listed || core.forward_client.ping(address).await.is_ok() {
                break;
            }
        }
        core.members.lock().holders.mark_answering(&host);
        let lost_ms = millis(since.elapsed());
        log::info!(event = "holder_found", host = host.as_str(), lost_ms; "host answers again");
    });
}
