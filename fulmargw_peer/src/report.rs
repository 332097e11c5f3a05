//! Status reports, token loans and proofs of contact that hosts exchange over HTTP, encoded as MessagePack.

use crate::message::{LoanRequest, LoanResponse};
use axum::{Router, body::Bytes, extract::State, http::StatusCode, middleware, routing::post};
use fulmargw_budget::http::{self, Bodies, Listener};
use fulmargw_decision::{evacuation::Snapshot, gossip::Age};
use fulmargw_model::{name::Name, position::Position};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio_util::sync::CancellationToken;

const REPORT_PATH: &str = "/report";
const LOAN_PATH: &str = "/loan";
const CONTACT_PATH: &str = "/contact";
/// Largest request body that the server accepts, in bytes.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Addresses of a host for its peers, and what decides which statements it runs for them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Address for reports and loans.
    pub reports: SocketAddr,
    /// Address for statements that the host runs for its peers.
    pub statements: SocketAddr,
    /// Where the host runs; absent if its statements are not placed by zone. It is the last field and
    /// left out then, so that hosts without this field decode the message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub location: Option<Location>,
}

/// Where a host runs, and how much work it can do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Location {
    /// Availability zone.
    pub zone: Name,
    /// Processor capacity in thousandths of a core.
    pub millicores: u32,
}

/// Status of a host and what it has observed, sent to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Name of the host.
    pub host: Name,
    /// Addresses of the host.
    pub endpoint: Endpoint,
    /// Number that identifies this run of the host's process.
    pub incarnation: u64,
    /// Version of the host's configuration; 0 if it has none.
    pub version: u64,
    /// Digest of the names of the hosts that share rates and connections, as this host knows
    /// them.
    #[serde(rename = "fleet")]
    pub members_digest: u64,
    /// The hosts that share rates and connections. Empty in a report to a host that reported
    /// the same digest.
    pub members: Vec<(Name, Endpoint)>,
    /// How long ago each member was last seen by this host or, as far as it knows, by any
    /// other one, in the order of the members' names.
    pub ages: Vec<Age>,
    /// Primaries that responded to this host recently.
    #[serde(rename = "answering")]
    pub responsive_primaries: Vec<Name>,
    /// Log position after the last commit that this host knows to be acknowledged, by service.
    #[serde(rename = "acknowledged")]
    pub acknowledged_positions: Vec<(Name, Position)>,
    /// Last promotion of each service that this host knows of.
    #[serde(rename = "promoted")]
    pub promotions: Vec<Promotion>,
    /// Whether the host is stopping.
    pub is_stopping: bool,
    /// Newest orders to evacuate zones that the host knows; `None` if it knows none or its
    /// deployment has no such orders.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub orders: Option<Snapshot>,
}

impl Report {
    /// Returns the report for a host that last reported `known_digest`. The list of members is
    /// left out if that host has the same members.
    #[must_use]
    pub fn for_recipient(&self, known_digest: Option<u64>) -> Self {
        let mut report = self.clone();
        if known_digest == Some(self.members_digest) {
            report.members.clear();
        }
        report
    }
}

/// A promotion that a host requested from the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Promotion {
    /// Service whose primary changed.
    pub service: Name,
    /// Identifier of the new primary.
    pub server: Name,
    /// Fencing token of the promotion; a greater one is newer.
    pub token: u64,
}

/// Response to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Response {
    /// Report of the responding host.
    pub report: Report,
    /// Encoded configuration of the responding host, if the requester's version is older.
    pub catalog: Option<Bytes>,
}

/// Request to a witness of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ContactRequest {
    /// Service whose commits the host passes on, or whose primary is to be replaced.
    pub service: Name,
    /// Host whose contact the response proves; `None` if the host that replaces the primary asks for the
    /// contacts of the others.
    pub host: Option<Name>,
}

/// What a witness knows of the replacement of the primary of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ContactResponse {
    /// Fencing token of the commit barrier that is up, and the time until it ends by itself.
    pub barrier: Option<(u64, Duration)>,
    /// Last promotion.
    pub promotion: Option<Promotion>,
    /// How long ago each host has last sent a request that may still prove its contact. Empty in a
    /// response that proves contact.
    pub requests: Vec<(Name, Duration)>,
    /// Time since the witness started. It knows nothing of earlier requests.
    pub known_for: Duration,
    /// Whether the witness knows the claims that were open when it started. It proves no contact before.
    pub knows_claims: bool,
}

/// Handles the reports, loan requests and contact requests of peers.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Records the report of a peer and returns the report of this host.
    fn exchange(&self, report: Report) -> Response;

    /// Lends rate tokens.
    fn lend(&self, request: LoanRequest) -> LoanResponse;

    /// Returns what this host knows as a witness of a service.
    fn contact(&self, request: ContactRequest) -> ContactResponse;
}

/// A failed request to a peer.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
#[displaydoc("call {step} of host {peer}: {cause}")]
pub struct Error {
    /// Path of the request.
    pub step: &'static str,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Cause of the failure.
    pub cause: String,
}

impl std::error::Error for Error {}

/// HTTP client that sends reports, loan requests and contact requests to peers.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
}

impl Client {
    /// Creates a client whose requests time out after `timeout`.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be created.
    pub fn new(timeout: Duration) -> Result<Self, reqwest::Error> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(timeout)
            .connect_timeout(timeout)
            .tcp_nodelay(true)
            .build()?;
        Ok(Self { http })
    }

    /// Sends a report and returns the response, with the bytes of both.
    ///
    /// # Errors
    ///
    /// If there is no response in time, or it cannot be decoded.
    pub async fn exchange(
        &self,
        peer: SocketAddr,
        report: &Report,
    ) -> Result<(Response, usize), Error> {
        self.call(peer, REPORT_PATH, report).await
    }

    /// Requests a loan of rate tokens from a peer. Returns its response, with the bytes of both.
    ///
    /// # Errors
    ///
    /// If there is no response in time, or it cannot be decoded.
    pub async fn borrow(
        &self,
        peer: SocketAddr,
        request: &LoanRequest,
    ) -> Result<(LoanResponse, usize), Error> {
        self.call(peer, LOAN_PATH, request).await
    }

    /// Asks a witness of a service. Returns its response, with the bytes of both.
    ///
    /// # Errors
    ///
    /// If there is no response in time, or it cannot be decoded.
    pub async fn ask_witness(
        &self,
        peer: SocketAddr,
        request: &ContactRequest,
    ) -> Result<(ContactResponse, usize), Error> {
        self.call(peer, CONTACT_PATH, request).await
    }

    async fn call<Q: Serialize + Sync, A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        step: &'static str,
        request: &Q,
    ) -> Result<(A, usize), Error> {
        let error = |cause: String| Error { step, peer, cause };
        let body = rmp_serde::to_vec(request).map_err(|cause| error(cause.to_string()))?;
        let sent = body.len();
        let post = self.http.post(format!("http://{peer}{step}")).body(body);
        let response = post
            .send()
            .await
            .and_then(reqwest::Response::error_for_status)
            .map_err(|cause| error(cause.to_string()))?;
        let body = response.bytes().await;
        let body = body.map_err(|cause| error(cause.to_string()))?;
        let decoded = rmp_serde::from_slice(&body);
        let decoded = decoded.map_err(|cause| error(cause.to_string()))?;
        Ok((decoded, sent + body.len()))
    }
}

/// Serves reports, loan requests and contact requests until `stop` is cancelled.
///
/// # Errors
///
/// If the listener fails.
pub async fn serve<H: Handler>(
    listener: Listener,
    bodies: Bodies,
    handler: H,
    stop: CancellationToken,
) -> std::io::Result<()> {
    let router = Router::new()
        .route(REPORT_PATH, post(report::<H>))
        .route(LOAN_PATH, post(loan::<H>))
        .route(CONTACT_PATH, post(contact::<H>))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .layer(middleware::from_fn_with_state(bodies, http::reserve_body))
        .with_state(Arc::new(handler));
    let server = axum::serve(listener, router).into_future();
    stop.run_until_cancelled(server).await.unwrap_or(Ok(()))
}

async fn report<H: Handler>(State(handler): State<Arc<H>>, body: Bytes) -> EncodedResponse {
    encode(&handler.exchange(decode(&body)?))
}

async fn loan<H: Handler>(State(handler): State<Arc<H>>, body: Bytes) -> EncodedResponse {
    encode(&handler.lend(decode(&body)?))
}

async fn contact<H: Handler>(State(handler): State<Arc<H>>, body: Bytes) -> EncodedResponse {
    encode(&handler.contact(decode(&body)?))
}

/// An encoded response, or the status and text of an error.
type EncodedResponse = Result<Vec<u8>, (StatusCode, String)>;

fn decode<Q: DeserializeOwned>(body: &[u8]) -> Result<Q, (StatusCode, String)> {
    rmp_serde::from_slice(body).map_err(|cause| (StatusCode::BAD_REQUEST, cause.to_string()))
}

fn encode(response: &impl Serialize) -> EncodedResponse {
    rmp_serde::to_vec(response)
        .map_err(|cause| (StatusCode::INTERNAL_SERVER_ERROR, cause.to_string()))
}
