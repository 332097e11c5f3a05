//! Checks that no host can pass on commits without knowing of the commit barrier.

use super::replacement::Failure;
use crate::{
    contact::{self, Witnesses},
    core::Core,
    dialect::Dialect,
    store::Platform,
};
use fulmargw_decision::contact::{LAPSE_TIME, WitnessReport, is_quorum, time_until_lapsed};
use fulmargw_model::name::Name;
use fulmargw_peer::report::ContactRequest;
use futures::future::join_all;
use std::time::Duration;
use tokio::time::Instant;

/// Whether every host knows of the barrier that may pass on commits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Confirmation {
    /// It does.
    Complete,
    /// It will after this time. Names the host that takes longest, if it is known.
    Waits(Duration, Option<Name>),
    /// Too few witnesses have confirmed the barrier.
    Incomplete,
}

/// Checks whether every host that may pass on commits has confirmed the barrier, after the hosts in
/// `confirmed` have. `named_at` is the time at which the claim first named the candidate.
pub(super) async fn confirmation<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    confirmed: &[Name],
    named_at: Instant,
) -> Result<Confirmation, Failure> {
    let (reports, rows) = tokio::join!(
        witness_reports(core, service, confirmed),
        core.platform.rows()
    );
    contact::apply_rows(core, &rows.map_err(Failure::Store)?);
    let Some(reports) = reports else {
        return Ok(Confirmation::Incomplete);
    };
    let is_confirmed = |host: &Name| confirmed.contains(host);
    let hosts = core.members.lock().names();
    let by_witnesses = time_until_lapsed(&reports, &hosts, is_confirmed);
    let by_store = time_until_claim_read(core, is_confirmed, named_at);
    let longest = by_witnesses
        .into_iter()
        .chain(by_store)
        .max_by_key(|(left, _)| *left);
    Ok(match longest {
        Some((left, host)) => Confirmation::Waits(left, host),
        None => Confirmation::Complete,
    })
}

/// Asks the witnesses that have confirmed the barrier for the contacts of the hosts; `None` if too few of
/// them have confirmed it and respond.
async fn witness_reports<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    confirmed: &[Name],
) -> Option<Vec<WitnessReport>> {
    let witnesses = Witnesses::of(core, service);
    let request = ContactRequest {
        service: service.clone(),
        host: None,
    };
    let own = witnesses
        .includes_own
        .then(|| contact::respond(core, request.clone()));
    let peers = witnesses
        .peers
        .iter()
        .filter(|(host, _)| confirmed.contains(host));
    let asked = peers.map(|(_, address)| contact::ask(core, *address, &request));
    let responses = join_all(asked).await.into_iter().flatten().chain(own);
    let reports = responses.map(|response| WitnessReport {
        requests: response.requests,
        known_for: response.known_for,
    });
    let reports: Vec<WitnessReport> = reports.collect();
    is_quorum(reports.len(), witnesses.count()).then_some(reports)
}

/// Returns the time until every host that proves its contact by the store has read the claim with the name,
/// and one such host; `None` if that is so now.
fn time_until_claim_read<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    is_confirmed: impl Fn(&Name) -> bool,
    named_at: Instant,
) -> Option<(Duration, Option<Name>)> {
    let now = Instant::now();
    let left = (named_at + LAPSE_TIME).saturating_duration_since(now);
    if left.is_zero() {
        return None;
    }
    let members = core.members.lock();
    let recent = members.recent_contact(LAPSE_TIME, is_confirmed, now)?;
    Some((left, Some(recent)))
}
