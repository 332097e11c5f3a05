//! Configuration documents and fleet records over HTTP, encoded as MessagePack.

use crate::{client::Error, service::Handler};
use axum::{
    Router,
    extract::State,
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::get,
};
use fulmargw_budget::http;
use fulmargw_model::{configuration::Configuration, fleet::Fleet};
use metrics::counter;
use serde::{Serialize, de::DeserializeOwned};
use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio_util::sync::CancellationToken;

/// Largest document that the client accepts, in bytes.
const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// Serves the configuration document and the fleet record until `stop` is cancelled.
///
/// # Errors
///
/// If the listener fails.
pub async fn serve<H: Handler>(
    listener: http::Listener,
    handler: H,
    stop: CancellationToken,
) -> io::Result<()> {
    let router = Router::new()
        .route("/configuration", get(configuration::<H>))
        .route("/fleet", get(fleet::<H>))
        .with_state(handler);
    axum::serve(listener, router)
        .with_graceful_shutdown(stop.cancelled_owned())
        .await
}

async fn configuration<H: Handler>(State(handler): State<H>) -> Response {
    respond("configuration", handler.configuration())
}

async fn fleet<H: Handler>(State(handler): State<H>) -> Response {
    respond("fleet", handler.fleet())
}

fn respond<T: Serialize>(name: &'static str, document: Option<Arc<T>>) -> Response {
    let Some(document) = document else {
        return StatusCode::NOT_FOUND.into_response();
    };
    match rmp_serde::to_vec_named(&*document) {
        Ok(bytes) => {
            count_message(name, bytes.len());
            bytes.into_response()
        }
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

fn count_message(name: &'static str, bytes: usize) {
    counter!("fulmargw_control_messages_total", "mechanism" => name).increment(1);
    counter!("fulmargw_control_bytes_total", "mechanism" => name).increment(bytes as u64);
}

/// HTTP client that fetches documents from peers.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
}

/// cannot create the HTTP client for documents: {0}
#[derive(Debug, displaydoc::Display)]
pub struct BuildError(reqwest::Error);

impl std::error::Error for BuildError {}

impl Client {
    /// Creates a client whose requests time out after `timeout`. Its connections have the
    /// local address `source`, if one is given.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be created.
    pub fn new(timeout: Duration, source: Option<IpAddr>) -> Result<Self, BuildError> {
        reqwest::Client::builder()
            .timeout(timeout)
            .connect_timeout(timeout)
            .local_address(source)
            .no_proxy()
            .build()
            .map(|http| Self { http })
            .map_err(BuildError)
    }

    /// Fetches the configuration document of the host with document address `peer`.
    ///
    /// # Errors
    ///
    /// If there is no valid response in time.
    pub async fn configuration(&self, peer: SocketAddr) -> Result<Configuration, Error> {
        self.fetch("configuration", peer).await
    }

    /// Fetches the fleet record of the host with document address `peer`.
    ///
    /// # Errors
    ///
    /// If there is no valid response in time.
    pub async fn fleet(&self, peer: SocketAddr) -> Result<Fleet, Error> {
        self.fetch("fleet", peer).await
    }

    async fn fetch<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
    ) -> Result<T, Error> {
        let error = |cause: String| Error { step, peer, cause };
        let bytes = self
            .download(&format!("http://{peer}/{step}"))
            .await
            .map_err(error)?;
        count_message(step, bytes.len());
        rmp_serde::from_slice(&bytes).map_err(|cause| error(cause.to_string()))
    }

    async fn download(&self, url: &str) -> Result<Vec<u8>, String> {
        let response = self.http.get(url).send().await;
        let mut response = response.map_err(|cause| cause.without_url().to_string())?;
        if !response.status().is_success() {
            return Err(format!("status {}", response.status()));
        }
        let mut bytes = Vec::new();
        while let Some(chunk) = response.chunk().await.map_err(|cause| cause.to_string())? {
            if bytes.len() + chunk.len() > MAX_DOCUMENT_BYTES {
                return Err(format!(
                    "the document is larger than {MAX_DOCUMENT_BYTES} bytes"
                ));
            }
            bytes.extend_from_slice(&chunk);
        }
        Ok(bytes)
    }
}
