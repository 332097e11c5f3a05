//! `[peer]`: calls to peers.

use super::problem::Findings;
use fulmargw_peer::client;
use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// Calls to peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Peer {
    /// Timeout of one call, in milliseconds. After a timeout the connection is replaced.
    pub timeout_ms: u64,
    /// Timeout for sending or fetching a document, in milliseconds.
    pub document_timeout_ms: u64,
}

impl Default for Peer {
    fn default() -> Self {
        let settings = client::Settings::default();
        Self {
            timeout_ms: settings.timeout_ms,
            document_timeout_ms: settings.document_timeout_ms,
        }
    }
}

impl Peer {
    /// Checks the section and adds its problems to `findings`. The timeout of a call must be less
    /// than the 1,500 ms for which a lease lasts, because a later response is of no use.
    pub fn check(&self, findings: &mut Findings) {
        findings.check_range("peer.timeout_ms", &self.timeout_ms, &(10..=1_400));
        findings.check_range(
            "peer.document_timeout_ms",
            &self.document_timeout_ms,
            &(10..=30_000),
        );
    }

    /// Returns the settings of the client.
    #[must_use]
    pub fn client(&self, source: Option<IpAddr>) -> client::Settings {
        client::Settings {
            timeout_ms: self.timeout_ms,
            document_timeout_ms: self.document_timeout_ms,
            source,
        }
    }
}
