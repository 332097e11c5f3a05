//! Why a host rolls back an open transaction.

use serde::{Deserialize, Serialize};

/// Why a host rolls back an open transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// The host is stopping.
    Stopping,
    /// The zone of the backend server is evacuated.
    ZoneEvacuated,
    /// The API key no longer belongs to the account for which the transaction was admitted.
    KeyWithdrawn,
    /// The caller sent nothing for the idle timeout.
    Idle,
    /// The connection to the backend server, or that between two hosts, has ended.
    Disconnected,
}

impl Cause {
    /// Returns the name for metrics and log lines.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Stopping => "stopping",
            Self::ZoneEvacuated => "zone_evacuated",
            Self::KeyWithdrawn => "key_withdrawn",
            Self::Idle => "idle",
            Self::Disconnected => "disconnected",
        }
    }

    /// Returns the text that the caller is told.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Self::Stopping => "the host is stopping",
            Self::ZoneEvacuated => "the zone of the backend server is evacuated",
            Self::KeyWithdrawn => "the API key was withdrawn",
            Self::Idle => "the transaction was idle for too long",
            Self::Disconnected => "the connection was lost",
        }
    }
}
