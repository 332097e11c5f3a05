//! HTTP admin interface of the platform: faults, the host list and counts of calls.

use super::{
    fault::{Fault, Injector},
    process::Platform,
    state::Counts,
};
use axum::{
    Json, Router,
    extract::State,
    routing::{get, post},
};
use fulmargw_platform::message::Hosts;
use std::sync::Arc;
use tokio::{net::TcpListener, time::Instant};

/// Serves the admin interface.
pub async fn serve(platform: Arc<Platform>, listener: TcpListener) {
    let router = Router::new()
        .route("/state", get(state))
        .route("/fault", post(fault))
        .route("/hosts", post(hosts))
        .with_state(platform);
    if let Err(error) = axum::serve(listener, router).await {
        log::error!("admin interface ended: {error}");
    }
}

async fn state(State(platform): State<Arc<Platform>>) -> Json<Counts> {
    Json(platform.data.lock().counts())
}

async fn fault(State(platform): State<Arc<Platform>>, Json(fault): Json<Fault>) {
    *platform.injector.lock() = Injector::new(fault);
}

async fn hosts(State(platform): State<Arc<Platform>>, Json(hosts): Json<Hosts>) {
    platform.data.lock().set_hosts(hosts, Instant::now());
}
