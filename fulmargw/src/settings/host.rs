//! `[host]`: identity and addresses of this host.

use super::problem::Findings;
use fulmargw_model::{availability_zone::Zone, host, name::Name};
use serde::{Deserialize, Serialize};
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

/// Identity and addresses of this host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Unique name of the host.
    pub name: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Address where peers connect with the peer protocol.
    pub peer_address: SocketAddr,
    /// Address where peers fetch documents over HTTP.
    pub document_address: SocketAddr,
    /// Local address of outgoing connections; `None` lets the operating system choose.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source_ip: Option<IpAddr>,
    /// Timeout of a graceful stop, in milliseconds.
    #[serde(default = "default_stop_timeout_ms")]
    pub stop_timeout_ms: u64,
    /// Memory available to the process, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// File descriptors available to the process; 0 for the limit with which it was started.
    #[serde(default)]
    pub file_descriptors: u64,
    /// Delay between the first failing health check and the end of accepting callers, in
    /// milliseconds.
    #[serde(default = "default_stop_notice_ms")]
    pub stop_notice_ms: u64,
}

fn default_memory_mb() -> u64 {
    256
}

fn default_stop_timeout_ms() -> u64 {
    30_000
}

/// Within this time, a balancer that probes every 500 ms and needs two failures removes the host.
fn default_stop_notice_ms() -> u64 {
    1_500
}

impl Host {
    /// Checks the section and adds its problems to `findings`.
    pub fn check(&self, findings: &mut Findings) {
        for (key, name) in [("host.name", &self.name), ("host.zone", &self.zone)] {
            if !name.is_valid() {
                findings.add(
                    key,
                    format!(
                        "{name:?} is not 1 to {} ASCII letters, digits, '-', '_' or '.'",
                        Name::MAX_BYTES
                    ),
                );
            }
        }
        for (key, address) in [
            ("host.peer_address", self.peer_address),
            ("host.document_address", self.document_address),
        ] {
            if address.ip().is_unspecified() {
                findings.add(
                    key,
                    format!("{address} is not an address that other hosts can connect to"),
                );
            }
        }
        findings.check_range(
            "host.stop_timeout_ms",
            &self.stop_timeout_ms,
            &(1..=600_000),
        );
        findings.check_range("host.memory_mb", &self.memory_mb, &(64..=1_048_576));
        if (1..256).contains(&self.file_descriptors) {
            findings.add("host.file_descriptors", "is neither 0 nor at least 256");
        }
        findings.check_range("host.stop_notice_ms", &self.stop_notice_ms, &(0..=60_000));
        if self.stop_notice_ms >= self.stop_timeout_ms {
            findings.add(
                "host.stop_notice_ms",
                "is not less than host.stop_timeout_ms",
            );
        }
    }

    /// Returns the identity of this host in the fleet.
    #[must_use]
    pub fn identity(&self) -> host::Host {
        host::Host {
            name: self.name.clone(),
            zone: Zone(self.zone.clone()),
            address: self.peer_address,
            document_address: self.document_address,
        }
    }

    /// Returns the timeout of a graceful stop.
    #[must_use]
    pub const fn stop_timeout(&self) -> Duration {
        Duration::from_millis(self.stop_timeout_ms)
    }

    /// Returns the delay between the first failing health check and the end of accepting callers.
    #[must_use]
    pub const fn stop_notice(&self) -> Duration {
        Duration::from_millis(self.stop_notice_ms)
    }
}
