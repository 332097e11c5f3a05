//! Runs the orders of other hosts.

use super::{Forward, Handler, Outcome, Transaction, Visitor};
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
        answer(stream, Adapter(Arc::new(handler.visitor())))
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

impl<V: Visitor> Forward for Adapter<V> {
    async fn run(self, _: Context, order: Request, transaction: Option<Transaction>) -> Outcome {
        self.0.run(order, transaction).await
    }

    async fn release(self, _: Context, transaction: Transaction) {
        self.0.release(transaction);
    }

    async fn reaches(self, _: Context, service: Name, server: Name) -> bool {
        self.0.reaches(service, server).await
    }

    async fn acknowledged(self, _: Context, service: Name) -> Option<Position> {
        self.0.acknowledged(service)
    }

    async fn ping(self, _: Context) {}
}

/// Closes a visitor with its connection, however that ends.
struct Closing<V: Visitor>(Arc<V>);

impl<V: Visitor> Drop for Closing<V> {
    fn drop(&mut self) {
        self.0.close();
    }
}

async fn answer<V: Visitor>(stream: TcpStream, adapter: Adapter<V>) {
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
            Err(_) if visitor.0.is_holding() => {
                log::info!(event = "visitor_silent"; "rolling back the transactions of a silent host");
                return;
            }
            Err(_) => {}
        }
    }
}
