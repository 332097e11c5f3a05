//! Changes to the fleet record, and the share of each limit that follows from it.

use crate::lease;
use fulmargw_model::{
    fleet::{Fleet, Generation, Instance, Member, State},
    host::{Host, Incarnation},
    name::Name,
};
use std::time::Duration;
use tokio::time::Instant;

/// Delay between the last confirmation of a join and the activation of the new member.
///
/// Rate grants last 500 ms, so grants lent from the larger shares have expired by then, and the
/// engines have closed their surplus connections.
pub const ACTIVATION_DELAY: Duration = Duration::from_millis(500);

/// Reasons to reject a change to the fleet record.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// host {0} is a member at another peer address
    NameTaken(Name),
    /// incarnation {1:?} of host {0} is not a member
    NotMember(Name, Incarnation),
}

impl std::error::Error for Error {}

/// Adds a host as a joining member and returns its instance.
///
/// An entry with the same peer address is replaced: the new process has bound the address,
/// which proves that the old process has ended.
///
/// # Errors
///
/// Returns an error if the name belongs to a member at another address, which may still run.
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
    let instance = member.instance();
    next.members.push(member);
    Ok((next, instance))
}

/// Makes a joining member active.
///
/// # Errors
///
/// Returns an error if the instance is not a member.
pub fn activate(fleet: &Fleet, instance: &Instance) -> Result<Fleet, Error> {
    set_state(fleet, instance, State::Active)
}

/// Marks a member as leaving.
///
/// # Errors
///
/// Returns an error if the instance is not a member.
pub fn leave(fleet: &Fleet, instance: &Instance) -> Result<Fleet, Error> {
    set_state(fleet, instance, State::Leaving)
}

/// Removes a member.
///
/// # Errors
///
/// Returns an error if the instance is not a member.
pub fn remove(fleet: &Fleet, instance: &Instance) -> Result<Fleet, Error> {
    let mut next = successor(fleet);
    let index = index_of(fleet, instance)?;
    next.members.remove(index);
    Ok(next)
}

/// Returns the member entry of an instance.
#[must_use]
pub fn find_member<'a>(fleet: &'a Fleet, instance: &Instance) -> Option<&'a Member> {
    fleet
        .members
        .iter()
        .find(|member| member.instance() == *instance)
}

/// Returns the members other than `instance` that have a share and therefore must confirm its
/// join first.
pub fn members_with_share<'a>(
    fleet: &'a Fleet,
    instance: &'a Instance,
) -> impl Iterator<Item = &'a Member> {
    fleet
        .members
        .iter()
        .filter(|member| member.state != State::Joining && member.host.name != instance.host)
}

fn successor(fleet: &Fleet) -> Fleet {
    Fleet {
        generation: Generation(fleet.generation.0 + 1),
        members: fleet.members.clone(),
    }
}

fn index_of(fleet: &Fleet, instance: &Instance) -> Result<usize, Error> {
    fleet
        .members
        .iter()
        .position(|member| member.instance() == *instance)
        .ok_or_else(|| Error::NotMember(instance.host.clone(), instance.incarnation))
}

fn set_state(fleet: &Fleet, instance: &Instance, state: State) -> Result<Fleet, Error> {
    let index = index_of(fleet, instance)?;
    let mut next = successor(fleet);
    next.members[index].state = state;
    Ok(next)
}

/// The share of each limit that this host may use.
#[derive(Debug, Clone, Default)]
pub struct Share {
    /// Removed instances, and when this host learned of their removal.
    removed: Vec<(Instance, Instant)>,
}

impl Share {
    /// Records which members of `old` are no longer in `new`.
    ///
    /// An instance is not recorded if a new instance has its address: the restarted process
    /// gets its share, and no other host does.
    pub fn apply_record(&mut self, old: &Fleet, new: &Fleet, now: Instant) {
        self.removed
            .retain(|(_, seen_at)| now < *seen_at + lease::VALIDITY);
        let removed = old.members.iter().filter(|member| {
            let address = member.host.address;
            !new.members.iter().any(|kept| kept.host.address == address)
        });
        self.removed
            .extend(removed.map(|member| (member.instance(), now)));
    }

    /// Returns the number of hosts that share each limit at `now`.
    ///
    /// A new member counts immediately; a removed one counts until its lease has certainly
    /// expired.
    #[must_use]
    pub fn divisor(&self, fleet: &Fleet, now: Instant) -> u32 {
        let is_recent = |(_, seen_at): &&(Instance, Instant)| now < *seen_at + lease::VALIDITY;
        let hosts = fleet.members.len() + self.removed.iter().filter(is_recent).count();
        u32::try_from(hosts).unwrap_or(u32::MAX).max(1)
    }
}
