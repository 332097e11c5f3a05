//! Placement by availability zone: which host runs the statements of a service on the servers of a
//! zone, which zone runs a statement, and when a host passes a read on to another zone.

use crate::rendezvous;
use fulmargw_model::name::Name;
use serde::{Deserialize, Serialize};
use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

/// A host whose capacity is at least this fraction of the greatest one in its zone ranks before all
/// others there.
const LARGE_HOST_FRACTION: f64 = 0.6;
/// Fraction of its latency objective that a read may wait in its own zone.
const MAX_WAIT_FRACTION: f64 = 0.25;
/// Longest time for which a zone that has passed a read on gets no reads that another zone can run.
pub const MAX_BUSY_TIME: Duration = Duration::from_millis(100);

/// Processor capacity of a host, in thousandths of a core.
pub type Millicores = u32;

/// Returns the rankings of a zone's hosts by service; the first host that is available runs the
/// service's statements on the servers of the zone.
///
/// Hosts with nearly the greatest capacity rank before others. The services are distributed over
/// these so that none is first for more of them than its part of their capacity allows: with a few
/// services, hashing alone often puts most of them on one host.
#[must_use]
pub fn rankings(
    zone: &Name,
    services: &[Name],
    hosts: &[(Name, Millicores)],
) -> BTreeMap<Name, Vec<Name>> {
    let greatest = hosts.iter().map(|(_, capacity)| *capacity).max();
    let threshold = f64::from(greatest.unwrap_or(0)) * LARGE_HOST_FRACTION;
    let is_large = |host: &&(Name, Millicores)| f64::from(host.1) >= threshold;
    let large: Vec<_> = hosts.iter().filter(is_large).collect();
    let small: Vec<_> = hosts.iter().filter(|host| !is_large(host)).collect();
    let total: f64 = large.iter().map(|(_, capacity)| f64::from(*capacity)).sum();
    #[allow(
        clippy::cast_precision_loss,
        reason = "the number of services is far below 2^52"
    )]
    let count = services.len() as f64;
    let mut quotas: BTreeMap<&Name, f64> = large
        .iter()
        .map(|(host, capacity)| (host, (count * f64::from(*capacity) / total).ceil()))
        .collect();
    let mut sorted: Vec<&Name> = services.iter().collect();
    sorted.sort_unstable();
    let rank = |key: &[u8], hosts: &[&(Name, Millicores)]| -> Vec<Name> {
        let shares = hosts.iter().map(|host| (&host.0, f64::from(host.1)));
        let ranking = rendezvous::weighted_ranking(key, shares);
        ranking.into_iter().cloned().collect()
    };
    // The small hosts run statements only while no large one is available, so they are hashed once
    // for all services. Each service begins with another one of them.
    let reserves = rank(zone.as_str().as_bytes(), &small);
    let mut rankings = BTreeMap::new();
    for (index, service) in sorted.iter().copied().enumerate() {
        let key = format!("{service}/{zone}");
        let mut ranking = rank(key.as_bytes(), &large);
        let first = ranking.iter().position(|host| {
            let quota = quotas.get(host);
            quota.is_some_and(|quota| *quota >= 1.0)
        });
        if let Some(first) = first {
            ranking[..=first].rotate_right(1);
            if let Some(quota) = quotas.get_mut(&ranking[0]) {
                *quota -= 1.0;
            }
        }
        let first = index * reserves.len() / sorted.len();
        let order = reserves.iter().cycle().skip(first).take(reserves.len());
        ranking.extend(order.cloned());
        rankings.insert(service.clone(), ranking);
    }
    rankings
}

/// What a host knows of a zone with servers of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Zone<'a> {
    /// Name of the zone.
    pub name: &'a Name,
    /// Whether the server is the assumed primary.
    pub is_primary: bool,
    /// Time for which the zone is expected to pass reads on.
    pub busy: Duration,
}

/// Why a host does not run a statement on the servers of a zone. The statement has not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Obstacle {
    /// No server of the zone can be used.
    Unusable,
    /// No replica of the zone is known to have the log position that the read requires.
    Lagging,
    /// The read would have to wait for this time.
    Queue(Duration),
    /// The statement needs the primary, which is in this zone.
    Primary(Name),
}

impl Obstacle {
    /// Returns the label used in metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Unusable => "unusable",
            Self::Lagging => "lagging",
            Self::Queue(_) => "queue",
            Self::Primary(_) => "primary",
        }
    }
}

/// An attempt to run a statement in a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Name of the zone.
    pub zone: Name,
    /// Why it was not run there.
    pub obstacle: Obstacle,
}

/// Zone that runs a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice<'a> {
    /// Name of the zone.
    pub zone: &'a Name,
    /// Whether the host there may pass the statement on to another zone.
    pub may_pass_on: bool,
}

/// Chooses the zone that runs a statement; `None` if there is none. `servers` are the servers that
/// may get statements, `attempts` the zones that have not run it, and `salt` a number that
/// distributes the reads of a host without servers in its zone over the others.
///
/// A statement that needs the primary goes to the zone of the primary. A read goes to its own
/// zone; if that cannot run it, to the zone that has been busy for the shortest time. If all are
/// busy, it waits in the one that expects the shortest wait.
#[must_use]
pub fn choose<'a>(
    needs_primary: bool,
    own: &Name,
    servers: impl Iterator<Item = Zone<'a>> + Clone,
    attempts: &[Attempt],
    salt: usize,
) -> Option<Choice<'a>> {
    let primary = servers.clone().find(|server| server.is_primary);
    if needs_primary {
        return choose_primary(primary, servers, attempts);
    }
    let is_tried = |zone: &Name| attempts.iter().any(|attempt| attempt.zone == *zone);
    let untried = servers.clone().filter(|server| !is_tried(server.name));
    let local = untried.clone().find(|server| server.name == own);
    if let Some(local) = local.filter(|local| local.busy.is_zero()) {
        return Some(Choice {
            zone: local.name,
            may_pass_on: true,
        });
    }
    // Another replica most likely lags too: its log position is the same or older.
    let is_lagging = attempts
        .iter()
        .any(|attempt| attempt.obstacle == Obstacle::Lagging);
    let others = untried.filter(|server| !server.is_primary && !is_lagging);
    let count = others.clone().count();
    let least_busy = others
        .enumerate()
        .min_by_key(|(index, server)| (server.busy, (index + salt) % count.max(1)));
    if let Some((_, server)) = least_busy {
        return Some(Choice {
            zone: server.name,
            may_pass_on: true,
        });
    }
    last_resort(own, primary, servers, attempts)
}

/// Chooses the zone of a statement that needs the primary: the one that another host named, or that
/// of the assumed primary. The host there waits if it does not know yet that the primary is there.
fn choose_primary<'a>(
    primary: Option<Zone<'a>>,
    mut servers: impl Iterator<Item = Zone<'a>>,
    attempts: &[Attempt],
) -> Option<Choice<'a>> {
    let named = attempts.iter().rev().find_map(|attempt| {
        let Obstacle::Primary(zone) = &attempt.obstacle else {
            return None;
        };
        servers.find(|server| server.name == zone)
    });
    Some(Choice {
        zone: named.or(primary)?.name,
        may_pass_on: attempts.is_empty(),
    })
}

/// Chooses the zone in which a read waits that no zone would run at once.
fn last_resort<'a>(
    own: &Name,
    primary: Option<Zone<'a>>,
    servers: impl Iterator<Item = Zone<'a>>,
    attempts: &[Attempt],
) -> Option<Choice<'a>> {
    let wait = |zone: &Name| {
        let attempt = attempts.iter().find(|attempt| attempt.zone == *zone)?;
        match attempt.obstacle {
            Obstacle::Queue(wait) => Some(wait),
            Obstacle::Unusable | Obstacle::Lagging | Obstacle::Primary(_) => None,
        }
    };
    let waits = servers.filter_map(|server| Some((wait(server.name)?, server)));
    let shortest = waits.min_by_key(|(wait, server)| (*wait, Reverse(server.name == own)));
    let untried_primary = primary.filter(|primary| {
        let is_tried = attempts.iter().any(|attempt| attempt.zone == *primary.name);
        !is_tried
    });
    let zone = match (untried_primary, shortest) {
        (Some(primary), _) => primary.name,
        (None, Some((_, server))) => server.name,
        (None, None) => primary?.name,
    };
    Some(Choice {
        zone,
        may_pass_on: untried_primary.is_some() && shortest.is_some(),
    })
}

/// What a host knows of the servers of one zone when a read arrives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct State {
    /// Number of replicas that may get statements.
    pub usable_replicas: u32,
    /// Of these, the number that are expected to have the log position that the read requires.
    pub current_replicas: u32,
    /// Whether the primary is in the zone and may get statements.
    pub has_primary: bool,
    /// Whether the primary has slots that are not reserved for other statements.
    pub primary_has_spare: bool,
    /// Whether a replica of another zone may be able to run the read.
    pub others_may_run: bool,
    /// Time by which a statement takes longer on the fastest of these servers than is usual.
    pub excess: Duration,
    /// Statements that wait at this host and run on these servers.
    pub load: Load,
}

/// Work ahead of a statement.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of statements that wait.
    pub waiting: u32,
    /// Number of statements that run.
    pub running: u32,
    /// Number of statements that can run at the same time.
    pub slots: u32,
    /// Mean duration of a statement.
    pub mean: Duration,
}

impl Load {
    /// Returns the expected time until a further statement starts; zero if a slot is free.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        let ahead = (self.waiting + self.running + 1).saturating_sub(self.slots);
        self.mean * ahead / self.slots.max(1)
    }
}

/// Returns why a host should pass a read on to another zone; `None` if it should run it.
#[must_use]
pub fn obstacle(state: &State, objective: Duration) -> Option<Obstacle> {
    let wait = state.load.expected_wait() + state.excess;
    let is_long = wait > objective.mul_f64(MAX_WAIT_FRACTION);
    if state.current_replicas > 0 {
        return is_long.then_some(Obstacle::Queue(wait));
    }
    if state.has_primary {
        let has_room = !state.others_may_run || (state.primary_has_spare && !is_long);
        return (!has_room).then_some(Obstacle::Queue(wait.max(state.load.mean)));
    }
    Some(if state.usable_replicas > 0 {
        Obstacle::Lagging
    } else {
        Obstacle::Unusable
    })
}
