//! Handles the requests of peers.

use crate::{account, agent::Agent, peers::Peers, table};
use fulmargw_decision::{membership, rendezvous};
use fulmargw_model::{
    configuration::{Configuration, Version},
    fleet::{Fleet, Instance, State},
    name::Name,
};
use fulmargw_peer::{
    message::{
        Announcement, LeaseRequest, LeaseResponse, LoanRequest, LoanResponse, RemovalRequest,
        VersionNotice,
    },
    service::Handler,
};
use fulmargw_platform::store::Store;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Time of offered load for which a lender keeps tokens for its own requests.
const RESERVE_TIME: Duration = Duration::from_millis(100);

impl<S: Store, P: Peers> Handler for Agent<S, P> {
    fn confirm(&self, request: &LeaseRequest) -> LeaseResponse {
        let now = Instant::now();
        let (version, known_version) = self.exchange_versions(request, now);
        let mut fleet = self.shared.fleet.lock();
        let granted = may_confirm(&fleet, request);
        if granted {
            fleet.confirmed_at.insert(request.requester.clone(), now);
        }
        let response = LeaseResponse {
            witness: fleet
                .instance
                .clone()
                .unwrap_or_else(|| self.non_member_instance()),
            granted,
            generation: fleet.generation(),
            version,
            known_version,
            revoked: fleet.revoked.iter().cloned().collect(),
        };
        drop(fleet);
        if request.generation > response.generation {
            self.shared.poll_now.notify_one();
            self.spawn(self.clone().fetch_fleet(request.requester.clone()));
        }
        response
    }

    fn consent(&self, request: &RemovalRequest) -> bool {
        let now = Instant::now();
        let mut fleet = self.shared.fleet.lock();
        let consents = may_consent(&fleet, request, now);
        if consents {
            fleet.revoked.insert(request.instance.clone());
            fleet.update_lease(now);
        }
        consents
    }

    fn record_notice(&self, notice: &VersionNotice) -> bool {
        let mut configuration = self.shared.configuration.lock();
        configuration.record_version(notice.version, None, Instant::now());
        true
    }

    fn lend(&self, request: &LoanRequest) -> LoanResponse {
        let now = Instant::now();
        let fleet = self.shared.fleet.lock();
        let known = fleet
            .record
            .as_ref()
            .is_some_and(|record| membership::find_member(record, &request.borrower).is_some());
        let may_borrow = known && !fleet.revoked.contains(&request.borrower);
        let entitlement = fleet.entitlement(now).filter(|_| may_borrow);
        let mut accounts = self.shared.accounts.lock();
        if let Some(entitlement) = &entitlement {
            accounts.assign_to(&entitlement.instance, now);
        }
        let entry = accounts.entries.get_mut(&request.account);
        entry.map_or(NO_LOAN, |entry| {
            self.lend_from(entry, request, entitlement.as_ref(), now)
        })
    }

    fn record_announcement(&self, announcement: Announcement) {
        // Sending fails only if there is no receiver.
        let _ = self.shared.announcement_sender.send(announcement);
    }

    fn push(&self, configuration: Configuration) -> Version {
        self.apply_configuration(configuration);
        self.shared.configuration.lock().version()
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        self.shared.configuration.lock().document.clone()
    }

    fn fleet(&self) -> Option<Arc<Fleet>> {
        self.shared.fleet.lock().record.clone()
    }
}

const NO_LOAN: LoanResponse = LoanResponse {
    grant: None,
    remaining: 0.0,
    offered: 0.0,
};

/// Reports whether this host may confirm a lease. Both hosts must have a record of the same
/// generation, and this host must not have consented to the removal of the requester.
fn may_confirm(fleet: &table::Fleet, request: &LeaseRequest) -> bool {
    fleet.record.as_ref().is_some_and(|record| {
        !fleet.leaving
            && record.generation == request.generation
            && membership::find_member(record, &request.requester).is_some()
            && !fleet.revoked.contains(&request.requester)
    })
}

/// Reports whether this host may consent to a removal. Only an active member with a record of
/// the same generation consents, so that the consents to a removal and the confirmations of a
/// lease come from the same set of members.
fn may_consent(fleet: &table::Fleet, request: &RemovalRequest, now: Instant) -> bool {
    let active = fleet
        .own_member()
        .is_some_and(|member| member.state == State::Active);
    let listed = fleet.record.as_ref().is_some_and(|record| {
        record.generation == request.generation
            && membership::find_member(record, &request.instance).is_some()
    });
    let own = fleet.instance.as_ref() == Some(&request.instance);
    active
        && listed
        && !own
        && !fleet.leaving
        && fleet.confirmations_expired(&request.instance, now)
}

impl<S: Store, P: Peers> Agent<S, P> {
    /// Returns the instance that this host reports while it is not a member. It matches no
    /// member of a record.
    fn non_member_instance(&self) -> Instance {
        Instance {
            host: self.shared.host.name.clone(),
            incarnation: fulmargw_model::host::Incarnation(0),
        }
    }

    /// Records the version of the requester. Returns the version in force on this host and the
    /// greatest version that it knows of.
    fn exchange_versions(&self, request: &LeaseRequest, now: Instant) -> (Version, Version) {
        let mut configuration = self.shared.configuration.lock();
        let newer = request.version > configuration.version();
        if newer {
            configuration.record_version(request.version, Some(&request.requester.host), now);
        }
        let versions = (configuration.version(), configuration.greatest_known(now));
        drop(configuration);
        if newer {
            self.shared.fetch_now.notify_one();
        }
        versions
    }

    fn lend_from(
        &self,
        entry: &mut account::Entry,
        request: &LoanRequest,
        entitlement: Option<&table::Entitlement>,
        now: Instant,
    ) -> LoanResponse {
        for settlement in &request.settled {
            entry.bucket.settle(*settlement, now);
        }
        let offered = entry.offered.per_second(now);
        let Some(entitlement) = entitlement.filter(|entitlement| entitlement.has_share()) else {
            return LoanResponse { offered, ..NO_LOAN };
        };
        let share = entry.share(entitlement);
        let reserve = self.reserve(entry, share.burst, &request.borrower.host, offered);
        let bucket = &mut entry.bucket;
        let grant = bucket.lend(share, request.tokens, reserve, entitlement.valid_until, now);
        LoanResponse {
            grant,
            remaining: (entry.bucket.available() - reserve).max(0.0),
            offered,
        }
    }

    /// Returns the tokens that this host keeps for its own requests.
    ///
    /// If the burst of a share is less than one token, no host can admit a request without
    /// borrowing. The tokens then go to the host with the better rendezvous rank, so that two
    /// hosts do not each keep the part that the other one needs.
    fn reserve(&self, entry: &account::Entry, burst: f64, borrower: &Name, offered: f64) -> f64 {
        if burst >= 1.0 && entry.waiting > 0 {
            return f64::INFINITY;
        }
        if burst >= 1.0 {
            return offered * RESERVE_TIME.as_secs_f64();
        }
        let own = &self.shared.host.name;
        let key = entry.account.name.as_str().as_bytes();
        let outranked = rendezvous::rank(key, borrower, [own, borrower]) == 0;
        if entry.waiting == 0 || outranked {
            0.0
        } else {
            f64::INFINITY
        }
    }
}
