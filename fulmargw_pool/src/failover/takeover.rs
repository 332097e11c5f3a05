//! Replaces a primary by a replica that has every acknowledged commit.

use super::{
    Reason, assess,
    claim::{KEY_PREFIX, claim, claimable, may_be_ordered},
    reach::{acknowledged, witness},
    set_primary,
};
use crate::{
    backend::{Server, Status},
    connection::Connection,
    core::Core,
    dialect::Dialect,
    health::Trouble,
    message::Command,
    promotion::{self, Candidate, Obstacle, Replica},
    store::{self, Outcome, Platform},
};
use fulmargw_decision::rendezvous;
use fulmargw_model::{
    execution::{Code, ServerId},
    name::Name,
    position::{Position, Term},
};
use fulmargw_peer::report;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, timeout};

/// Delay before the host of the next rank acts.
const RANK_DELAY: Duration = Duration::from_millis(500);
/// Longest time for one question to a replica.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two questions to a replica.
const ASK_PAUSE: Duration = Duration::from_millis(25);
/// Questions to a replica that has no free slot.
const ASK_TRIES: u32 = 4;
/// Longest time for the candidate to receive what the others hold.
const CATCH_UP: Duration = Duration::from_millis(600);
/// Calls for one promotion; each has a token of its own.
const ORDER_TRIES: u32 = 6;
/// Why an attempt ended without a new primary.
#[derive(Debug, displaydoc::Display)]
pub(super) enum Stop {
    /// another host has claimed the service
    Claimed,
    /// the primary works again
    Recovered,
    /// the primary answers host {0}
    Reached(Name),
    /// {0}
    Store(crate::store::Error),
    /// {0}
    Obstacle(Obstacle),
    /// replica {0} could not be paused
    NotPaused(Name),
    /// the platform refused the order
    Refused,
    /// an order has no answer and may be carried out later
    Unsettled,
    /// the claim cannot be encoded: {0}
    Encode(String),
}

/// Whether an attempt may wait for a replica with every acknowledged commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Patience {
    /// The old primary may still come back with its log.
    Left,
    /// It has been away for so long that the longest log has to do.
    Spent,
}

/// A replica with a connection for questions.
struct Asked<D: Dialect> {
    server: Server,
    connection: Option<Connection<D>>,
    status: Option<Status>,
}

/// Replaces the primary of a service and returns the new one.
pub(super) async fn attempt<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    service: &Name,
    reason: Reason,
    patience: Patience,
) -> Result<Name, Stop> {
    wait_for_turn(core, service).await;
    if reason != Reason::Unsettled && assess(core, service, Instant::now()).is_none() {
        return Err(Stop::Recovered);
    }
    let may_be_here = matches!(
        reason,
        Reason::Trouble(Trouble::Unreachable | Trouble::Silent)
    );
    if may_be_here && let Some(host) = witness(core, service).await {
        return Err(Stop::Reached(host));
    }
    let key = format!("{KEY_PREFIX}{service}");
    let standing = claimable(core, &key).await?;
    if reason != Reason::Unsettled && assess(core, service, Instant::now()).is_none() {
        return Err(Stop::Recovered);
    }
    let ordered = standing
        .candidate
        .filter(|candidate| may_be_ordered(core, service, candidate));
    let token = claim(core, service, ordered.as_ref(), standing.revision).await?;
    log::info!(event = "promotion_claimed", service = service.as_str(), token, reason:? = reason, ordered:? = ordered.as_ref().map(Name::as_str); "replacing a primary");
    let (mut asked, acknowledged) =
        tokio::join!(survey(core, service), acknowledged(core, service));
    let needed = acknowledged.filter(|_| patience == Patience::Left);
    let result = take_over(core, service, token, needed, ordered.as_ref(), &mut asked).await;
    match result {
        // The replicas stay paused, so that the candidate of the open order, or of the host that
        // has claimed the service meanwhile, keeps receiving every commit that is acknowledged.
        Err(Stop::Unsettled | Stop::Claimed) => return result,
        Err(ref stop)
            if ordered.is_some()
                && !matches!(stop, Stop::Obstacle(Obstacle::AlreadyPrimary(..))) =>
        {
            log::info!(event = "order_open", service = service.as_str(), token, cause:% = stop; "an earlier order may still be carried out");
            return Err(Stop::Unsettled);
        }
        Err(_) => resume(&mut asked).await,
        Ok(_) => {}
    }
    result
}

async fn wait_for_turn<D: Dialect, P: Platform>(core: &Core<D, P>, service: &Name) {
    let alive = core.members.lock().alive(Instant::now());
    let host = &core.settings.host.name;
    let rank = rendezvous::rank(service.as_str().as_bytes(), host, &alive);
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    sleep(RANK_DELAY.saturating_mul(rank)).await;
}

/// Asks all servers of a service but the present primary for their state.
async fn survey<D: Dialect, P: Platform>(core: &Core<D, P>, service: &Name) -> Vec<Asked<D>> {
    let replicas: Vec<Server> = {
        let servers = core.servers.lock();
        let group = servers.groups.get(service);
        group.map_or_else(Vec::new, |group| {
            let others = group.backends.values();
            let others =
                others.filter(|backend| group.primary_id.as_ref() != Some(&backend.server.id));
            others.map(|backend| backend.server.clone()).collect()
        })
    };
    let asks = replicas.into_iter().map(|server| async {
        let mut asked = Asked {
            connection: connect(core, &server).await,
            server,
            status: None,
        };
        asked.status = ask(&mut asked, &Command::Status).await;
        asked
    });
    futures::future::join_all(asks).await
}

pub(super) async fn connect<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    server: &Server,
) -> Option<Connection<D>> {
    let key = ServerId {
        service: server.service.clone(),
        server: server.id.clone(),
    };
    let idle = core.with_backend(&key, |backend| {
        let idle = backend.take_idle();
        if idle.is_some() {
            backend.connection_closed();
        }
        idle
    });
    if let Some(Some(connection)) = idle {
        return Some(connection);
    }
    let account = core
        .configuration()
        .and_then(|configuration| configuration.catalog.accounts.keys().next().cloned())?;
    let opened = timeout(ASK_TIMEOUT, Connection::open(server, account)).await;
    match opened {
        Ok(Ok(connection)) => Some(connection),
        Ok(Err(error)) => {
            log::info!(event = "replica_unreachable", server = server.id.as_str(), cause:? = error; "cannot ask a replica");
            None
        }
        Err(_) => {
            log::info!(event = "replica_unreachable", server = server.id.as_str(), cause = "timeout"; "cannot ask a replica");
            None
        }
    }
}

/// Sends a question and reads the state that it is answered with.
async fn ask<D: Dialect>(asked: &mut Asked<D>, command: &Command) -> Option<Status> {
    for _ in 0..ASK_TRIES {
        let connection = asked.connection.as_mut()?;
        let run = timeout(ASK_TIMEOUT, connection.run(vec![command.clone()])).await;
        let Ok(Ok(replies)) = run else {
            log::info!(event = "replica_silent", server = asked.server.id.as_str(), command:? = command; "replica did not answer");
            asked.connection = None;
            return None;
        };
        let reply = replies.into_iter().next()?;
        match reply.result {
            Ok(_) => return reply.rows.first().and_then(D::decode_status),
            Err((Code::Busy, _)) => sleep(ASK_PAUSE).await,
            Err((code, _)) => {
                log::info!(event = "replica_refused", server = asked.server.id.as_str(), command:? = command, code = code.label(); "replica refused a question");
                return None;
            }
        }
    }
    None
}

async fn take_over<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    token: u64,
    needed: Option<Position>,
    ordered: Option<&Name>,
    asked: &mut [Asked<D>],
) -> Result<Name, Stop> {
    let voters: Vec<Replica> = asked
        .iter()
        .map(|asked| Replica {
            server: asked.server.id.clone(),
            is_draining: asked.server.is_draining,
            status: asked.status,
        })
        .collect();
    let candidate = match promotion::choose_candidate(&voters, Term(0), ordered) {
        Ok(candidate) => candidate,
        Err(Obstacle::AlreadyPrimary(server, term)) => {
            set_primary(core, service, &server, "survey");
            return Err(Stop::Obstacle(Obstacle::AlreadyPrimary(server, term)));
        }
        Err(obstacle) => return Err(Stop::Obstacle(obstacle)),
    };
    let candidate = gather(asked, candidate).await?;
    promotion::check_complete(&candidate, needed).map_err(Stop::Obstacle)?;
    log::info!(
        event = "promotion_candidate", service = service.as_str(),
        server = candidate.server.as_str(), token,
        received:? = (candidate.received.term.0, candidate.received.index);
        "replica with every acknowledged commit"
    );
    // The claim names the server before the order is sent, so that a host which takes over while
    // the order has no answer chooses the same server.
    let token = claim(core, service, Some(&candidate.server), token).await?;
    let token = order(core, service, &candidate, token).await?;
    let promoted = report::Promotion {
        service: service.clone(),
        server: candidate.server.clone(),
        token,
    };
    core.members.lock().record_promotion(&promoted);
    set_primary(core, service, &candidate.server, "own order");
    core.report_now.notify_one();
    Ok(candidate.server)
}

/// Stops the other replicas from receiving and waits until the candidate has all they hold.
///
/// From then on a commit is acknowledged only through the candidate, so the old primary may go
/// on until it is replaced.
async fn gather<D: Dialect>(
    asked: &mut [Asked<D>],
    candidate: Candidate,
) -> Result<Candidate, Stop> {
    let pause = Command::Pause(candidate.pause_term);
    let mut held: Vec<(Name, Position)> = Vec::new();
    for other in asked
        .iter_mut()
        .filter(|other| other.server.id != candidate.server)
    {
        let status = ask(other, &pause).await;
        let status = status.ok_or_else(|| Stop::NotPaused(other.server.id.clone()))?;
        held.push((other.server.id.clone(), status.received));
    }
    let positions: Vec<Position> = held.iter().map(|(_, position)| *position).collect();
    let own = asked
        .iter_mut()
        .find(|asked| asked.server.id == candidate.server);
    let Some(own) = own else {
        return Err(Stop::NotPaused(candidate.server));
    };
    let limit = Instant::now() + CATCH_UP;
    let mut received = candidate.received;
    while !promotion::includes_all(received, &positions) && Instant::now() < limit {
        sleep(ASK_PAUSE).await;
        let status = ask(own, &Command::Status).await;
        received = status.map_or(received, |status| status.received);
    }
    if promotion::includes_all(received, &positions) {
        return Ok(Candidate {
            received,
            ..candidate
        });
    }
    // The candidate does not catch up. With all replicas paused, the longest log has all.
    let status = ask(own, &pause).await;
    let status = status.ok_or_else(|| Stop::NotPaused(candidate.server.clone()))?;
    held.push((candidate.server.clone(), status.received));
    let all: Vec<Position> = held.iter().map(|(_, position)| *position).collect();
    let best = held
        .into_iter()
        .find(|(_, position)| promotion::includes_all(*position, &all));
    let (server, received) = best.ok_or(Stop::Obstacle(Obstacle::NoCandidate))?;
    Ok(Candidate {
        server,
        received,
        ..candidate
    })
}

/// Orders the promotion and returns the token that was accepted. A call without an answer may be carried out later, so it is repeated
/// with a greater token, which makes the earlier call harmless.
async fn order<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    candidate: &Candidate,
    token: u64,
) -> Result<u64, Stop> {
    let mut token = token;
    let mut is_open = false;
    for _ in 0..ORDER_TRIES {
        let order = store::Promotion {
            host: core.settings.host.name.clone(),
            token,
            service: service.clone(),
            server: candidate.server.clone(),
        };
        match core.platform.promote(&order).await {
            Ok(Outcome::Accepted) => return Ok(token),
            Ok(Outcome::Refused) if is_open => return Err(Stop::Unsettled),
            Ok(Outcome::Refused) => return Err(Stop::Refused),
            Ok(Outcome::Throttled) => sleep(ASK_PAUSE * 4).await,
            Err(error) => {
                log::warn!(event = "order_unanswered", service = service.as_str(), token, cause:% = error; "repeating the order with a greater token");
                is_open = true;
                let claimed = claim(core, service, Some(&candidate.server), token).await;
                token = claimed.map_err(|stop| {
                    log::warn!(event = "order_open", service = service.as_str(), token, cause:% = stop; "cannot repeat the order now");
                    Stop::Unsettled
                })?;
            }
        }
    }
    Err(if is_open {
        Stop::Unsettled
    } else {
        Stop::Refused
    })
}

/// Lets paused replicas receive again.
async fn resume<D: Dialect>(asked: &mut [Asked<D>]) {
    for replica in asked
        .iter_mut()
        .filter(|replica| replica.connection.is_some())
    {
        if ask(replica, &Command::Resume).await.is_none() {
            log::warn!(event = "replica_left_paused", server = replica.server.id.as_str(); "cannot resume a replica");
        }
    }
}
