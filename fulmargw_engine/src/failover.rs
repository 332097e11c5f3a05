//! Promotion of a new primary when a service has none that works.

use crate::{
    control::ControlPlane,
    core::Core,
    journal::promotion::{Evidence, Outcome, Promotion},
    table::{
        self,
        backend::{Command, Observation},
        server::ServerId,
    },
};
use fulmargw_backend::connection::{Connector, Error};
use fulmargw_decision::promotion::{self, Backend, Cause, Promise};
use fulmargw_model::{name::Name, position::Term};
use futures::{StreamExt, stream::FuturesUnordered};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, timeout};

/// Longest time between two assessments of a group.
const ASSESSMENT_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after the first failed promotion, before jitter. It doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum number of doublings of the delay. More than 0.4 s before jitter would add too much to
/// the time without a primary once a majority is back.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Watches one service and promotes a new primary when necessary.
pub struct Failover<C: Connector, P> {
    core: Arc<Core<C, P>>,
    service: Name,
    /// Current cause for a promotion, and the time at which it was first found.
    cause_since: Option<(Cause, Instant)>,
    /// Consecutive failed promotions.
    failures: u32,
}

/// State of a group that needs a promotion.
struct Assessment {
    cause: Cause,
    /// Term for the new primary.
    term: Term,
    /// Index of the last known primary.
    latest_primary: Option<usize>,
    majority: usize,
    /// State of each backend server, as this host knows it.
    backends: Vec<Backend>,
    /// Identifiers of the backend servers, in the same order.
    server_ids: Vec<ServerId>,
    /// Time at which the failure of that primary was noticed.
    failing_since: Option<Instant>,
}

impl<C: Connector, P: ControlPlane> Failover<C, P> {
    /// Creates the failover task of a service.
    pub fn new(core: Arc<Core<C, P>>, service: Name) -> Self {
        Self {
            core,
            service,
            cause_since: None,
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
            let _ = timeout(ASSESSMENT_INTERVAL, changed.notified()).await;
            let Some(assessment) = self.assess() else {
                self.cause_since = None;
                self.failures = 0;
                continue;
            };
            if self.cause_duration(assessment.cause) < assessment.cause.grace_period() {
                continue;
            }
            self.promote_in_turn(assessment).await;
        }
    }

    /// Returns how long the cause has lasted without interruption.
    fn cause_duration(&mut self, cause: Cause) -> Duration {
        let now = Instant::now();
        let since = match self.cause_since {
            Some((known, since)) if known == cause => since,
            _ => now,
        };
        self.cause_since = Some((cause, since));
        now.saturating_duration_since(since)
    }

    /// Assesses the group; `None` if it needs no promotion, or if this host has no lease and
    /// must not promote.
    fn assess(&self) -> Option<Assessment> {
        if !self.core.control_plane.has_lease(Instant::now()) {
            return None;
        }
        let servers = self.core.servers.lock();
        let group = servers.groups.get(&self.service)?;
        let backends: Vec<_> = group
            .backends
            .iter()
            .map(table::backend::Backend::promotion_backend)
            .collect();
        let cause = promotion::assess(&backends, group.majority)?;
        let latest_primary = promotion::latest_primary(&backends);
        let server_id = |server: &Name| ServerId {
            service: self.service.clone(),
            server: server.clone(),
        };
        Some(Assessment {
            cause,
            term: promotion::next_term(&backends),
            latest_primary,
            majority: group.majority,
            server_ids: group
                .backends
                .iter()
                .map(|it| server_id(&it.server.name))
                .collect(),
            failing_since: latest_primary.and_then(|index| group.backends[index].failing_since),
            backends,
        })
    }

    /// Waits for the delay of this host's rank, and promotes if no peer did so meanwhile.
    async fn promote_in_turn(&mut self, assessment: Assessment) {
        let rank = self
            .core
            .control_plane
            .promotion_rank(&self.service, assessment.term);
        sleep(promotion::delay(rank)).await;
        let Some(assessment) = self.assess().filter(|now| now.term == assessment.term) else {
            return;
        };
        log::warn!(
            "service {}: {}; promoting a new primary for term {}",
            self.service,
            assessment.cause,
            assessment.term.0
        );
        if self.promote(&assessment).await.is_some() {
            self.failures = 0;
        } else {
            self.back_off().await;
        }
        self.cause_since = None;
    }

    /// Waits longer after each failure, because while no majority responds, every promotion only
    /// uses up a term.
    async fn back_off(&mut self) {
        let delay = INITIAL_BACKOFF * (1 << self.failures.min(MAX_BACKOFF_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        sleep(delay.mul_f64(1.0 + rand::random::<f64>())).await;
    }

    /// Collects promises, and promotes the best of the servers that gave them.
    async fn promote(&self, assessment: &Assessment) -> Option<()> {
        let started_at = Instant::now();
        let failing_since = assessment.failing_since.unwrap_or(started_at);
        record_step(
            "detection",
            started_at.saturating_duration_since(failing_since),
        );
        let promises = self.fence(assessment).await;
        let chosen = promotion::choose(&promises, assessment.majority);
        let Some(server_id) = chosen.map(|chosen| &assessment.server_ids[chosen]) else {
            log::warn!(
                "service {}: no majority promised term {}",
                self.service,
                assessment.term.0
            );
            self.record(assessment, &promises, None, Outcome::NoMajority);
            return None;
        };
        record_step("fence", started_at.elapsed());
        self.prepare_promotion(server_id, assessment.term);
        let promoting_since = Instant::now();
        let deadline = promoting_since + self.core.settings.probe_timeout();
        let term = assessment.term;
        let command = |reply| Command::Promote(term, reply);
        let promoted = self.core.send_command(server_id, deadline, command).await;
        let Some(Ok(_)) = promoted else {
            self.prepare_promotion(server_id, Term(0));
            log::warn!(
                "service {}: backend server {server_id} did not confirm its promotion for term {}",
                self.service,
                term.0
            );
            self.record(
                assessment,
                &promises,
                Some(server_id),
                Outcome::NotConfirmed,
            );
            return None;
        };
        record_step("promote", promoting_since.elapsed());
        log::warn!(
            "service {}: backend server {server_id} is the primary of term {}",
            self.service,
            term.0
        );
        self.record(assessment, &promises, Some(server_id), Outcome::Promoted);
        self.core
            .control_plane
            .announce_primary(&self.service, term, &server_id.server);
        self.probe_all(assessment);
        Some(())
    }

    /// Adds a promotion to the journal.
    fn record(
        &self,
        assessment: &Assessment,
        promises: &[Promise],
        chosen: Option<&ServerId>,
        outcome: Outcome,
    ) {
        let servers = assessment
            .server_ids
            .iter()
            .zip(&assessment.backends)
            .enumerate();
        let evidence = servers.map(|(index, (server_id, backend))| {
            Evidence::of(&server_id.server, index, backend, promises)
        });
        let evidence = evidence.collect();
        let mut journal = self.core.journal.lock();
        let promotion = Promotion {
            offset_ms: journal.offset_ms(Instant::now()),
            service: self.service.clone(),
            cause: assessment.cause,
            term: assessment.term,
            outcome,
            server: chosen.map(|server_id| server_id.server.clone()),
            majority: assessment.majority,
            evidence,
        };
        journal.add_promotion(promotion);
    }

    /// Requests promises of the term until a majority has given them or the calls time out.
    async fn fence(&self, assessment: &Assessment) -> Vec<Promise> {
        let deadline = Instant::now() + self.core.settings.probe_timeout();
        let term = assessment.term;
        let candidates = candidates(assessment);
        let requests = candidates.into_iter().map(|index| {
            let command = |reply| Command::Fence(term, reply);
            let response = self
                .core
                .send_command(&assessment.server_ids[index], deadline, command);
            async move { (index, response.await) }
        });
        let mut responses: FuturesUnordered<_> = requests.collect();
        let mut promises = Vec::new();
        while promises.len() < assessment.majority
            && let Some((index, response)) = responses.next().await
        {
            promises.extend(promise(assessment, index, response));
        }
        promises
    }

    fn prepare_promotion(&self, server_id: &ServerId, term: Term) {
        let mut servers = self.core.servers.lock();
        if let Some(group) = servers.groups.get_mut(&self.service) {
            group.prepare_promotion(&server_id.server, term);
        }
    }

    fn probe_all(&self, assessment: &Assessment) {
        for server_id in &assessment.server_ids {
            self.core
                .with_backend(server_id, |backend| backend.request_probe());
        }
    }
}

/// Returns the indices of the servers that may become the primary.
///
/// The failed primary is left out if the others suffice for a majority: it may have the longest
/// log and would then be chosen again.
fn candidates(assessment: &Assessment) -> Vec<usize> {
    let all = 0..assessment.backends.len();
    let excluded = assessment
        .latest_primary
        .filter(|_| !assessment.cause.may_keep_primary());
    let others: Vec<_> = all.clone().filter(|&it| Some(it) != excluded).collect();
    if others.len() >= assessment.majority {
        others
    } else {
        all.collect()
    }
}

/// Returns the promise in the response to a fence command, if there is one.
fn promise(
    assessment: &Assessment,
    index: usize,
    response: Option<Result<Observation, Error>>,
) -> Option<Promise> {
    let observation = response?.ok()?;
    Some(Promise {
        backend: index,
        status: observation.status,
        draining: assessment.backends[index].draining,
    })
}

fn record_step(step: &'static str, took: Duration) {
    metrics::histogram!("fulmargw_failover_seconds", "step" => step).record(took);
}
