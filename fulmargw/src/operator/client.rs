//! Client of the operator interface, used by the command line.

use super::{
    body::Encoding,
    message::{Accepted, Rejection},
};
use reqwest::{RequestBuilder, Response, StatusCode, header};
use std::{path::Path, time::Duration};

/// Bound of one call. A patch waits for the hosts' confirmations, which takes seconds when a
/// host is gone.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Bound for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Scheme of the operator interface; encryption is left to the operators' network.
const SCHEME: &str = "http://";

/// Failures of a call.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// read credential file {0}: {1}
    Credential(String, String),
    /// URL of the operator interface {0:?} does not begin with http://
    Url(String),
    /// {step} at {peer}: {cause}
    Unreachable {
        /// Operation that failed.
        step: &'static str,
        /// URL of the operator interface.
        peer: String,
        /// What happened.
        cause: String,
    },
    /// {step} at {peer}: status {status}: {cause}
    Status {
        /// Operation that failed.
        step: &'static str,
        /// URL of the operator interface.
        peer: String,
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        cause: String,
    },
    /// {0}
    Rejected(Rejection),
}

impl std::error::Error for Error {}

/// A client of one host's operator interface.
#[derive(Debug)]
pub struct Client {
    http: reqwest::Client,
    peer: String,
    credential: String,
}

impl Client {
    /// Makes a client that presents the credential in a file, without surrounding space.
    ///
    /// # Errors
    ///
    /// The URL has another scheme, the file cannot be read, or the HTTP client cannot be made.
    pub fn new(peer: &str, credential_file: &Path) -> Result<Self, Error> {
        if !peer.starts_with(SCHEME) {
            return Err(Error::Url(peer.to_owned()));
        }
        let credential = std::fs::read_to_string(credential_file).map_err(|cause| {
            Error::Credential(credential_file.display().to_string(), cause.to_string())
        })?;
        let http = reqwest::Client::builder()
            .timeout(TIMEOUT)
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|cause| unreachable("prepare", peer, &cause))?;
        Ok(Self {
            http,
            peer: peer.trim_end_matches('/').to_owned(),
            credential: credential.trim().to_owned(),
        })
    }

    /// Gets a JSON document.
    ///
    /// # Errors
    ///
    /// The host cannot be reached, or it denies the call.
    pub async fn get(&self, path: &'static str) -> Result<serde_json::Value, Error> {
        let request = self.http.get(format!("{}{path}", self.peer));
        let response = self.send(path, request).await?;
        if !response.status().is_success() {
            return Err(self.denied(path, response).await);
        }
        self.json(path, response).await
    }

    /// Submits a patch.
    ///
    /// # Errors
    ///
    /// The host cannot be reached, denies the call or rejects the patch.
    pub async fn patch(&self, encoding: Encoding, text: String) -> Result<Accepted, Error> {
        let step = "/patch";
        let request = self
            .http
            .post(format!("{}{step}", self.peer))
            .header(header::CONTENT_TYPE, encoding.content_type())
            .body(text);
        let response = self.send(step, request).await?;
        match response.status() {
            StatusCode::OK => self.json(step, response).await,
            StatusCode::CONFLICT
            | StatusCode::UNPROCESSABLE_ENTITY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT => Err(Error::Rejected(self.json(step, response).await?)),
            _ => Err(self.denied(step, response).await),
        }
    }

    async fn send(&self, step: &'static str, request: RequestBuilder) -> Result<Response, Error> {
        request
            .bearer_auth(&self.credential)
            .send()
            .await
            .map_err(|cause| unreachable(step, &self.peer, &cause))
    }

    async fn json<T: serde::de::DeserializeOwned>(
        &self,
        step: &'static str,
        response: Response,
    ) -> Result<T, Error> {
        response
            .json()
            .await
            .map_err(|cause| unreachable(step, &self.peer, &cause))
    }

    async fn denied(&self, step: &'static str, response: Response) -> Error {
        Error::Status {
            step,
            peer: self.peer.clone(),
            status: response.status().as_u16(),
            cause: response.text().await.unwrap_or_default(),
        }
    }
}

/// Describes a transport error with its innermost cause, which names the failed operation.
fn unreachable(step: &'static str, peer: &str, error: &reqwest::Error) -> Error {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    Error::Unreachable {
        step,
        peer: peer.to_owned(),
        cause: cause.to_string(),
    }
}
