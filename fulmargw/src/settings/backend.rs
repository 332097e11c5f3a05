//! `[backend]`: connections to backend servers.

use super::problem::Findings;
use fulmargw_backend::postgres;
use serde::{Deserialize, Serialize};
use std::{net::IpAddr, time::Duration};

/// Connections to backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Backend {
    /// User name for connections to the backend servers.
    pub user: String,
    /// Database name for connections to the backend servers.
    pub database: String,
    /// Maximum length of one response, in bytes.
    pub answer_limit_bytes: usize,
}

impl Default for Backend {
    /// With the default response limit, the longest responses of 64 workers fit into 1 GiB.
    fn default() -> Self {
        Self {
            user: "fulmargw".to_owned(),
            database: "fulmargw".to_owned(),
            answer_limit_bytes: 16 * 1024 * 1024,
        }
    }
}

impl Backend {
    /// Checks the section and adds its problems to `findings`.
    pub fn check(&self, findings: &mut Findings) {
        for (key, value) in [
            ("backend.user", &self.user),
            ("backend.database", &self.database),
        ] {
            if value.is_empty() || value.contains('\0') {
                findings.add(key, "is empty or contains a NUL character");
            }
        }
        findings.check_range(
            "backend.answer_limit_bytes",
            &self.answer_limit_bytes,
            &(1_024..=1_073_741_824),
        );
    }

    /// Returns the settings of the connector.
    #[must_use]
    pub fn connector(
        &self,
        source: Option<IpAddr>,
        connect_timeout: Duration,
    ) -> postgres::Settings {
        postgres::Settings {
            source,
            user: self.user.clone(),
            database: self.database.clone(),
            connect_timeout,
            answer_limit_bytes: self.answer_limit_bytes,
        }
    }
}
