//! Accepts connections of callers and starts their sessions.

use crate::{connection, core::Core, dialect::Dialect, session, store::Platform};
use std::{sync::Arc, time::Duration};
use tokio::net::TcpListener;

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections of callers until the pool closes idle sessions.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>, listener: TcpListener) {
    let mut is_full = false;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = core.closing_idle.cancelled() => return,
        };
        let most = core.limits().max_sessions();
        match accepted {
            Ok((stream, _)) if core.sessions.len() >= most => {
                metrics::counter!("fulmargw_pool_sessions_refused_total").increment(1);
                if !is_full {
                    log::warn!(event = "sessions_full", most; "session limit reached; closing new connections");
                }
                is_full = true;
                drop(stream);
            }
            Ok((stream, _)) => {
                is_full = false;
                if let Err(cause) = connection::set_socket_options(&stream) {
                    log::warn!(event = "socket_option", cause:% = cause; "cannot set the socket options of a caller's connection");
                }
                core.sessions.spawn(session::run(Arc::clone(&core), stream));
            }
            Err(cause) => {
                log::warn!(event = "accept_failed", cause:% = cause; "cannot accept a connection from a caller");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
