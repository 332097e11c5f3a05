//! `[peer]`: calls to other hosts.

use super::problem::Findings;
use fulmargw_peer::client;
use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// Calls to other hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Peer {
    /// Bound of one call, in milliseconds; a silent connection is replaced then.
    pub timeout_ms: u64,
    /// Bound for sending or fetching a document, in milliseconds.
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
    /// Notes the problems of the section. An answer after the 1,500 ms for which a lease
    /// lasts would be of no use.
    pub fn check(&self, findings: &mut Findings) {
        findings.range("peer.timeout_ms", &self.timeout_ms, &(10..=1_400));
        findings.range(
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
