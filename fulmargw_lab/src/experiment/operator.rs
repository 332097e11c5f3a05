//! A client of the hosts' operator interfaces and of the platform's admin interface.

use crate::{
    fleet::{
        layout::{Host, Layout},
        settings::CREDENTIAL,
    },
    platform::state::Counts,
};
use fulmargw_model::{
    client_account::{Account, Digest},
    configuration::{Change, Patch, Version},
    name::Name,
};
use reqwest::{Client, StatusCode};
use serde_json::Value;
use std::{io, net::SocketAddr, time::Duration};
use tokio::time::{self, Instant};

/// Timeout of one HTTP request. A patch waits for the confirmations of all hosts.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval between two requests for a version or the health of a host.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A client of the operator interfaces of all hosts.
#[derive(Debug, Clone)]
pub struct Operator {
    http: Client,
    hosts: Vec<Host>,
    platform: SocketAddr,
}

/// Response to a patch.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Body of the response.
    pub body: String,
}

impl Operator {
    /// Creates a client.
    pub fn new(layout: &Layout) -> io::Result<Self> {
        let http = Client::builder()
            .no_proxy()
            .timeout(REQUEST_TIMEOUT)
            .build();
        Ok(Self {
            http: http.map_err(io::Error::other)?,
            hosts: layout.hosts.clone(),
            platform: layout.platform_admin,
        })
    }

    fn url(&self, host: usize, path: &str) -> String {
        format!("http://{}/{path}", self.hosts[host].operator)
    }

    async fn text(&self, host: usize, path: &str) -> io::Result<String> {
        let request = self.http.get(self.url(host, path)).bearer_auth(CREDENTIAL);
        let response = request.send().await.map_err(io::Error::other)?;
        let response = response.error_for_status().map_err(io::Error::other)?;
        response.text().await.map_err(io::Error::other)
    }

    /// Returns the metrics of a host.
    pub async fn metrics(&self, host: usize) -> io::Result<Metrics> {
        self.text(host, "metrics").await.map(Metrics)
    }

    /// Returns the configuration version in force on a host.
    pub async fn version(&self, host: usize) -> io::Result<Version> {
        let text = self.text(host, "configuration").await?;
        let value: Value = serde_json::from_str(&text)?;
        let version = value["version"].as_u64();
        version
            .map(Version)
            .ok_or_else(|| io::Error::other("configuration has no version"))
    }

    /// Waits at most until `end` for a configuration version to be in force on a host. Returns the
    /// start of the last request that did not report the version.
    pub async fn await_version(
        &self,
        host: usize,
        version: Version,
        end: Instant,
    ) -> io::Result<Instant> {
        let mut last_without = Instant::now();
        while Instant::now() < end {
            let requested = Instant::now();
            if let Ok(current) = time::timeout_at(end, self.version(host)).await
                && current.is_ok_and(|current| current >= version)
            {
                return Ok(last_without);
            }
            last_without = requested;
            time::sleep(POLL_INTERVAL).await;
        }
        let (name, version) = (&self.hosts[host].name, version.0);
        Err(io::Error::other(format!(
            "timed out waiting for version {version} on {name}"
        )))
    }

    /// Submits a patch to a host.
    pub async fn submit(&self, host: usize, patch: &Patch) -> io::Result<Response> {
        let request = self.http.post(self.url(host, "patch"));
        let request = request.bearer_auth(CREDENTIAL).json(patch);
        let response = request.send().await.map_err(io::Error::other)?;
        let status = response.status();
        let body = response.text().await.map_err(io::Error::other)?;
        Ok(Response { status, body })
    }

    /// Submits changes to the first host, based on its version, and waits until they are in force on
    /// all hosts.
    pub async fn change(&self, id: &str, changes: Vec<Change>) -> io::Result<()> {
        let base = self.version(0).await?;
        let id = id.to_owned();
        let response = self.submit(0, &Patch { base, id, changes }).await?;
        if response.status != StatusCode::OK {
            let Response { status, body } = response;
            return Err(io::Error::other(format!(
                "patch was rejected: {status}: {body}"
            )));
        }
        let end = Instant::now() + REQUEST_TIMEOUT;
        for host in 0..self.hosts.len() {
            self.await_version(host, Version(base.0 + 1), end).await?;
        }
        Ok(())
    }

    /// Waits until a host reports that it is healthy.
    pub async fn await_health(&self, host: usize) -> io::Result<()> {
        let end = Instant::now() + REQUEST_TIMEOUT;
        while Instant::now() < end {
            let health_request = self.http.get(self.url(host, "health")).send();
            let response = time::timeout_at(end, health_request).await;
            if response.is_ok_and(|response| response.is_ok_and(|it| it.status() == StatusCode::OK))
            {
                return Ok(());
            }
            time::sleep(POLL_INTERVAL).await;
        }
        let name = &self.hosts[host].name;
        Err(io::Error::other(format!(
            "timed out waiting for the health of {name}"
        )))
    }

    /// Returns the numbers of reads and writes that the platform has counted.
    pub async fn platform_counts(&self) -> io::Result<Counts> {
        let url = format!("http://{}/state", self.platform);
        let response = self.http.get(url).send().await.map_err(io::Error::other)?;
        response.json().await.map_err(io::Error::other)
    }
}

/// Returns a client account with one API key.
pub fn account(name: &str, key: &str, rate: f64, burst: f64) -> Account {
    Account {
        name: Name::new(name),
        rate,
        burst,
        keys: vec![Digest::of(key.as_bytes())],
    }
}

/// Metrics in the Prometheus text format.
#[derive(Debug)]
pub struct Metrics(String);

impl Metrics {
    /// Returns the sum of all samples of a metric whose labels contain all given texts.
    pub fn sum(&self, name: &str, labels: &[&str]) -> f64 {
        let samples = self.0.lines().filter_map(|line| {
            let rest = line.strip_prefix(name)?;
            let (set, value) = rest.rsplit_once(' ')?;
            let is_name = set.is_empty() || set.starts_with('{');
            let matches = labels.iter().all(|label| set.contains(label));
            (is_name && matches).then(|| value.parse::<f64>().ok())?
        });
        samples.sum()
    }
}
