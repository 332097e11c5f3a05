//! Lease validity and the quorum sizes behind it.
//!
//! A host may use its share of the limits only while its lease is valid. The lease is kept valid
//! by confirmations from a quorum of the other active members, or by a recent read of the store.

use fulmargw_model::{
    fleet::{Fleet, Generation, Instance, Member, State},
    name::Name,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Time for which a confirmation or store read keeps a lease valid, counted from the sending of
/// its request.
pub const VALIDITY: Duration = Duration::from_millis(1_500);

/// Returns the number of confirmations that a host needs from `other_members`, the number of
/// other active members, to hold its lease.
#[must_use]
pub const fn quorum(other_members: usize) -> usize {
    other_members.div_ceil(2)
}

/// Returns the number of consents that the removal of a host needs from `other_members`, the
/// number of other active members.
///
/// Any [`quorum`] and any removal quorum of the same members have a member in common.
#[must_use]
pub const fn removal_quorum(other_members: usize) -> usize {
    other_members - quorum(other_members) + 1
}

/// Returns the number of consents that the removal of a host needs if only `present` of its
/// `other_members`, the other active members, have not vanished from the platform's host list.
/// `vanished` states whether the host itself has vanished.
///
/// A vanished member counts as consenting to every removal. The removal of a vanished host
/// needs the consents of the present members only, and none if there are none.
#[must_use]
pub const fn present_removal_quorum(other_members: usize, present: usize, vanished: bool) -> usize {
    if vanished && present == 0 {
        0
    } else if vanished {
        removal_quorum(present)
    } else {
        removal_quorum(other_members).saturating_sub(other_members - present)
    }
}

/// Returns the active members other than `instance`, which confirm its lease or consent to its
/// removal.
pub fn witnesses<'a>(fleet: &'a Fleet, instance: &'a Instance) -> impl Iterator<Item = &'a Member> {
    fleet
        .members
        .iter()
        .filter(|member| member.state == State::Active && member.host.name != instance.host)
}

fn count_joining(fleet: &Fleet, instance: &Instance) -> usize {
    let joining = |member: &&Member| member.state == State::Joining;
    let others = fleet.members.iter().filter(joining);
    others
        .filter(|member| member.host.name != instance.host)
        .count()
}

/// A witness's confirmation of a lease.
#[derive(Debug, Clone)]
pub struct Confirmation {
    /// Instance of the witness.
    pub witness: Instance,
    /// Generation of the fleet record that both hosts had.
    pub generation: Generation,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Instances to whose removal the witness has consented.
    pub revoked: Vec<Instance>,
}

/// The evidence for the validity of a host's own lease.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// Last confirmation of each witness, by host name.
    confirmations: BTreeMap<Name, Confirmation>,
    /// Send time of the last read of the store.
    store_read: Option<Instant>,
    /// Validity carried over from earlier generations of the fleet record.
    carried_until: Option<Instant>,
}

impl Evidence {
    /// Records a confirmation, unless a later one of the same witness is known.
    pub fn record_confirmation(&mut self, confirmation: Confirmation) {
        let host = confirmation.witness.host.clone();
        let last_sent = self.confirmations.get(&host).map(|known| known.sent);
        if last_sent.is_none_or(|sent| sent <= confirmation.sent) {
            self.confirmations.insert(host, confirmation);
        }
    }

    /// Records a read of the store, sent at `sent`, whose fleet record lists this instance.
    pub fn record_store_read(&mut self, sent: Instant) {
        self.store_read = self.store_read.max(Some(sent));
    }

    /// Keeps the current validity when the fleet record is about to change from `fleet`.
    ///
    /// This is safe because the lease would have been valid for as long if the host had received
    /// the new record later.
    pub fn carry_over(
        &mut self,
        fleet: &Fleet,
        own: &Instance,
        revoked: &BTreeSet<Instance>,
        now: Instant,
    ) {
        self.carried_until = self
            .carried_until
            .max(self.confirmed_until(fleet, own, revoked, now));
        self.confirmations.clear();
    }

    /// Discards all evidence when the host is no longer in the fleet record.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns until when the lease of `own` is valid, as far as known at `now`.
    ///
    /// `revoked` contains the instances to whose removal this host has consented.
    #[must_use]
    pub fn valid_until(
        &self,
        fleet: &Fleet,
        own: &Instance,
        revoked: &BTreeSet<Instance>,
        now: Instant,
    ) -> Option<Instant> {
        let listed = fleet.members.iter().any(|member| member.instance() == *own);
        if !listed {
            return None;
        }
        let store_read = self.store_read.map(|sent| sent + VALIDITY);
        self.confirmed_until(fleet, own, revoked, now)
            .max(store_read)
            .max(self.carried_until)
    }

    /// Reports whether the lease of `own` is valid at `now`.
    #[must_use]
    pub fn is_valid(
        &self,
        fleet: &Fleet,
        own: &Instance,
        revoked: &BTreeSet<Instance>,
        now: Instant,
    ) -> bool {
        self.valid_until(fleet, own, revoked, now)
            .is_some_and(|until| now < until)
    }

    /// Returns until when confirmations alone keep the lease valid.
    ///
    /// Joining members are not witnesses yet, but they already count towards the quorum. They
    /// become active without confirmations of that generation, and a host that missed their
    /// activation must not be valid with the smaller quorum of the members before it.
    ///
    /// A witness is not counted if this host or a confirming witness has consented to its
    /// removal. Otherwise a host that missed two consecutive removals could still form a quorum
    /// with a removed member.
    fn confirmed_until(
        &self,
        fleet: &Fleet,
        own: &Instance,
        revoked: &BTreeSet<Instance>,
        now: Instant,
    ) -> Option<Instant> {
        let active_count = witnesses(fleet, own).count();
        let needed = quorum(active_count).max(quorum(active_count + count_joining(fleet, own)));
        if needed == 0 {
            return Some(now + VALIDITY);
        }
        let current_confirmations = || {
            witnesses(fleet, own)
                .filter_map(|member| self.confirmations.get(&member.host.name))
                .filter(|confirmation| confirmation.generation == fleet.generation)
        };
        let excluded: BTreeSet<&Instance> = current_confirmations()
            .flat_map(|confirmation| &confirmation.revoked)
            .chain(revoked)
            .collect();
        let mut sent: Vec<Instant> = witnesses(fleet, own)
            .filter_map(|member| {
                let confirmation = self.confirmations.get(&member.host.name)?;
                let counts = confirmation.generation == fleet.generation
                    && confirmation.witness == member.instance()
                    && !excluded.contains(&confirmation.witness);
                counts.then_some(confirmation.sent)
            })
            .collect();
        sent.sort_unstable_by(|left, right| right.cmp(left));
        sent.get(needed - 1).map(|oldest| *oldest + VALIDITY)
    }
}
