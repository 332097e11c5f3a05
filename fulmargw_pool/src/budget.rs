//! Memory and connections of the process, divided by purpose, and who holds them.

use crate::settings::{Callers, Limits};
use fulmargw_budget::{
    frame::Frames,
    http::Bodies,
    memory::{self, Summary},
    session::{Connection, Refusal, Session, Sessions},
    slot::Slots,
};
use fulmargw_decision::budget::sessions_per_account;
use fulmargw_model::name::Name;
use fulmargw_peer::{codec::MAX_FRAME_BYTES, report::MAX_BODY_BYTES};
use std::{net::IpAddr, time::Duration};

/// Bytes in a megabyte.
const BYTES_PER_MB: u64 = 1_000_000;
/// Time without progress after which a caller is closed when others wait for its memory.
const MESSAGE_PATIENCE: Duration = Duration::from_secs(1);
/// The same for a caller that does not read its responses, which are in memory already.
const RESPONSE_PATIENCE: Duration = Duration::from_millis(200);
/// Session state is not given up for others: it belongs to sessions that may use it again.
const STATE_PATIENCE: Duration = Duration::MAX;
/// Connections to the readiness check and to the metrics, each.
const PROBE_CONNECTIONS: usize = 16;
/// The connections of peers to one listener are limited to one in this many descriptors.
const PEER_DESCRIPTORS: usize = 8;
/// Connections without a session are limited to one in this many sessions. While a host starts they
/// also wait for the configuration, for up to 1.5 s.
const STARTING_SESSIONS: usize = 4;
/// Smallest limit of connections without a session.
const MIN_STARTING: usize = 32;

/// Percentages of the memory of the process, by purpose. The rest is for the tables, the code, the
/// sessions and the connections to backend servers.
mod percent {
    /// Messages of up to 64 KiB.
    pub const MESSAGES: u64 = 4;
    /// Longer messages.
    pub const LARGE_MESSAGES: u64 = 12;
    /// Responses that callers have not read.
    pub const RESPONSES: u64 = 12;
    /// Session state.
    pub const STATE: u64 = 8;
    /// Frames of peers that forward statements.
    pub const FRAMES: u64 = 12;
    /// Reports of peers.
    pub const REPORTS: u64 = 8;
}

/// The bounds of a process.
#[derive(Debug)]
pub struct Budget {
    /// Messages beyond what is counted for every session, up to 64 KiB.
    pub messages: memory::Budget,
    /// Longer messages.
    pub large_messages: memory::Budget,
    /// Responses that callers have not read.
    pub responses: memory::Budget,
    /// Prepared statements and variables of sessions.
    pub state: memory::Budget,
    /// Connections of callers that have not opened a session.
    pub starting: Slots,
    /// Connections of peers for statements.
    pub peer_connections: Slots,
    /// Large frames of these connections.
    pub peer_frames: Frames,
    /// Connections of peers for reports.
    pub report_connections: Slots,
    /// Large bodies of these connections.
    pub report_bodies: Bodies,
    /// Connections to the readiness check.
    pub readiness_connections: Slots,
    /// Connections to the metrics.
    pub metrics_connections: Slots,
    /// Open sessions.
    pub sessions: Sessions,
}

impl Budget {
    /// Divides the memory and the descriptors of the process.
    #[must_use]
    pub fn new(limits: &Limits) -> Self {
        let memory = |purpose, percent, patience| {
            memory::Budget::new(purpose, part(limits, percent), patience)
        };
        let bytes = |percent| usize::try_from(part(limits, percent)).unwrap_or(usize::MAX);
        let peers = peer_connections(limits);
        Self {
            messages: memory("messages", percent::MESSAGES, MESSAGE_PATIENCE),
            large_messages: memory("large_messages", percent::LARGE_MESSAGES, MESSAGE_PATIENCE),
            responses: memory("responses", percent::RESPONSES, RESPONSE_PATIENCE),
            state: memory("state", percent::STATE, STATE_PATIENCE),
            starting: Slots::new("starting", starting(limits)),
            peer_connections: Slots::new("statements", peers),
            peer_frames: Frames::new(bytes(percent::FRAMES), MAX_FRAME_BYTES),
            report_connections: Slots::new("reports", peers),
            report_bodies: Bodies::new(bytes(percent::REPORTS), MAX_BODY_BYTES),
            readiness_connections: Slots::new("readiness", PROBE_CONNECTIONS),
            metrics_connections: Slots::new("metrics", PROBE_CONNECTIONS),
            sessions: Sessions::default(),
        }
    }

    /// Applies changed limits. The memory for peers keeps its size until a restart.
    pub fn set_limits(&self, limits: &Limits) {
        self.messages.set_limit(part(limits, percent::MESSAGES));
        self.large_messages
            .set_limit(part(limits, percent::LARGE_MESSAGES));
        self.responses.set_limit(part(limits, percent::RESPONSES));
        self.state.set_limit(part(limits, percent::STATE));
        self.starting.set_most(starting(limits));
        self.peer_connections.set_most(peer_connections(limits));
        self.report_connections.set_most(peer_connections(limits));
    }

    /// Counts a connection of a caller; `None` if its address has as many as it may have.
    #[must_use]
    pub fn connect(&self, address: IpAddr, callers: &Callers) -> Option<Connection> {
        let most = match callers.sessions_per_address {
            0 => usize::MAX,
            most => most,
        };
        self.sessions.connect(address, most)
    }

    /// Counts a session of an account.
    ///
    /// # Errors
    ///
    /// If the process or the account has as many sessions as it may have.
    pub fn open_session(
        &self,
        account: &Name,
        limits: &Limits,
        callers: &Callers,
    ) -> Result<Session, Refusal> {
        let most = limits.max_sessions();
        let most_of_account = match callers.sessions_per_account {
            0 => sessions_per_account(most),
            most => most,
        };
        let opened = self.sessions.open(account, most, most_of_account);
        if opened.is_err() {
            metrics::counter!("fulmargw_pool_sessions_refused_total").increment(1);
        }
        opened
    }

    /// Returns the use of the memory by purpose.
    #[must_use]
    pub fn summaries(&self) -> [Summary; 4] {
        [
            self.messages.summary(),
            self.large_messages.summary(),
            self.responses.summary(),
            self.state.summary(),
        ]
    }
}

/// Returns a part of the memory of the process, in bytes.
fn part(limits: &Limits, percent: u64) -> u64 {
    limits.memory_mb * BYTES_PER_MB / 100 * percent
}

fn starting(limits: &Limits) -> usize {
    (limits.max_sessions() / STARTING_SESSIONS).max(MIN_STARTING)
}

fn peer_connections(limits: &Limits) -> usize {
    limits.file_descriptors as usize / PEER_DESCRIPTORS
}
