//! The operator interfaces of a fleet's hosts and the platform's counts.

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

/// Bound of one call. A patch waits for the confirmations of all hosts.
const TIMEOUT: Duration = Duration::from_secs(8);
/// Pause between two questions whether something is in force.
const POLL: Duration = Duration::from_millis(5);

/// A client of the operator interfaces.
#[derive(Debug, Clone)]
pub struct Operator {
    http: Client,
    hosts: Vec<Host>,
    platform: SocketAddr,
}

/// What became of a patch.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Body of the answer.
    pub body: String,
}

impl Operator {
    /// Makes a client.
    pub fn new(layout: &Layout) -> io::Result<Self> {
        let http = Client::builder().no_proxy().timeout(TIMEOUT).build();
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
        let answer = request.send().await.map_err(io::Error::other)?;
        let answer = answer.error_for_status().map_err(io::Error::other)?;
        answer.text().await.map_err(io::Error::other)
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
            .ok_or_else(|| io::Error::other("a configuration has no version"))
    }

    /// Waits until a host has a configuration version in force, at most until `end`, and
    /// returns the time at which the host was last seen without it.
    pub async fn await_version(
        &self,
        host: usize,
        version: Version,
        end: Instant,
    ) -> io::Result<Instant> {
        let mut without = Instant::now();
        while Instant::now() < end {
            let asked = Instant::now();
            if let Ok(known) = time::timeout_at(end, self.version(host)).await
                && known.is_ok_and(|known| known >= version)
            {
                return Ok(without);
            }
            without = asked;
            time::sleep(POLL).await;
        }
        let (name, version) = (&self.hosts[host].name, version.0);
        Err(io::Error::other(format!(
            "version {version} is not in force on {name} in time"
        )))
    }

    /// Submits a patch to a host.
    pub async fn submit(&self, host: usize, patch: &Patch) -> io::Result<Response> {
        let request = self.http.post(self.url(host, "patch"));
        let request = request.bearer_auth(CREDENTIAL).json(patch);
        let answer = request.send().await.map_err(io::Error::other)?;
        let status = answer.status();
        let body = answer.text().await.map_err(io::Error::other)?;
        Ok(Response { status, body })
    }

    /// Makes changes through the first host against its version, and waits until they are in
    /// force on all hosts.
    pub async fn change(&self, id: &str, changes: Vec<Change>) -> io::Result<()> {
        let base = self.version(0).await?;
        let id = id.to_owned();
        let answer = self.submit(0, &Patch { base, id, changes }).await?;
        if answer.status != StatusCode::OK {
            let Response { status, body } = answer;
            return Err(io::Error::other(format!("patch: {status}: {body}")));
        }
        let end = Instant::now() + TIMEOUT;
        for host in 0..self.hosts.len() {
            self.await_version(host, Version(base.0 + 1), end).await?;
        }
        Ok(())
    }

    /// Waits until a host serves.
    pub async fn await_health(&self, host: usize) -> io::Result<()> {
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            let asked = self.http.get(self.url(host, "health")).send();
            let answer = time::timeout_at(end, asked).await;
            if answer.is_ok_and(|answer| answer.is_ok_and(|it| it.status() == StatusCode::OK)) {
                return Ok(());
            }
            time::sleep(POLL).await;
        }
        let name = &self.hosts[host].name;
        Err(io::Error::other(format!("{name} does not serve in time")))
    }

    /// Returns what the platform counted.
    pub async fn platform_counts(&self) -> io::Result<Counts> {
        let url = format!("http://{}/state", self.platform);
        let answer = self.http.get(url).send().await.map_err(io::Error::other)?;
        answer.json().await.map_err(io::Error::other)
    }
}

/// Makes an account with one key.
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
    /// Adds up all samples of a name whose labels contain all these texts.
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
