//! Serves the remote procedures to other hosts.

use crate::{
    codec::{self, Codec},
    service::{Adapter, Control, Handler},
};
use futures::StreamExt;
use std::{io, time::Duration};
use tarpc::server::{BaseChannel, Channel, Config};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{codec::Framed, sync::CancellationToken, task::TaskTracker};

/// Pause after a failed accept, for example when file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves connections until `stop` is cancelled, then closes all of them.
///
/// # Errors
///
/// If the listener has no local address.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: H,
    stop: CancellationToken,
) -> io::Result<()> {
    accept(listener, stop, |stream| answer(stream, handler.clone())).await;
    Ok(())
}

/// Accepts connections until `stop` is cancelled, then closes all of them.
pub(crate) async fn accept<F, W>(listener: TcpListener, stop: CancellationToken, answer: F)
where
    F: Fn(TcpStream) -> W,
    W: Future<Output = ()> + Send + 'static,
{
    let connections = TaskTracker::new();
    let accepting = accept_each(&listener, &stop, &connections, answer);
    stop.run_until_cancelled(accepting).await;
    connections.close();
    connections.wait().await;
}

async fn accept_each<F, W>(
    listener: &TcpListener,
    stop: &CancellationToken,
    connections: &TaskTracker,
    answer: F,
) where
    F: Fn(TcpStream) -> W,
    W: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = answer(stream);
                connections.spawn(stop.clone().run_until_cancelled_owned(connection));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Answers the requests of one connection in order; each answer comes from memory.
async fn answer<H: Handler>(stream: TcpStream, handler: H) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let framed = Framed::new(stream, codec::framing());
    let transport = tarpc::serde_transport::new(framed, Codec);
    BaseChannel::new(Config::default(), transport)
        .execute(Adapter(handler).serve())
        .for_each(|response| response)
        .await;
}
