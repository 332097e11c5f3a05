//! HTTP endpoints for the load balancer's readiness check, the metrics and the state dump.

use axum::{
    Router,
    extract::State,
    http::{StatusCode, header::CONTENT_TYPE},
    routing::get,
};
use fulmargw_budget::http::Listener;
use std::{io, sync::Arc};
use tokio_util::sync::CancellationToken;

/// Path of the metrics in text format.
const METRICS_PATH: &str = "/metrics";
/// Path of the state dump in JSON.
const STATE_PATH: &str = "/state";

/// Responds on every path with status 200 while `is_ready` returns true, and with 503 otherwise.
///
/// # Errors
///
/// Returns an error if the listener fails.
pub async fn serve_readiness<F>(
    listener: Listener,
    is_ready: F,
    stop: CancellationToken,
) -> io::Result<()>
where
    F: Fn() -> bool + Send + Sync + 'static,
{
    let respond = async |State(is_ready): State<Arc<F>>| {
        if is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    };
    let router = Router::new()
        .fallback(get(respond))
        .with_state(Arc::new(is_ready));
    serve(listener, router, stop).await
}

/// Serves metrics in text format and the state dump in JSON.
///
/// # Errors
///
/// Returns an error if the listener fails.
pub async fn serve_metrics<F, G>(
    listener: Listener,
    metrics: F,
    state: G,
    stop: CancellationToken,
) -> io::Result<()>
where
    F: Fn() -> String + Send + Sync + 'static,
    G: Fn() -> String + Send + Sync + 'static,
{
    let respond_metrics = async |State(render): State<Arc<(F, G)>>| render.0();
    let respond_state = async |State(render): State<Arc<(F, G)>>| {
        ([(CONTENT_TYPE, "application/json")], render.1())
    };
    let router = Router::new()
        .route(METRICS_PATH, get(respond_metrics))
        .route(STATE_PATH, get(respond_state))
        .with_state(Arc::new((metrics, state)));
    serve(listener, router, stop).await
}

async fn serve(listener: Listener, router: Router, stop: CancellationToken) -> io::Result<()> {
    let served = axum::serve(listener, router).into_future();
    stop.run_until_cancelled(served).await.unwrap_or(Ok(()))
}
