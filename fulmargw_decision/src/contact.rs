//! Contact of a host with the others, without which it passes on no commits of a service.
//!
//! Each service has a few witnesses, which every host determines from the list of hosts. A host is in
//! contact while a majority of them have responded to it lately, or it has lately written its contact row
//! and read the claims after it. Whoever replaces the primary of the service has the commit barrier
//! confirmed by at least half of the witnesses. So a host that stays in contact learns of the barrier, and
//! the contact of any other host ends some time after the last request that a witness had from it.

use crate::rendezvous;
use fulmargw_model::name::Name;
use std::{collections::BTreeMap, time::Duration};

/// Time for which a host is in contact after it sent the request that was responded to. It does not grow
/// with the fleet, because a promotion waits for it when a host does not respond.
pub const VALIDITY: Duration = Duration::from_secs(3);
/// Time that is added on the other side, for clocks that run at different rates.
pub const MARGIN: Duration = Duration::from_millis(200);
/// Time after which no host counts a request as a proof of its contact, as seen by the others.
pub const LAPSE_TIME: Duration = VALIDITY.saturating_add(MARGIN);
/// Maximum number of witnesses of a service: two of them may fail at the same time.
const MAX_WITNESSES: usize = 5;

/// Returns the witnesses of a service.
#[must_use]
pub fn witnesses(service: &Name, hosts: &[Name]) -> Vec<Name> {
    let ranking = rendezvous::ranking(service.as_str().as_bytes(), hosts);
    ranking.into_iter().take(MAX_WITNESSES).cloned().collect()
}

/// Reports whether so many of the witnesses prove contact. Each such set has a witness in common with each
/// set that [`is_quorum`] accepts.
#[must_use]
pub const fn is_majority(responded: usize, witnesses: usize) -> bool {
    responded * 2 > witnesses
}

/// Reports whether so many of the witnesses have to confirm the commit barrier before a promotion.
#[must_use]
pub const fn is_quorum(confirmed: usize, witnesses: usize) -> bool {
    confirmed * 2 >= witnesses
}

/// The requests that a witness of a service has had from hosts, by the time since boot.
#[derive(Debug, Default)]
pub struct Requests(BTreeMap<Name, Duration>);

impl Requests {
    /// Records a request of a host, and forgets those that prove nothing any more.
    pub fn record(&mut self, host: Name, now: Duration) {
        self.0.retain(|_, at| now.saturating_sub(*at) <= LAPSE_TIME);
        self.0.insert(host, now);
    }

    /// Returns how long ago each host has last sent a request that may still prove its contact.
    #[must_use]
    pub fn ages(&self, now: Duration) -> Vec<(Name, Duration)> {
        let requests = self.0.iter();
        let ages = requests.map(|(host, at)| (host.clone(), now.saturating_sub(*at)));
        ages.filter(|(_, age)| *age <= LAPSE_TIME).collect()
    }
}

/// What a witness that has confirmed the barrier knows of the contacts of others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WitnessReport {
    /// How long ago each host has last sent a request.
    pub requests: Vec<(Name, Duration)>,
    /// Time since the witness started. It knows nothing of earlier requests.
    pub known_for: Duration,
}

/// Returns the time until no host that has not confirmed the barrier can be in contact by what the witnesses
/// responded before, and the host that takes longest, as far as it is known; `None` if that is so now.
///
/// `hosts` are the known ones, and `is_confirmed` tells which have confirmed it.
#[must_use]
pub fn time_until_lapsed(
    reports: &[WitnessReport],
    hosts: &[Name],
    is_confirmed: impl Fn(&Name) -> bool,
) -> Option<(Duration, Option<Name>)> {
    let left = |age: Duration| LAPSE_TIME.saturating_sub(age);
    let by_host = reports.iter().flat_map(|it| &it.requests);
    let unconfirmed = by_host.filter(|(host, _)| !is_confirmed(host));
    let unconfirmed = unconfirmed.map(|(host, age)| (left(*age), Some(host.clone())));
    // A request that a witness has forgotten may be one of any host that has not confirmed.
    let all_confirmed = hosts.iter().all(&is_confirmed);
    let forgetful = reports.iter().filter(|_| !all_confirmed);
    let forgotten = forgetful.map(|it| (left(it.known_for), None));
    let waits = unconfirmed.chain(forgotten);
    let longest = waits.max_by_key(|(left, _)| *left);
    longest.filter(|(left, _)| !left.is_zero())
}
