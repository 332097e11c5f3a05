//! Bounds of the connections and the memory of a process.

use crate::settings::host::Host;
use fulmargw_budget::{frame::Frames, slot::Slots};
use fulmargw_decision::budget::sessions_per_account;
use fulmargw_frontend::settings::Settings;
use fulmargw_peer::codec::MAX_FRAME_BYTES;
use nix::sys::resource::{Resource, getrlimit};

/// Descriptors for files, listeners and connections to the platform, to hosts and to backend servers.
const RESERVED_DESCRIPTORS: usize = 192;
/// Descriptors if the limit of the process cannot be read.
const DEFAULT_DESCRIPTORS: usize = 1_024;
/// Memory that is counted for every session, in bytes.
const SESSION_BYTES: usize = 16 * 1024;
/// Bytes in a megabyte.
const BYTES_PER_MB: usize = 1_000_000;
/// Part of the memory for large messages of callers, in percent.
const MESSAGES_PERCENT: usize = 20;
/// Part of the memory for large frames of peers, in percent.
const FRAMES_PERCENT: usize = 10;
/// Smallest number of connections to a listener.
const MIN_CONNECTIONS: usize = 32;

/// Bounds of a process.
#[derive(Debug)]
pub struct Bounds {
    memory_bytes: usize,
    descriptors: usize,
}

impl Bounds {
    /// Returns the bounds that follow from the settings and the limits of the process.
    #[must_use]
    pub fn new(host: &Host) -> Self {
        let memory_mb = usize::try_from(host.memory_mb).unwrap_or(usize::MAX);
        let descriptors = match host.file_descriptors {
            0 => getrlimit(Resource::RLIMIT_NOFILE).map_or(DEFAULT_DESCRIPTORS, |(soft, _)| {
                usize::try_from(soft).unwrap_or(usize::MAX)
            }),
            set => usize::try_from(set).unwrap_or(usize::MAX),
        };
        Self {
            memory_bytes: memory_mb.saturating_mul(BYTES_PER_MB),
            descriptors,
        }
    }

    /// Bounds the sessions of callers and their large messages.
    pub fn apply(&self, settings: &mut Settings) {
        let by_descriptors = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
        let by_memory = self.memory_bytes / 2 / SESSION_BYTES;
        settings.sessions = by_descriptors.min(by_memory).max(1);
        settings.sessions_per_account = sessions_per_account(settings.sessions);
        settings.message_memory_bytes = self.percent(MESSAGES_PERCENT) as u64;
    }

    /// Returns the places for connections of peers.
    #[must_use]
    pub fn peers(&self) -> Slots {
        Slots::new("peer", self.part(8))
    }

    /// Returns the memory for large frames of peers.
    #[must_use]
    pub fn frames(&self) -> Frames {
        Frames::new(self.percent(FRAMES_PERCENT), MAX_FRAME_BYTES)
    }

    /// Returns the places for connections for documents.
    #[must_use]
    pub fn documents(&self) -> Slots {
        Slots::new("document", self.part(16))
    }

    /// Returns the places for connections of operators and of the balancer.
    #[must_use]
    pub fn operators(&self) -> Slots {
        Slots::new("operator", self.part(16))
    }

    fn part(&self, divisor: usize) -> usize {
        (self.descriptors / divisor).max(MIN_CONNECTIONS)
    }

    fn percent(&self, percent: usize) -> usize {
        self.memory_bytes / 100 * percent
    }
}
