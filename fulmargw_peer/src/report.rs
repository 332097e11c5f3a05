//! Reports and loans that hosts exchange over HTTP with MessagePack.

use crate::message::{LoanRequest, LoanResponse};
use axum::{Router, body::Bytes, extract::State, http::StatusCode, routing::post};
use fulmargw_model::{name::Name, position::Position};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Path of reports.
const REPORT_PATH: &str = "/report";
/// Path of loans.
const LOAN_PATH: &str = "/loan";
/// Largest body that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Where other hosts reach a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Address for reports and loans.
    pub reports: SocketAddr,
    /// Address for statements that it runs for others.
    pub statements: SocketAddr,
}

/// What a host tells of itself and of what it sees.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Name of the host.
    pub host: Name,
    /// Where other hosts reach it.
    pub endpoint: Endpoint,
    /// Identifier of this life of its process.
    pub incarnation: u64,
    /// Version of its configuration, 0 if it has none.
    pub version: u64,
    /// Digest of the names of the hosts that share rates and connections, as it knows them.
    #[serde(rename = "fleet")]
    pub members_digest: u64,
    /// These hosts; empty towards a host that told the same digest.
    pub members: Vec<(Name, Endpoint)>,
    /// Hosts that it heard from recently.
    #[serde(rename = "hears")]
    pub reachable_hosts: Vec<Name>,
    /// Primaries that answered it recently.
    #[serde(rename = "answering")]
    pub responsive_primaries: Vec<Name>,
    /// Positions of primaries' logs after the last commit that it knows to be acknowledged, by
    /// service.
    #[serde(rename = "acknowledged")]
    pub acknowledged_positions: Vec<(Name, Position)>,
    /// Primaries that it knows of a promotion.
    #[serde(rename = "promoted")]
    pub promotions: Vec<Promotion>,
    /// Whether it is stopping.
    pub is_stopping: bool,
}

impl Report {
    /// Returns what to send to a host that told this digest last.
    #[must_use]
    pub fn for_recipient(&self, known_digest: Option<u64>) -> Self {
        let mut report = self.clone();
        if known_digest == Some(self.members_digest) {
            report.members.clear();
        }
        report
    }
}

/// A promotion that a host ordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Promotion {
    /// Service whose primary changed.
    pub service: Name,
    /// Identifier of the new primary.
    pub server: Name,
    /// Fencing token of the order; a greater one is newer.
    pub token: u64,
}

/// Response to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Response {
    /// Report of the host that answers.
    pub report: Report,
    /// Its configuration, encoded, if the asker's is older.
    pub catalog: Option<Bytes>,
}

/// Answers the reports of other hosts.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Takes a report and answers with the own one.
    fn exchange(&self, report: Report) -> Response;

    /// Lends tokens.
    fn lend(&self, demand: LoanRequest) -> LoanResponse;
}

/// A failed exchange.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
#[displaydoc("call {step} of host {peer}: {cause}")]
pub struct Error {
    /// Path of the call.
    pub step: &'static str,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// What happened.
    pub cause: String,
}

impl std::error::Error for Error {}

/// Sends reports to other hosts.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
}

impl Client {
    /// Makes a client whose calls take at most `timeout`.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be made.
    pub fn new(timeout: Duration) -> Result<Self, reqwest::Error> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(timeout)
            .connect_timeout(timeout)
            .tcp_nodelay(true)
            .build()?;
        Ok(Self { http })
    }

    /// Sends a report and returns the answer.
    ///
    /// # Errors
    ///
    /// If there is no answer in time, or it cannot be decoded.
    pub async fn exchange(&self, peer: SocketAddr, report: &Report) -> Result<Response, Error> {
        self.call(peer, REPORT_PATH, report).await
    }

    /// Asks for tokens.
    ///
    /// # Errors
    ///
    /// If there is no answer in time, or it cannot be decoded.
    pub async fn borrow(
        &self,
        peer: SocketAddr,
        demand: &LoanRequest,
    ) -> Result<LoanResponse, Error> {
        self.call(peer, LOAN_PATH, demand).await
    }

    async fn call<Q: Serialize + Sync, A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        step: &'static str,
        question: &Q,
    ) -> Result<A, Error> {
        let failed = |cause: String| Error { step, peer, cause };
        let body = rmp_serde::to_vec(question).map_err(|cause| failed(cause.to_string()))?;
        let sent = self.http.post(format!("http://{peer}{step}")).body(body);
        let response = sent
            .send()
            .await
            .and_then(reqwest::Response::error_for_status)
            .map_err(|cause| failed(cause.to_string()))?;
        let body = response.bytes().await;
        let body = body.map_err(|cause| failed(cause.to_string()))?;
        rmp_serde::from_slice(&body).map_err(|cause| failed(cause.to_string()))
    }
}

/// Answers reports until `stop` is cancelled.
///
/// # Errors
///
/// If the listener fails.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: H,
    stop: CancellationToken,
) -> std::io::Result<()> {
    let router = Router::new()
        .route(REPORT_PATH, post(report::<H>))
        .route(LOAN_PATH, post(loan::<H>))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(Arc::new(handler));
    let served = axum::serve(listener, router).into_future();
    stop.run_until_cancelled(served).await.unwrap_or(Ok(()))
}

async fn report<H: Handler>(State(handler): State<Arc<H>>, body: Bytes) -> Encoded {
    encode(&handler.exchange(decode(&body)?))
}

async fn loan<H: Handler>(State(handler): State<Arc<H>>, body: Bytes) -> Encoded {
    encode(&handler.lend(decode(&body)?))
}

/// An encoded answer, or why there is none.
type Encoded = Result<Vec<u8>, (StatusCode, String)>;

fn decode<Q: DeserializeOwned>(body: &[u8]) -> Result<Q, (StatusCode, String)> {
    rmp_serde::from_slice(body).map_err(|cause| (StatusCode::BAD_REQUEST, cause.to_string()))
}

fn encode(answer: &impl Serialize) -> Encoded {
    rmp_serde::to_vec(answer)
        .map_err(|cause| (StatusCode::INTERNAL_SERVER_ERROR, cause.to_string()))
}
