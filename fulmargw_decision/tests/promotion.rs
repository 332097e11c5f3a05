//! Judgement of a failed primary and choice of the next one.

use fulmargw_decision::promotion::{self, Backend, Cause, Promise, Reachability};
use fulmargw_model::{
    backend_server::{Role, Status},
    position::{Position, Term},
};
use quickcheck::quickcheck;
use std::time::Duration;

fn status(role: Role, term: u64, index: u64) -> Status {
    let position = Position {
        term: Term(term),
        index,
    };
    Status {
        role,
        term: Term(term),
        promised: Term(term),
        received: position,
        applied: position,
        silence: Duration::ZERO,
    }
}

fn member(role: Role, reach: Reachability) -> Backend {
    Backend {
        reach,
        status: Some(status(role, 1, 10)),
        draining: false,
    }
}

/// A healthy group of three whose first member is the primary.
fn group() -> Vec<Backend> {
    let replica = member(Role::Replica, Reachability::Answering);
    vec![
        member(Role::Primary, Reachability::Answering),
        replica,
        replica,
    ]
}

fn silent_for(member: &mut Backend, silence: u64) {
    let status = member.status.as_mut().unwrap();
    status.silence = Duration::from_millis(silence);
}

fn promise(member: usize, term: u64, index: u64) -> Promise {
    Promise {
        backend: member,
        status: status(Role::Replica, term, index),
        draining: false,
    }
}

/// Guards against a promotion without a cause.
#[test]
fn a_healthy_group_is_left_alone() {
    let members = group();

    let cause = promotion::assess(&members, 2);

    assert_eq!(cause, None);
}

/// Guards against a slow reaction to a primary whose process is gone.
#[test]
fn a_primary_that_refuses_connections_has_failed() {
    let mut members = group();
    members[0].reach = Reachability::Refused;

    let cause = promotion::assess(&members, 2);

    assert_eq!(cause, Some(Cause::Refused));
}

/// Guards against a promotion by a host that is cut off itself.
#[test]
fn a_silent_primary_fails_only_if_no_majority_hears_it() {
    let mut members = group();
    members[0].reach = Reachability::Silent;
    let heard = promotion::assess(&members, 2);
    silent_for(&mut members[1], 400);
    let half_heard = promotion::assess(&members, 2);
    silent_for(&mut members[2], 400);
    let unheard = promotion::assess(&members, 2);

    assert_eq!(
        (heard, half_heard, unheard),
        (None, None, Some(Cause::Silent))
    );
}

/// Guards against a primary that accepts writes which no replica can confirm.
#[test]
fn a_primary_that_no_replica_hears_is_isolated() {
    let mut members = group();
    silent_for(&mut members[1], 500);
    let one = promotion::assess(&members, 2);
    silent_for(&mut members[2], 500);
    let both = promotion::assess(&members, 2);

    assert_eq!((one, both), (None, Some(Cause::Isolated)));
}

/// Guards against a promotion that undoes the one that another host has begun.
#[test]
fn a_promotion_of_another_host_is_given_time() {
    let mut members = group();
    members[0].reach = Reachability::Refused;
    members[1].status.as_mut().unwrap().promised = Term(2);

    let cause = promotion::assess(&members, 2);

    assert_eq!(cause, Some(Cause::Fenced));
    assert!(Cause::Fenced.grace_period() > promotion::RANK_DELAY);
}

/// Guards against a group that stays without a primary after a promotion was broken off.
#[test]
fn a_primary_that_promised_a_greater_term_is_fenced() {
    let mut members = group();
    members[0].status.as_mut().unwrap().promised = Term(2);

    let cause = promotion::assess(&members, 2);

    assert_eq!(cause, Some(Cause::Fenced));
    assert_eq!(promotion::next_term(&members), Term(3));
}

/// Guards against a new group that never gets a primary, and against a host that promotes
/// before it has probed every member.
#[test]
fn a_group_without_a_primary_misses_one_when_all_are_probed() {
    let mut members = vec![member(Role::Replica, Reachability::Answering); 3];
    for member in &mut members {
        silent_for(member, 1_000);
    }
    let missing = promotion::assess(&members, 2);
    members[0].reach = Reachability::Unknown;
    let unknown = promotion::assess(&members, 2);

    assert_eq!((missing, unknown), (Some(Cause::Missing), None));
}

/// Guards against a primary that keeps its role when it is to leave.
#[test]
fn a_leaving_primary_is_replaced() {
    let mut members = group();
    members[0].draining = true;

    let cause = promotion::assess(&members, 2);

    assert_eq!(cause, Some(Cause::Leaving));
    assert!(!Cause::Leaving.may_keep_primary());
}

quickcheck! {
    /// Guards against the loss of an acknowledged write: of every majority of promises the
    /// chosen member has the greatest log, so also an entry that another majority holds.
    fn the_chosen_member_has_every_entry_of_a_majority(logs: Vec<(u8, u8)>) -> bool {
        let promises: Vec<_> = logs
            .iter()
            .enumerate()
            .map(|(member, (term, index))| promise(member, u64::from(term & 3), u64::from(*index)))
            .collect();
        let majority = 2;

        let chosen = promotion::choose(&promises, majority);

        let log = |promise: &Promise| {
            let received = promise.status.received;
            (received.term, received.index)
        };
        match chosen {
            None => promises.len() < majority,
            Some(chosen) => promises.iter().all(|it| log(it) <= log(&promises[chosen])),
        }
    }

    /// Guards against a term that somebody has seen before.
    fn the_next_term_is_new(terms: Vec<(u32, u32)>) -> bool {
        let members: Vec<_> = terms
            .iter()
            .map(|(term, promised)| {
                let mut member = member(Role::Replica, Reachability::Answering);
                let status = member.status.as_mut().unwrap();
                status.term = Term(u64::from(*term));
                status.promised = Term(u64::from(*promised));
                member
            })
            .collect();

        let next = promotion::next_term(&members);

        terms.iter().all(|(term, promised)| next.0 > u64::from(*term.max(promised)))
    }
}
