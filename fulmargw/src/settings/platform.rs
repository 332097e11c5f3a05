//! `[platform]`: the platform's table service and host list.

use super::problem::Findings;
use fulmargw_platform::client;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// The platform's table service and host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Addresses of the platform's HTTP interface. After a failed call the next address is used.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of one call, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Timeout for opening a connection, in milliseconds.
    #[serde(default = "default_connect_timeout_ms")]
    pub connect_timeout_ms: u64,
}

fn default_timeout_ms() -> u64 {
    client::Settings::default().timeout_ms
}

fn default_connect_timeout_ms() -> u64 {
    client::Settings::default().connect_timeout_ms
}

impl Platform {
    /// Checks the section and adds its problems to `findings`.
    pub fn check(&self, findings: &mut Findings) {
        findings.check_range("platform.timeout_ms", &self.timeout_ms, &(10..=30_000));
        findings.check_range(
            "platform.connect_timeout_ms",
            &self.connect_timeout_ms,
            &(10..=30_000),
        );
        if self.addresses.is_empty() {
            findings.add("platform.addresses", "is empty");
        }
        for address in &self.addresses {
            if address.ip().is_unspecified() || address.port() == 0 {
                findings.add(
                    "platform.addresses",
                    format!("{address} cannot be connected to"),
                );
            }
        }
    }

    /// Returns the settings of the client.
    #[must_use]
    pub fn client(&self, source: Option<IpAddr>) -> client::Settings {
        client::Settings {
            addresses: self.addresses.clone(),
            timeout_ms: self.timeout_ms,
            connect_timeout_ms: self.connect_timeout_ms,
            source,
        }
    }
}
