//! Validity of a host's lease and quorum sizes.

use fulmargw_model::{
    fleet::{Fleet, Generation, Instance, Member, State},
    name::Name,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Time for which evidence keeps a lease valid, counted from the sending of the question.
pub const VALIDITY: Duration = Duration::from_millis(1_500);

/// Number of confirmations that a host needs from its `others` active members.
#[must_use]
pub const fn quorum(others: usize) -> usize {
    others.div_ceil(2)
}

/// Number of consents that the removal of a host needs from its `others` active members.
///
/// Any [`quorum`] and any consent set of the same members have a member in common.
#[must_use]
pub const fn removal_quorum(others: usize) -> usize {
    others - quorum(others) + 1
}

/// Number of consents that a removal needs from the `present` ones of `others` active
/// members; the rest has vanished, and so may the host to be removed (`gone`).
///
/// A vanished member consents to every removal. The removal of a vanished host needs the
/// consents of the present members only, and none if there are none.
#[must_use]
pub const fn present_removal_quorum(others: usize, present: usize, gone: bool) -> usize {
    if gone && present == 0 {
        0
    } else if gone {
        removal_quorum(present)
    } else {
        removal_quorum(others).saturating_sub(others - present)
    }
}

/// Returns the active members other than `life`, who confirm its lease or consent to its
/// removal.
pub fn witnesses<'a>(fleet: &'a Fleet, life: &'a Instance) -> impl Iterator<Item = &'a Member> {
    fleet
        .members
        .iter()
        .filter(|member| member.state == State::Active && member.host.name != life.host)
}

fn joiners(fleet: &Fleet, life: &Instance) -> usize {
    let joining = |member: &&Member| member.state == State::Joining;
    let others = fleet.members.iter().filter(joining);
    others
        .filter(|member| member.host.name != life.host)
        .count()
}

/// A confirmation that a witness gave.
#[derive(Debug, Clone)]
pub struct Confirmation {
    /// Instance of the witness that answered.
    pub witness: Instance,
    /// Generation at which both sides were.
    pub generation: Generation,
    /// When the question was sent.
    pub sent: Instant,
    /// Lives to whose removal the witness has consented.
    pub revoked: Vec<Instance>,
}

/// What a host knows in favour of its own lease.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    confirmations: BTreeMap<Name, Confirmation>,
    read: Option<Instant>,
    carried: Option<Instant>,
}

impl Evidence {
    /// Records a granted confirmation.
    pub fn record_confirmation(&mut self, confirmation: Confirmation) {
        let name = confirmation.witness.host.clone();
        let known = self.confirmations.get(&name).map(|known| known.sent);
        if known.is_none_or(|sent| sent <= confirmation.sent) {
            self.confirmations.insert(name, confirmation);
        }
    }

    /// Records a read of the store, sent at `sent`, whose fleet record lists this life.
    pub fn record_store_read(&mut self, sent: Instant) {
        self.read = self.read.max(Some(sent));
    }

    /// Keeps the validity reached so far when the fleet record changes from `fleet`.
    ///
    /// The host would have been valid as long if it had seen the new record later.
    pub fn carry_over(
        &mut self,
        fleet: &Fleet,
        own: &Instance,
        revoked: &BTreeSet<Instance>,
        now: Instant,
    ) {
        self.carried = self
            .carried
            .max(self.confirmed_until(fleet, own, revoked, now));
        self.confirmations.clear();
    }

    /// Forgets everything, for a host that is no longer in the record.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns until when the lease of `own` is valid, as far as known at `now`.
    ///
    /// `revoked` lists the lives to whose removal this host consented.
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
        let read = self.read.map(|sent| sent + VALIDITY);
        self.confirmed_until(fleet, own, revoked, now)
            .max(read)
            .max(self.carried)
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
    /// Joining members are no witnesses yet, but they already raise the quorum. They become
    /// active without a confirmation of that generation, and a host that missed it must not
    /// be valid with the smaller quorum of the members before.
    ///
    /// A witness to whose removal this host or another counted witness has consented does
    /// not count. Otherwise a host that missed two removals in a row could still form a
    /// quorum with a removed member.
    fn confirmed_until(
        &self,
        fleet: &Fleet,
        own: &Instance,
        revoked: &BTreeSet<Instance>,
        now: Instant,
    ) -> Option<Instant> {
        let active = witnesses(fleet, own).count();
        let needed = quorum(active).max(quorum(active + joiners(fleet, own)));
        if needed == 0 {
            return Some(now + VALIDITY);
        }
        let current = || {
            witnesses(fleet, own)
                .filter_map(|member| self.confirmations.get(&member.host.name))
                .filter(|confirmation| confirmation.generation == fleet.generation)
        };
        let excluded: BTreeSet<&Instance> = current()
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
