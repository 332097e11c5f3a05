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

/// The largest answer that is accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Settings of the client.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Addresses of the platform; a failed call moves on to the next one.
    pub addresses: Vec<SocketAddr>,
    /// Longest time for one call, in milliseconds.
    ///
    /// A read that takes longer than the lease poll interval is of little use, because its
    /// evidence counts from the sending.
    pub timeout_ms: u64,
    /// Longest time for opening a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Local address of outgoing connections; any if it is missing.
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

/// A connection pool to the platform.
#[derive(Debug, Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    http: reqwest::Client,
    addresses: Vec<SocketAddr>,
    current: AtomicUsize,
}

/// Reasons why a client cannot be made.
#[derive(Debug, displaydoc::Display)]
pub enum BuildError {
    /// the platform has no address
    NoAddress,
    /// the HTTP client of the platform cannot be made: {0}
    Http(reqwest::Error),
}

impl std::error::Error for BuildError {}

impl Client {
    /// Makes a client; connections are opened when they are needed.
    ///
    /// # Errors
    ///
    /// If there is no address or the HTTP client cannot be made.
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
                current: AtomicUsize::new(0),
            }),
        })
    }

    fn address(&self) -> SocketAddr {
        let current = self.shared.current.load(Ordering::Relaxed);
        self.shared.addresses[current % self.shared.addresses.len()]
    }

    async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        call: Call,
        question: &Q,
    ) -> Result<A, Error> {
        let address = self.address();
        let body = rmp_serde::to_vec_named(question)
            .map_err(|cause| call.error(address, &cause.to_string()))?;
        count(call, body.len());
        let url = format!("http://{address}{}", call.path);
        let request = self.shared.http.post(url).body(body);
        self.send(call, address, request).await
    }

    async fn get<A: DeserializeOwned>(&self, call: Call) -> Result<A, Error> {
        let address = self.address();
        count(call, 0);
        let request = self
            .shared
            .http
            .get(format!("http://{address}{}", call.path));
        self.send(call, address, request).await
    }

    async fn send<A: DeserializeOwned>(
        &self,
        call: Call,
        address: SocketAddr,
        request: reqwest::RequestBuilder,
    ) -> Result<A, Error> {
        let answer = exchange(request).await;
        if answer.is_err() {
            self.shared.current.fetch_add(1, Ordering::Relaxed);
            counter!("fulmargw_platform_errors_total", "mechanism" => call.mechanism).increment(1);
        }
        let bytes = answer.map_err(|cause| call.error(address, &cause))?;
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
            return Err(READ.error(self.address(), "the answer has another number of rows"));
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

/// A call of the platform's interface.
#[derive(Debug, Clone, Copy)]
struct Call {
    step: &'static str,
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

fn count(call: Call, bytes: usize) {
    counter!("fulmargw_control_messages_total", "mechanism" => call.mechanism).increment(1);
    counter!("fulmargw_control_bytes_total", "mechanism" => call.mechanism).increment(bytes as u64);
}

async fn exchange(request: reqwest::RequestBuilder) -> Result<Vec<u8>, String> {
    let mut answer = request.send().await.map_err(|cause| describe(&cause))?;
    let status = answer.status();
    if !status.is_success() {
        return Err(format!("status {status}"));
    }
    let mut bytes = Vec::new();
    while let Some(part) = answer.chunk().await.map_err(|cause| describe(&cause))? {
        if bytes.len() + part.len() > MAX_ANSWER_BYTES {
            return Err(format!(
                "the answer is larger than {MAX_ANSWER_BYTES} bytes"
            ));
        }
        bytes.extend_from_slice(&part);
    }
    Ok(bytes)
}

/// Describes an error without its URL, which the caller names itself.
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
