//! Client of the operator interface, which the command line uses.

use super::{
    body::Encoding,
    message::{Accepted, Rejection},
};
use reqwest::{RequestBuilder, Response, StatusCode, header};
use std::{path::Path, time::Duration};

/// Timeout of one call. A patch waits for the confirmations of all hosts, which takes seconds if a
/// host does not respond.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// URL scheme of the operator interface. It has no TLS; the operators' network must encrypt the
/// traffic if necessary.
const SCHEME: &str = "http://";

/// Failures of a call.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// read credential file {0}: {1}
    Credential(String, String),
    /// URL of the operator interface {0:?} does not begin with http://
    Url(String),
    /// {step} at {url}: {cause}
    Unreachable {
        /// Path that was requested, or step of the client that failed.
        step: &'static str,
        /// URL of the operator interface.
        url: String,
        /// Innermost cause of the error.
        cause: String,
    },
    /// {step} at {url}: status {status}: {cause}
    Status {
        /// Path that was requested, or step of the client that failed.
        step: &'static str,
        /// URL of the operator interface.
        url: String,
        /// HTTP status code.
        status: u16,
        /// Body of the response.
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
    url: String,
    credential: String,
}

impl Client {
    /// Creates a client that authenticates with the content of a file, without leading and trailing
    /// white space.
    ///
    /// # Errors
    ///
    /// Returns an error if the URL has another scheme, the file cannot be read, or the HTTP client
    /// cannot be created.
    pub fn new(url: &str, credential_file: &Path) -> Result<Self, Error> {
        if !url.starts_with(SCHEME) {
            return Err(Error::Url(url.to_owned()));
        }
        let credential = std::fs::read_to_string(credential_file).map_err(|cause| {
            Error::Credential(credential_file.display().to_string(), cause.to_string())
        })?;
        let http = reqwest::Client::builder()
            .timeout(TIMEOUT)
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|cause| unreachable("prepare", url, &cause))?;
        Ok(Self {
            http,
            url: url.trim_end_matches('/').to_owned(),
            credential: credential.trim().to_owned(),
        })
    }

    /// Gets a JSON document.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot be reached or denies the call.
    pub async fn get(&self, path: &'static str) -> Result<serde_json::Value, Error> {
        let request = self.http.get(format!("{}{path}", self.url));
        let response = self.send(path, request).await?;
        if !response.status().is_success() {
            return Err(self.status_error(path, response).await);
        }
        self.json(path, response).await
    }

    /// Submits a patch.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot be reached, denies the call or rejects the patch.
    pub async fn patch(&self, encoding: Encoding, text: String) -> Result<Accepted, Error> {
        let step = "/patch";
        let request = self
            .http
            .post(format!("{}{step}", self.url))
            .header(header::CONTENT_TYPE, encoding.content_type())
            .body(text);
        let response = self.send(step, request).await?;
        match response.status() {
            StatusCode::OK => self.json(step, response).await,
            StatusCode::CONFLICT
            | StatusCode::UNPROCESSABLE_ENTITY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT => Err(Error::Rejected(self.json(step, response).await?)),
            _ => Err(self.status_error(step, response).await),
        }
    }

    async fn send(&self, step: &'static str, request: RequestBuilder) -> Result<Response, Error> {
        request
            .bearer_auth(&self.credential)
            .send()
            .await
            .map_err(|cause| unreachable(step, &self.url, &cause))
    }

    async fn json<T: serde::de::DeserializeOwned>(
        &self,
        step: &'static str,
        response: Response,
    ) -> Result<T, Error> {
        response
            .json()
            .await
            .map_err(|cause| unreachable(step, &self.url, &cause))
    }

    async fn status_error(&self, step: &'static str, response: Response) -> Error {
        Error::Status {
            step,
            url: self.url.clone(),
            status: response.status().as_u16(),
            cause: response.text().await.unwrap_or_default(),
        }
    }
}

/// Converts a transport error. Its innermost cause is kept, because only that names the failed
/// system call.
fn unreachable(step: &'static str, url: &str, error: &reqwest::Error) -> Error {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    Error::Unreachable {
        step,
        url: url.to_owned(),
        cause: cause.to_string(),
    }
}
