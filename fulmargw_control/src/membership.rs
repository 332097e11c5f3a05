//! Joins and leaves the fleet, and removes unresponsive members.

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

/// Interval at which the membership is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after a failed change, which mostly means that the store is unreachable.
const ERROR_DELAY: Duration = Duration::from_millis(500);

/// Attempts of one change of the record, which may conflict or get no response.
const MAX_ATTEMPTS: usize = 8;

/// Delay per rank between hosts that try to remove the same member.
const RANK_DELAY: Duration = Duration::from_millis(200);

/// Time for which a revoked instance waits for its removal before the host joins again.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(3);

/// Next action of the membership task.
#[derive(Debug)]
enum Action {
    /// Join as a new instance.
    Join,
    /// Give up the revoked instance and join as a new one.
    Rejoin,
    /// Become active, which starts the use of the share.
    Activate(Instance),
    /// Remove an unresponsive or vanished member.
    Remove(Member),
    Nothing,
}

impl<S: Store, P: Peers> Agent<S, P> {
    pub(crate) async fn maintain_membership(self) {
        let mut ticks = interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let action = self.next_action(Instant::now());
            let result = self.perform(action).await;
            if result.is_err() {
                counter!("fulmargw_membership_errors_total").increment(1);
                sleep(ERROR_DELAY).await;
            }
        }
    }

    fn next_action(&self, now: Instant) -> Action {
        let store_read_at = self.shared.configuration.lock().store_read_at;
        let mut fleet = self.shared.fleet.lock();
        let Some(own) = fleet.instance.clone() else {
            let due = now >= fleet.next_join_at;
            return if due { Action::Join } else { Action::Nothing };
        };
        let recent = store_read_at.is_some_and(|sent| now < sent + VALIDITY);
        let revoked = fleet
            .revoked_at
            .is_some_and(|since| now >= since + REMOVAL_TIMEOUT);
        if revoked && recent {
            return Action::Rejoin;
        }
        match fleet.own_member().map(|member| member.state) {
            Some(State::Joining) if can_activate(&mut fleet, &own, now) => Action::Activate(own),
            // A consent is irrevocable, so none is collected while the store is unreachable and
            // the removal could not be written.
            Some(State::Active) if recent && fleet.entitlement(now).is_some() => {
                let timeout = self.shared.settings.suspect_timeout();
                find_unresponsive(&fleet, &own, timeout, now)
                    .map_or(Action::Nothing, Action::Remove)
            }
            Some(State::Joining) if recent && fleet.entitlement(now).is_some() => {
                let settings = &self.shared.settings;
                find_vanished(&fleet, &own, settings, now).map_or(Action::Nothing, Action::Remove)
            }
            _ => Action::Nothing,
        }
    }

    async fn perform(&self, action: Action) -> Result<(), Error> {
        match action {
            Action::Join => self.join().await,
            Action::Rejoin => {
                // The old instance must use no share once the new one is in the record.
                self.shared.fleet.lock().give_up_instance();
                self.join().await
            }
            Action::Activate(own) => self.activate(&own).await,
            Action::Remove(member) => self.remove(&member).await,
            Action::Nothing => Ok(()),
        }
    }

    async fn join(&self) -> Result<(), Error> {
        let host = &self.shared.host;
        let mut attempted: Option<Instance> = None;
        let updated = self
            .update_record(|fleet| {
                let written = attempted.as_ref();
                if written
                    .is_some_and(|instance| membership::find_member(fleet, instance).is_some())
                {
                    return None;
                }
                match membership::join(fleet, host) {
                    Ok((next, instance)) => {
                        attempted = Some(instance);
                        Some(next)
                    }
                    Err(cause) => {
                        warn!("cannot join the fleet: {cause}");
                        attempted = None;
                        None
                    }
                }
            })
            .await;
        let record = updated?;
        let Some(instance) = attempted else {
            return Ok(());
        };
        if membership::find_member(&record, &instance).is_some() {
            self.record_join(&instance, &record);
        }
        Ok(())
    }

    fn record_join(&self, instance: &Instance, record: &Fleet) {
        let now = Instant::now();
        let mut fleet = self.shared.fleet.lock();
        fleet.give_up_instance();
        fleet.instance = Some(instance.clone());
        fleet.join = Some(Join {
            generation: record.generation,
            joined_at: now,
            is_only_member: record.members.len() == 1,
            acknowledged_by: std::collections::BTreeSet::new(),
            completed_at: None,
        });
        fleet.update_lease(now);
        info!(host = instance.host.as_str(); "joined the fleet at generation {}", record.generation.0);
    }

    async fn activate(&self, own: &Instance) -> Result<(), Error> {
        let record = self
            .update_record(|fleet| {
                let member = membership::find_member(fleet, own)?;
                (member.state == State::Joining).then(|| membership::activate(fleet, own).ok())?
            })
            .await?;
        // The share is in use from now on, so its buckets start empty now.
        let now = Instant::now();
        self.shared.accounts.lock().assign_to(own, now);
        info!(host = own.host.as_str(); "active at generation {}", record.generation.0);
        Ok(())
    }

    /// Removes a member from the record if enough of its witnesses consent.
    async fn remove(&self, member: &Member) -> Result<(), Error> {
        let instance = member.instance();
        let generation = self.shared.fleet.lock().generation();
        let request = RemovalRequest {
            generation,
            instance: instance.clone(),
        };
        if !self.collect_consents(member, &request).await {
            return Ok(());
        }
        let record = self
            .update_record(|fleet| {
                let unchanged = fleet.generation == generation;
                unchanged.then(|| membership::remove(fleet, &instance).ok())?
            })
            .await?;
        if membership::find_member(&record, &instance).is_none() {
            counter!("fulmargw_members_removed_total").increment(1);
            info!(host = instance.host.as_str(); "removed from the fleet at generation {}", record.generation.0);
        }
        Ok(())
    }

    /// Reports whether enough witnesses consent to a removal. This host consents last, and only
    /// if the others suffice, because a consent is irrevocable. The consent of a joining host
    /// does not count.
    async fn collect_consents(&self, member: &Member, request: &RemovalRequest) -> bool {
        let own = &self.shared.host.name;
        let (witnesses, needed) = self.present_witnesses(member, Instant::now());
        let peers = &self.shared.peers;
        let others = witnesses.iter().filter(|member| member.host.name != *own);
        let calls = others.map(|member| peers.consent(member.host.address, request.clone()));
        let responses = join_all(calls).await;
        let consents = responses
            .iter()
            .filter(|response| **response == Ok(true))
            .count();
        if witnesses.iter().any(|member| member.host.name == *own) {
            consents + 1 >= needed && self.consent(request)
        } else {
            consents >= needed
        }
    }

    /// Returns the witnesses of a member that have not vanished, and how many of them must
    /// consent to its removal.
    fn present_witnesses(&self, member: &Member, now: Instant) -> (Vec<Member>, usize) {
        let period = self.shared.settings.vanished_after();
        let fleet = self.shared.fleet.lock();
        let instance = member.instance();
        let witnesses: Vec<&Member> = fleet
            .record
            .iter()
            .flat_map(|record| lease::witnesses(record, &instance))
            .collect();
        let others = witnesses.len();
        let present: Vec<Member> = witnesses
            .into_iter()
            .filter(|witness| !fleet.has_vanished(witness, period, now))
            .cloned()
            .collect();
        let vanished = fleet.has_vanished(member, period, now);
        let needed = lease::present_removal_quorum(others, present.len(), vanished);
        (present, needed)
    }

    /// Marks this host as leaving in the fleet record. Requests are still admitted.
    ///
    /// # Errors
    ///
    /// If the store is unreachable.
    pub async fn drain(&self) -> Result<(), Error> {
        let Some(own) = self.stop_witnessing() else {
            return Ok(());
        };
        self.update_record(|fleet| {
            let member = membership::find_member(fleet, &own)?;
            (member.state != State::Leaving).then(|| membership::leave(fleet, &own).ok())?
        })
        .await
        .map(drop)
    }

    /// Returns grants, stops all tasks and leaves the fleet. No requests may be running.
    ///
    /// # Errors
    ///
    /// If the store is unreachable. The tasks are stopped nevertheless, and the other members
    /// remove this host later.
    pub async fn leave(&self) -> Result<(), Error> {
        let own = self.stop_witnessing();
        self.return_grants().await;
        self.shared.stop.cancel();
        self.shared.tasks.close();
        self.shared.fleet.lock().give_up_instance();
        let Some(own) = own else { return Ok(()) };
        self.update_record(|fleet| membership::remove(fleet, &own).ok())
            .await
            .map(drop)
    }

    fn stop_witnessing(&self) -> Option<Instance> {
        let mut fleet = self.shared.fleet.lock();
        fleet.leaving = true;
        fleet.instance.clone()
    }

    /// Updates the fleet record with a conditional write and returns the resulting record.
    ///
    /// `update` returns `None` if nothing has to change, in particular if an earlier attempt
    /// whose response was lost has taken effect.
    async fn update_record(
        &self,
        mut update: impl FnMut(&Fleet) -> Option<Fleet>,
    ) -> Result<Fleet, Error> {
        let mut last = None;
        for _ in 0..MAX_ATTEMPTS {
            let rows = self.read(&[record::FLEET]).await?;
            let stored: Stored<Fleet> = Stored::decode(record::FLEET, rows[0].as_ref())?;
            let Some(next) = update(&stored.value) else {
                self.apply_record(stored.value.clone());
                return Ok(stored.value);
            };
            let transaction = Transaction {
                conditions: vec![record::unchanged(record::FLEET, stored.revision)],
                writes: vec![record::write(record::FLEET, &next)?],
            };
            match self.commit(transaction).await {
                Ok(Commit::Done) => {
                    self.apply_record(next.clone());
                    return Ok(next);
                }
                Ok(Commit::Conflict) => {}
                Err(cause) => last = Some(cause),
            }
        }
        Err(last.unwrap_or_else(|| Error {
            step: "update of the fleet record",
            peer: record::FLEET.to_owned(),
            cause: format!("{MAX_ATTEMPTS} conflicts"),
        }))
    }
}

/// Reports whether every member with a share has reduced it, so that a joining host can become
/// active.
fn can_activate(fleet: &mut crate::table::Fleet, own: &Instance, now: Instant) -> bool {
    let (Some(record), Some(join)) = (&fleet.record, &mut fleet.join) else {
        return false;
    };
    let mut members = membership::members_with_share(record, own);
    if !members.all(|member| join.acknowledged_by.contains(&member.instance())) {
        join.completed_at = None;
        return false;
    }
    let completed_at = *join.completed_at.get_or_insert(now);
    // A member that was removed before the join may use its share until its lease expires.
    join.is_only_member || now >= (join.joined_at + VALIDITY).max(completed_at + ACTIVATION_DELAY)
}

/// Finds a member that has not responded for `timeout`. A host waits longer the higher its
/// rank, so that rarely two hosts remove the same member.
fn find_unresponsive(
    fleet: &crate::table::Fleet,
    own: &Instance,
    timeout: Duration,
    now: Instant,
) -> Option<Member> {
    let record = fleet.record.as_ref()?;
    let others = record
        .members
        .iter()
        .filter(|member| member.host.name != own.host);
    others
        .filter(|member| {
            let instance = member.instance();
            let names = lease::witnesses(record, &instance).map(|witness| &witness.host.name);
            let rank = rendezvous::rank(member.host.name.as_str().as_bytes(), &own.host, names);
            let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
            let responded = fleet.responded_at.get(&member.host.name).copied();
            let unresponsive = responded.is_none_or(|responded| now >= responded + timeout + delay);
            unresponsive && fleet.confirmations_expired(&instance, now)
        })
        .min_by_key(|member| fleet.responded_at.get(&member.host.name).copied())
        .cloned()
}

/// Finds a vanished member that a joining host may remove. It may do so only if no active
/// member responds, because active members remove others themselves.
fn find_vanished(
    fleet: &crate::table::Fleet,
    own: &Instance,
    settings: &Settings,
    now: Instant,
) -> Option<Member> {
    let record = fleet.record.as_ref()?;
    let mut active = lease::witnesses(record, own);
    if !active
        .all(|member| fleet.is_unresponsive(&member.host.name, settings.suspect_timeout(), now))
    {
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
