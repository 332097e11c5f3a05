//! Tracking of members that are missing from the host list, and the removal quorums for vanished
//! members.

use fulmargw_decision::{absence::Tracker, lease};
use fulmargw_model::{
    availability_zone::Zone,
    fleet::{Fleet, Generation, Instance, Member, State},
    host::{Host, Incarnation},
    name::Name,
};
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};
use tokio::time::Instant;

const PERIOD: Duration = Duration::from_secs(30);

fn member() -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1_000));
    Member {
        host: Host {
            name: Name::new("a"),
            zone: Zone(Name::new("z1")),
            address,
            document_address: address,
        },
        incarnation: Incarnation(1),
        state: State::Active,
    }
}

fn tracker(start: Instant) -> (Tracker, Instance) {
    let record = Fleet {
        generation: Generation(1),
        members: vec![member()],
    };
    let mut tracker = Tracker::default();
    tracker.apply_record(&record, start);
    (tracker, member().instance())
}

fn record_reads(tracker: &mut Tracker, hosts: &[&str], start: Instant, seconds: &[u64]) {
    let hosts: BTreeSet<Name> = hosts.iter().map(|host| Name::new(host)).collect();
    for second in seconds {
        tracker.record_read(&hosts, start + Duration::from_secs(*second));
    }
}

fn is_missing(tracker: &Tracker, instance: &Instance, start: Instant, second: u64) -> bool {
    tracker.is_missing(instance, PERIOD, start + Duration::from_secs(second))
}

/// Guards against a period that does not start with the first read that does not list the host.
#[test]
fn listed_host_is_missing_after_the_period() {
    let start = Instant::now();
    let (mut tracker, instance) = tracker(start);

    record_reads(&mut tracker, &["a"], start, &[0]);
    record_reads(&mut tracker, &["x"], start, &[5, 10, 15, 20, 25, 30]);
    let early = is_missing(&tracker, &instance, start, 34);
    record_reads(&mut tracker, &["x"], start, &[35]);

    assert!(!early);
    assert!(is_missing(&tracker, &instance, start, 35));
}

/// Guards against a removal that relies on outdated reads after the host list became unreadable.
#[test]
fn outdated_reads_do_not_count() {
    let start = Instant::now();
    let (mut tracker, instance) = tracker(start);

    record_reads(&mut tracker, &["a"], start, &[0]);
    record_reads(&mut tracker, &["x"], start, &[5, 20, 35]);

    assert!(is_missing(&tracker, &instance, start, 50));
    assert!(!is_missing(&tracker, &instance, start, 51));
}

/// Guards against a period that continues across a gap in which the host may have been listed.
#[test]
fn long_gap_between_reads_restarts_the_period() {
    let start = Instant::now();
    let (mut short, instance) = tracker(start);
    let (mut long, _) = tracker(start);

    record_reads(&mut short, &["a"], start, &[0]);
    record_reads(&mut short, &["x"], start, &[5, 20, 35]);
    record_reads(&mut long, &["a"], start, &[0]);
    record_reads(&mut long, &["x"], start, &[5, 21, 35]);

    assert!(is_missing(&short, &instance, start, 35));
    assert!(!is_missing(&long, &instance, start, 35));
}

/// Guards against an empty list that counts as a successful read and thereby hides a gap.
#[test]
fn empty_list_counts_as_failed_read() {
    let start = Instant::now();
    let (mut tracker, instance) = tracker(start);

    record_reads(&mut tracker, &["a"], start, &[0]);
    record_reads(&mut tracker, &["x"], start, &[5]);
    record_reads(&mut tracker, &[], start, &[10, 15, 20, 25, 30]);
    record_reads(&mut tracker, &["x"], start, &[35]);

    assert!(!is_missing(&tracker, &instance, start, 35));
}

/// Guards against the removal of a new host that the lagging host list does not show yet.
#[test]
fn never_listed_host_is_missing_only_after_the_minimum_record_age() {
    let start = Instant::now();
    let (mut tracker, instance) = tracker(start);
    let seconds: Vec<u64> = (0..=85).step_by(5).collect();

    record_reads(&mut tracker, &["x"], start, &seconds);
    let early = is_missing(&tracker, &instance, start, 85);
    record_reads(&mut tracker, &["x"], start, &[90]);

    assert!(!early);
    assert!(is_missing(&tracker, &instance, start, 90));
}

/// Guards against a removal quorum of the present members that is disjoint from a quorum which
/// still confirms the lease of the removed host.
#[test]
fn present_removal_quorum_intersects_the_lease_quorum() {
    for other_members in 0..8 {
        let all = lease::present_removal_quorum(other_members, other_members, false);
        assert_eq!(all, lease::removal_quorum(other_members));
        for present in 1..=other_members {
            let for_vanished = lease::present_removal_quorum(other_members, present, true);
            let quorum = lease::quorum(present);
            assert!(for_vanished + quorum > present && for_vanished <= present);
            let for_running = lease::present_removal_quorum(other_members, present, false);
            assert!(
                for_running + (other_members - present) + lease::quorum(other_members)
                    > other_members
            );
        }
    }
    assert_eq!(lease::present_removal_quorum(3, 0, true), 0);
}
