//! Requests confirmations of the lease from the other members.

use crate::{agent::Agent, peers::Peers};
use fulmargw_decision::lease;
use fulmargw_model::fleet::Member;
use fulmargw_peer::message::{LeaseRequest, LeaseResponse};
use fulmargw_platform::store::Store;
use log::info;
use metrics::gauge;
use tokio::time::{Instant, MissedTickBehavior, interval};

impl<S: Store, P: Peers> Agent<S, P> {
    pub(crate) async fn renew_lease(self) {
        let mut ticks = interval(self.shared.settings.confirm_interval());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut valid = false;
        loop {
            ticks.tick().await;
            for member in self.other_members() {
                self.spawn(self.clone().request_confirmation(member));
            }
            valid = self.report_lease(valid);
        }
    }

    /// Updates the metrics of the lease and logs a change. Returns whether the lease is valid.
    fn report_lease(&self, was_valid: bool) -> bool {
        let now = Instant::now();
        let entitlement = {
            let mut fleet = self.shared.fleet.lock();
            fleet.update_lease(now);
            fleet.entitlement(now)
        };
        let remaining = entitlement
            .as_ref()
            .map(|entitlement| entitlement.valid_until - now);
        let divisor = entitlement
            .as_ref()
            .map_or(0, |entitlement| entitlement.share_divisor);
        gauge!("fulmargw_lease_valid_seconds").set(remaining.unwrap_or_default().as_secs_f64());
        gauge!("fulmargw_share_divisor").set(f64::from(divisor));
        let valid = entitlement.is_some();
        if valid != was_valid {
            let change = if valid { "obtained" } else { "lost" };
            info!(host = self.shared.host.name.as_str(); "lease {change}");
        }
        valid
    }

    async fn request_confirmation(self, member: Member) {
        let version = self.shared.configuration.lock().version();
        let (requester, generation) = {
            let fleet = self.shared.fleet.lock();
            (fleet.instance.clone(), fleet.generation())
        };
        let Some(requester) = requester else { return };
        let request = LeaseRequest {
            requester,
            generation,
            version,
        };
        let sent = Instant::now();
        let response = self
            .shared
            .peers
            .confirm(member.host.address, request.clone());
        if let Ok(response) = response.await {
            self.record_lease_response(&request, &response, sent);
        }
    }

    fn record_lease_response(
        &self,
        request: &LeaseRequest,
        response: &LeaseResponse,
        sent: Instant,
    ) {
        let now = Instant::now();
        self.record_versions(response, now);
        let mut fleet = self.shared.fleet.lock();
        if fleet.instance.as_ref() != Some(&request.requester) {
            return;
        }
        fleet
            .responded_at
            .insert(response.witness.host.clone(), now);
        if let Some(join) = &mut fleet.join
            && response.generation >= join.generation
        {
            join.acknowledged_by.insert(response.witness.clone());
        }
        if response.granted {
            fleet.evidence.record_confirmation(lease::Confirmation {
                witness: response.witness.clone(),
                generation: response.generation,
                sent,
                revoked: response.revoked.clone(),
            });
        }
        if response.revoked.contains(&request.requester)
            && response.generation == request.generation
        {
            fleet.revoked_at.get_or_insert(now);
        }
        fleet.update_lease(now);
        if response.generation > fleet.generation() {
            drop(fleet);
            self.shared.poll_now.notify_one();
            self.spawn(self.clone().fetch_fleet(response.witness.clone()));
        }
    }

    /// Records the configuration versions that a witness reports, and has newer ones fetched.
    fn record_versions(&self, response: &LeaseResponse, now: Instant) {
        let mut configuration = self.shared.configuration.lock();
        let own = configuration.version();
        let known = configuration.document.is_some();
        if known && response.known_version <= own {
            return;
        }
        let host = &response.witness.host;
        let has = response.version > own || !known;
        configuration.record_version(response.version, has.then_some(host), now);
        configuration.record_version(response.known_version, None, now);
        drop(configuration);
        self.shared.fetch_now.notify_one();
    }
}
