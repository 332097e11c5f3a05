//! Evidence from the host list, and the consents that vanished members leave.

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

fn absence(start: Instant) -> (Tracker, Instance) {
    let record = Fleet {
        generation: Generation(1),
        members: vec![member()],
    };
    let mut absence = Tracker::default();
    absence.apply_record(&record, start);
    (absence, member().instance())
}

fn observe(absence: &mut Tracker, hosts: &[&str], start: Instant, seconds: &[u64]) {
    let hosts: BTreeSet<Name> = hosts.iter().map(|host| Name::new(host)).collect();
    for second in seconds {
        absence.record_read(&hosts, start + Duration::from_secs(*second));
    }
}

fn is_missing(absence: &Tracker, life: &Instance, start: Instant, second: u64) -> bool {
    absence.is_missing(life, PERIOD, start + Duration::from_secs(second))
}

/// Guards against a period that is counted from anything but the first read without the host.
#[test]
fn a_listed_host_is_missing_after_the_period() {
    let start = Instant::now();
    let (mut absence, life) = absence(start);

    observe(&mut absence, &["a"], start, &[0]);
    observe(&mut absence, &["x"], start, &[5, 10, 15, 20, 25, 30]);
    let early = is_missing(&absence, &life, start, 34);
    observe(&mut absence, &["x"], start, &[35]);

    assert!(!early);
    assert!(is_missing(&absence, &life, start, 35));
}

/// Guards against evidence that is used after the list could not be read any more.
#[test]
fn old_reads_say_nothing() {
    let start = Instant::now();
    let (mut absence, life) = absence(start);

    observe(&mut absence, &["a"], start, &[0]);
    observe(&mut absence, &["x"], start, &[5, 20, 35]);

    assert!(is_missing(&absence, &life, start, 50));
    assert!(!is_missing(&absence, &life, start, 51));
}

/// Guards against a count that goes on over a gap in which the host may have been listed.
#[test]
fn a_gap_restarts_the_count_and_a_short_one_does_not() {
    let start = Instant::now();
    let (mut short, life) = absence(start);
    let (mut long, _) = absence(start);

    observe(&mut short, &["a"], start, &[0]);
    observe(&mut short, &["x"], start, &[5, 20, 35]);
    observe(&mut long, &["a"], start, &[0]);
    observe(&mut long, &["x"], start, &[5, 21, 35]);

    assert!(is_missing(&short, &life, start, 35));
    assert!(!is_missing(&long, &life, start, 35));
}

/// Guards against an empty list that counts as a read and so hides a gap.
#[test]
fn an_empty_list_is_no_read() {
    let start = Instant::now();
    let (mut absence, life) = absence(start);

    observe(&mut absence, &["a"], start, &[0]);
    observe(&mut absence, &["x"], start, &[5]);
    observe(&mut absence, &[], start, &[10, 15, 20, 25, 30]);
    observe(&mut absence, &["x"], start, &[35]);

    assert!(!is_missing(&absence, &life, start, 35));
}

/// Guards against the removal of a new host that the lagging list does not show yet.
#[test]
fn a_host_that_was_never_listed_must_be_known_for_long() {
    let start = Instant::now();
    let (mut absence, life) = absence(start);
    let seconds: Vec<u64> = (0..=85).step_by(5).collect();

    observe(&mut absence, &["x"], start, &seconds);
    let early = is_missing(&absence, &life, start, 85);
    observe(&mut absence, &["x"], start, &[90]);

    assert!(!early);
    assert!(is_missing(&absence, &life, start, 90));
}

/// Guards against a removal by fewer present members than a quorum of them could outvote.
#[test]
fn present_members_keep_their_say() {
    for others in 0..8 {
        let all = lease::present_removal_quorum(others, others, false);
        assert_eq!(all, lease::removal_quorum(others));
        for present in 1..=others {
            let gone = lease::present_removal_quorum(others, present, true);
            let quorum = lease::quorum(present);
            assert!(gone + quorum > present && gone <= present);
            let alive = lease::present_removal_quorum(others, present, false);
            assert!(alive + (others - present) + lease::quorum(others) > others);
        }
    }
    assert_eq!(lease::present_removal_quorum(3, 0, true), 0);
}
