//! Checks that no host can pass on commits without knowing of the commit barrier.

use super::replacement::Failure;
use crate::{
    backend::Registry, contact, core::Core, dialect::Dialect, store::Platform, table::Backend,
};
use fulmargw_decision::contact::{MARGIN, Testimony, VALIDITY, is_quorum, time_until_lapsed};
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
    let (testimonies, rows) =
        tokio::join!(testimonies(core, service, confirmed), core.platform.rows());
    contact::apply_rows(core, &rows.map_err(Failure::Store)?);
    let Some(testimonies) = testimonies else {
        return Ok(Confirmation::Incomplete);
    };
    let is_confirmed = |host: &Name| confirmed.contains(host);
    let hosts = core.members.lock().names();
    let by_witnesses = time_until_lapsed(&testimonies, &hosts, is_confirmed);
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
async fn testimonies<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    confirmed: &[Name],
) -> Option<Vec<Testimony>> {
    let (count, peers) = contact::witness_addresses(core, service);
    let request = ContactRequest {
        service: service.clone(),
        host: None,
    };
    let is_own_witness = count > peers.len();
    let own = is_own_witness.then(|| contact::testify(core, request.clone()));
    let peers = peers.iter().filter(|(host, _)| confirmed.contains(host));
    let asked = peers.map(|(_, address)| contact::ask(core, *address, &request));
    let responses = join_all(asked).await.into_iter().flatten().chain(own);
    let testimonies = responses.map(|response| Testimony {
        requests: response.requests,
        known_for: response.known_for,
    });
    let testimonies: Vec<Testimony> = testimonies.collect();
    is_quorum(testimonies.len(), count).then_some(testimonies)
}

/// Returns the time until every host that proves its contact by the store has read the claim with the name,
/// and one such host; `None` if that is so now.
fn time_until_claim_read<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    is_confirmed: impl Fn(&Name) -> bool,
    named_at: Instant,
) -> Option<(Duration, Option<Name>)> {
    let now = Instant::now();
    let left = (named_at + VALIDITY + MARGIN).saturating_duration_since(now);
    if left.is_zero() {
        return None;
    }
    let members = core.members.lock();
    let recent = members.recent_contact(VALIDITY + MARGIN, is_confirmed, now)?;
    Some((left, Some(recent)))
}

/// Returns a server of the service in a registry that was not surveyed, although it may have received
/// commits.
pub(super) fn joined<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    registry: &Registry,
    surveyed: &[&Name],
) -> Option<Name> {
    let servers = core.servers.lock();
    let group = servers.groups.get(service);
    let primary = group.and_then(|group| group.primary_id.as_ref());
    let is_excluded = |id: &Name| {
        let backend = group.and_then(|group| group.backends.get(id));
        backend.is_some_and(Backend::is_excluded)
    };
    let members = registry.values().filter(|it| it.service == *service);
    let mut others = members
        .map(|it| &it.id)
        .filter(|id| !surveyed.contains(id) && primary != Some(*id) && !is_excluded(id));
    others.next().cloned()
}
