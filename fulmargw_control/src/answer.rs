//! Answers to other hosts.

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

/// Time for which a lender keeps tokens for its own requests.
const RESERVE: Duration = Duration::from_millis(100);

impl<S: Store, P: Peers> Handler for Agent<S, P> {
    fn confirm(&self, question: &LeaseRequest) -> LeaseResponse {
        let now = Instant::now();
        let (version, heard) = self.compare_versions(question, now);
        let mut fleet = self.shared.fleet.lock();
        let granted = is_confirmed(&fleet, question);
        if granted {
            fleet.granted.insert(question.asker.clone(), now);
        }
        let confirmation = LeaseResponse {
            witness: fleet.own.clone().unwrap_or_else(|| self.nobody()),
            granted,
            generation: fleet.generation(),
            version,
            heard,
            refused: fleet.refused.iter().cloned().collect(),
        };
        drop(fleet);
        if question.generation > confirmation.generation {
            self.shared.poll.notify_one();
            self.spawn(self.clone().fetch_fleet(question.asker.clone()));
        }
        confirmation
    }

    fn consent(&self, removal: &RemovalRequest) -> bool {
        let now = Instant::now();
        let mut fleet = self.shared.fleet.lock();
        let consents = is_removable(&fleet, removal, now);
        if consents {
            fleet.refused.insert(removal.life.clone());
            fleet.judge(now);
        }
        consents
    }

    fn note(&self, note: &VersionNotice) -> bool {
        let mut configuration = self.shared.configuration.lock();
        configuration.hear(note.version, None, Instant::now());
        true
    }

    fn lend(&self, demand: &LoanRequest) -> LoanResponse {
        let now = Instant::now();
        let fleet = self.shared.fleet.lock();
        let known = fleet
            .record
            .as_ref()
            .is_some_and(|record| membership::find_member(record, &demand.borrower).is_some());
        let entitled = known && !fleet.refused.contains(&demand.borrower);
        let standing = fleet.standing(now).filter(|_| entitled);
        let mut accounts = self.shared.accounts.lock();
        if let Some(standing) = &standing {
            accounts.belong_to(&standing.life, now);
        }
        let entry = accounts.entries.get_mut(&demand.account);
        entry.map_or(NOTHING, |entry| {
            self.lend_from(entry, demand, standing.as_ref(), now)
        })
    }

    fn announced(&self, announcement: Announcement) {
        // An error only means that nobody listens.
        let _ = self.shared.announced.send(announcement);
    }

    fn push(&self, configuration: Configuration) -> Version {
        self.adopt(configuration);
        self.shared.configuration.lock().version()
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        self.shared.configuration.lock().document.clone()
    }

    fn fleet(&self) -> Option<Arc<Fleet>> {
        self.shared.fleet.lock().record.clone()
    }
}

const NOTHING: LoanResponse = LoanResponse {
    grant: None,
    remaining: 0.0,
    offered: 0.0,
};

fn is_confirmed(fleet: &table::Fleet, question: &LeaseRequest) -> bool {
    fleet.record.as_ref().is_some_and(|record| {
        !fleet.leaving
            && record.generation == question.generation
            && membership::find_member(record, &question.asker).is_some()
            && !fleet.refused.contains(&question.asker)
    })
}

/// Only an active member of the same generation consents, so that the consents to a removal
/// and the confirmations of a lease come from the same set of members.
fn is_removable(fleet: &table::Fleet, removal: &RemovalRequest, now: Instant) -> bool {
    let active = fleet
        .entry()
        .is_some_and(|entry| entry.state == State::Active);
    let listed = fleet.record.as_ref().is_some_and(|record| {
        record.generation == removal.generation
            && membership::find_member(record, &removal.life).is_some()
    });
    let own = fleet.own.as_ref() == Some(&removal.life);
    active && listed && !own && !fleet.leaving && fleet.is_silent_to(&removal.life, now)
}

impl<S: Store, P: Peers> Agent<S, P> {
    /// The life of a host that is not a member; it matches no entry of a record.
    fn nobody(&self) -> Instance {
        Instance {
            host: self.shared.host.name.clone(),
            incarnation: fulmargw_model::host::Incarnation(0),
        }
    }

    /// Hears the asker's version and returns the own one and the greatest one heard of.
    fn compare_versions(&self, question: &LeaseRequest, now: Instant) -> (Version, Version) {
        let mut configuration = self.shared.configuration.lock();
        let newer = question.version > configuration.version();
        if newer {
            configuration.hear(question.version, Some(&question.asker.host), now);
        }
        let versions = (configuration.version(), configuration.greatest(now));
        drop(configuration);
        if newer {
            self.shared.fetch.notify_one();
        }
        versions
    }

    fn lend_from(
        &self,
        entry: &mut account::Entry,
        demand: &LoanRequest,
        standing: Option<&table::Standing>,
        now: Instant,
    ) -> LoanResponse {
        for settlement in &demand.settled {
            entry.bucket.settle(*settlement, now);
        }
        let offered = entry.offered.per_second(now);
        let Some(standing) = standing.filter(|standing| standing.has_share()) else {
            return LoanResponse { offered, ..NOTHING };
        };
        let share = entry.share(standing);
        let reserve = self.reserve(entry, share.burst, &demand.borrower.host, offered);
        let bucket = &mut entry.bucket;
        let grant = bucket.lend(share, demand.tokens, reserve, standing.until, now);
        LoanResponse {
            grant,
            remaining: (entry.bucket.available() - reserve).max(0.0),
            offered,
        }
    }

    /// Returns the tokens that this host keeps for its own requests.
    ///
    /// When a share holds less than one token, no host can admit anything alone. Then the
    /// tokens go to the host of the better rank, so that two hosts do not wait for each
    /// other's part.
    fn reserve(&self, entry: &account::Entry, burst: f64, borrower: &Name, offered: f64) -> f64 {
        if burst >= 1.0 && entry.waiting > 0 {
            return f64::INFINITY;
        }
        if burst >= 1.0 {
            return offered * RESERVE.as_secs_f64();
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
