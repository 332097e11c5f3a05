//! Exchanges reports with the other hosts, and lends them tokens.

use super::apply_membership;
use crate::{catalog::Catalog, core::Core, dialect::Dialect, failover, store::Platform};
use fulmargw_model::name::Name;
use fulmargw_peer::{
    message::{LoanRequest, LoanResponse},
    report::{self, Report, Response},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Time within which a primary must have answered to count as answering.
const ANSWERING: Duration = Duration::from_millis(600);

/// Exchanges reports with the other hosts until the process stops.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>) {
    loop {
        let sent = own(&core);
        for address in addresses(&core) {
            let told = core.members.lock().reported_digest(address);
            let report = sent.for_recipient(told);
            core.tasks
                .spawn(exchange(Arc::clone(&core), address, report));
        }
        let interval = core.members.lock().report_interval();
        tokio::select! {
            () = sleep(interval) => {}
            () = core.report_now.notified() => {}
        }
    }
}

fn addresses<D: Dialect, P: Platform>(core: &Core<D, P>) -> Vec<SocketAddr> {
    let mut addresses = core.members.lock().next_round();
    let host = &core.settings.host;
    if core.configuration.borrow().is_none() || addresses.is_empty() {
        addresses.extend(&host.seeds);
    }
    addresses.sort_unstable();
    addresses.dedup();
    addresses.retain(|address| *address != host.peer_address);
    addresses
}

async fn exchange<D: Dialect, P: Platform>(core: Arc<Core<D, P>>, peer: SocketAddr, own: Report) {
    match core.report_client.exchange(peer, &own).await {
        Ok(answer) => take(&core, answer),
        Err(error) => {
            metrics::counter!("fulmargw_pool_report_failures_total").increment(1);
            log::debug!(event = "report_failed", cause:% = error; "host did not answer");
        }
    }
}

fn take<D: Dialect, P: Platform>(core: &Core<D, P>, answer: Response) {
    if let Some(bytes) = answer.catalog {
        match rmp_serde::from_slice::<Catalog>(&bytes) {
            Ok(catalog) => {
                if core.adopt(catalog, answer.report.host.as_str()) {
                    apply_membership(core);
                }
            }
            Err(cause) => {
                log::warn!(event = "configuration_undecodable", host = answer.report.host.as_str(), cause:% = cause; "ignoring the configuration of a host");
            }
        }
    }
    hear(core, answer.report);
}

/// Takes the report of another host.
fn hear<D: Dialect, P: Platform>(core: &Core<D, P>, report: Report) {
    let promoted = report.promotions.clone();
    for (service, position) in &report.acknowledged_positions {
        core.acknowledge(service, *position);
    }
    let (changed, newer, knows_all) = {
        let mut members = core.members.lock();
        let lists_hosts = !report.members.is_empty();
        let fleet = report.members_digest;
        let newer: Vec<_> = promoted
            .into_iter()
            .filter(|promoted| members.record_promotion(promoted))
            .collect();
        let changed = members.record_report(report, Instant::now());
        let knows_all = lists_hosts || fleet == members.digest();
        (changed, newer, knows_all)
    };
    if changed {
        apply_membership(core);
    }
    if knows_all {
        core.hosts_known.send_replace(true);
    }
    for promoted in newer {
        failover::set_primary(core, &promoted.service, &promoted.server, "peer");
    }
}

/// Returns what this host reports.
fn own<D: Dialect, P: Platform>(core: &Core<D, P>) -> Report {
    let now = Instant::now();
    let version = core
        .configuration()
        .map_or(0, |configuration| configuration.catalog.version);
    let host = &core.settings.host;
    let (fleet, members, hears, promoted) = {
        let table = core.members.lock();
        let peers = table.peers.iter();
        let members = peers.map(|(name, peer)| (name.clone(), peer.endpoint));
        let mut members: Vec<_> = members.collect();
        members.push((host.name.clone(), host.endpoint()));
        let hearing = table.peer_timeout();
        let heard = table.peers.iter();
        let heard = heard.filter(|(_, peer)| peer.has_reported(hearing, now));
        let audible: Vec<Name> = heard.map(|(name, _)| name.clone()).collect();
        let promoted = table.promotions.values().cloned().collect();
        (table.digest(), members, audible, promoted)
    };
    let (answering, acknowledged) = {
        let servers = core.servers.lock();
        let groups = servers.groups.iter();
        let known = groups.filter_map(|(service, group)| {
            let position = group.acknowledged?;
            Some((service.clone(), position))
        });
        let acknowledged = known.collect();
        let primaries = servers.groups.values().filter_map(|group| group.primary());
        let alive = primaries.filter(|primary| primary.health.has_responded(ANSWERING, now));
        let answering = alive.map(|primary| primary.server.id.clone()).collect();
        (answering, acknowledged)
    };
    Report {
        host: host.name.clone(),
        endpoint: host.endpoint(),
        incarnation: core.incarnation,
        version,
        members_digest: fleet,
        members,
        reachable_hosts: hears,
        responsive_primaries: answering,
        acknowledged_positions: acknowledged,
        promotions: promoted,
        is_stopping: core.draining.is_cancelled(),
    }
}

/// Answers the reports of other hosts.
#[derive(Debug)]
pub struct Handler<D: Dialect, P: Platform>(pub Arc<Core<D, P>>);

impl<D: Dialect, P: Platform> Clone for Handler<D, P> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<D: Dialect, P: Platform> report::Handler for Handler<D, P> {
    fn exchange(&self, asked: Report) -> Response {
        let version = asked.version;
        let told = asked.members_digest;
        hear(&self.0, asked);
        let own = own(&self.0).for_recipient(Some(told));
        let newer = self
            .0
            .configuration()
            .filter(|configuration| configuration.catalog.version > version);
        let catalog = newer.and_then(|configuration| match rmp_serde::to_vec(&configuration.catalog) {
            Ok(bytes) => Some(bytes.into()),
            Err(cause) => {
                log::warn!(event = "configuration_unencodable", cause:% = cause; "cannot pass the configuration on");
                None
            }
        });
        Response {
            report: own,
            catalog,
        }
    }

    fn lend(&self, demand: LoanRequest) -> LoanResponse {
        let now = Instant::now();
        let has_share = self.0.members.lock().has_share(now);
        let (grant, remaining) = self.0.admission.lock().lend(
            &demand.account,
            demand.tokens,
            &demand.settled,
            has_share,
            now,
        );
        LoanResponse {
            grant,
            remaining,
            offered: 0.0,
        }
    }
}
