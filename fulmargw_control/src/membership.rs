//! Joins and leaves the fleet and removes dead members.

use crate::{
    agent::Agent,
    peers::Peers,
    record::{self, Stored},
    settings::Settings,
    table::Join,
};
use fulmargw_decision::{
    lease::{self, VALIDITY},
    membership::{self, ACTIVATION_DELAY},
    rendezvous,
};
use fulmargw_model::fleet::{Fleet, Instance, Member, State};
use fulmargw_peer::{message::RemovalRequest, service::Handler};
use fulmargw_platform::{
    message::{Commit, Transaction},
    store::{Error, Store},
};
use futures::future::join_all;
use log::{info, warn};
use metrics::counter;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

/// Interval at which the membership is looked at.
const INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a failed change, which mostly means that the store is down.
const ERROR_PAUSE: Duration = Duration::from_millis(500);

/// Tries of one change against conflicts and lost answers.
const TRIES: usize = 8;

/// Delay per rank between hosts that want to remove the same member.
const RANK_DELAY: Duration = Duration::from_millis(200);

/// Time for which a refused life waits for its removal before it joins again.
const EXPULSION: Duration = Duration::from_secs(3);

/// What a tick of the membership task finds to do.
#[derive(Debug)]
enum Duty {
    Join,
    Rejoin,
    Activate(Instance),
    Remove(Member),
    Nothing,
}

impl<S: Store, P: Peers> Agent<S, P> {
    pub(crate) async fn keep_membership(self) {
        let mut ticks = interval(INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let duty = self.duty(Instant::now());
            let step = self.fulfil(duty).await;
            if step.is_err() {
                counter!("fulmargw_membership_errors_total").increment(1);
                sleep(ERROR_PAUSE).await;
            }
        }
    }

    fn duty(&self, now: Instant) -> Duty {
        let read = self.shared.configuration.lock().read;
        let mut fleet = self.shared.fleet.lock();
        let Some(own) = fleet.own.clone() else {
            let due = now >= fleet.join_at;
            return if due { Duty::Join } else { Duty::Nothing };
        };
        let recent = read.is_some_and(|sent| now < sent + VALIDITY);
        let expelled = fleet.expelled.is_some_and(|since| now >= since + EXPULSION);
        if expelled && recent {
            return Duty::Rejoin;
        }
        match fleet.entry().map(|entry| entry.state) {
            Some(State::Joining) if is_admitted(&mut fleet, &own, now) => Duty::Activate(own),
            // Consents are for good, so none are collected while no removal can be written.
            Some(State::Active) if recent && fleet.standing(now).is_some() => {
                let suspect = self.shared.settings.suspect();
                find_dead(&fleet, &own, suspect, now).map_or(Duty::Nothing, Duty::Remove)
            }
            Some(State::Joining) if recent && fleet.standing(now).is_some() => {
                let settings = &self.shared.settings;
                find_vanished(&fleet, &own, settings, now).map_or(Duty::Nothing, Duty::Remove)
            }
            _ => Duty::Nothing,
        }
    }

    async fn fulfil(&self, duty: Duty) -> Result<(), Error> {
        match duty {
            Duty::Join => self.join().await,
            Duty::Rejoin => {
                // The old life must use nothing once the new one is in the record.
                self.shared.fleet.lock().suspend();
                self.join().await
            }
            Duty::Activate(own) => self.activate(&own).await,
            Duty::Remove(member) => self.remove(&member).await,
            Duty::Nothing => Ok(()),
        }
    }

    async fn join(&self) -> Result<(), Error> {
        let host = &self.shared.host;
        let mut tried: Option<Instance> = None;
        let joined = self
            .change(|fleet| {
                let written = tried.as_ref();
                if written.is_some_and(|life| membership::find_member(fleet, life).is_some()) {
                    return None;
                }
                match membership::join(fleet, host) {
                    Ok((next, life)) => {
                        tried = Some(life);
                        Some(next)
                    }
                    Err(cause) => {
                        warn!("cannot join the fleet: {cause}");
                        tried = None;
                        None
                    }
                }
            })
            .await;
        let record = joined?;
        let Some(life) = tried else { return Ok(()) };
        if membership::find_member(&record, &life).is_some() {
            self.joined(&life, &record);
        }
        Ok(())
    }

    fn joined(&self, life: &Instance, record: &Fleet) {
        let now = Instant::now();
        let mut fleet = self.shared.fleet.lock();
        fleet.suspend();
        fleet.own = Some(life.clone());
        fleet.join = Some(Join {
            generation: record.generation,
            at: now,
            alone: record.members.len() == 1,
            confirmed: std::collections::BTreeSet::new(),
            complete: None,
        });
        fleet.judge(now);
        info!(host = life.host.as_str(); "joined the fleet at generation {}", record.generation.0);
    }

    async fn activate(&self, own: &Instance) -> Result<(), Error> {
        let record = self
            .change(|fleet| {
                let entry = membership::find_member(fleet, own)?;
                (entry.state == State::Joining).then(|| membership::activate(fleet, own).ok())?
            })
            .await?;
        // The share begins now, so the buckets start empty now.
        let now = Instant::now();
        self.shared.accounts.lock().belong_to(own, now);
        info!(host = own.host.as_str(); "active at generation {}", record.generation.0);
        Ok(())
    }

    /// Removes a dead member if enough of its other members consent.
    async fn remove(&self, member: &Member) -> Result<(), Error> {
        let life = member.instance();
        let generation = self.shared.fleet.lock().generation();
        let removal = RemovalRequest {
            generation,
            life: life.clone(),
        };
        if !self.collect_consents(member, &removal).await {
            return Ok(());
        }
        let record = self
            .change(|fleet| {
                let unchanged = fleet.generation == generation;
                unchanged.then(|| membership::remove(fleet, &life).ok())?
            })
            .await?;
        if membership::find_member(&record, &life).is_none() {
            counter!("fulmargw_members_removed_total").increment(1);
            info!(host = life.host.as_str(); "removed from the fleet at generation {}", record.generation.0);
        }
        Ok(())
    }

    /// Asks all other present members first and consents itself last, because a consent is
    /// for good. The consent of a joining host does not count.
    async fn collect_consents(&self, member: &Member, removal: &RemovalRequest) -> bool {
        let own = &self.shared.host.name;
        let (witnesses, needed) = self.present_witnesses(member, Instant::now());
        let peers = &self.shared.peers;
        let others = witnesses.iter().filter(|member| member.host.name != *own);
        let calls = others.map(|member| peers.consent(member.host.address, removal.clone()));
        let answers = join_all(calls).await;
        let given = answers.iter().filter(|answer| **answer == Ok(true)).count();
        if witnesses.iter().any(|member| member.host.name == *own) {
            given + 1 >= needed && self.consent(removal)
        } else {
            given >= needed
        }
    }

    /// Returns the witnesses of a member that have not vanished and how many of them must
    /// consent to its removal.
    fn present_witnesses(&self, member: &Member, now: Instant) -> (Vec<Member>, usize) {
        let period = self.shared.settings.vanished_after();
        let fleet = self.shared.fleet.lock();
        let life = member.instance();
        let witnesses: Vec<&Member> = fleet
            .record
            .iter()
            .flat_map(|record| lease::witnesses(record, &life))
            .collect();
        let others = witnesses.len();
        let present: Vec<Member> = witnesses
            .into_iter()
            .filter(|witness| !fleet.has_vanished(witness, period, now))
            .cloned()
            .collect();
        let gone = fleet.has_vanished(member, period, now);
        let needed = lease::present_removal_quorum(others, present.len(), gone);
        (present, needed)
    }

    /// Marks this host as leaving, so that others see it; requests are still admitted.
    ///
    /// # Errors
    ///
    /// If the store is not reachable.
    pub async fn drain(&self) -> Result<(), Error> {
        let Some(own) = self.stop_witnessing() else {
            return Ok(());
        };
        self.change(|fleet| {
            let entry = membership::find_member(fleet, &own)?;
            (entry.state != State::Leaving).then(|| membership::leave(fleet, &own).ok())?
        })
        .await
        .map(drop)
    }

    /// Returns grants, leaves the fleet and ends all tasks. No requests may be running.
    ///
    /// # Errors
    ///
    /// If the store is not reachable. The tasks end nevertheless, and the other members
    /// remove this host.
    pub async fn leave(&self) -> Result<(), Error> {
        let own = self.stop_witnessing();
        self.return_grants().await;
        self.shared.stop.cancel();
        self.shared.tasks.close();
        self.shared.fleet.lock().suspend();
        let Some(own) = own else { return Ok(()) };
        self.change(|fleet| membership::remove(fleet, &own).ok())
            .await
            .map(drop)
    }

    fn stop_witnessing(&self) -> Option<Instance> {
        let mut fleet = self.shared.fleet.lock();
        fleet.leaving = true;
        fleet.own.clone()
    }

    /// Changes the record with a conditional write and returns the record then in force.
    ///
    /// `decide` returns `None` when nothing has to be changed, in particular when an earlier
    /// try whose answer was lost has taken effect.
    async fn change(
        &self,
        mut decide: impl FnMut(&Fleet) -> Option<Fleet>,
    ) -> Result<Fleet, Error> {
        let mut last = None;
        for _ in 0..TRIES {
            let rows = self.read(&[record::FLEET]).await?;
            let stored: Stored<Fleet> = Stored::decode(record::FLEET, rows[0].as_ref())?;
            let Some(next) = decide(&stored.value) else {
                self.adopt_fleet(stored.value.clone());
                return Ok(stored.value);
            };
            let transaction = Transaction {
                conditions: vec![record::unchanged(record::FLEET, stored.revision)],
                writes: vec![record::write(record::FLEET, &next)?],
            };
            match self.commit(transaction).await {
                Ok(Commit::Done) => {
                    self.adopt_fleet(next.clone());
                    return Ok(next);
                }
                Ok(Commit::Conflict) => {}
                Err(cause) => last = Some(cause),
            }
        }
        Err(last.unwrap_or_else(|| Error {
            step: "change of the fleet record",
            peer: record::FLEET.to_owned(),
            cause: format!("{TRIES} conflicts"),
        }))
    }
}

/// Reports whether every member with a share has reduced it for the joining host.
fn is_admitted(fleet: &mut crate::table::Fleet, own: &Instance, now: Instant) -> bool {
    let (Some(record), Some(join)) = (&fleet.record, &mut fleet.join) else {
        return false;
    };
    let mut sharers = membership::members_with_share(record, own);
    if !sharers.all(|member| join.confirmed.contains(&member.instance())) {
        join.complete = None;
        return false;
    }
    let complete = *join.complete.get_or_insert(now);
    // A share freed by a removal before the join may still be in use for as long.
    join.alone || now >= (join.at + VALIDITY).max(complete + ACTIVATION_DELAY)
}

/// Finds a member that has not answered for too long, later on hosts of a higher rank.
fn find_dead(
    fleet: &crate::table::Fleet,
    own: &Instance,
    suspect: Duration,
    now: Instant,
) -> Option<Member> {
    let record = fleet.record.as_ref()?;
    let others = record
        .members
        .iter()
        .filter(|member| member.host.name != own.host);
    others
        .filter(|member| {
            let life = member.instance();
            let names = lease::witnesses(record, &life).map(|witness| &witness.host.name);
            let rank = rendezvous::rank(member.host.name.as_str().as_bytes(), &own.host, names);
            let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
            let heard = fleet.heard.get(&member.host.name).copied();
            let silent = heard.is_none_or(|heard| now >= heard + suspect + delay);
            silent && fleet.is_silent_to(&life, now)
        })
        .min_by_key(|member| fleet.heard.get(&member.host.name).copied())
        .cloned()
}

/// Finds a vanished member for a joining host, which removes one only if no active member
/// answers that could do so.
fn find_vanished(
    fleet: &crate::table::Fleet,
    own: &Instance,
    settings: &Settings,
    now: Instant,
) -> Option<Member> {
    let record = fleet.record.as_ref()?;
    let mut active = lease::witnesses(record, own);
    if !active.all(|member| fleet.is_unheard(&member.host.name, settings.suspect(), now)) {
        return None;
    }
    let others = record
        .members
        .iter()
        .filter(|member| member.host.name != own.host);
    let period = settings.vanished_after();
    let mut vanished = others.filter(|member| fleet.has_vanished(member, period, now));
    vanished.next().cloned()
}
