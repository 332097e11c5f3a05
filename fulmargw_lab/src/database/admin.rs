//! HTTP admin interface of a server: state and faults.

use super::{
    fault::{Change, Fault},
    observation::Observation,
    process::Server,
};
use axum::{
    Json, Router,
    extract::State,
    routing::{get, post},
};
use fulmargw_model::backend_server::Status;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use tokio::{net::TcpListener, time::Instant};

/// The response to `GET /state`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// Name of the server.
    pub name: String,
    /// Status as returned by `group_status`.
    pub status: Status,
    /// Whether the server still recovers the data that it lost in a restart.
    pub recovering: bool,
    /// Injected faults.
    pub fault: Fault,
    /// Counts and texts for checks.
    pub observation: Observation,
}

/// Serves the admin interface.
pub async fn serve(server: Arc<Server>, listener: TcpListener) {
    let router = Router::new()
        .route("/state", get(state))
        .route("/fault", post(fault))
        .route("/silence", post(silence))
        .with_state(server);
    if let Err(error) = axum::serve(listener, router).await {
        log::error!("admin interface ended: {error}");
    }
}

async fn state(State(server): State<Arc<Server>>) -> Json<Report> {
    let fault = server.fault.lock().clone();
    let server_state = server.state.lock();
    let status = server_state.status(Instant::now());
    let recovering = server_state.is_recovering();
    drop(server_state);
    Json(Report {
        name: server.settings.name.clone(),
        status,
        recovering,
        fault,
        observation: server.observation.lock().clone(),
    })
}

async fn fault(State(server): State<Arc<Server>>, Json(change): Json<Change>) {
    server.fault.lock().apply(&change);
    server.notify_changed();
}

async fn silence(State(server): State<Arc<Server>>) {
    server.stop_responding();
}
