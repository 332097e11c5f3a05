//! Serves the RPC methods for forwarded statements to peers.

use super::{BarrierReport, Executor, Forward, Handler, Outcome, Sample, TransactionId, size};
use crate::{
    codec::{self, Codec},
    server,
};
use fulmargw_budget::frame::{Listener, Stream};
use fulmargw_model::{
    execution::{Code, Kind, NotRun, Request},
    name::Name,
    position::Position,
};
use futures::StreamExt as _;
use std::{io, pin::pin, sync::Arc, time::Duration};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel, Config},
};
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    time::timeout,
};
use tokio_util::{codec::Framed, sync::CancellationToken};

/// Time without a message after which the transactions of a connection are rolled back. A peer
/// with open transactions sends pings, so it has crashed or is unreachable then.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Memory for the large statements that peers forward to this host, in bytes.
const LARGE_BYTES: usize = 12 * 1024 * 1024;
/// Memory for the small ones, so that a few large statements of one account do not keep out those of
/// the others.
const SMALL_BYTES: usize = 4 * 1024 * 1024;
/// Longest statement that counts as a small one, in units of [`UNIT_BYTES`].
const SMALL_UNITS: u32 = 16;
/// Unit of reservations of this memory, in bytes.
const UNIT_BYTES: usize = 1024;
/// Longest period of a commit barrier that a peer may ask for. A barrier holds all writes of its
/// service, so it must not outlast the host that raised it by much.
const MAX_BARRIER_PERIOD: Duration = Duration::from_secs(10);
/// Requests of one connection that may run, or wait until their responses are read.
const MAX_TASKS: usize = 1_024;

/// Serves connections until `stop` is cancelled, then closes all of them.
///
/// # Errors
///
/// If the listener fails.
pub async fn serve<H: Handler>(
    listener: Listener,
    handler: H,
    stop: CancellationToken,
) -> io::Result<()> {
    let running = Running::new();
    server::accept(listener, stop, |stream| {
        serve_connection(stream, Adapter::new(handler.executor(), &running))
    })
    .await;
    Ok(())
}

/// Implements the RPC methods with an executor.
#[derive(Debug)]
struct Adapter<E> {
    executor: Arc<E>,
    running: Running,
}

/// Memory for the statements of all peers. Clones share it.
#[derive(Debug, Clone)]
struct Running {
    small: Arc<Semaphore>,
    large: Arc<Semaphore>,
}

impl Running {
    fn new() -> Self {
        Self {
            small: Arc::new(Semaphore::new(SMALL_BYTES / UNIT_BYTES)),
            large: Arc::new(Semaphore::new(LARGE_BYTES / UNIT_BYTES)),
        }
    }

    /// Reserves memory for a statement, if there is enough.
    fn reserve(&self, units: u32) -> Option<SemaphorePermit<'_>> {
        let memory = if units <= SMALL_UNITS {
            &self.small
        } else {
            &self.large
        };
        memory.try_acquire_many(units).ok()
    }
}

impl<E> Adapter<E> {
    fn new(executor: E, running: &Running) -> Self {
        Self {
            executor: Arc::new(executor),
            running: running.clone(),
        }
    }
}

impl<E> Clone for Adapter<E> {
    fn clone(&self) -> Self {
        Self {
            executor: Arc::clone(&self.executor),
            running: self.running.clone(),
        }
    }
}

impl<E: Executor> Forward for Adapter<E> {
    /// Refuses a statement for which there is no memory, except in an open transaction: the number
    /// of these is bounded by the connections to the backend servers.
    async fn run(
        self,
        _: Context,
        request: Request,
        transaction: Option<TransactionId>,
    ) -> Outcome {
        let reserved = self.running.reserve(size::units(&request, UNIT_BYTES));
        if reserved.is_none() && transaction.is_none() {
            metrics::counter!("fulmargw_forwarded_refused_total").increment(1);
            return Outcome::NotRun(NotRun {
                server: None,
                code: Code::Busy,
                retry_after: None,
            });
        }
        let is_read = request.statement.kind == Kind::Read;
        let outcome = self.executor.run(request, transaction).await;
        size::limit_response(outcome, is_read)
    }

    async fn release(self, _: Context, transaction: TransactionId) {
        self.executor.roll_back(transaction);
    }

    async fn reaches(self, _: Context, service: Name, server: Name) -> bool {
        self.executor.reaches(service, server).await
    }

    async fn acknowledged(self, _: Context, service: Name) -> Option<Position> {
        self.executor.acknowledged_position(service)
    }

    async fn ping(self, _: Context) {}

    async fn sample(self, _: Context, service: Name) -> Option<Sample> {
        self.executor.sample(service)
    }

    async fn raise_barrier(
        self,
        _: Context,
        service: Name,
        token: u64,
        period: Duration,
    ) -> Option<BarrierReport> {
        let period = period.min(MAX_BARRIER_PERIOD);
        self.executor.raise_barrier(service, token, period).await
    }

    async fn lift_barrier(self, _: Context, service: Name, token: u64) {
        self.executor.lift_barrier(service, token);
    }
}

/// Closes the executor when it is dropped, so also if the task of the connection is cancelled.
struct CloseGuard<E: Executor>(Arc<E>);

impl<E: Executor> Drop for CloseGuard<E> {
    fn drop(&mut self) {
        self.0.close();
    }
}

async fn serve_connection<E: Executor>(stream: Stream, adapter: Adapter<E>) {
    let executor = CloseGuard(Arc::clone(&adapter.executor));
    let tasks = Arc::new(Semaphore::new(MAX_TASKS));
    let framed = Framed::new(stream, codec::framing());
    let transport = tarpc::serde_transport::new(framed, Codec);
    let channel = BaseChannel::new(Config::default(), transport);
    let mut requests = pin!(channel.execute(adapter.serve()));
    loop {
        match timeout(SILENCE_TIMEOUT, requests.next()).await {
            // A statement may take long, so each request runs in its own task.
            Ok(Some(request)) => {
                // A peer that does not read its responses is not read either.
                let task = Arc::clone(&tasks).acquire_owned();
                let Ok(Ok(task)) = timeout(SILENCE_TIMEOUT, task).await else {
                    log::info!(event = "visitor_unread"; "closing the connection of a host that does not read its responses");
                    return;
                };
                tokio::spawn(async move {
                    request.await;
                    drop(task);
                });
            }
            Ok(None) => return,
            Err(_) if executor.0.has_open_transactions() => {
                log::info!(event = "visitor_silent"; "rolling back the transactions of an unresponsive host");
                return;
            }
            Err(_) => {}
        }
    }
}
