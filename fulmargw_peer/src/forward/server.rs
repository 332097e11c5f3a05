//! Runs the orders of other hosts.

use super::{Executor, Forward, Handler, Outcome, TransactionId};
use crate::{
    codec::{self, Codec},
    server,
};
use fulmargw_model::{execution::Request, name::Name, position::Position};
use futures::StreamExt as _;
use std::{io, pin::pin, sync::Arc, time::Duration};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel, Config},
};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::{codec::Framed, sync::CancellationToken};

/// Time without a message after which a host with open transactions counts as gone; it pings
/// while it has some.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Serves connections until `stop` is cancelled, then closes all of them.
///
/// # Errors
///
/// If the listener fails.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: H,
    stop: CancellationToken,
) -> io::Result<()> {
    server::accept(listener, stop, |stream| {
        answer(stream, Adapter(Arc::new(handler.executor())))
    })
    .await;
    Ok(())
}

/// Offers a visitor as the remote procedures.
#[derive(Debug)]
struct Adapter<V>(Arc<V>);

impl<V> Clone for Adapter<V> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<V: Executor> Forward for Adapter<V> {
    async fn run(self, _: Context, order: Request, transaction: Option<TransactionId>) -> Outcome {
        self.0.run(order, transaction).await
    }

    async fn release(self, _: Context, transaction: TransactionId) {
        self.0.roll_back(transaction);
    }

    async fn reaches(self, _: Context, service: Name, server: Name) -> bool {
        self.0.reaches(service, server).await
    }

    async fn acknowledged(self, _: Context, service: Name) -> Option<Position> {
        self.0.acknowledged_position(service)
    }

    async fn ping(self, _: Context) {}
}

/// Closes a visitor with its connection, however that ends.
struct Closing<V: Executor>(Arc<V>);

impl<V: Executor> Drop for Closing<V> {
    fn drop(&mut self) {
        self.0.close();
    }
}

async fn answer<V: Executor>(stream: TcpStream, adapter: Adapter<V>) {
    if let Err(cause) = stream.set_nodelay(true) {
        log::warn!(event = "socket_option", cause:% = cause; "cannot set socket options");
        return;
    }
    let visitor = Closing(Arc::clone(&adapter.0));
    let framed = Framed::new(stream, codec::framing());
    let transport = tarpc::serde_transport::new(framed, Codec);
    let channel = BaseChannel::new(Config::default(), transport);
    let mut requests = pin!(channel.execute(adapter.serve()));
    loop {
        match timeout(SILENCE, requests.next()).await {
            // Statements take long, so each runs in a task of its own.
            Ok(Some(request)) => drop(tokio::spawn(request)),
            Ok(None) => return,
            Err(_) if visitor.0.has_open_transactions() => {
                log::info!(event = "visitor_silent"; "rolling back the transactions of a silent host");
                return;
            }
            Err(_) => {}
        }
    }
}
