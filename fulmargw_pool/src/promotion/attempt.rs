//! Steps of an attempt to replace a primary.
//!
//! [`Attempt`] is a state machine without I/O: it returns the next [`Step`], and is given what the step
//! found. So a test can decide in which order things happen between and during the steps.

use super::{
    Candidate, Evidence, Obstacle, Replica, check_complete, choose_candidate, includes_all,
};
use crate::backend::{Role, Status};
use fulmargw_model::{
    name::Name,
    position::{Position, Term},
};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::Instant;

/// Timeout for the candidate to receive what the other replicas have received.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of calls for one promotion; each has its own token.
const MAX_CALLS: u32 = 6;

/// Which commits a replica must have to be promoted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// Every acknowledged commit, because the old primary may still come back with its log.
    AllAcknowledged,
    /// Those of the longest log, because the old primary has been away for too long.
    LongestLog,
}

/// What the attempt needs next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Ask the servers for their logs, and the hosts and the store for what was acknowledged.
    Survey,
    /// Pause replication to these servers with this term.
    Pause(Vec<Name>, Term),
    /// Query the status of the candidate again, after a delay.
    Query(Name),
    /// Name the candidate in the claim, and raise the commit barrier on all hosts.
    Secure(Name),
    /// Query the status of all surveyed servers over the connections of the survey.
    Verify,
    /// Send the promotion call for this server.
    Call(Name),
    /// The attempt is over.
    End(End),
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The promotion call for this server was accepted.
    Promoted(Name),
    /// No replica can be promoted now.
    Obstacle(Obstacle),
    /// The platform rejected the promotion.
    Rejected,
    /// A promotion call without a response may take effect later. The replicas stay paused.
    Unresolved,
}

/// The promotion call that a claim names: it was sent, or is about to be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedCall {
    /// Server that it names.
    pub server: Name,
    /// Term that the promotion begins, at least; `None` if a host of an earlier version has sent it.
    pub term: Option<Term>,
}

impl NamedCall {
    /// Reports whether the call can no longer change anything, because this promotion or a later one has
    /// taken effect: `newest`, the newest term that is known, is its term or a later one.
    #[must_use]
    pub fn is_settled(&self, newest: Option<Term>) -> bool {
        self.term.is_some_and(|term| newest >= Some(term))
    }
}

/// What the survey found.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Survey {
    /// The replicas that were asked.
    pub replicas: Vec<Replica>,
    /// What is known of the acknowledged commits.
    pub evidence: Evidence,
}

/// A server and the status that it reported; `None` if it did not respond.
pub type Look = (Name, Option<Status>);

/// Result of a promotion call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// It was accepted.
    Accepted,
    /// It was rejected.
    Refused,
    /// It had no effect, because it was not sent or there were too many calls.
    NoEffect,
    /// It got no response.
    Lost,
}

/// An attempt to replace a primary.
#[derive(Debug)]
pub struct Attempt {
    completeness: Completeness,
    /// Earlier promotion call that may still take effect.
    earlier_call: Option<NamedCall>,
    replicas: Vec<Replica>,
    evidence: Evidence,
    candidate: Option<Candidate>,
    /// Servers that a pause was sent to. One without a response may take effect later.
    pause_sent: Vec<Name>,
    /// Positions at which replicas were paused.
    paused_at: Vec<(Name, Position)>,
    /// Time until which the candidate may catch up.
    catch_up_until: Option<Instant>,
    /// Latest position that the hosts reported when they raised the barrier.
    acknowledged: Option<Position>,
    calls: u32,
    has_lost_call: bool,
}

impl Attempt {
    /// Creates an attempt; its first step is [`Step::Survey`].
    #[must_use]
    pub fn new(completeness: Completeness, earlier_call: Option<NamedCall>) -> Self {
        Self {
            completeness,
            earlier_call,
            replicas: Vec::new(),
            evidence: Evidence::default(),
            candidate: None,
            pause_sent: Vec::new(),
            paused_at: Vec::new(),
            catch_up_until: None,
            acknowledged: None,
            calls: 0,
            has_lost_call: false,
        }
    }

    /// Chooses the candidate, and has the other replicas paused.
    ///
    /// From then on a commit is acknowledged only if the candidate has received it, unless another
    /// replica ends its pause. The commit barrier guards against that.
    pub fn surveyed(&mut self, survey: Survey) -> Step {
        self.evidence = survey.evidence;
        self.replicas = survey.replicas;
        let statuses = self.replicas.iter().filter_map(|replica| replica.status);
        let newest = statuses.map(|status| status.term).max();
        self.earlier_call.take_if(|call| call.is_settled(newest));
        let earlier = self.earlier_call.as_ref().map(|call| &call.server);
        let candidate = match choose_candidate(&self.replicas, Term(0), earlier) {
            Ok(candidate) => candidate,
            Err(obstacle) => return Self::stop(obstacle),
        };
        let replicas = self.replicas.iter();
        let others = replicas.filter(|replica| replica.server != candidate.server);
        let others = others.map(|replica| replica.server.clone()).collect();
        let term = candidate.pause_term;
        self.candidate = Some(candidate);
        self.pause(others, term)
    }

    fn pause(&mut self, servers: Vec<Name>, term: Term) -> Step {
        self.pause_sent.extend_from_slice(&servers);
        Step::Pause(servers, term)
    }

    /// Records the positions at which replicas were paused, and waits for the candidate to have all of
    /// them.
    pub fn paused(&mut self, looks: Vec<Look>, now: Instant) -> Step {
        let Some(candidate) = self.candidate.clone() else {
            return Self::stop(Obstacle::NoCandidate);
        };
        for (server, status) in looks {
            let Some(status) = status else {
                return Self::stop(Obstacle::NotPaused(server));
            };
            self.paused_at.push((server, status.received));
        }
        if self.is_paused(&candidate.server) {
            return self.choose_longest_log();
        }
        let until = now + CATCH_UP_TIMEOUT;
        self.catch_up_until = Some(until);
        self.check_caught_up(candidate, now)
    }

    /// Records the status of the candidate while it catches up.
    pub fn queried(&mut self, status: Option<Status>, now: Instant) -> Step {
        let Some(candidate) = self.candidate.clone() else {
            return Self::stop(Obstacle::NoCandidate);
        };
        let received = status.map_or(candidate.received, |status| status.received);
        let candidate = Candidate {
            received,
            ..candidate
        };
        self.candidate = Some(candidate.clone());
        self.check_caught_up(candidate, now)
    }

    fn check_caught_up(&mut self, candidate: Candidate, now: Instant) -> Step {
        if includes_all(candidate.received, &self.paused_positions()) {
            return self.check_evidence(candidate);
        }
        if self.catch_up_until.is_some_and(|until| now < until) {
            return Step::Query(candidate.server);
        }
        // With all replicas paused, the longest log has every acknowledged commit.
        self.pause(vec![candidate.server], candidate.pause_term)
    }

    fn choose_longest_log(&mut self) -> Step {
        let all = self.paused_positions();
        let mut paused = self.paused_at.iter();
        let best = paused.find(|(_, position)| includes_all(*position, &all));
        let (Some((server, received)), Some(candidate)) = (best.cloned(), self.candidate.take())
        else {
            return Self::stop(Obstacle::NoCandidate);
        };
        let candidate = Candidate {
            server,
            received,
            ..candidate
        };
        self.candidate = Some(candidate.clone());
        self.check_evidence(candidate)
    }

    fn paused_positions(&self) -> Vec<Position> {
        let paused = self.paused_at.iter();
        paused.map(|(_, position)| *position).collect()
    }

    fn check_evidence(&mut self, candidate: Candidate) -> Step {
        if self.completeness == Completeness::AllAcknowledged
            && let Err(obstacle) = check_complete(&candidate, &self.evidence)
        {
            return Self::stop(obstacle);
        }
        Step::Secure(candidate.server)
    }

    /// Records the latest position that the hosts know to be acknowledged, which they reported when
    /// they raised the barrier.
    pub fn secured(&mut self, acknowledged: Option<Position>) -> Step {
        self.acknowledged = acknowledged;
        Step::Verify
    }

    /// Checks that the logs are still what the choice of the candidate was based on.
    pub fn verified(&mut self, looks: &[Look]) -> Step {
        let Some(candidate) = self.candidate.clone() else {
            return Self::stop(Obstacle::NoCandidate);
        };
        match self.check_unchanged(&candidate, looks) {
            Ok(()) => Step::Call(candidate.server),
            // The call without a response may still promote the candidate, so the replicas stay paused.
            Err(_) if self.has_lost_call => Step::End(End::Unresolved),
            Err(obstacle) => Self::stop(obstacle),
        }
    }

    fn check_unchanged(&self, candidate: &Candidate, looks: &[Look]) -> Result<(), Obstacle> {
        let mut received = Position::default();
        let mut required = Vec::new();
        for replica in &self.replicas {
            let look = looks.iter().find(|(server, _)| *server == replica.server);
            let status = look.and_then(|(_, status)| *status);
            let status = status.ok_or_else(|| Obstacle::NoResponse(replica.server.clone()))?;
            let is_candidate = replica.server == candidate.server;
            let must_be_paused = !is_candidate || self.is_paused(&replica.server);
            let is_held = status.held.is_some_and(|held| held >= candidate.pause_term);
            if status.role != Role::Replica || (must_be_paused && !is_held) {
                return Err(Obstacle::Moved(replica.server.clone()));
            }
            if is_candidate {
                received = status.received;
            } else {
                required.push(status.received);
            }
        }
        required.push(candidate.received);
        if !includes_all(received, &required) {
            return Err(Obstacle::Moved(candidate.server.clone()));
        }
        let acknowledged = self.acknowledged.filter(|position| {
            self.completeness == Completeness::AllAcknowledged && !received.satisfies(*position)
        });
        match acknowledged {
            Some(position) => Err(Obstacle::MissingCommits(
                candidate.server.clone(),
                received,
                position,
            )),
            None => Ok(()),
        }
    }

    fn is_paused(&self, server: &Name) -> bool {
        self.paused_at.iter().any(|(paused, _)| paused == server)
    }

    /// Decides what follows a promotion call. After one without a response the next call needs a greater
    /// token and another look at the logs.
    pub fn called(&mut self, call: Call) -> Step {
        let Some(candidate) = &self.candidate else {
            return Self::stop(Obstacle::NoCandidate);
        };
        self.calls += 1;
        self.has_lost_call |= call == Call::Lost;
        match call {
            Call::Accepted => Step::End(End::Promoted(candidate.server.clone())),
            Call::NoEffect | Call::Lost if self.calls < MAX_CALLS => {
                Step::Secure(candidate.server.clone())
            }
            _ if self.has_lost_call => Step::End(End::Unresolved),
            Call::Refused | Call::NoEffect | Call::Lost => Step::End(End::Rejected),
        }
    }

    /// Returns the earlier promotion call that may still take effect; `None` if there is none, or the survey
    /// has shown that it is settled.
    #[must_use]
    pub fn earlier_call(&self) -> Option<&NamedCall> {
        self.earlier_call.as_ref()
    }

    /// Returns the term that the promotion of the candidate begins, at least.
    #[must_use]
    pub fn term(&self) -> Option<Term> {
        let acknowledged = self.evidence.acknowledged;
        let after_acknowledged = acknowledged.map(|position| Term(position.term.0 + 1));
        let candidate = self.candidate.as_ref()?;
        after_acknowledged.max(Some(candidate.pause_term))
    }

    /// Returns the servers to resume when the attempt has ended without a new primary. `open` is the server
    /// of a promotion call that may still take effect.
    ///
    /// With such a call only its own server is resumed, so that every commit that is acknowledged reaches
    /// it.
    #[must_use]
    pub fn servers_to_resume(&self, open: Option<&Name>) -> Vec<Name> {
        let mut servers = self.paused_servers();
        if let Some(open) = open {
            servers.retain(|server| server == open);
        }
        servers
    }

    /// Returns the servers that the attempt paused, and those that an earlier claim left paused.
    fn paused_servers(&self) -> Vec<Name> {
        let is_held = |replica: &&Replica| replica.status.is_some_and(|it| it.held.is_some());
        let held = self.replicas.iter().filter(is_held);
        let held = held.map(|replica| &replica.server);
        let paused: BTreeSet<&Name> = self.pause_sent.iter().chain(held).collect();
        paused.into_iter().cloned().collect()
    }

    fn stop(obstacle: Obstacle) -> Step {
        Step::End(End::Obstacle(obstacle))
    }
}
