//! `[frontend]`: the PostgreSQL interface for callers.

use super::problem::Findings;
use fulmargw_frontend::settings;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Maximum timeout of a request, in milliseconds. Records of requests are kept for 15 minutes, so a
/// request must end well before that.
const MAX_DEADLINE_MS: u64 = 300_000;

/// The PostgreSQL interface for callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Frontend {
    /// Address on which callers connect.
    pub address: SocketAddr,
    /// Limits of caller connections and their requests.
    #[serde(default)]
    pub limits: Limits,
}

/// Limits of caller connections and their requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Timeout for the start-up messages of a caller, in milliseconds.
    pub startup_timeout_ms: u64,
    /// Idle timeout of a connection outside a transaction, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Idle timeout of a connection in an open transaction, in milliseconds.
    pub transaction_idle_timeout_ms: u64,
    /// Timeout for writing a response to a caller, in milliseconds.
    pub write_timeout_ms: u64,
    /// Timeout for the rest of a message after its first bytes, in milliseconds.
    pub message_timeout_ms: u64,
    /// Timeout of a request including waiting, in milliseconds.
    pub deadline_ms: u64,
    /// Time for open transactions to finish during a graceful stop, in milliseconds.
    pub drain_ms: u64,
    /// Time for a running request to finish after its key was withdrawn, in milliseconds.
    pub withdrawal_grace_ms: u64,
    /// Maximum length of one message or batch, in bytes.
    pub maximum_frame_bytes: usize,
    /// Maximum number of open connections per caller address.
    pub connections_per_address: usize,
    /// Maximum number of named prepared statements per session.
    pub prepared_statements: usize,
    /// Maximum length of all prepared statements of a session, in bytes.
    pub prepared_bytes: usize,
    /// Server version reported to callers.
    pub server_version: String,
}

impl Default for Limits {
    fn default() -> Self {
        let settings = settings::Settings::default();
        Self {
            startup_timeout_ms: milliseconds(settings.startup_timeout),
            idle_timeout_ms: milliseconds(settings.idle_timeout),
            transaction_idle_timeout_ms: milliseconds(settings.transaction_idle_timeout),
            write_timeout_ms: milliseconds(settings.write_timeout),
            message_timeout_ms: milliseconds(settings.message_timeout),
            deadline_ms: milliseconds(settings.deadline),
            drain_ms: milliseconds(settings.drain),
            withdrawal_grace_ms: milliseconds(settings.withdrawal_grace),
            maximum_frame_bytes: settings.maximum_frame_bytes,
            connections_per_address: settings.connections_per_address,
            prepared_statements: settings.prepared_statements,
            prepared_bytes: settings.prepared_bytes,
            server_version: settings.server_version,
        }
    }
}

impl From<&Limits> for settings::Settings {
    fn from(limits: &Limits) -> Self {
        Self {
            startup_timeout: Duration::from_millis(limits.startup_timeout_ms),
            idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
            transaction_idle_timeout: Duration::from_millis(limits.transaction_idle_timeout_ms),
            write_timeout: Duration::from_millis(limits.write_timeout_ms),
            maximum_frame_bytes: limits.maximum_frame_bytes,
            connections_per_address: limits.connections_per_address,
            deadline: Duration::from_millis(limits.deadline_ms),
            drain: Duration::from_millis(limits.drain_ms),
            withdrawal_grace: Duration::from_millis(limits.withdrawal_grace_ms),
            prepared_statements: limits.prepared_statements,
            prepared_bytes: limits.prepared_bytes,
            server_version: limits.server_version.clone(),
            message_timeout: Duration::from_millis(limits.message_timeout_ms),
            ..Self::default()
        }
    }
}

impl Limits {
    /// Checks the section and adds its problems to `findings`.
    pub fn check(&self, findings: &mut Findings) {
        let durations = [
            ("startup_timeout_ms", self.startup_timeout_ms, 100..=60_000),
            ("idle_timeout_ms", self.idle_timeout_ms, 1_000..=86_400_000),
            (
                "transaction_idle_timeout_ms",
                self.transaction_idle_timeout_ms,
                100..=3_600_000,
            ),
            ("write_timeout_ms", self.write_timeout_ms, 100..=600_000),
            ("message_timeout_ms", self.message_timeout_ms, 100..=600_000),
            ("deadline_ms", self.deadline_ms, 10..=MAX_DEADLINE_MS),
            ("drain_ms", self.drain_ms, 0..=600_000),
            ("withdrawal_grace_ms", self.withdrawal_grace_ms, 0..=1_500),
        ];
        for (key, value, range) in durations {
            findings.check_range(&format!("frontend.limits.{key}"), &value, &range);
        }
        let sizes = [
            (
                "maximum_frame_bytes",
                self.maximum_frame_bytes,
                1_024..=1_073_741_824,
            ),
            (
                "connections_per_address",
                self.connections_per_address,
                1..=10_000_000,
            ),
            ("prepared_statements", self.prepared_statements, 0..=65_536),
            ("prepared_bytes", self.prepared_bytes, 0..=1_073_741_824),
        ];
        for (key, value, range) in sizes {
            findings.check_range(&format!("frontend.limits.{key}"), &value, &range);
        }
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
