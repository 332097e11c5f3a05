//! Answers the balancer whether this host is ready, and serves metrics and the state dump.

use axum::{
    Router,
    extract::State,
    http::{StatusCode, header::CONTENT_TYPE},
    routing::get,
};
use std::{io, sync::Arc};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Path of the state dump.
const STATE_PATH: &str = "/state";

/// Answers every path with 200 while `is_ready`, and with 503 otherwise.
///
/// # Errors
///
/// If the listener fails.
pub async fn serve_readiness<F>(
    listener: TcpListener,
    is_ready: F,
    stop: CancellationToken,
) -> io::Result<()>
where
    F: Fn() -> bool + Send + Sync + 'static,
{
    let answer = async |State(is_ready): State<Arc<F>>| {
        if is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    };
    let router = Router::new()
        .fallback(get(answer))
        .with_state(Arc::new(is_ready));
    serve(listener, router, stop).await
}

/// Serves metrics as text, and the state dump as JSON.
///
/// # Errors
///
/// If the listener fails.
pub async fn serve_metrics<F, G>(
    listener: TcpListener,
    metrics: F,
    state: G,
    stop: CancellationToken,
) -> io::Result<()>
where
    F: Fn() -> String + Send + Sync + 'static,
    G: Fn() -> String + Send + Sync + 'static,
{
    let answer_metrics = async |State(renders): State<Arc<(F, G)>>| renders.0();
    let answer_state = async |State(renders): State<Arc<(F, G)>>| {
        ([(CONTENT_TYPE, "application/json")], renders.1())
    };
    let router = Router::new()
        .route(METRICS_PATH, get(answer_metrics))
        .route(STATE_PATH, get(answer_state))
        .with_state(Arc::new((metrics, state)));
    serve(listener, router, stop).await
}

async fn serve(listener: TcpListener, router: Router, stop: CancellationToken) -> io::Result<()> {
    let served = axum::serve(listener, router).into_future();
    stop.run_until_cancelled(served).await.unwrap_or(Ok(()))
}
