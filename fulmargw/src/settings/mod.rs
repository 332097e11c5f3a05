//! Settings of `fulmargw serve`, read once from a TOML file.

pub mod backend;
pub mod control;
pub mod engine;
pub mod frontend;
pub mod host;
pub mod locate;
pub mod log;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod problem;

use problem::{Error, Findings, Problem};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

/// All sections of the settings file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity and addresses of this host.
    pub host: host::Host,
    /// PostgreSQL interface for callers.
    pub frontend: frontend::Frontend,
    /// HTTP interface for operators and the balancer.
    pub operator: operator::Operator,
    /// Platform with its table service and host list.
    pub platform: platform::Platform,
    /// Calls to peers.
    #[serde(default)]
    pub peer: peer::Peer,
    /// Lease, membership, rates and configuration.
    #[serde(default)]
    pub control: control::Control,
    /// Workers, probes, queues and timeouts.
    #[serde(default)]
    pub engine: engine::Engine,
    /// Connections to backend servers.
    #[serde(default)]
    pub backend: backend::Backend,
    /// Level, format and destination of log lines.
    #[serde(default)]
    pub log: log::Log,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or with every problem found in it.
    pub fn load(file: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(file).map_err(|cause| Error::Unreadable {
            file: file.to_owned(),
            cause: cause.to_string(),
        })?;
        Self::parse(file, &text)
    }

    /// Parses and checks the text of a settings file; `file` is used in errors only.
    ///
    /// # Errors
    ///
    /// Returns every problem that was found.
    pub fn parse(file: &Path, text: &str) -> Result<Self, Error> {
        let settings: Self = decode(file, text).map_err(|problem| Error::Invalid(vec![problem]))?;
        let problems = Problem::locate(file, text, settings.check());
        if problems.is_empty() {
            return Ok(settings);
        }
        Err(Error::Invalid(problems))
    }

    fn check(&self) -> Findings {
        let mut findings = Findings::default();
        self.host.check(&mut findings);
        self.frontend.limits.check(&mut findings);
        self.platform.check(&mut findings);
        self.peer.check(&mut findings);
        control::check(&self.control, &mut findings);
        engine::check(&self.engine, &mut findings);
        self.backend.check(&mut findings);
        self.log.check(&mut findings);
        self.check_addresses(&mut findings);
        findings
    }

    /// Checks that the listening addresses differ, so that callers cannot reach the operator
    /// interface.
    fn check_addresses(&self, findings: &mut Findings) {
        let addresses = self.listening_addresses();
        for (index, (key, address)) in addresses.iter().enumerate() {
            if address.port() == 0 {
                findings.add(key, "port 0 is not a port that others can connect to");
            }
            for (other_key, other) in &addresses[..index] {
                if overlap(*address, *other) {
                    findings.add(key, format!("{address} is also used by {other_key}"));
                }
            }
        }
    }

    fn listening_addresses(&self) -> [(&'static str, SocketAddr); 4] {
        [
            ("host.peer_address", self.host.peer_address),
            ("host.document_address", self.host.document_address),
            ("frontend.address", self.frontend.address),
            ("operator.address", self.operator.address),
        ]
    }
}

/// Reports whether both addresses cannot be bound at the same time.
fn overlap(one: SocketAddr, other: SocketAddr) -> bool {
    let same_ip = one.ip() == other.ip();
    let any_ip = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && (same_ip || any_ip)
}

/// Decodes a settings file. An error names the line and the key.
pub(crate) fn decode<T: DeserializeOwned>(file: &Path, text: &str) -> Result<T, Problem> {
    let problem = |line, key, cause| Problem {
        file: PathBuf::from(file),
        line,
        key,
        cause,
    };
    let at = |error: &toml::de::Error| {
        let span = error.span().unwrap_or_default();
        locate::line_at(text, span.start)
    };
    let document = toml::Deserializer::parse(text)
        .map_err(|error| problem(at(&error), String::new(), error.message().to_owned()))?;
    serde_path_to_error::deserialize(document).map_err(|error| {
        let key = match error.path().to_string() {
            path if path == "." => String::new(),
            path => path,
        };
        problem(at(error.inner()), key, error.inner().message().to_owned())
    })
}
