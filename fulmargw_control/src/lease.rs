//! Asks witnesses to confirm the lease.

use crate::{agent::Agent, peers::Peers};
use fulmargw_decision::lease;
use fulmargw_model::fleet::Member;
use fulmargw_peer::message::{LeaseRequest, LeaseResponse};
use fulmargw_platform::store::Store;
use log::info;
use metrics::gauge;
use tokio::time::{Instant, MissedTickBehavior, interval};

impl<S: Store, P: Peers> Agent<S, P> {
    pub(crate) async fn confirm_leases(self) {
        let mut ticks = interval(self.shared.settings.confirm_interval());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut valid = false;
        loop {
            ticks.tick().await;
            for member in self.others() {
                self.spawn(self.clone().ask(member));
            }
            valid = self.report_lease(valid);
        }
    }

    fn report_lease(&self, before: bool) -> bool {
        let now = Instant::now();
        let standing = {
            let mut fleet = self.shared.fleet.lock();
            fleet.judge(now);
            fleet.standing(now)
        };
        let left = standing.as_ref().map(|standing| standing.until - now);
        let divisor = standing.as_ref().map_or(0, |standing| standing.divisor);
        gauge!("fulmargw_lease_valid_seconds").set(left.unwrap_or_default().as_secs_f64());
        gauge!("fulmargw_share_divisor").set(f64::from(divisor));
        let valid = standing.is_some();
        if valid != before {
            let change = if valid { "obtained" } else { "lost" };
            info!(host = self.shared.host.name.as_str(); "lease {change}");
        }
        valid
    }

    async fn ask(self, member: Member) {
        let version = self.shared.configuration.lock().version();
        let (asker, generation) = {
            let fleet = self.shared.fleet.lock();
            (fleet.own.clone(), fleet.generation())
        };
        let Some(asker) = asker else { return };
        let question = LeaseRequest {
            asker,
            generation,
            version,
        };
        let sent = Instant::now();
        let answer = self
            .shared
            .peers
            .confirm(member.host.address, question.clone());
        if let Ok(answer) = answer.await {
            self.confirmed(&question, &answer, sent);
        }
    }

    fn confirmed(&self, question: &LeaseRequest, answer: &LeaseResponse, sent: Instant) {
        let now = Instant::now();
        self.hear_version(answer, now);
        let mut fleet = self.shared.fleet.lock();
        if fleet.own.as_ref() != Some(&question.asker) {
            return;
        }
        fleet.heard.insert(answer.witness.host.clone(), now);
        if let Some(join) = &mut fleet.join
            && answer.generation >= join.generation
        {
            join.confirmed.insert(answer.witness.clone());
        }
        if answer.granted {
            fleet.evidence.record_confirmation(lease::Confirmation {
                witness: answer.witness.clone(),
                generation: answer.generation,
                sent,
                revoked: answer.refused.clone(),
            });
        }
        if answer.refused.contains(&question.asker) && answer.generation == question.generation {
            fleet.expelled.get_or_insert(now);
        }
        fleet.judge(now);
        if answer.generation > fleet.generation() {
            drop(fleet);
            self.shared.poll.notify_one();
            self.spawn(self.clone().fetch_fleet(answer.witness.clone()));
        }
    }

    fn hear_version(&self, answer: &LeaseResponse, now: Instant) {
        let mut configuration = self.shared.configuration.lock();
        let own = configuration.version();
        let known = configuration.document.is_some();
        if known && answer.heard <= own {
            return;
        }
        let host = &answer.witness.host;
        let has = answer.version > own || !known;
        configuration.hear(answer.version, has.then_some(host), now);
        configuration.hear(answer.heard, None, now);
        drop(configuration);
        self.shared.fetch.notify_one();
    }
}
