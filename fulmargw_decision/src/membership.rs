//! Changes of the fleet record and the shares that follow from it.

use crate::lease;
use fulmargw_model::{
    fleet::{Fleet, Generation, Instance, Member, State},
    host::{Host, Incarnation},
    name::Name,
};
use std::time::Duration;
use tokio::time::Instant;

/// Time from the last confirmation of a join to its activation.
///
/// Grants of rates last 500 ms, so those lent from the larger shares have expired by then,
/// and engines have closed their surplus connections.
pub const ACTIVATION_DELAY: Duration = Duration::from_millis(500);

/// Reasons against a change of the fleet record.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// host {0} is a member at another peer address
    NameTaken(Name),
    /// incarnation {1:?} of host {0} is not a member
    NotMember(Name, Incarnation),
}

impl std::error::Error for Error {}

/// Adds a host as joining and returns its life.
///
/// An entry with the same peer address is replaced: the new process has bound the address,
/// which proves that the old process is gone.
///
/// # Errors
///
/// If the name belongs to a member at another address, who may still be alive.
pub fn join(fleet: &Fleet, host: &Host) -> Result<(Fleet, Instance), Error> {
    let mut next = successor(fleet);
    next.members
        .retain(|member| member.host.address != host.address);
    if next.member(&host.name).is_some() {
        return Err(Error::NameTaken(host.name.clone()));
    }
    let member = Member {
        host: host.clone(),
        incarnation: Incarnation(next.generation.0),
        state: State::Joining,
    };
    let life = member.instance();
    next.members.push(member);
    Ok((next, life))
}

/// Makes a joining member active.
///
/// # Errors
///
/// If the life is not a member.
pub fn activate(fleet: &Fleet, life: &Instance) -> Result<Fleet, Error> {
    set_state(fleet, life, State::Active)
}

/// Marks a member as leaving.
///
/// # Errors
///
/// If the life is not a member.
pub fn leave(fleet: &Fleet, life: &Instance) -> Result<Fleet, Error> {
    set_state(fleet, life, State::Leaving)
}

/// Removes a member.
///
/// # Errors
///
/// If the life is not a member.
pub fn remove(fleet: &Fleet, life: &Instance) -> Result<Fleet, Error> {
    let mut next = successor(fleet);
    let place = position(fleet, life)?;
    next.members.remove(place);
    Ok(next)
}

/// Returns the entry of a life.
#[must_use]
pub fn find_member<'a>(fleet: &'a Fleet, life: &Instance) -> Option<&'a Member> {
    fleet
        .members
        .iter()
        .find(|member| member.instance() == *life)
}

/// Returns the members that have a share and therefore must confirm a join first.
pub fn members_with_share<'a>(
    fleet: &'a Fleet,
    life: &'a Instance,
) -> impl Iterator<Item = &'a Member> {
    fleet
        .members
        .iter()
        .filter(|member| member.state != State::Joining && member.host.name != life.host)
}

fn successor(fleet: &Fleet) -> Fleet {
    Fleet {
        generation: Generation(fleet.generation.0 + 1),
        members: fleet.members.clone(),
    }
}

fn position(fleet: &Fleet, life: &Instance) -> Result<usize, Error> {
    fleet
        .members
        .iter()
        .position(|member| member.instance() == *life)
        .ok_or_else(|| Error::NotMember(life.host.clone(), life.incarnation))
}

fn set_state(fleet: &Fleet, life: &Instance, state: State) -> Result<Fleet, Error> {
    let place = position(fleet, life)?;
    let mut next = successor(fleet);
    next.members[place].state = state;
    Ok(next)
}

/// The part of each limit that one host may use.
#[derive(Debug, Clone, Default)]
pub struct Share {
    /// Removed lives and when this host saw their removal.
    removed: Vec<(Instance, Instant)>,
}

impl Share {
    /// Notes which members `new` lacks in comparison with `old`.
    ///
    /// A life whose address belongs to a new life has been replaced by its own process, so
    /// nobody else gets its share.
    pub fn apply_record(&mut self, old: &Fleet, new: &Fleet, now: Instant) {
        self.removed
            .retain(|(_, seen)| now < *seen + lease::VALIDITY);
        let gone = old.members.iter().filter(|member| {
            let address = member.host.address;
            !new.members.iter().any(|kept| kept.host.address == address)
        });
        self.removed
            .extend(gone.map(|member| (member.instance(), now)));
    }

    /// Returns the number of hosts that share each limit at `now`.
    ///
    /// A new member counts at once; a removed one counts until its lease has certainly
    /// ended.
    #[must_use]
    pub fn divisor(&self, fleet: &Fleet, now: Instant) -> u32 {
        let recent = |(_, seen): &&(Instance, Instant)| now < *seen + lease::VALIDITY;
        let count = fleet.members.len() + self.removed.iter().filter(recent).count();
        u32::try_from(count).unwrap_or(u32::MAX).max(1)
    }
}
