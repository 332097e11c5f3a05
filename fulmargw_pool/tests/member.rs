//! The list of hosts that share.

use fulmargw_model::name::Name;
use fulmargw_peer::report::{Promoted, Report};
use fulmargw_pool::member::{EXPIRED, HEARD, JOIN_DELAY, Members, Record, VANISHED};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(1);

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_000))
}

fn report(host: &str, hears: &[&str]) -> Report {
    Report {
        host: host.into(),
        address: address(2),
        incarnation: 1,
        version: 0,
        members: Vec::new(),
        hears: hears.iter().map(|name| Name::new(name)).collect(),
        answering: Vec::new(),
        promoted: Vec::new(),
        is_stopping: false,
    }
}

fn rows(hosts: &[(&str, u64)]) -> BTreeMap<Name, (Record, u64)> {
    let record = |revision| {
        let record = Record {
            address: address(9),
            incarnation: 1,
        };
        (record, revision)
    };
    hosts
        .iter()
        .map(|(name, revision)| (Name::new(name), record(*revision)))
        .collect()
}

/// Guards against shares that add up to more than one while a host joins.
#[tokio::test(start_paused = true)]
async fn a_host_that_joins_waits_before_it_uses_its_share() {
    let base = Instant::now();
    let mut members = Members::new("a".into());
    members.renewed = Some(base);
    members.joined = Some(base);

    assert!(!members.has_share(base + JOIN_DELAY - STEP));
    assert!(members.has_share(base + JOIN_DELAY));
}

/// Guards against a restarted host that loses its share though the others kept it.
#[tokio::test(start_paused = true)]
async fn a_host_that_others_count_has_its_share_at_once() {
    let base = Instant::now() + JOIN_DELAY;
    let mut members = Members::new("a".into());
    let mut known = report("b", &[]);
    known.members = vec![("a".into(), address(1))];

    members.heard(known, base);

    assert!(members.has_share(base));
}

/// Guards against a host that nobody sees using a share that others took over.
#[tokio::test(start_paused = true)]
async fn a_host_without_renewal_and_contact_uses_no_share() {
    let base = Instant::now();
    let mut members = Members::new("a".into());
    members.renewed = Some(base);
    members.joined = Some(base);

    assert!(members.has_share(base + EXPIRED - STEP));
    assert!(!members.has_share(base + EXPIRED));
    assert!(EXPIRED < VANISHED, "others wait longer");
}

/// Guards against the removal of a host that some other host still hears.
#[tokio::test(start_paused = true)]
async fn a_host_is_removed_only_when_nobody_hears_it() {
    let base = Instant::now();
    let later = base + VANISHED + STEP;
    let mut members = Members::new("a".into());
    members.listed(&rows(&[("b", 5), ("c", 6)]), base);

    members.heard(report("b", &["c"]), later);
    assert_eq!(members.vanished(later), []);

    let silent = later + HEARD + STEP;
    members.heard(report("b", &[]), silent);
    assert_eq!(members.vanished(silent), [("c".into(), 6)]);
}

/// Guards against the removal of a host that renews its row.
#[tokio::test(start_paused = true)]
async fn a_renewed_row_is_a_sign_of_life() {
    let base = Instant::now();
    let mut members = Members::new("a".into());
    members.listed(&rows(&[("b", 5)]), base);
    members.listed(&rows(&[("b", 7)]), base + VANISHED / 2);

    assert_eq!(members.vanished(base + VANISHED), []);
}

/// Guards against an old promotion that undoes a newer one.
#[tokio::test(start_paused = true)]
async fn only_newer_promotions_count() {
    let mut members = Members::new("a".into());
    let promoted = |server: &str, token| Promoted {
        service: "s".into(),
        server: server.into(),
        token,
    };

    assert!(members.promoted(&promoted("x", 5)));
    assert!(!members.promoted(&promoted("y", 5)));
    assert!(!members.promoted(&promoted("y", 4)));
    assert!(members.promoted(&promoted("y", 6)));
}

/// Guards against two hosts that replace a primary in turn: a new version of a claim counts
/// from when it was seen first.
#[tokio::test(start_paused = true)]
async fn a_claim_that_is_written_again_is_young() {
    let base = Instant::now();
    let mut members = Members::new("a".into());

    assert_eq!(members.claim_age("s", 5, base), Duration::ZERO);
    assert_eq!(members.claim_age("s", 5, base + HEARD), HEARD);
    assert_eq!(members.claim_age("s", 6, base + HEARD), Duration::ZERO);
}
