//! Acceptance of caller connections.

use crate::{
    error::Failure,
    response::Output,
    session::{self, Host},
    settings::Settings,
};
use fulmargw_backend::batch::{Answer, Batch};
use fulmargw_engine::submit::Submit;
use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinError, JoinSet},
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

/// Wait after a failed accept. Without it, a lack of file descriptors makes the loop run
/// without a pause until one is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers until the shutdown, and then until their requests and transactions ended.
///
/// # Errors
///
/// If the address of the listener is gone.
pub async fn serve<S>(
    listener: TcpListener,
    submit: S,
    settings: Settings,
    shutdown: CancellationToken,
) -> io::Result<()>
where
    S: Submit<Body = Batch, Answer = Answer>,
{
    let address = listener.local_addr()?;
    log::info!("callers are served at {address}");
    let host = Host {
        submit,
        settings: Arc::new(settings),
        shutdown,
    };
    let mut sessions = Sessions::default();
    while let Some(accepted) = next(&listener, &host.shutdown, &mut sessions).await {
        match accepted {
            Ok((stream, peer)) => sessions.start(&host, stream, peer.ip()),
            Err(error) => {
                metrics::counter!("fulmargw_accept_errors_total").increment(1);
                log::debug!("accept at {address} failed: {error}");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    log::info!("callers at {address} are drained");
    sessions.drain(&host.settings).await;
    Ok(())
}

/// Waits for a connection; `None` is the shutdown.
async fn next(
    listener: &TcpListener,
    shutdown: &CancellationToken,
    sessions: &mut Sessions,
) -> Option<io::Result<(TcpStream, SocketAddr)>> {
    loop {
        tokio::select! {
            biased;
            () = shutdown.cancelled() => return None,
            Some(ended) = sessions.tasks.join_next() => sessions.end(&ended),
            accepted = listener.accept() => return Some(accepted),
        }
    }
}

/// The open sessions; only the accept loop changes them, so they need no lock.
#[derive(Debug, Default)]
struct Sessions {
    tasks: JoinSet<IpAddr>,
    per_address: HashMap<IpAddr, usize>,
}

impl Sessions {
    fn start<S>(&mut self, host: &Host<S>, stream: TcpStream, peer: IpAddr)
    where
        S: Submit<Body = Batch, Answer = Answer>,
    {
        let open = self.per_address.entry(peer).or_default();
        if *open >= host.settings.connections_per_address {
            metrics::counter!("fulmargw_caller_connections_refused_total").increment(1);
            refuse(&stream);
            return;
        }
        *open += 1;
        metrics::counter!("fulmargw_caller_connections_total").increment(1);
        metrics::gauge!("fulmargw_caller_connections").increment(1);
        let host = host.clone();
        self.tasks.spawn(async move {
            session::serve(host, stream).await;
            peer
        });
    }

    fn end(&mut self, ended: &Result<IpAddr, JoinError>) {
        metrics::gauge!("fulmargw_caller_connections").decrement(1);
        let Ok(peer) = ended else {
            metrics::counter!("fulmargw_session_panics_total").increment(1);
            return;
        };
        if let Some(open) = self.per_address.get_mut(peer) {
            *open -= 1;
            if *open == 0 {
                self.per_address.remove(peer);
            }
        }
    }

    /// Waits for the sessions, which bound their own end; the limit here only covers callers
    /// that take no answer.
    async fn drain(&mut self, settings: &Settings) {
        let limit = settings.drain + settings.deadline + settings.write_timeout;
        let until = Instant::now() + limit;
        while let Ok(Some(ended)) = time::timeout_at(until, self.tasks.join_next()).await {
            self.end(&ended);
        }
        self.tasks.shutdown().await;
    }
}

/// Tells a caller why it is not served, as far as that is possible without waiting.
fn refuse(stream: &TcpStream) {
    let mut output = Output::default();
    output.fatal(&Failure::too_many_connections());
    let _ = stream.try_write(&output.take());
}
