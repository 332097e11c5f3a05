//! Detection of a failed primary, and the choice of its successor.

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

fn backend(role: Role, reachability: Reachability) -> Backend {
    Backend {
        reachability,
        status: Some(status(role, 1, 10)),
        draining: false,
    }
}

/// A healthy group of three whose first backend is the primary.
fn group() -> Vec<Backend> {
    let replica = backend(Role::Replica, Reachability::Answering);
    vec![
        backend(Role::Primary, Reachability::Answering),
        replica,
        replica,
    ]
}

fn set_silence(backend: &mut Backend, milliseconds: u64) {
    let status = backend.status.as_mut().unwrap();
    status.silence = Duration::from_millis(milliseconds);
}

fn promise(backend: usize, term: u64, index: u64) -> Promise {
    Promise {
        backend,
        status: status(Role::Replica, term, index),
        draining: false,
    }
}

/// Guards against a promotion in a healthy group.
#[test]
fn healthy_group_needs_no_promotion() {
    let backends = group();

    let cause = promotion::assess(&backends, 2);

    assert_eq!(cause, None);
}

/// Guards against a delayed promotion after the process of the primary has ended, when its host
/// refuses connections at once.
#[test]
fn primary_that_refuses_connections_has_failed() {
    let mut backends = group();
    backends[0].reachability = Reachability::Refused;

    let cause = promotion::assess(&backends, 2);

    assert_eq!(cause, Some(Cause::Refused));
}

/// Guards against a promotion by a host that is itself cut off from a running primary.
#[test]
fn silent_primary_has_failed_only_if_no_majority_is_connected_to_it() {
    let mut backends = group();
    backends[0].reachability = Reachability::Silent;
    let connected = promotion::assess(&backends, 2);
    set_silence(&mut backends[1], 400);
    let half_connected = promotion::assess(&backends, 2);
    set_silence(&mut backends[2], 400);
    let disconnected = promotion::assess(&backends, 2);

    assert_eq!(
        (connected, half_connected, disconnected),
        (None, None, Some(Cause::Silent))
    );
}

/// Guards against a primary that keeps accepting writes which no replica can confirm.
#[test]
fn primary_that_no_replica_hears_is_isolated() {
    let mut backends = group();
    set_silence(&mut backends[1], 500);
    let one = promotion::assess(&backends, 2);
    set_silence(&mut backends[2], 500);
    let both = promotion::assess(&backends, 2);

    assert_eq!((one, both), (None, Some(Cause::Isolated)));
}

/// Guards against a promotion that interferes with one which another host has started.
#[test]
fn promotion_by_another_host_is_given_time() {
    let mut backends = group();
    backends[0].reachability = Reachability::Refused;
    backends[1].status.as_mut().unwrap().promised = Term(2);

    let cause = promotion::assess(&backends, 2);

    assert_eq!(cause, Some(Cause::Fenced));
    assert!(Cause::Fenced.grace_period() > promotion::RANK_DELAY);
}

/// Guards against a group that stays without a primary after an aborted promotion.
#[test]
fn primary_that_promised_a_greater_term_is_fenced() {
    let mut backends = group();
    backends[0].status.as_mut().unwrap().promised = Term(2);

    let cause = promotion::assess(&backends, 2);

    assert_eq!(cause, Some(Cause::Fenced));
    assert_eq!(promotion::next_term(&backends), Term(3));
}

/// Guards against a new group that never gets a primary, and against a host that promotes a server
/// before it has probed every backend.
#[test]
fn primary_is_missing_only_after_all_servers_were_probed() {
    let mut backends = vec![backend(Role::Replica, Reachability::Answering); 3];
    for backend in &mut backends {
        set_silence(backend, 1_000);
    }
    let missing = promotion::assess(&backends, 2);
    backends[0].reachability = Reachability::Unknown;
    let unknown = promotion::assess(&backends, 2);

    assert_eq!((missing, unknown), (Some(Cause::Missing), None));
}

/// Guards against a draining primary that keeps its role.
#[test]
fn draining_primary_is_replaced() {
    let mut backends = group();
    backends[0].draining = true;

    let cause = promotion::assess(&backends, 2);

    assert_eq!(cause, Some(Cause::Leaving));
    assert!(!Cause::Leaving.may_keep_primary());
}

quickcheck! {
    /// Guards against the loss of an acknowledged write. The chosen server must have the greatest
    /// log of all promises, so that it has every entry that some majority of the group holds.
    fn chosen_server_has_the_greatest_log(logs: Vec<(u8, u8)>) -> bool {
        let promises: Vec<_> = logs
            .iter()
            .enumerate()
            .map(|(index, (term, end))| promise(index, u64::from(term & 3), u64::from(*end)))
            .collect();
        let majority = 2;

        let chosen = promotion::choose(&promises, majority);

        let log_end = |promise: &Promise| {
            let received = promise.status.received;
            (received.term, received.index)
        };
        match chosen {
            None => promises.len() < majority,
            Some(chosen) => promises.iter().all(|it| log_end(it) <= log_end(&promises[chosen])),
        }
    }

    /// Guards against a promotion that reuses a term which a server already knows.
    fn next_term_is_greater_than_any_known_term(terms: Vec<(u32, u32)>) -> bool {
        let backends: Vec<_> = terms
            .iter()
            .map(|(term, promised)| {
                let mut backend = backend(Role::Replica, Reachability::Answering);
                let status = backend.status.as_mut().unwrap();
                status.term = Term(u64::from(*term));
                status.promised = Term(u64::from(*promised));
                backend
            })
            .collect();

        let next = promotion::next_term(&backends);

        terms.iter().all(|(term, promised)| next.0 > u64::from(*term.max(promised)))
    }
}
