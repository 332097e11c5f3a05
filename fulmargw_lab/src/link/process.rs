//! The relay process and its admin interface.

use super::{
    relay::{self, Mapping},
    rule::Table,
};
use axum::{Json, Router, extract::State, routing::post};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{net::TcpListener, sync::watch};

/// Binds the addresses of all mappings and of the admin interface, and starts the relay, which
/// runs until the process ends. Returns the rules, which may be replaced at any time.
///
/// # Errors
///
/// If an address cannot be bound.
pub async fn start(
    mappings: Vec<Mapping>,
    delay: Duration,
    admin: SocketAddr,
) -> io::Result<Arc<watch::Sender<Table>>> {
    let rules = Arc::new(watch::Sender::new(Table::default()));
    for mapping in mappings {
        let listener = TcpListener::bind(mapping.listen).await?;
        tokio::spawn(relay::serve(mapping, listener, delay, rules.subscribe()));
    }
    let listener = TcpListener::bind(admin).await?;
    tokio::spawn(serve_admin(Arc::clone(&rules), listener));
    Ok(rules)
}

async fn serve_admin(rules: Arc<watch::Sender<Table>>, listener: TcpListener) {
    let router = Router::new()
        .route("/rules", post(replace).get(show))
        .with_state(rules);
    if let Err(error) = axum::serve(listener, router).await {
        log::error!("admin interface ended: {error}");
    }
}

async fn show(State(rules): State<Arc<watch::Sender<Table>>>) -> Json<Table> {
    Json(rules.borrow().clone())
}

async fn replace(State(rules): State<Arc<watch::Sender<Table>>>, Json(table): Json<Table>) {
    rules.send_replace(table);
}
