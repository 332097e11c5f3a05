//! Gossip-style failure detection: in each round a host exchanges reports with a few peers, and the
//! reports say how long ago each host was last seen.
//!
//! A round takes longer the more hosts there are, so that the bytes a second of a host stay bounded.
//! What one host knows has reached all others after a number of rounds that grows with the logarithm
//! of the fleet's size.

use fulmargw_model::name::Name;
use serde::{Deserialize, Serialize};
use std::{
    hash::{DefaultHasher, Hash as _, Hasher as _},
    time::Duration,
};

/// Number of peers to which a host reports in one round; each of them responds with its own report.
pub const FANOUT: usize = 4;
/// Of these, the number in other zones, if statements are placed by zone. Bytes between zones are
/// expensive, and news that one host of a zone has reach its other hosts in few rounds.
const FAR_FANOUT: usize = 1;
/// Minimum time between two rounds of reports.
pub const MIN_ROUND: Duration = Duration::from_millis(500);
/// Minimum time since a host was last seen after which it counts as unresponsive.
pub const MIN_PEER_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Number of peers above which rounds take longer.
const PEERS_AT_MIN_ROUND: f64 = 8.0;
/// Rounds that news of a host may take beyond those that it needs on average. Lost reports and the
/// random choice of peers delay it.
const SPARE_ROUNDS: u32 = 3;
/// Resolution of a reported age.
const AGE_UNIT: Duration = Duration::from_millis(100);

/// Intervals of a fleet of some size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time between two rounds of reports.
    pub round: Duration,
    /// Time since a host was last seen after which it counts as unresponsive.
    pub peer_timeout: Duration,
}

impl Timing {
    /// Returns the intervals of a fleet of `hosts` hosts.
    #[must_use]
    pub fn of(hosts: u32) -> Self {
        // A report has a fixed part and a part that grows with the number of hosts. With the square
        // root, hosts of a large fleet send fewer bytes a second than those of a small one, and
        // still notice an unresponsive host soon.
        let peers = f64::from(hosts.saturating_sub(1));
        let round = MIN_ROUND.mul_f64((peers / PEERS_AT_MIN_ROUND).sqrt().max(1.0));
        let spread = match rounds_to_reach(hosts) {
            // Each host reports to all others in one round or two.
            0 | 1 => 0,
            rounds => rounds,
        };
        let peer_timeout = MIN_PEER_TIMEOUT.max(round * (spread + SPARE_ROUNDS));
        Self {
            round,
            peer_timeout,
        }
    }
}

/// Returns the number of rounds in which a message reaches all hosts if each one passes it to
/// [`FANOUT`] others and as many fetch it.
fn rounds_to_reach(hosts: u32) -> u32 {
    let factor = 2 * FANOUT + 1;
    let mut reached = 1_usize;
    let mut rounds = 0;
    while reached < usize::try_from(hosts).unwrap_or(usize::MAX) {
        reached = reached.saturating_mul(factor);
        rounds += 1;
    }
    rounds
}

/// Time since a host was last seen, rounded up to tenths of a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Age(u16);

impl Age {
    /// The host was not seen, or too long ago.
    pub const UNKNOWN: Self = Self(u16::MAX);

    /// Returns the age as a duration; `None` if it is unknown.
    #[must_use]
    pub fn duration(self) -> Option<Duration> {
        (self != Self::UNKNOWN).then(|| AGE_UNIT * u32::from(self.0))
    }
}

impl From<Duration> for Age {
    fn from(age: Duration) -> Self {
        let units = age.as_millis().div_ceil(AGE_UNIT.as_millis());
        Self(u16::try_from(units).unwrap_or(u16::MAX))
    }
}

/// Returns the numbers of peers in the same zone and in other zones to which a host reports in one
/// round, out of `near` and `far` peers.
#[must_use]
pub fn fanout_by_zone(near: usize, far: usize) -> (usize, usize) {
    let near = near.min(FANOUT.saturating_sub(FAR_FANOUT.min(far)));
    (near, far.min(FANOUT - near))
}

/// The order in which a host reports to its peers: each of them once in a cycle, in an order that
/// differs from host to host and from cycle to cycle, so that no peer gets the reports of many hosts
/// in the same round.
#[derive(Debug, Clone, Default)]
pub struct Rotation {
    cycle: u64,
    left: Vec<Name>,
}

impl Rotation {
    /// Starts a new cycle, for example because the list of peers changed.
    pub fn restart(&mut self) {
        self.left.clear();
    }

    /// Returns up to `count` peers of the next round.
    pub fn next<'a>(
        &mut self,
        own: &Name,
        peers: &(impl ExactSizeIterator<Item = &'a Name> + Clone),
        count: usize,
    ) -> Vec<Name> {
        let count = count.min(peers.len());
        let mut round = Vec::with_capacity(count);
        while round.len() < count {
            if self.left.is_empty() {
                self.cycle += 1;
                self.left = peers.clone().cloned().collect();
                let cycle = self.cycle;
                self.left
                    .sort_by_cached_key(|peer| weight(cycle, own, peer));
            }
            // The last round of a cycle and the first one of the next may choose the same peer.
            if let Some(peer) = self.left.pop().filter(|peer| !round.contains(peer)) {
                round.push(peer);
            }
        }
        round
    }
}

fn weight(cycle: u64, own: &Name, peer: &Name) -> u64 {
    let mut hasher = DefaultHasher::new();
    (cycle, own, peer).hash(&mut hasher);
    hasher.finish()
}
