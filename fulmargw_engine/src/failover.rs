//! Promotion of a new primary when a service has none.

use crate::{
    control::ControlPlane,
    core::Core,
    journal::promotion::{Evidence, Outcome, Promotion},
    table::{
        self,
        backend::{Observation, Order},
        server::Key,
    },
};
use fulmargw_backend::connection::{Connector, Error};
use fulmargw_decision::promotion::{self, Backend, Cause, Promise};
use fulmargw_model::{name::Name, position::Term};
use futures::{StreamExt, stream::FuturesUnordered};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, timeout};

/// Longest time between two judgements.
const JUDGE_INTERVAL: Duration = Duration::from_millis(50);
/// Least pause after a promotion that did not succeed; it doubles with each further one.
const BACKOFF: Duration = Duration::from_millis(50);
/// Number of doublings of the pause. A longer pause than 0.4 s before jitter would add too much
/// to the failover gap when a member returns.
const DOUBLINGS: u32 = 3;

/// Watches one service and promotes a new primary when it has none.
pub struct Failover<C: Connector, G> {
    core: Arc<Core<C, G>>,
    service: Name,
    /// Present cause and the time since when it lasts.
    since: Option<(Cause, Instant)>,
    /// Promotions in a row that did not succeed.
    failures: u32,
}

/// What one judgement found.
struct Finding {
    cause: Cause,
    term: Term,
    leader: Option<usize>,
    majority: usize,
    members: Vec<Backend>,
    keys: Vec<Key>,
    /// Time at which the failure was first noticed.
    noticed: Option<Instant>,
}

impl<C: Connector, G: ControlPlane> Failover<C, G> {
    /// Makes the watch of a service.
    pub fn new(core: Arc<Core<C, G>>, service: Name) -> Self {
        Self {
            core,
            service,
            since: None,
            failures: 0,
        }
    }

    /// Runs until the service leaves the configuration or the engine stops.
    pub async fn run(mut self) {
        let core = Arc::clone(&self.core);
        tokio::select! {
            () = core.stop.cancelled() => {}
            () = self.watch() => {}
        }
    }

    async fn watch(&mut self) {
        loop {
            let changed = {
                let servers = self.core.servers.lock();
                let Some(group) = servers.groups.get(&self.service) else {
                    return;
                };
                Arc::clone(&group.changed)
            };
            let _ = timeout(JUDGE_INTERVAL, changed.notified()).await;
            let Some(finding) = self.judge() else {
                self.since = None;
                self.failures = 0;
                continue;
            };
            if self.lasts(finding.cause) < finding.cause.grace_period() {
                continue;
            }
            self.take_turn(finding).await;
        }
    }

    fn lasts(&mut self, cause: Cause) -> Duration {
        let now = Instant::now();
        let since = match self.since {
            Some((known, since)) if known == cause => since,
            _ => now,
        };
        self.since = Some((cause, since));
        now.saturating_duration_since(since)
    }

    fn judge(&self) -> Option<Finding> {
        if !self.core.gate.has_lease(Instant::now()) {
            return None;
        }
        let servers = self.core.servers.lock();
        let group = servers.groups.get(&self.service)?;
        let members: Vec<_> = group
            .backends
            .iter()
            .map(table::backend::Backend::view)
            .collect();
        let cause = promotion::assess(&members, group.majority)?;
        let leader = promotion::latest_primary(&members);
        let key = |server: &Name| Key {
            service: self.service.clone(),
            server: server.clone(),
        };
        Some(Finding {
            cause,
            term: promotion::next_term(&members),
            leader,
            majority: group.majority,
            keys: group
                .backends
                .iter()
                .map(|it| key(&it.server.name))
                .collect(),
            noticed: leader.and_then(|leader| group.backends[leader].failing),
            members,
        })
    }

    /// Waits for the turn of this host, and promotes if nobody else did.
    async fn take_turn(&mut self, finding: Finding) {
        let rank = self.core.gate.promotion_rank(&self.service, finding.term);
        sleep(promotion::delay(rank)).await;
        let Some(finding) = self.judge().filter(|now| now.term == finding.term) else {
            return;
        };
        log::warn!(
            "service {}: {}, promoting for term {}",
            self.service,
            finding.cause,
            finding.term.0
        );
        if self.promote(&finding).await.is_some() {
            self.failures = 0;
        } else {
            self.back_off().await;
        }
        self.since = None;
    }

    /// Waits longer after each failure: while no majority answers, every promotion only uses
    /// up a term.
    async fn back_off(&mut self) {
        let pause = BACKOFF * (1 << self.failures.min(DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        sleep(pause.mul_f64(1.0 + rand::random::<f64>())).await;
    }

    async fn promote(&self, finding: &Finding) -> Option<()> {
        let began = Instant::now();
        let noticed = finding.noticed.unwrap_or(began);
        record("detection", began.saturating_duration_since(noticed));
        let promises = self.fence(finding).await;
        let chosen = promotion::choose(&promises, finding.majority);
        let Some(key) = chosen.map(|chosen| &finding.keys[chosen]) else {
            log::warn!(
                "service {}: no majority for term {}",
                self.service,
                finding.term.0
            );
            self.note(finding, &promises, None, Outcome::NoMajority);
            return None;
        };
        record("fence", began.elapsed());
        self.designate(key, finding.term);
        let promoting = Instant::now();
        let deadline = promoting + self.core.settings.probe_timeout();
        let term = finding.term;
        let order = |reply| Order::Promote(term, reply);
        let promoted = self.core.order(key, deadline, order).await;
        let Some(Ok(_)) = promoted else {
            self.designate(key, Term(0));
            log::warn!(
                "service {}: {key} was not promoted for term {}",
                self.service,
                term.0
            );
            self.note(finding, &promises, Some(key), Outcome::NotConfirmed);
            return None;
        };
        record("promote", promoting.elapsed());
        log::warn!(
            "service {}: {key} is the primary of term {}",
            self.service,
            term.0
        );
        self.note(finding, &promises, Some(key), Outcome::Promoted);
        self.core
            .gate
            .announce_primary(&self.service, term, &key.server);
        self.probe_all(finding);
        Some(())
    }

    /// Adds a promotion to the journal.
    fn note(&self, finding: &Finding, promises: &[Promise], chosen: Option<&Key>, end: Outcome) {
        let members = finding.keys.iter().zip(&finding.members).enumerate();
        let evidence = members
            .map(|(place, (key, member))| Evidence::of(&key.server, place, member, promises));
        let evidence = evidence.collect();
        let mut journal = self.core.journal.lock();
        let promotion = Promotion {
            offset_ms: journal.offset_ms(Instant::now()),
            service: self.service.clone(),
            cause: finding.cause,
            term: finding.term,
            end,
            server: chosen.map(|key| key.server.clone()),
            majority: finding.majority,
            evidence,
        };
        journal.add_promotion(promotion);
    }

    /// Asks the members for their promises until a majority has given them.
    async fn fence(&self, finding: &Finding) -> Vec<Promise> {
        let deadline = Instant::now() + self.core.settings.probe_timeout();
        let term = finding.term;
        let asked = electorate(finding);
        let questions = asked.into_iter().map(|member| {
            let order = |reply| Order::Fence(term, reply);
            let answer = self.core.order(&finding.keys[member], deadline, order);
            async move { (member, answer.await) }
        });
        let mut answers: FuturesUnordered<_> = questions.collect();
        let mut promises = Vec::new();
        while promises.len() < finding.majority
            && let Some((member, answer)) = answers.next().await
        {
            promises.extend(promise(finding, member, answer));
        }
        promises
    }

    fn designate(&self, key: &Key, term: Term) {
        let mut servers = self.core.servers.lock();
        if let Some(group) = servers.groups.get_mut(&self.service) {
            group.designate(&key.server, term);
        }
    }

    fn probe_all(&self, finding: &Finding) {
        for key in &finding.keys {
            self.core.with_backend(key, |member| member.probe());
        }
    }
}

/// Returns the members that may become the primary.
///
/// The failed primary is left out if the others suffice: it may have the longest log and
/// would then be chosen again.
fn electorate(finding: &Finding) -> Vec<usize> {
    let all = 0..finding.members.len();
    let excluded = finding.leader.filter(|_| !finding.cause.may_keep_primary());
    let others: Vec<_> = all.clone().filter(|&it| Some(it) != excluded).collect();
    if others.len() >= finding.majority {
        others
    } else {
        all.collect()
    }
}

fn promise(
    finding: &Finding,
    member: usize,
    answer: Option<Result<Observation, Error>>,
) -> Option<Promise> {
    let seen = answer?.ok()?;
    Some(Promise {
        backend: member,
        status: seen.status,
        draining: finding.members[member].draining,
    })
}

fn record(step: &'static str, took: Duration) {
    metrics::histogram!("fulmargw_failover_seconds", "step" => step).record(took);
}
