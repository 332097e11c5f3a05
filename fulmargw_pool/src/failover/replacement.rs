//! Replaces a primary by a replica that has every acknowledged commit.

use super::{
    Reason, assess,
    claim::{KEY_PREFIX, claim, is_excluded, may_be_promoted, previous_claim},
    reach::{acknowledged, find_witness},
    recording, set_primary,
    survey::{Probe, pause, query, query_replicas, resume_replicas},
};
use crate::{
    clock::millis,
    core::Core,
    dialect::Dialect,
    health::Trouble,
    message::Command,
    promotion::{self, Candidate, Evidence, Obstacle, Replica},
    store::{self, Condition, Outcome, Platform, Revision},
};
use fulmargw_decision::rendezvous;
use fulmargw_model::{
    name::Name,
    position::{Position, Term},
};
use fulmargw_peer::report;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Delay per rank: a host waits this long for each host that is ranked before it.
const RANK_DELAY: Duration = Duration::from_millis(500);
/// Delay between two queries of the candidate's log position, and unit of the delay after a throttled
/// promotion call.
const QUERY_DELAY: Duration = Duration::from_millis(25);
/// Timeout for the candidate to receive what the other replicas have received.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of calls for one promotion; each has its own token.
const MAX_PROMOTION_CALLS: u32 = 6;

/// Why an attempt ended without a new primary.
#[derive(Debug, displaydoc::Display)]
pub(super) enum Failure {
    /// another host has claimed the service
    Claimed,
    /// the primary has recovered
    Recovered,
    /// the primary responds to host {0}
    ReachedByPeer(Name),
    /// {0}
    Store(crate::store::Error),
    /// {0}
    Obstacle(Obstacle),
    /// replica {0} could not be paused
    NotPaused(Name),
    /// the platform rejected the promotion
    Rejected,
    /// the result of a promotion call with token {0} or a smaller one is unknown; it may take effect
    /// later
    Unresolved(u64),
    /// the claim cannot be encoded: {0}
    Encode(String),
}

/// Which commits a replica must have to be promoted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Completeness {
    /// Every acknowledged commit, because the old primary may still come back with its log.
    AllAcknowledged,
    /// Those of the longest log, because the old primary has been away for too long.
    LongestLog,
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
    let earlier_candidate = previous
        .candidate
        .filter(|candidate| may_be_promoted(core, service, candidate));
    let claimed = claim(core, service, earlier_candidate.as_ref(), previous.row).await?;
    log::info!(event = "promotion_claimed", service = service.as_str(), revision:% = claimed, reason:? = reason, ordered:? = earlier_candidate.as_ref().map(Name::as_str); "replacing a primary");
    let (mut probes, acknowledged, record) = tokio::join!(
        query_replicas(core, service),
        acknowledged(core, service),
        recording::read(core, service)
    );
    let result = match record {
        Ok(record) => {
            let evidence = Evidence {
                acknowledged: acknowledged.position,
                is_exact: acknowledged.is_exact,
                gap: recording::gap(record.as_ref().map(|(record, _)| record), &probes),
            };
            log_evidence(service, &evidence);
            promote_candidate(
                core,
                service,
                claimed,
                (completeness == Completeness::AllAcknowledged).then_some(&evidence),
                earlier_candidate
                    .as_ref()
                    .filter(|server| !is_excluded(core, service, server)),
                &mut probes,
            )
            .await
        }
        Err(error) => Err(Failure::Store(error)),
    };
    match result {
        // The replicas stay paused. Then the candidate of the unresolved call, or of the host that
        // has claimed the service meanwhile, still receives every commit that is acknowledged.
        Err(Failure::Unresolved(_) | Failure::Claimed) => return result,
        Err(ref failure)
            if earlier_candidate.is_some()
                && !matches!(failure, Failure::Obstacle(Obstacle::AlreadyPrimary(..))) =>
        {
            log::info!(event = "order_open", service = service.as_str(), revision:% = claimed, cause:% = failure; "an earlier promotion call may still take effect");
            return Err(Failure::Unresolved(claimed.fencing_token()));
        }
        Err(_) => resume_replicas(&mut probes, claimed).await,
        Ok(_) => {}
    }
    result
}

fn log_evidence(service: &Name, evidence: &Evidence) {
    let acknowledged = evidence.acknowledged.map(|it| (it.term.0, it.index));
    let gap = evidence.gap.as_ref().map(ToString::to_string);
    log::info!(event = "promotion_evidence", service = service.as_str(), acknowledged:? = acknowledged, is_exact = evidence.is_exact, gap = gap.as_deref(); "what the promoted replica must have");
}

/// Waits for the hosts that are ranked before this one, so that normally one host acts.
async fn wait_for_turn<D: Dialect, P: Platform>(core: &Core<D, P>, service: &Name) {
    let alive = core.members.lock().alive(Instant::now());
    let host = &core.settings.host.name;
    let rank = rendezvous::rank(service.as_str().as_bytes(), host, &alive);
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    sleep(RANK_DELAY.saturating_mul(rank)).await;
}

/// Chooses a candidate among the replicas, waits until it has every acknowledged commit, and
/// promotes it.
async fn promote_candidate<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    claimed: Revision,
    required: Option<&Evidence>,
    earlier_candidate: Option<&Name>,
    probes: &mut [Probe<D>],
) -> Result<Name, Failure> {
    let replicas: Vec<Replica> = probes
        .iter()
        .map(|probe| Replica {
            server: probe.server.id.clone(),
            is_draining: probe.server.is_draining,
            status: probe.status,
        })
        .collect();
    let candidate = match promotion::choose_candidate(&replicas, Term(0), earlier_candidate) {
        Ok(candidate) => candidate,
        Err(Obstacle::AlreadyPrimary(server, term)) => {
            set_primary(core, service, &server, "survey");
            return Err(Failure::Obstacle(Obstacle::AlreadyPrimary(server, term)));
        }
        Err(obstacle) => return Err(Failure::Obstacle(obstacle)),
    };
    let candidate = catch_up(probes, candidate, claimed).await?;
    if let Some(evidence) = required {
        promotion::check_complete(&candidate, evidence).map_err(Failure::Obstacle)?;
    }
    log::info!(
        event = "promotion_candidate", service = service.as_str(),
        server = candidate.server.as_str(), revision:% = claimed,
        received:? = (candidate.received.term.0, candidate.received.index);
        "replica with every acknowledged commit"
    );
    // The claim names the candidate before the promotion call is sent. If the result of the call is
    // unknown, another host that claims the service then chooses the same candidate.
    let expected = Condition::Unchanged(claimed);
    let claimed = claim(core, service, Some(&candidate.server), expected).await?;
    let token = call_promotion(core, service, &candidate, claimed).await?;
    let promotion = report::Promotion {
        service: service.clone(),
        server: candidate.server.clone(),
        token,
    };
    core.members.lock().record_promotion(&promotion);
    set_primary(core, service, &candidate.server, "own order");
    core.report_now.notify_one();
    Ok(candidate.server)
}

/// Pauses replication to the other replicas, and waits until the candidate has received everything
/// that they have received. Returns the replica with the longest log if the candidate does not
/// catch up.
///
/// From then on a commit is acknowledged only if the candidate has received it, so the old primary
/// may keep running until it is replaced.
async fn catch_up<D: Dialect>(
    probes: &mut [Probe<D>],
    candidate: Candidate,
    claimed: Revision,
) -> Result<Candidate, Failure> {
    let mut received_by: Vec<(Name, Position)> = Vec::new();
    for other in probes
        .iter_mut()
        .filter(|other| other.server.id != candidate.server)
    {
        let status = pause(other, candidate.pause_term, claimed).await;
        let status = status.ok_or_else(|| Failure::NotPaused(other.server.id.clone()))?;
        received_by.push((other.server.id.clone(), status.received));
    }
    let positions: Vec<Position> = received_by.iter().map(|(_, position)| *position).collect();
    let chosen = probes
        .iter_mut()
        .find(|probe| probe.server.id == candidate.server);
    let Some(chosen) = chosen else {
        return Err(Failure::NotPaused(candidate.server));
    };
    let deadline = Instant::now() + CATCH_UP_TIMEOUT;
    let mut received = candidate.received;
    while !promotion::includes_all(received, &positions) && Instant::now() < deadline {
        sleep(QUERY_DELAY).await;
        let status = query(chosen, &Command::Status).await;
        received = status.map_or(received, |status| status.received);
    }
    if promotion::includes_all(received, &positions) {
        return Ok(Candidate {
            received,
            ..candidate
        });
    }
    // The candidate does not catch up. With all replicas paused, the longest log has every
    // acknowledged commit.
    let status = pause(chosen, candidate.pause_term, claimed).await;
    let status = status.ok_or_else(|| Failure::NotPaused(candidate.server.clone()))?;
    received_by.push((candidate.server.clone(), status.received));
    let all: Vec<Position> = received_by.iter().map(|(_, position)| *position).collect();
    let best = received_by
        .into_iter()
        .find(|(_, position)| promotion::includes_all(*position, &all));
    let (server, received) = best.ok_or(Failure::Obstacle(Obstacle::NoCandidate))?;
    Ok(Candidate {
        server,
        received,
        ..candidate
    })
}

/// Sends the promotion call and returns the token that was accepted.
///
/// A call without a response may take effect later. It is repeated with a greater token, after
/// whose acceptance the platform rejects the earlier call.
async fn call_promotion<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    candidate: &Candidate,
    claimed: Revision,
) -> Result<u64, Failure> {
    let mut claimed = claimed;
    let mut unresolved = None;
    for _ in 0..MAX_PROMOTION_CALLS {
        let token = claimed.fencing_token();
        let promotion = store::Promotion {
            host: core.settings.host.name.clone(),
            token,
            service: service.clone(),
            server: candidate.server.clone(),
        };
        let sent = Instant::now();
        log::info!(event = "promotion_called", service = service.as_str(), server = candidate.server.as_str(), token; "sending a promotion call");
        match core.platform.promote(&promotion).await {
            Ok(Outcome::Accepted) => {
                log::info!(event = "promotion_accepted", service = service.as_str(), server = candidate.server.as_str(), token, elapsed_ms = millis(sent.elapsed()); "the promotion call was accepted");
                return Ok(token);
            }
            Ok(Outcome::Refused) => break,
            Ok(Outcome::Throttled) => sleep(QUERY_DELAY * 4).await,
            Err(error) => {
                log::warn!(event = "order_unanswered", service = service.as_str(), token, cause:% = error; "repeating the promotion call with a greater token");
                unresolved = Some(token);
                let expected = Condition::Unchanged(claimed);
                let repeated = claim(core, service, Some(&candidate.server), expected).await;
                claimed = repeated.map_err(|failure| {
                    log::warn!(event = "order_open", service = service.as_str(), token, cause:% = failure; "cannot repeat the promotion call now");
                    Failure::Unresolved(token)
                })?;
            }
        }
    }
    Err(unresolved.map_or(Failure::Rejected, Failure::Unresolved))
}
