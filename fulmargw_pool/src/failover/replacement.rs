//! Carries out the steps of an attempt to replace a primary.

use super::{
    Reason, assess, assumed_primary,
    barriers::{Raised, lift_barriers, raise_barriers},
    claim::{KEY_PREFIX, claim, is_excluded, may_be_promoted, previous_claim},
    confirmation::{Confirmation, confirmation},
    reach::{Peer, acknowledged, find_witness, live_peers},
    record_promotion, recording, set_primary,
    survey::{Probe, pause, query, query_replicas, resume_replicas, return_connections},
};
use crate::{
    backend::{Server, Status},
    clock::{self, millis},
    core::Core,
    dialect::Dialect,
    health::Trouble,
    message::Command,
    promotion::{
        Evidence, Obstacle, Replica,
        attempt::{Attempt, Call, Completeness, End, Look, NamedCall, Step, Survey},
    },
    store::{self, Condition, Outcome, Platform, Revision},
};
use fulmargw_decision::rendezvous;
use fulmargw_model::{
    name::Name,
    position::{Position, Term},
};
use fulmargw_peer::report;
use futures::future::join_all;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Delay per rank: a host waits this long for each host that is ranked before it.
const RANK_DELAY: Duration = Duration::from_millis(500);
/// Delay between two queries of the candidate's log position, and unit of the delay after a throttled
/// promotion call.
const QUERY_DELAY: Duration = Duration::from_millis(25);
/// Longest time between the raising of the barrier and a promotion call, so that the barrier is still
/// up when the call takes effect.
const MAX_BARRIER_AGE: Duration = Duration::from_secs(1);
/// Number of times that an attempt waits for hosts which may not know of the barrier: once without holding
/// commits, and once with the barrier up for a host that responds only to others.
const MAX_WAITS: u32 = 2;
/// Time after the renewal of a claim in which replicas may be resumed. It is shorter than the time for
/// which a claim excludes other hosts.
const RESUME_PERIOD: Duration = Duration::from_secs(3);

/// When a promotion call without a response may have been sent last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LastSent {
    /// In this attempt, or by another host before it.
    Recently,
    /// In an earlier attempt of this host.
    Earlier,
}

/// Why an attempt ended without a new primary.
#[derive(Debug, displaydoc::Display)]
pub(super) enum Failure {
    /// another host has claimed the service
    Claimed,
    /// a host knows a later claim or promotion
    Superseded,
    /// the primary has recovered
    Recovered,
    /// the primary responds to host {0}
    ReachedByPeer(Name),
    /// {0}
    Store(crate::store::Error),
    /// {0}
    Obstacle(Obstacle),
    /// the platform rejected the promotion
    Rejected,
    /// the result of a promotion call for server {0} with token {1} or a smaller one is unknown; it may
    /// take effect later
    Unresolved(Name, u64, LastSent),
    /// the result of a promotion call for server {0} with token {1} or a smaller one has been unknown for so
    /// long that it counts as over
    Abandoned(Name, u64),
    /// the claim cannot be encoded: {0}
    Encode(String),
}

/// What an attempt may do about a promotion call that may still take effect.
#[derive(Debug, Clone, Copy)]
pub(super) struct Permissions {
    /// Whether commits may be held because of it.
    pub(super) may_hold: bool,
    /// Whether it counts as over unless this attempt sends one.
    pub(super) may_abandon: bool,
}

/// Replaces the primary of a service and returns the new one.
///
/// # Errors
///
/// Returns why there is no new primary.
pub(super) async fn attempt<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    service: &Name,
    reason: Reason,
    completeness: Completeness,
    permissions: Permissions,
) -> Result<Name, Failure> {
    wait_for_turn(core, service).await;
    if reason != Reason::Unsettled && assess(core, service, Instant::now()).is_none() {
        return Err(Failure::Recovered);
    }
    let may_be_local = matches!(
        reason,
        Reason::Trouble(Trouble::Unreachable | Trouble::Silent)
    );
    if may_be_local && let Some(host) = find_witness(core, service).await {
        return Err(Failure::ReachedByPeer(host));
    }
    let key = format!("{KEY_PREFIX}{service}");
    let previous = previous_claim(core, &key).await?;
    if reason != Reason::Unsettled && assess(core, service, Instant::now()).is_none() {
        return Err(Failure::Recovered);
    }
    let earlier_call = previous
        .call
        .filter(|call| may_be_promoted(core, service, &call.server));
    let claimed = claim(core, service, earlier_call.as_ref(), previous.row).await?;
    let ordered = earlier_call.as_ref().map(|call| call.server.as_str());
    let ordered_term = earlier_call.as_ref().and_then(|call| call.term);
    log::info!(event = "promotion_claimed", service = service.as_str(), revision:% = claimed, reason:? = reason, ordered:? = ordered, ordered_term = ordered_term.map(|term| term.0); "replacing a primary");
    let replacement = Replacement {
        core,
        service,
        claimed,
        permissions,
        is_own_claim: previous.is_own,
        named: earlier_call.clone(),
        named_at: None,
        earlier_call,
        probes: Vec::new(),
        responsive: Vec::new(),
        barrier_raised: None,
        lost_token: None,
    };
    replacement.carry_out(completeness).await
}

/// Waits for the hosts that are ranked before this one, so that normally one host acts.
async fn wait_for_turn<D: Dialect, P: Platform>(core: &Core<D, P>, service: &Name) {
    let alive = core.members.lock().alive(Instant::now());
    let host = &core.settings.host.name;
    let rank = rendezvous::rank(service.as_str().as_bytes(), host, &alive);
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    sleep(RANK_DELAY.saturating_mul(rank)).await;
}

/// An attempt that holds the claim of its service.
struct Replacement<'a, D: Dialect, P: Platform> {
    core: &'a Core<D, P>,
    service: &'a Name,
    /// Revision of the claim as this host last wrote it.
    claimed: Revision,
    /// Earlier promotion call that may still take effect.
    earlier_call: Option<NamedCall>,
    permissions: Permissions,
    /// Whether the claim before was one of this host, or there was none.
    is_own_claim: bool,
    /// Promotion call that the claim names.
    named: Option<NamedCall>,
    /// Time at which this attempt first wrote that name.
    named_at: Option<Instant>,
    /// The servers that were asked.
    probes: Vec<Probe<D>>,
    /// Hosts that responded to the survey.
    responsive: Vec<Peer>,
    /// Time since boot at which the last barrier was raised; `None` if there is none.
    barrier_raised: Option<Duration>,
    /// Token of the last promotion call without a response.
    lost_token: Option<u64>,
}

impl<D: Dialect, P: Platform> Replacement<'_, D, P> {
    async fn carry_out(mut self, completeness: Completeness) -> Result<Name, Failure> {
        let earlier = self.earlier_call.clone();
        let earlier = earlier.filter(|call| !is_excluded(self.core, self.service, &call.server));
        let mut attempt = Attempt::new(completeness, earlier);
        let result = self.run(&mut attempt).await;
        self.clean_up(&attempt, result).await
    }

    /// Carries out the steps until the attempt ends.
    async fn run(&mut self, attempt: &mut Attempt) -> Result<Name, Failure> {
        if self.earlier_call.is_some() && self.permissions.may_hold {
            // The earlier call may take effect at any time.
            self.responsive = live_peers(self.core);
            self.raise_barriers().await?;
        }
        let mut step = Step::Survey;
        loop {
            step = match step {
                Step::Survey => {
                    let next = attempt.surveyed(self.survey().await?);
                    self.drop_settled_call(attempt);
                    next
                }
                Step::Pause(servers, term) => {
                    let looks = self.pause(&servers, term).await;
                    attempt.paused(looks, Instant::now())
                }
                Step::Query(server) => {
                    sleep(QUERY_DELAY).await;
                    let status = self.query(&server).await;
                    attempt.queried(status, Instant::now())
                }
                Step::Secure(server) => {
                    let term = attempt.term();
                    let secured = self.secure(&NamedCall { server, term }).await;
                    attempt.secured(secured.map_err(|failure| self.open_call_or(failure))?)
                }
                Step::Verify => attempt.verified(&self.look_at_all().await),
                Step::Call(candidate) => attempt.called(self.call(&candidate).await),
                Step::End(end) => return self.end(end),
            };
        }
    }

    /// Forgets the earlier promotion call if the survey has shown that it is settled. The claim may be one that
    /// a restoration of the store brought back.
    fn drop_settled_call(&mut self, attempt: &Attempt) {
        let is_settled = |call: &mut NamedCall| {
            attempt.earlier_call().is_none() && !is_excluded(self.core, self.service, &call.server)
        };
        if let Some(NamedCall { server, term }) = self.earlier_call.take_if(is_settled) {
            log::info!(event = "order_settled", service = self.service.as_str(), server = server.as_str(), term = term.map(|term| term.0); "a server knows the term of a promotion call that a claim names, or a later one");
        }
    }

    /// Asks the servers for their logs, and the hosts and the store for what was acknowledged.
    async fn survey(&mut self) -> Result<Survey, Failure> {
        let asked_at = Instant::now();
        let (probes, acknowledged, record, registry) = tokio::join!(
            query_replicas(self.core, self.service),
            acknowledged(self.core, self.service),
            recording::read(self.core, self.service),
            self.core.platform.registry()
        );
        self.probes = probes;
        let record = record.map_err(Failure::Store)?;
        let (registry, _) = registry.map_err(Failure::Store)?;
        let lifetime = self.core.settings.limits.registration_lifetime();
        for probe in &mut self.probes {
            probe.identify(&registry, asked_at, lifetime);
            probe.log();
        }
        let members = registry.values().filter(|it| it.service == *self.service);
        let registered = members.map(Server::member).collect();
        let record = record.as_ref().map(|(record, _)| record);
        let evidence = Evidence {
            acknowledged: acknowledged.position,
            is_exact: acknowledged.is_exact,
            gap: recording::gap(record, &registered, &self.probes),
        };
        self.responsive = acknowledged.responsive;
        log_evidence(self.service, &evidence);
        let replicas = self.probes.iter().map(|probe| Replica {
            server: probe.server.id.clone(),
            is_draining: probe.server.is_draining,
            status: probe.status,
        });
        Ok(Survey {
            replicas: replicas.collect(),
            evidence,
        })
    }

    async fn pause(&mut self, servers: &[Name], term: Term) -> Vec<Look> {
        let claimed = self.claimed;
        let probes = self.probes.iter_mut();
        let chosen = probes.filter(|probe| servers.contains(&probe.server.id));
        let pauses = chosen.map(async |probe| {
            let status = pause(probe, term, claimed).await;
            (probe.server.id.clone(), status)
        });
        join_all(pauses).await
    }

    async fn query(&mut self, server: &Name) -> Option<Status> {
        let probe = self.probes.iter_mut().find(|it| it.server.id == *server)?;
        query(probe, &Command::Status).await
    }

    async fn look_at_all(&mut self) -> Vec<Look> {
        let looks = self.probes.iter_mut().map(async |probe| {
            let status = query(probe, &Command::Status).await;
            probe.status = status;
            probe.log();
            (probe.server.id.clone(), status)
        });
        join_all(looks).await
    }

    /// Names the candidate in the claim and raises the barrier, until no host can pass on commits without
    /// knowing of it. Returns the latest position that the hosts know to be acknowledged.
    ///
    /// The claim names the candidate before the promotion call is sent. If the result of the call is
    /// unknown, another host that claims the service then chooses the same candidate.
    async fn secure(&mut self, call: &NamedCall) -> Result<Option<Position>, Failure> {
        log::info!(event = "promotion_candidate", service = self.service.as_str(), server = call.server.as_str(), revision:% = self.claimed; "replica with every acknowledged commit");
        let mut waits = 0;
        loop {
            let raised = self.name_and_raise(call).await?;
            let named_at = *self.named_at.get_or_insert_with(Instant::now);
            match confirmation(self.core, self.service, &raised.confirmed, named_at).await? {
                Confirmation::Complete => {
                    if waits > 0 {
                        self.check_joined().await?;
                    }
                    return Ok(raised.acknowledged);
                }
                Confirmation::Waits(left, host) if waits < MAX_WAITS => {
                    log::info!(event = "promotion_awaits_host", service = self.service.as_str(), host = host.as_ref().map(Name::as_str), left_ms = millis(left), waits; "waiting until a host that has not confirmed the commit barrier passes on no commits");
                    metrics::counter!("fulmargw_pool_promotion_waits_total").increment(1);
                    // A call that may take effect at any time needs them.
                    let is_open = self.lost_token.is_some() || self.earlier_call.is_some();
                    if waits == 0 && !is_open {
                        self.lift_barriers().await;
                    }
                    waits += 1;
                    sleep(left).await;
                }
                Confirmation::Waits(..) => return Err(Failure::Obstacle(Obstacle::Unconfirmed)),
                Confirmation::Incomplete => return Err(Failure::Obstacle(Obstacle::NoQuorum)),
            }
        }
    }

    async fn name_and_raise(&mut self, call: &NamedCall) -> Result<Raised, Failure> {
        // The claim may have been written although the store did not respond.
        self.named = Some(call.clone());
        let expected = Condition::Unchanged(self.claimed);
        self.claimed = claim(self.core, self.service, Some(call), expected).await?;
        // A process that starts after the one before it has confirmed the barrier finds the claim.
        self.raise_barriers().await
    }

    /// Checks that no replica has joined since the survey: one that is not paused may have let a host that
    /// did not know of the barrier acknowledge commits.
    async fn check_joined(&self) -> Result<(), Failure> {
        let registry = self.core.platform.registry().await;
        let (registry, _) = registry.map_err(Failure::Store)?;
        let primary = assumed_primary(self.core, self.service);
        let is_surveyed = |id: &Name| self.probes.iter().any(|probe| probe.server.id == *id);
        let members = registry.values().filter(|it| it.service == *self.service);
        let mut others = members.map(|it| &it.id).filter(|id| {
            let is_known = is_surveyed(id) || primary.as_ref() == Some(id);
            !is_known && !is_excluded(self.core, self.service, id)
        });
        match others.next() {
            Some(server) => Err(Failure::Obstacle(Obstacle::Moved(server.clone()))),
            None => Ok(()),
        }
    }

    async fn raise_barriers(&mut self) -> Result<Raised, Failure> {
        self.barrier_raised = Some(clock::since_boot());
        let token = self.claimed.fencing_token();
        let raised = raise_barriers(self.core, self.service, token, &self.responsive).await;
        raised.ok_or(Failure::Superseded)
    }

    /// Sends the promotion call.
    ///
    /// A call without a response may take effect later. It is repeated with a greater token, after
    /// whose acceptance the platform rejects the earlier call.
    async fn call(&mut self, candidate: &Name) -> Call {
        let age = self
            .barrier_raised
            .map(|at| clock::since_boot().saturating_sub(at));
        if age.is_none_or(|age| age > MAX_BARRIER_AGE) {
            log::info!(event = "promotion_postponed", service = self.service.as_str(), age_ms = age.map(millis); "raising the commit barrier again before the promotion call");
            return Call::NoEffect;
        }
        let service = self.service.as_str();
        let token = self.claimed.fencing_token();
        let promotion = store::Promotion {
            host: self.core.settings.host.name.clone(),
            token,
            service: self.service.clone(),
            server: candidate.clone(),
        };
        let sent = Instant::now();
        log::info!(event = "promotion_called", service, server = candidate.as_str(), token; "sending a promotion call");
        match self.core.platform.promote(&promotion).await {
            Ok(Outcome::Accepted) => {
                log::info!(event = "promotion_accepted", service, server = candidate.as_str(), token, elapsed_ms = millis(sent.elapsed()); "the promotion call was accepted");
                Call::Accepted
            }
            Ok(Outcome::Refused) => Call::Refused,
            Ok(Outcome::Throttled) => {
                sleep(QUERY_DELAY * 4).await;
                Call::NoEffect
            }
            Err(error) => {
                log::warn!(event = "order_unanswered", service, token, cause:% = error; "repeating the promotion call with a greater token");
                self.lost_token = Some(token);
                Call::Lost
            }
        }
    }

    /// Applies how the steps ended.
    fn end(&self, end: End) -> Result<Name, Failure> {
        match end {
            End::Promoted(server) => {
                let promotion = report::Promotion {
                    service: self.service.clone(),
                    server: server.clone(),
                    token: self.claimed.fencing_token(),
                };
                record_promotion(self.core, &promotion, "own order");
                self.core.report_now.notify_one();
                Ok(server)
            }
            End::Obstacle(obstacle) => {
                if let Obstacle::AlreadyPrimary(server, _) = &obstacle {
                    set_primary(self.core, self.service, server);
                }
                Err(Failure::Obstacle(obstacle))
            }
            End::Rejected => Err(Failure::Rejected),
            End::Unresolved => Err(self.open_call_or(Failure::Rejected)),
        }
    }

    /// Returns that the result of a promotion call is unknown if there is such a call, else `failure`.
    fn open_call_or(&self, failure: Failure) -> Failure {
        let (Some(token), Some(call)) = (self.lost_token, &self.named) else {
            return failure;
        };
        let server = call.server.clone();
        log::warn!(event = "order_open", service = self.service.as_str(), token, cause:% = failure; "cannot repeat the promotion call now");
        Failure::Unresolved(server, token, LastSent::Recently)
    }

    /// Ends the barrier and the pauses of an attempt without a new primary, unless a promotion call
    /// may still take effect. Returns the result of the attempt.
    async fn clean_up(
        mut self,
        attempt: &Attempt,
        result: Result<Name, Failure>,
    ) -> Result<Name, Failure> {
        let open_call = result.as_ref().err().and_then(|it| self.left_open(it));
        let result = match (result, open_call) {
            (Err(failure), Some(server)) => {
                let token = self.claimed.fencing_token();
                log::info!(event = "order_open", service = self.service.as_str(), revision:% = self.claimed, cause:% = failure; "an earlier promotion call may still take effect");
                Err(Failure::Unresolved(server, token, self.last_sent()))
            }
            (result, _) => result,
        };
        let Permissions {
            may_hold,
            may_abandon,
        } = self.permissions;
        let result = match result {
            Ok(server) => return Ok(server),
            // The writes of a primary that works must not wait for ever.
            Err(Failure::Unresolved(server, token, LastSent::Earlier)) if may_abandon => {
                self.lift_barriers().await;
                let servers = attempt.servers_to_resume(None);
                if self.resume(&servers, None).await {
                    metrics::counter!("fulmargw_pool_promotion_calls_abandoned_total").increment(1);
                    log::warn!(event = "order_abandoned", service = self.service.as_str(), server = server.as_str(), token; "a promotion call has been open for so long that it counts as over; the replicas are resumed");
                    Err(Failure::Abandoned(server, token))
                } else {
                    Err(Failure::Unresolved(server, token, LastSent::Earlier))
                }
            }
            // The replicas stay paused but for the server of the call. So it receives every commit that is
            // acknowledged.
            Err(Failure::Unresolved(server, token, last_sent)) => {
                if !may_hold {
                    self.lift_barriers().await;
                }
                let servers = attempt.servers_to_resume(Some(&server));
                if !servers.is_empty() {
                    let call = self.named.clone().filter(|call| call.server == server);
                    self.resume(&servers, call.as_ref()).await;
                }
                Err(Failure::Unresolved(server, token, last_sent))
            }
            Err(failure) => {
                self.lift_barriers().await;
                let servers = attempt.servers_to_resume(None);
                // Another host that has the claim may rely on the pauses.
                if !matches!(failure, Failure::Claimed)
                    && (!servers.is_empty() || self.named.is_some())
                {
                    self.resume(&servers, None).await;
                }
                Err(failure)
            }
        };
        return_connections(self.core, self.probes);
        result
    }

    /// Tells when the earlier call may have been sent last.
    fn last_sent(&self) -> LastSent {
        if self.lost_token.is_none() && self.is_own_claim {
            LastSent::Earlier
        } else {
            LastSent::Recently
        }
    }

    async fn lift_barriers(&self) {
        if self.barrier_raised.is_some() {
            lift_barriers(self.core, self.service, self.claimed.fencing_token()).await;
        }
    }

    /// Returns the server of an earlier promotion call that may still take effect after a failure.
    fn left_open(&self, failure: &Failure) -> Option<Name> {
        let server = self.earlier_call.as_ref()?.server.clone();
        let is_settled = match failure {
            Failure::Unresolved(..) => true,
            Failure::Obstacle(obstacle) => obstacle.settles_call_for(&server),
            _ => false,
        };
        (!is_settled).then_some(server)
    }

    /// Resumes replicas, if the claim is still that of this host. Returns whether it is.
    ///
    /// The claim is renewed with `named`, so that no other host can have it while the replicas are resumed: a
    /// replica that the next holder has paused must stay paused.
    async fn resume(&mut self, servers: &[Name], named: Option<&NamedCall>) -> bool {
        let renewed_at = clock::since_boot();
        let expected = Condition::Unchanged(self.claimed);
        match claim(self.core, self.service, named, expected).await {
            Ok(claimed) => {
                self.claimed = claimed;
                let until = renewed_at + RESUME_PERIOD;
                let probes = self.probes.iter_mut();
                let paused = probes.filter(|probe| servers.contains(&probe.server.id));
                resume_replicas(paused, claimed, until).await;
                true
            }
            Err(failure) => {
                log::info!(event = "replicas_left_paused", service = self.service.as_str(), cause:% = failure; "the claim could not be renewed");
                false
            }
        }
    }
}

fn log_evidence(service: &Name, evidence: &Evidence) {
    let acknowledged = evidence.acknowledged.map(|it| (it.term.0, it.index));
    let gap = evidence.gap.as_ref().map(ToString::to_string);
    log::info!(event = "promotion_evidence", service = service.as_str(), acknowledged:? = acknowledged, is_exact = evidence.is_exact, gap = gap.as_deref(); "what the promoted replica must have");
}
