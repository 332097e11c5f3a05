//! HTTP interface of the platform.

use super::{
    admin,
    fault::{Fault, Injector},
    state::State as Data,
};
use axum::{
    Router,
    body::Bytes,
    extract::{Path, State},
    http::StatusCode,
    routing::{get, post},
};
use fulmargw_model::lock::{Mutex, Rank};
use serde::{Serialize, de::DeserializeOwned};
use std::{future, io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{net::TcpListener, time::Instant};

/// Shared state of the platform process.
#[derive(Debug)]
pub struct Platform {
    /// Injected faults; lock rank [`Rank::Configuration`].
    pub injector: Mutex<Injector>,
    /// Data; lock rank [`Rank::Fleet`].
    pub data: Mutex<Data>,
}

type Response = Result<Vec<u8>, StatusCode>;

/// Binds the addresses and starts the servers, which run until the process ends.
///
/// # Errors
///
/// If an address cannot be bound.
pub async fn start(listen: SocketAddr, admin: SocketAddr) -> io::Result<Arc<Platform>> {
    let listener = TcpListener::bind(listen).await?;
    let admin_listener = TcpListener::bind(admin).await?;
    let platform = Arc::new(Platform {
        injector: Mutex::new(Rank::Configuration, Injector::new(Fault::default())),
        data: Mutex::new(Rank::Fleet, Data::default()),
    });
    tokio::spawn(admin::serve(Arc::clone(&platform), admin_listener));
    tokio::spawn(serve(Arc::clone(&platform), listener));
    Ok(platform)
}

async fn serve(platform: Arc<Platform>, listener: TcpListener) {
    let router = Router::new()
        .route("/table/read", post(read))
        .route("/table/commit", post(commit))
        .route("/hosts", get(hosts))
        .route("/object/{*key}", get(object).put(put_object))
        .with_state(platform);
    if let Err(error) = axum::serve(listener, router).await {
        log::error!("platform interface ended: {error}");
    }
}

/// Counts a call, delays it and fails it, as the faults demand.
async fn begin_call(platform: &Platform, is_write: bool) -> Result<(), StatusCode> {
    platform.data.lock().count(is_write, Instant::now());
    let fault = platform.injector.lock().fault.clone();
    crate::timer::sleep(Duration::from_millis(fault.slow_ms)).await;
    if fault.down {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    Ok(())
}

/// Never returns if the response to this write is to be lost, so that the client runs into its
/// timeout.
async fn maybe_lose_response(platform: &Platform) {
    let is_lost = platform.injector.lock().should_lose_response();
    if is_lost {
        future::pending::<()>().await;
    }
}

fn decode<T: DeserializeOwned>(body: &Bytes) -> Result<T, StatusCode> {
    rmp_serde::from_slice(body).map_err(|_| StatusCode::BAD_REQUEST)
}

fn encode<T: Serialize>(value: &T) -> Response {
    rmp_serde::to_vec(value).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

async fn read(State(platform): State<Arc<Platform>>, body: Bytes) -> Response {
    begin_call(&platform, false).await?;
    let rows = platform.data.lock().read(&decode(&body)?);
    encode(&rows)
}

async fn commit(State(platform): State<Arc<Platform>>, body: Bytes) -> Response {
    begin_call(&platform, true).await?;
    let transaction = decode(&body)?;
    let outcome = platform.data.lock().commit(transaction);
    maybe_lose_response(&platform).await;
    encode(&outcome)
}

async fn hosts(State(platform): State<Arc<Platform>>) -> Response {
    begin_call(&platform, false).await?;
    let lag = Duration::from_millis(platform.injector.lock().fault.list_lag_ms);
    let hosts = platform.data.lock().hosts(Instant::now(), lag);
    encode(&hosts)
}

async fn object(State(platform): State<Arc<Platform>>, Path(key): Path<String>) -> Response {
    begin_call(&platform, false).await?;
    let value = platform.data.lock().object(&key);
    value
        .map(|bytes| bytes.to_vec())
        .ok_or(StatusCode::NOT_FOUND)
}

async fn put_object(
    State(platform): State<Arc<Platform>>,
    Path(key): Path<String>,
    body: Bytes,
) -> Result<(), StatusCode> {
    begin_call(&platform, true).await?;
    platform.data.lock().put_object(key, body);
    maybe_lose_response(&platform).await;
    Ok(())
}
