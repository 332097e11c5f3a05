//! `[platform]`: the platform's table service and host list.

use {
    super::problem::Findings,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// The platform's table service and host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the platform's HTTP interface.
    pub address: SocketAddr,
    /// Bound of one call, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_timeout_ms() -> u64 {
    1_000
}

impl Platform {
    /// Notes the problems of the section.
    pub fn check(&self, findings: &mut Findings) {
        findings.range("platform.timeout_ms", &self.timeout_ms, &(10..=30_000));
        if self.address.ip().is_unspecified() || self.address.port() == 0 {
            findings.add(
                "platform.address",
                format!("{} is not an address to connect to", self.address),
            );
        }
    }

    /// Returns the bound of one call.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}
