//! Decides which replica may be promoted to primary.

pub mod attempt;

use self::attempt::Completeness;
use crate::{backend::Role, backend::Status};
use fulmargw_model::{
    name::Name,
    position::{Position, Term},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// A replica and the status that it reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Identifier of the server.
    pub server: Name,
    /// Whether it is draining.
    pub is_draining: bool,
    /// Its status; `None` if it did not respond.
    pub status: Option<Status>,
}

/// Why no replica can be promoted now.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Obstacle {
    /// replica {0} did not respond and may be the only one with an acknowledged commit
    NoResponse(Name),
    /// replica {0} could not be paused
    NotPaused(Name),
    /// replica {0} is not as it was when the candidate was chosen
    Moved(Name),
    /// no replica can be promoted
    NoCandidate,
    /// server {0} is the primary of term {1:?}
    AlreadyPrimary(Name, Term),
    /// replica {0} received only {1:?}, but {2:?} was acknowledged
    MissingCommits(Name, Position, Position),
    /// replica {0} may lack an acknowledged commit: {1}
    UnknownCommits(Name, Gap),
    /// a host that may pass on commits may not know of the commit barrier
    Unconfirmed,
    /// fewer than half of the witnesses have confirmed the commit barrier
    NoQuorum,
}

impl Obstacle {
    /// Reports whether the old primary may come back with commits that the replicas lack.
    #[must_use]
    pub fn awaits_primary(&self) -> bool {
        matches!(self, Self::MissingCommits(..) | Self::UnknownCommits(..))
    }

    /// Reports whether an earlier promotion call for `server` can no longer change anything, because that server
    /// leads. Another server that leads may be the one that it replaces.
    #[must_use]
    pub fn settles_call_for(&self, server: &Name) -> bool {
        matches!(self, Self::AlreadyPrimary(leader, _) if leader == server)
    }
}

/// Why the logs of the replicas may lack an acknowledged commit.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Gap {
    /// server {0} did not report its log and may be the only one with it
    Absent(Name),
    /// server {0} may be the only one with it, and may have restarted without its log
    Unidentified(Name),
    /// the servers that may have it are not recorded
    Unrecorded,
}

/// What is known of the acknowledged commits that a promoted replica must have.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Evidence {
    /// Latest log position that is known to be acknowledged.
    pub acknowledged: Option<Position>,
    /// Whether no later position was acknowledged: every host of the fleet has reported one. A host
    /// that does not respond may know a later one, and a host that has just started has forgotten
    /// those that it knew.
    pub is_exact: bool,
    /// Why the logs of the replicas may lack an acknowledged commit; `None` if together they have
    /// all of them.
    pub gap: Option<Gap>,
}

/// A replica to promote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Identifier of the server.
    pub server: Name,
    /// Last log position that it received.
    pub received: Position,
    /// Term greater than every term that the replicas know.
    pub pause_term: Term,
}

/// Chooses the replica with the longest log, or the one that an earlier promotion call names.
///
/// With one synchronous replica an acknowledged commit may be on any single replica, so all of them
/// have to respond. A promotion call without a response may still take effect. Its replica must
/// then have every acknowledged commit, so it is chosen again, and the other replicas are paused.
///
/// # Errors
///
/// Returns an [`Obstacle`] if no replica can be promoted now.
pub fn choose_candidate(
    replicas: &[Replica],
    known_term: Term,
    earlier_candidate: Option<&Name>,
) -> Result<Candidate, Obstacle> {
    let unresponsive = replicas.iter().find(|replica| replica.status.is_none());
    if let Some(replica) = unresponsive {
        return Err(Obstacle::NoResponse(replica.server.clone()));
    }
    let reported = || {
        replicas
            .iter()
            .filter_map(|replica| Some((replica, replica.status?)))
    };
    let newest = reported().map(|(_, status)| status.term).max();
    let newest = newest.unwrap_or(known_term).max(known_term);
    if let Some((replica, status)) =
        reported().find(|(_, status)| status.role == Role::Primary && status.term >= newest)
    {
        return Err(Obstacle::AlreadyPrimary(
            replica.server.clone(),
            status.term,
        ));
    }
    let remaining = reported().filter(|(replica, _)| !replica.is_draining);
    let best = remaining.max_by(|(left, one), (right, other)| {
        let order = log_order(one.received).cmp(&log_order(other.received));
        order.then_with(|| right.server.cmp(&left.server))
    });
    let requested = reported().find(|(replica, _)| Some(&replica.server) == earlier_candidate);
    let (replica, status) = requested.or(best).ok_or(Obstacle::NoCandidate)?;
    Ok(Candidate {
        server: replica.server.clone(),
        received: status.received,
        pause_term: Term(newest.0 + 1),
    })
}

/// Reports whether a candidate's log includes everything that the other replicas had received when
/// they were paused.
#[must_use]
pub fn includes_all(candidate: Position, others: &[Position]) -> bool {
    others.iter().all(|other| candidate.satisfies(*other))
}

/// Checks that a candidate has received every acknowledged commit.
///
/// A replica that was removed may have been the only one with a commit. The old primary then has to
/// come back with its log.
///
/// # Errors
///
/// Returns [`Obstacle::MissingCommits`] if the candidate has not received the acknowledged
/// position, and [`Obstacle::UnknownCommits`] if it is not known what was acknowledged and whether
/// the replicas have it.
pub fn check_complete(candidate: &Candidate, evidence: &Evidence) -> Result<(), Obstacle> {
    let server = || candidate.server.clone();
    let received = candidate.received;
    match (evidence.acknowledged, &evidence.gap) {
        (Some(position), _) if !received.satisfies(position) => {
            Err(Obstacle::MissingCommits(server(), received, position))
        }
        (_, Some(gap)) if !evidence.is_exact => {
            Err(Obstacle::UnknownCommits(server(), gap.clone()))
        }
        _ => Ok(()),
    }
}

/// Time for which a promotion waits for the old primary, which may come back with acknowledged
/// commits that no replica has received.
const MISSING_COMMITS_TIMEOUT: Duration = Duration::from_secs(20);

/// Services whose present failure of the primary leaves no replica with every acknowledged commit.
#[derive(Debug, Default)]
pub struct Waits {
    waits: BTreeMap<Name, Wait>,
}

/// Wait for a failed primary.
#[derive(Debug)]
struct Wait {
    /// The failed primary; `None` if it is not registered.
    primary: Option<Name>,
    since: Instant,
}

impl Waits {
    /// Records that a promotion has to wait since `since` for `primary`, unless it does so already. The
    /// wait for another primary is another one, as that may come back just as well.
    pub fn begin(&mut self, service: &Name, primary: Option<&Name>, since: Instant) {
        let wait = self.waits.entry(service.clone());
        let wait = wait.or_insert_with(|| Wait {
            primary: primary.cloned(),
            since,
        });
        if wait.is_for_other(primary) {
            wait.since = since;
        }
        // The registry entry of a failed primary lapses, which does not begin another wait.
        wait.primary = primary.or(wait.primary.as_ref()).cloned();
    }

    /// Ends the wait of a service, and returns how long it has lasted.
    pub fn end(&mut self, service: &Name, now: Instant) -> Option<Duration> {
        let wait = self.waits.remove(service)?;
        Some(now.saturating_duration_since(wait.since))
    }

    /// Returns which commits a replica must have to replace `primary`.
    #[must_use]
    pub fn completeness(
        &self,
        service: &Name,
        primary: Option<&Name>,
        now: Instant,
    ) -> Completeness {
        let wait = self.waits.get(service);
        let wait = wait.filter(|wait| !wait.is_for_other(primary));
        let waited = wait.map(|wait| now.saturating_duration_since(wait.since));
        match waited {
            Some(waited) if waited >= MISSING_COMMITS_TIMEOUT => Completeness::LongestLog,
            _ => Completeness::AllAcknowledged,
        }
    }
}

impl Wait {
    fn is_for_other(&self, primary: Option<&Name>) -> bool {
        self.primary.is_some() && primary.is_some() && self.primary.as_ref() != primary
    }
}

/// Interval at which the commit barrier of a service with an unresolved call is raised again.
const BARRIER_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which commits are held because of an unresolved call, and after which it counts as over. A call that got no response takes
/// effect within seconds; without this limit a platform that is away would stop all writes of a
/// service whose primary works.
pub(crate) const HOLD_PERIOD: Duration = Duration::from_secs(15);

/// Promotion calls whose results are unknown, by service. Such a call may take effect at any time,
/// until one with a greater token is accepted.
#[derive(Debug, Default)]
pub struct Unresolved {
    calls: BTreeMap<Name, OpenCall>,
}

/// Calls of a service whose results are unknown.
#[derive(Debug)]
struct OpenCall {
    /// Greatest token that they have used.
    token: u64,
    /// Servers that they name.
    servers: BTreeSet<Name>,
    /// Time at which the first one was recorded.
    since: Instant,
    /// Latest time at which one may have been sent.
    sent_at: Instant,
    /// Time at which the barrier was last raised for them.
    held_at: Instant,
}

impl Unresolved {
    /// Records a call for `server` with `token`, or one with a smaller token.
    pub fn record(&mut self, service: &Name, server: &Name, token: u64, now: Instant) {
        let known = self.calls.entry(service.clone()).or_insert(OpenCall {
            token,
            servers: BTreeSet::new(),
            since: now,
            sent_at: now,
            held_at: now,
        });
        known.token = token.max(known.token);
        known.servers.insert(server.clone());
    }

    /// Records that a call of a service may have been sent just now, again or by another host.
    pub fn record_sent(&mut self, service: &Name, now: Instant) {
        if let Some(call) = self.calls.get_mut(service) {
            call.sent_at = now;
        }
    }

    /// Reports whether the calls of a service have been open for so long that they count as over.
    #[must_use]
    pub fn may_abandon(&self, service: &Name, now: Instant) -> bool {
        let call = self.calls.get(service);
        call.is_some_and(|call| now.saturating_duration_since(call.sent_at) >= HOLD_PERIOD)
    }

    /// Reports whether commits are held because of a call of a service, or may be: there is none, or not
    /// for too long.
    #[must_use]
    pub fn may_hold(&self, service: &Name, now: Instant) -> bool {
        let call = self.calls.get(service);
        call.is_none_or(|call| now.saturating_duration_since(call.since) < HOLD_PERIOD)
    }

    /// Returns the services whose commit barrier has to be raised again now, with the tokens.
    pub fn due_barriers(&mut self, now: Instant) -> Vec<(Name, u64)> {
        let mut due = Vec::new();
        for (service, call) in &mut self.calls {
            let is_held = now.saturating_duration_since(call.since) < HOLD_PERIOD;
            let is_due = now.saturating_duration_since(call.held_at) >= BARRIER_INTERVAL;
            if is_held && is_due {
                call.held_at = now;
                due.push((service.clone(), call.token));
            }
        }
        due
    }

    /// Records that a call with `token` was accepted, of this host or of another one. Returns whether
    /// this settles calls whose results were unknown.
    pub fn settle(&mut self, service: &Name, token: u64) -> bool {
        let is_settled = self.calls.get(service).is_some_and(|it| it.token < token);
        if is_settled {
            self.calls.remove(service);
        }
        is_settled
    }

    /// Forgets the calls of a service, which have been open for so long that they count as over.
    pub fn abandon(&mut self, service: &Name) {
        self.calls.remove(service);
    }

    /// Records that a server leads. Returns the token of the calls that this settles: all of them were for this
    /// server, and a call for the primary changes nothing.
    pub fn settle_leading(&mut self, service: &Name, server: &Name) -> Option<u64> {
        let call = self.calls.get_mut(service)?;
        call.servers.remove(server);
        if !call.servers.is_empty() {
            return None;
        }
        self.calls.remove(service).map(|call| call.token)
    }

    /// Reports whether a call of a service may still take effect.
    #[must_use]
    pub fn contains(&self, service: &Name) -> bool {
        self.calls.contains_key(service)
    }
}

fn log_order(position: Position) -> (Term, u64) {
    (position.term, position.index)
}
