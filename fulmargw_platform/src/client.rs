//! HTTP client of the platform.

use crate::{
    message::{Commit, Hosts, Read, Row, Rows, Transaction},
    store::{Error, Store},
};
use metrics::counter;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Settings of the client.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Addresses of the platform. After a failed call the next address is used.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of one call, in milliseconds.
    ///
    /// A read that takes longer than the interval of the lease's store reads is of little use,
    /// because its result counts as evidence from the time of sending.
    pub timeout_ms: u64,
    /// Timeout of opening a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Local address of outgoing connections; chosen by the system if it is missing.
    pub source: Option<IpAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            timeout_ms: 500,
            connect_timeout_ms: 250,
            source: None,
        }
    }
}

/// HTTP client of the platform; clones share its connections.
#[derive(Debug, Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    http: reqwest::Client,
    addresses: Vec<SocketAddr>,
    /// Number of failed calls; modulo the number of addresses, the index of the address in use.
    failures: AtomicUsize,
}

/// Reasons why a client cannot be created.
#[derive(Debug, displaydoc::Display)]
pub enum BuildError {
    /// the platform has no address
    NoAddress,
    /// the HTTP client of the platform cannot be made: {0}
    Http(reqwest::Error),
}

impl std::error::Error for BuildError {}

impl Client {
    /// Creates a client; connections are opened when they are needed.
    ///
    /// # Errors
    ///
    /// Fails if there is no address or the HTTP client cannot be built.
    pub fn new(settings: &Settings) -> Result<Self, BuildError> {
        if settings.addresses.is_empty() {
            return Err(BuildError::NoAddress);
        }
        let http = reqwest::Client::builder()
            .timeout(Duration::from_millis(settings.timeout_ms))
            .connect_timeout(Duration::from_millis(settings.connect_timeout_ms))
            .local_address(settings.source)
            .no_proxy()
            .build()
            .map_err(BuildError::Http)?;
        Ok(Self {
            shared: Arc::new(Shared {
                http,
                addresses: settings.addresses.clone(),
                failures: AtomicUsize::new(0),
            }),
        })
    }

    fn address(&self) -> SocketAddr {
        let failures = self.shared.failures.load(Ordering::Relaxed);
        self.shared.addresses[failures % self.shared.addresses.len()]
    }

    async fn post<M: Serialize, R: DeserializeOwned>(
        &self,
        call: Call,
        message: &M,
    ) -> Result<R, Error> {
        let address = self.address();
        let body = rmp_serde::to_vec_named(message)
            .map_err(|cause| call.error(address, &cause.to_string()))?;
        count_request(call, body.len());
        let url = format!("http://{address}{}", call.path);
        let request = self.shared.http.post(url).body(body);
        self.send(call, address, request).await
    }

    async fn get<R: DeserializeOwned>(&self, call: Call) -> Result<R, Error> {
        let address = self.address();
        count_request(call, 0);
        let request = self
            .shared
            .http
            .get(format!("http://{address}{}", call.path));
        self.send(call, address, request).await
    }

    async fn send<R: DeserializeOwned>(
        &self,
        call: Call,
        address: SocketAddr,
        request: reqwest::RequestBuilder,
    ) -> Result<R, Error> {
        let response = receive_body(request).await;
        if response.is_err() {
            self.shared.failures.fetch_add(1, Ordering::Relaxed);
            counter!("fulmargw_platform_errors_total", "mechanism" => call.mechanism).increment(1);
        }
        let bytes = response.map_err(|cause| call.error(address, &cause))?;
        counter!("fulmargw_control_bytes_total", "mechanism" => call.mechanism)
            .increment(bytes.len() as u64);
        rmp_serde::from_slice(&bytes).map_err(|cause| call.error(address, &cause.to_string()))
    }
}

impl Store for Client {
    async fn read(&self, keys: &[&str]) -> Result<Vec<Option<Row>>, Error> {
        let read = Read {
            keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        };
        let rows: Rows = self.post(READ, &read).await?;
        if rows.rows.len() != keys.len() {
            return Err(READ.error(self.address(), "the response has the wrong number of rows"));
        }
        Ok(rows.rows)
    }

    async fn commit(&self, transaction: Transaction) -> Result<Commit, Error> {
        self.post(COMMIT, &transaction).await
    }

    async fn hosts(&self) -> Result<Hosts, Error> {
        self.get(HOSTS).await
    }
}

/// An operation of the platform's HTTP interface.
#[derive(Debug, Clone, Copy)]
struct Call {
    /// Name in errors.
    step: &'static str,
    /// Label of the metrics.
    mechanism: &'static str,
    path: &'static str,
}

const READ: Call = Call {
    step: "read",
    mechanism: "store_read",
    path: "/table/read",
};

const COMMIT: Call = Call {
    step: "commit",
    mechanism: "store_commit",
    path: "/table/commit",
};

const HOSTS: Call = Call {
    step: "host list",
    mechanism: "store_hosts",
    path: "/hosts",
};

impl Call {
    fn error(self, address: SocketAddr, cause: &str) -> Error {
        Error {
            step: self.step,
            peer: address.to_string(),
            cause: cause.to_owned(),
        }
    }
}

fn count_request(call: Call, bytes: usize) {
    counter!("fulmargw_control_messages_total", "mechanism" => call.mechanism).increment(1);
    counter!("fulmargw_control_bytes_total", "mechanism" => call.mechanism).increment(bytes as u64);
}

/// Sends a request and returns the body of the response; the error says why there is none.
async fn receive_body(request: reqwest::RequestBuilder) -> Result<Vec<u8>, String> {
    let mut response = request.send().await.map_err(|cause| describe(&cause))?;
    let status = response.status();
    if !status.is_success() {
        return Err(format!("status {status}"));
    }
    let mut bytes = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|cause| describe(&cause))? {
        if bytes.len() + chunk.len() > MAX_RESPONSE_BYTES {
            return Err(format!(
                "the response is larger than {MAX_RESPONSE_BYTES} bytes"
            ));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}

/// Describes an error by its innermost cause. Leaves out the URL, since [`Error`] has the address.
fn describe(error: &reqwest::Error) -> String {
    if error.is_timeout() {
        return "timeout".to_owned();
    }
    let mut text = "request failed".to_owned();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text = cause.to_string();
        source = cause.source();
    }
    text
}
