//! Accepts connections of callers and starts their sessions.

use crate::{connection, core::Core, dialect::Dialect, session, store::Platform};
use std::{sync::Arc, time::Duration};
use tokio::net::TcpListener;

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections of callers until the pool closes idle sessions.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>, listener: TcpListener) {
    session::withdrawal::register();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = core.closing_idle.cancelled() => return,
        };
        match accepted {
            Ok((stream, address)) => {
                let connected = core.budget.connect(address.ip(), &core.settings.callers);
                let Some(address) = connected else {
                    metrics::counter!("fulmargw_pool_connections_refused_total").increment(1);
                    continue;
                };
                if let Err(cause) = connection::set_socket_options(&stream) {
                    log::warn!(event = "socket_option", cause:% = cause; "cannot set the socket options of a caller's connection");
                }
                let slot = core.budget.starting.take();
                let served = session::run(Arc::clone(&core), stream, slot);
                core.sessions.spawn(async move {
                    served.await;
                    drop(address);
                });
            }
            Err(cause) => {
                log::warn!(event = "accept_failed", cause:% = cause; "cannot accept a connection from a caller");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
