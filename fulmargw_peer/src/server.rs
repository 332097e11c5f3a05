//! Serves the RPC methods of the control plane to peers.

use crate::{
    codec::{self, Codec},
    service::{Adapter, Control, Handler},
};
use fulmargw_budget::frame::{Listener, Stream};
use futures::StreamExt;
use std::{io, time::Duration};
use tarpc::server::{BaseChannel, Channel, Config};
use tokio_util::{codec::Framed, sync::CancellationToken, task::TaskTracker};

/// Delay after a failed accept, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves connections until `stop` is cancelled, then closes all of them.
///
/// # Errors
///
/// Never; the result matches the other servers of this crate.
pub async fn serve<H: Handler>(
    listener: Listener,
    handler: H,
    stop: CancellationToken,
) -> io::Result<()> {
    accept(listener, stop, |stream| {
        serve_connection(stream, handler.clone())
    })
    .await;
    Ok(())
}

/// Accepts connections until `stop` is cancelled, then closes all of them.
pub(crate) async fn accept<F, W>(listener: Listener, stop: CancellationToken, serve_connection: F)
where
    F: Fn(Stream) -> W,
    W: Future<Output = ()> + Send + 'static,
{
    let connections = TaskTracker::new();
    let accepting = accept_connections(&listener, &stop, &connections, serve_connection);
    stop.run_until_cancelled(accepting).await;
    connections.close();
    connections.wait().await;
}

async fn accept_connections<F, W>(
    listener: &Listener,
    stop: &CancellationToken,
    connections: &TaskTracker,
    serve_connection: F,
) where
    F: Fn(Stream) -> W,
    W: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok(stream) => {
                let connection = serve_connection(stream);
                connections.spawn(stop.clone().run_until_cancelled_owned(connection));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Executes the requests of one connection in order. The handler responds from memory, so no
/// request delays the next one.
async fn serve_connection<H: Handler>(stream: Stream, handler: H) {
    let framed = Framed::new(stream, codec::framing());
    let transport = tarpc::serde_transport::new(framed, Codec);
    BaseChannel::new(Config::default(), transport)
        .execute(Adapter(handler).serve())
        .for_each(|execution| execution)
        .await;
}
