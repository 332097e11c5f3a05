//! Exchanges reports with the peers, and lends them rate tokens.

use super::{apply_membership, evacuation};
use crate::{
    catalog::Catalog, configuration::Source, contact, core::Core, dialect::Dialect, failover,
    store::Platform, traffic,
};
use fulmargw_peer::{
    message::{LoanRequest, LoanResponse},
    report::{self, ContactRequest, ContactResponse, Report, Response},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Time since its last response for which a primary is reported as responsive.
const RESPONSE_AGE: Duration = Duration::from_millis(600);

/// Exchanges reports with the peers until the process stops.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>) {
    loop {
        let report = own_report(&core);
        for address in addresses(&core) {
            let assumed_digest = core.members.lock().assumed_digest(address);
            let report = report.for_recipient(Some(assumed_digest));
            core.tasks
                .spawn("report", exchange(Arc::clone(&core), address, report));
        }
        let interval = core.members.lock().timing().round;
        tokio::select! {
            () = sleep(interval) => {}
            () = core.report_now.notified() => {}
        }
    }
}

/// Returns the peers of the next round of reports. The seeds are added as long as this host has no
/// configuration or knows no peers.
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
        Ok((response, bytes)) => {
            if core.members.lock().is_address_in_other_zone(peer) {
                traffic::record("reports", bytes);
            }
            apply(&core, response);
        }
        Err(error) => {
            metrics::counter!("fulmargw_pool_report_failures_total").increment(1);
            log::debug!(event = "report_failed", cause:% = error; "peer did not respond to a report");
        }
    }
}

/// Applies a peer's response: its configuration, if newer, and its report.
fn apply<D: Dialect, P: Platform>(core: &Core<D, P>, mut response: Response) {
    let orders = response.report.orders.take();
    evacuation::apply_report(core, orders, response.report.host.as_str());
    if let Some(bytes) = response.catalog {
        match rmp_serde::from_slice::<Catalog>(&bytes) {
            Ok(catalog) => {
                let source = Source::Peer(response.report.host.clone());
                if core.apply_configuration(catalog, source) {
                    apply_membership(core);
                }
            }
            Err(cause) => {
                log::warn!(event = "configuration_undecodable", host = response.report.host.as_str(), cause:% = cause; "ignoring the configuration of a peer");
            }
        }
    }
    record(core, response.report);
}

/// Records the report of a peer, and applies what is new in it.
fn record<D: Dialect, P: Platform>(core: &Core<D, P>, mut report: Report) {
    evacuation::apply_report(core, report.orders.take(), report.host.as_str());
    let promotions = report.promotions.clone();
    for (service, position) in &report.acknowledged_positions {
        core.learn_acknowledged(service, *position);
    }
    let (is_changed, knows_all_hosts) = {
        let mut members = core.members.lock();
        let lists_hosts = !report.members.is_empty();
        let digest = report.members_digest;
        let is_changed = members.record_report(report, Instant::now());
        let knows_all_hosts = lists_hosts || digest == members.digest();
        (is_changed, knows_all_hosts)
    };
    if is_changed {
        apply_membership(core);
    }
    if knows_all_hosts {
        core.hosts_known.send_replace(true);
    }
    for promotion in &promotions {
        failover::record_promotion(core, promotion, "peer");
    }
}

/// Returns the report of this host.
fn own_report<D: Dialect, P: Platform>(core: &Core<D, P>) -> Report {
    let now = Instant::now();
    let version = core
        .configuration()
        .map_or(0, |configuration| configuration.catalog.version);
    let host = &core.settings.host;
    let (members_digest, members, ages) = {
        let table = core.members.lock();
        let peers = table.peers.iter();
        let members = peers.map(|(name, peer)| (name.clone(), peer.endpoint.clone()));
        let mut members: Vec<_> = members.collect();
        members.push((host.name.clone(), core.settings.endpoint()));
        (table.digest(), members, table.ages(now))
    };
    let (responsive_primaries, acknowledged_positions, promotions) = {
        let servers = core.servers.lock();
        let groups = servers.groups.iter();
        let known = groups.filter_map(|(service, group)| {
            let position = group.acknowledged?;
            Some((service.clone(), position))
        });
        let acknowledged_positions = known.collect();
        let primaries = servers.groups.values().filter_map(|group| group.primary());
        let responsive =
            primaries.filter(|primary| primary.health.has_responded(RESPONSE_AGE, now));
        let responsive_primaries = responsive
            .map(|primary| primary.server.id.clone())
            .collect();
        let promotions = servers.promotions().cloned().collect();
        (responsive_primaries, acknowledged_positions, promotions)
    };
    Report {
        host: host.name.clone(),
        endpoint: core.settings.endpoint(),
        incarnation: core.incarnation,
        version,
        members_digest,
        members,
        ages,
        responsive_primaries,
        acknowledged_positions,
        promotions,
        is_stopping: core.draining.is_cancelled(),
        orders: core.orders.lock().snapshot().cloned(),
    }
}

/// Handles the reports and loan requests of peers.
#[derive(Debug)]
pub struct Handler<D: Dialect, P: Platform>(pub Arc<Core<D, P>>);

impl<D: Dialect, P: Platform> Clone for Handler<D, P> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<D: Dialect, P: Platform> report::Handler for Handler<D, P> {
    fn exchange(&self, request: Report) -> Response {
        let version = request.version;
        let known_digest = request.members_digest;
        record(&self.0, request);
        let own = own_report(&self.0).for_recipient(Some(known_digest));
        let newer = self
            .0
            .configuration()
            .filter(|configuration| configuration.catalog.version > version);
        let catalog = newer.and_then(|newer| match rmp_serde::to_vec(&newer.catalog) {
            Ok(bytes) => Some(bytes.into()),
            Err(cause) => {
                log::warn!(event = "configuration_unencodable", cause:% = cause; "cannot send the configuration to a peer");
                None
            }
        });
        Response {
            report: own,
            catalog,
        }
    }

    fn lend(&self, request: LoanRequest) -> LoanResponse {
        let now = Instant::now();
        let has_share = self.0.members.lock().has_share(now);
        let (grant, remaining) = self.0.admission.lock().lend(
            &request.account,
            request.tokens,
            &request.settled,
            has_share,
            now,
        );
        LoanResponse {
            grant,
            remaining,
            offered: 0.0,
        }
    }

    fn contact(&self, request: ContactRequest) -> ContactResponse {
        contact::respond(&self.0, request)
    }
}
