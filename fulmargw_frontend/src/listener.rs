//! Accepts caller connections.

use crate::{
    error::Failure,
    response::Output,
    session::{self, Context},
    settings::Settings,
};
use fulmargw_backend::batch::{Answer, Batch};
use fulmargw_budget::{memory::Budget, slot::Slots};
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

/// Delay after a failed accept. Without it, the loop would spin while the process has no free file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Connections without a session are limited to one in this many sessions.
const STARTING_SESSIONS: usize = 8;
/// Smallest limit of connections without a session.
const MIN_STARTING: usize = 32;
/// Time without progress after which a caller is closed when others wait for its memory.
const MESSAGE_PATIENCE: Duration = Duration::from_secs(1);

/// Serves callers until the shutdown, then waits until their requests and transactions end.
///
/// # Errors
///
/// If the local address of the listener cannot be read.
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
    log::info!("listening for callers on {address}");
    let starting = (settings.sessions / STARTING_SESSIONS).max(MIN_STARTING);
    let starting = Slots::new("starting", starting);
    let context = Context {
        submit,
        messages: Budget::new("messages", settings.message_memory_bytes, MESSAGE_PATIENCE),
        sessions: fulmargw_budget::session::Sessions::default(),
        settings: Arc::new(settings),
        shutdown,
    };
    let mut sessions = Sessions::default();
    while let Some(accepted) = next_connection(&listener, &context.shutdown, &mut sessions).await {
        match accepted {
            Ok((stream, peer)) => sessions.start(&context, stream, peer.ip(), &starting),
            Err(error) => {
                metrics::counter!("fulmargw_accept_errors_total").increment(1);
                log::debug!("cannot accept a caller connection on {address}: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    log::info!("stopped listening on {address}; draining caller sessions");
    sessions.drain(&context.settings).await;
    Ok(())
}

/// Waits for a connection; returns `None` on shutdown.
async fn next_connection(
    listener: &TcpListener,
    shutdown: &CancellationToken,
    sessions: &mut Sessions,
) -> Option<io::Result<(TcpStream, SocketAddr)>> {
    loop {
        tokio::select! {
            biased;
            () = shutdown.cancelled() => return None,
            Some(ended) = sessions.tasks.join_next() => sessions.remove(&ended),
            accepted = listener.accept() => return Some(accepted),
        }
    }
}

/// The open sessions. Only the accept loop changes them, so no lock is needed.
#[derive(Debug, Default)]
struct Sessions {
    tasks: JoinSet<IpAddr>,
    per_address: HashMap<IpAddr, usize>,
}

impl Sessions {
    fn start<S>(&mut self, context: &Context<S>, stream: TcpStream, peer: IpAddr, starting: &Slots)
    where
        S: Submit<Body = Batch, Answer = Answer>,
    {
        let open = self.per_address.entry(peer).or_default();
        if *open >= context.settings.connections_per_address {
            metrics::counter!("fulmargw_caller_connections_refused_total").increment(1);
            refuse(&stream);
            return;
        }
        *open += 1;
        metrics::counter!("fulmargw_caller_connections_total").increment(1);
        metrics::gauge!("fulmargw_caller_connections").increment(1);
        let context = context.clone();
        let slot = starting.take();
        self.tasks.spawn(async move {
            session::serve(context, stream, slot).await;
            peer
        });
    }

    fn remove(&mut self, ended: &Result<IpAddr, JoinError>) {
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

    /// Waits for the sessions to end. Each session limits its own drain time; the timeout here only
    /// covers callers that do not read their response.
    async fn drain(&mut self, settings: &Settings) {
        let timeout = settings.drain + settings.deadline + settings.write_timeout;
        let deadline = Instant::now() + timeout;
        while let Ok(Some(ended)) = time::timeout_at(deadline, self.tasks.join_next()).await {
            self.remove(&ended);
        }
        self.tasks.shutdown().await;
    }
}

/// Reports to a caller that it is refused, if that is possible without waiting.
fn refuse(stream: &TcpStream) {
    let mut output = Output::default();
    output.fatal(&Failure::too_many_connections());
    let _ = stream.try_write(&output.take());
}
