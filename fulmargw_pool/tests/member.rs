//! The list of hosts in the fleet.

use bytes::Bytes;
use fulmargw_decision::{
    evacuation::{Revision as OrderRevision, Snapshot},
    gossip::{Age, MIN_PEER_TIMEOUT, Timing},
};
use fulmargw_model::name::Name;
use fulmargw_peer::report::{Endpoint, Report};
use fulmargw_pool::{
    member::{JOIN_DELAY, Members, Timeouts, rows::Record},
    store::{Era, Revision, Row},
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(1);

fn endpoint(host: u8) -> Endpoint {
    Endpoint {
        reports: SocketAddr::from(([10, 0, 0, host], 7_000)),
        statements: SocketAddr::from(([10, 0, 0, host], 7_001)),
        location: None,
    }
}

/// Returns a report of a host that knows `members`, given with the time since each was last heard
/// of.
fn report(host: &str, members: &[(&str, Duration)]) -> Report {
    Report {
        host: host.into(),
        endpoint: endpoint(2),
        incarnation: 1,
        version: 0,
        members_digest: 0,
        members: members
            .iter()
            .map(|(name, _)| (Name::new(name), endpoint(9)))
            .collect(),
        ages: members.iter().map(|(_, age)| Age::from(*age)).collect(),
        responsive_primaries: Vec::new(),
        acknowledged_positions: Vec::new(),
        promotions: Vec::new(),
        is_stopping: false,
        orders: None,
    }
}

fn revision(number: u64) -> Revision {
    Revision { era: 1, number }
}

fn claim(revision: Revision) -> Row {
    Row {
        key: "s".to_owned(),
        value: Bytes::from("claim"),
        revision,
    }
}

fn rows(hosts: &[(&str, u64)]) -> BTreeMap<Name, (Record, Revision)> {
    let record = |number| {
        let record = Record {
            endpoint: endpoint(9),
            incarnation: 1,
        };
        (record, revision(number))
    };
    hosts
        .iter()
        .map(|(name, number)| (Name::new(name), record(*number)))
        .collect()
}

fn in_era(
    era: Era,
    rows: BTreeMap<Name, (Record, Revision)>,
) -> BTreeMap<Name, (Record, Revision)> {
    let rows = rows.into_iter();
    let moved =
        rows.map(|(name, (record, revision))| (name, (record, Revision { era, ..revision })));
    moved.collect()
}

/// Guards against shares that add up to more than the limit while a host joins.
#[tokio::test(start_paused = true)]
async fn a_host_that_joins_waits_before_it_uses_its_share() {
    let base = Instant::now();
    let mut members = Members::new("a".into());
    members.renewed_at = Some(base);
    members.joined_at = Some(base);

    assert!(!members.has_share(base + JOIN_DELAY - STEP));
    assert!(members.has_share(base + JOIN_DELAY));
}

/// Guards against a restarted host that has to wait for its share although its peers have kept it.
#[tokio::test(start_paused = true)]
async fn a_host_that_its_peers_count_has_its_share_at_once() {
    let base = Instant::now() + JOIN_DELAY;
    let mut members = Members::new("a".into());
    let mut known = report("b", &[]);
    known.members = vec![("a".into(), endpoint(1))];

    members.record_report(known, base);

    assert!(members.has_share(base));
}

/// Guards against an isolated host that still uses its share after its peers have divided it.
#[tokio::test(start_paused = true)]
async fn a_host_without_renewals_and_reports_uses_no_share() {
    let base = Instant::now();
    let mut members = Members::new("a".into());
    members.renewed_at = Some(base);
    members.joined_at = Some(base);

    let share = Timeouts::of(1).share;
    assert!(members.has_share(base + share - STEP));
    assert!(!members.has_share(base + share));
    for hosts in [1, 4, 26, 78, 640] {
        let timeouts = Timeouts::of(hosts);
        assert!(timeouts.share < timeouts.removal, "peers wait longer");
        assert!(Timing::of(hosts).peer_timeout < timeouts.share);
    }
}

/// Guards against the removal of a host that still reports to another host.
#[tokio::test(start_paused = true)]
async fn a_host_is_removed_only_if_it_reports_to_no_host() {
    let base = Instant::now();
    let removal = Timeouts::of(3).removal;
    let later = base + removal + STEP;
    let mut members = Members::new("a".into());
    members.apply_rows(&rows(&[("b", 5), ("c", 6)]), base);

    members.record_report(report("b", &[("b", Duration::ZERO), ("c", STEP)]), later);
    assert_eq!(members.expired_rows(later), []);

    let without_report = later + removal + STEP;
    let old = report("b", &[("b", Duration::ZERO), ("c", removal * 2)]);
    members.record_report(old, without_report);
    assert_eq!(
        members.expired_rows(without_report),
        [("c".into(), revision(6))]
    );
}

/// Guards against a removed host that is listed again, and may be chosen as a holder, because its
/// row is in the copy from which the store was restored.
#[tokio::test(start_paused = true)]
async fn a_removed_host_is_not_listed_again_by_a_restored_row() {
    let base = Instant::now();
    let removal = Timeouts::of(3).removal;
    let mut members = Members::new("a".into());
    members.apply_rows(&rows(&[("b", 5), ("c", 6)]), base);
    let later = base + removal + STEP;
    members.record_report(report("b", &[("b", Duration::ZERO)]), later);
    members.apply_rows(&rows(&[("b", 7)]), later);

    let restored = in_era(2, rows(&[("b", 5), ("c", 6)]));
    members.apply_rows(&restored, later);
    assert_eq!(members.names(), ["a".into(), "b".into()]);
    let copied = Revision { era: 2, number: 6 };
    assert_eq!(members.expired_rows(later), [("c".into(), copied)]);

    let renewed = in_era(2, rows(&[("b", 7), ("c", 8)]));
    members.apply_rows(&renewed, later);
    assert_eq!(members.names(), ["a".into(), "b".into(), "c".into()]);
}

/// Guards against the removal of a host that only the store shows to be alive, because a restoration
/// lost its row: it still uses its share.
#[tokio::test(start_paused = true)]
async fn a_host_whose_row_was_lost_in_a_restoration_is_not_removed_at_once() {
    let base = Instant::now();
    let removal = Timeouts::of(3).removal;
    let mut members = Members::new("a".into());
    members.apply_rows(&rows(&[("b", 5), ("c", 6)]), base);
    let renewed = base + removal;
    members.apply_rows(&rows(&[("b", 7), ("c", 8)]), renewed);

    let restored = renewed + removal / 2;
    members.apply_rows(&in_era(2, rows(&[("b", 7)])), restored);
    assert_eq!(members.names(), ["a".into(), "b".into(), "c".into()]);

    members.apply_rows(&in_era(2, rows(&[("b", 8)])), restored + removal);
    assert_eq!(members.names(), ["a".into(), "b".into()]);
}

/// Guards against the removal of a host that renews its member row.
#[tokio::test(start_paused = true)]
async fn a_host_that_renews_its_row_is_not_removed() {
    let base = Instant::now();
    let mut members = Members::new("a".into());
    members.apply_rows(&rows(&[("b", 5)]), base);
    let removal = Timeouts::of(2).removal;
    members.apply_rows(&rows(&[("b", 7)]), base + removal / 2);

    assert_eq!(members.expired_rows(base + removal), []);
}

/// Guards against two hosts that replace a primary in turn: the age of a claim starts anew with
/// each revision.
#[tokio::test(start_paused = true)]
async fn the_age_of_a_claim_restarts_with_each_revision() {
    let base = Instant::now();
    let mut members = Members::new("a".into());

    assert_eq!(members.claim_age(&claim(revision(5)), base), Duration::ZERO);
    assert_eq!(
        members.claim_age(&claim(revision(5)), base + MIN_PEER_TIMEOUT),
        MIN_PEER_TIMEOUT
    );
    assert_eq!(
        members.claim_age(&claim(revision(6)), base + MIN_PEER_TIMEOUT),
        Duration::ZERO
    );
}

/// Guards against a failover that waits for an old claim once more, because its row came back with the
/// copy from which the store was restored.
#[tokio::test(start_paused = true)]
async fn the_age_of_a_claim_goes_on_after_a_restoration() {
    let base = Instant::now();
    let later = base + MIN_PEER_TIMEOUT;
    let mut members = Members::new("a".into());
    let copied = Revision { era: 2, number: 5 };
    members.claim_age(&claim(revision(5)), base);

    assert_eq!(members.claim_age(&claim(copied), later), MIN_PEER_TIMEOUT);
    let reissued = Revision { era: 2, number: 6 };
    assert_eq!(members.claim_age(&claim(reissued), later), Duration::ZERO);
}

/// Guards against statements forwarded to a host that does not respond or is stopping.
#[tokio::test(start_paused = true)]
async fn the_holder_is_the_first_host_that_is_alive() {
    let base = Instant::now();
    let mut members = Members::new("a".into());
    members.record_report(report("b", &[]), base);
    let service = (0..64)
        .map(|number| Name::new(&format!("service-{number}")))
        .find(|service| members.holder(service, base).is_some());
    let service = service.expect("a service whose holder is b");

    let alive = members.holder(&service, base);
    let unresponsive = members.holder(&service, base + MIN_PEER_TIMEOUT + STEP);
    let mut stopping = report("b", &[]);
    stopping.is_stopping = true;
    members.record_report(stopping, base);
    let stopped = members.holder(&service, base);

    assert_eq!(alive, Some(("b".into(), endpoint(2).statements)));
    assert_eq!(unresponsive, None);
    assert_eq!(stopped, None);
}

/// Guards against hosts that were started together and each run the statements of all services.
#[tokio::test(start_paused = true)]
async fn a_listed_host_may_be_a_holder_before_its_first_report() {
    let base = Instant::now();
    let mut members = Members::new("a".into());
    members.apply_rows(&rows(&[("b", 1)]), base);

    let is_holder = (0..64).any(|number| {
        let service = Name::new(&format!("service-{number}"));
        members.holder(&service, base).is_some()
    });

    assert!(is_holder);
}

/// Guards against shares that stay too small for long after a host was shut down for good: its
/// peers read the member rows more often while it does not report.
#[tokio::test(start_paused = true)]
async fn a_host_that_does_not_report_is_noticed() {
    let base = Instant::now();
    let mut members = Members::new("a".into());
    members.record_report(report("b", &[]), base);

    assert!(!members.has_unresponsive_peer(base + MIN_PEER_TIMEOUT));
    assert!(members.has_unresponsive_peer(base + MIN_PEER_TIMEOUT * 2));
    members.record_report(report("b", &[]), base + MIN_PEER_TIMEOUT * 2);
    assert!(!members.has_unresponsive_peer(base + MIN_PEER_TIMEOUT * 2));
}

/// Guards against a host that waits for its share although its peers have kept it, because they
/// report only a digest of the hosts' names.
#[tokio::test(start_paused = true)]
async fn a_report_with_the_same_digest_counts_this_host() {
    let base = Instant::now();
    let mut members = Members::new("a".into());
    members.add_peer(&"b".into(), endpoint(2), base);
    let mut same = report("b", &[]);
    same.members_digest = members.digest();

    members.record_report(same, base);

    assert!(members.has_share(base));
}

/// Guards against a host that never learns of some hosts, because its peers assume that it knows
/// them.
#[test]
fn a_report_lists_the_hosts_unless_the_recipient_knows_them() {
    let mut sent = report("b", &[]);
    sent.members_digest = 7;
    sent.members = vec![("b".into(), endpoint(2)), ("c".into(), endpoint(3))];

    assert_eq!(sent.for_recipient(Some(7)).members, []);
    assert_eq!(sent.for_recipient(Some(8)).members.len(), 2);
    assert_eq!(sent.for_recipient(None).members.len(), 2);
}

/// Guards against a host that takes a peer for failed because the peer has not reported to it for
/// some time, although it has reported to others. Hosts of a large fleet then chose different
/// holders for a service.
#[tokio::test(start_paused = true)]
async fn a_host_that_a_peer_has_seen_is_alive() {
    let base = Instant::now();
    let mut members = Members::new("a".into());
    members.apply_rows(&rows(&[("b", 1), ("c", 1)]), base);
    let later = base + Timeouts::of(3).removal;

    members.record_report(report("b", &[("a", STEP), ("b", STEP), ("c", STEP)]), later);

    let is_alive = |members: &Members, now| members.alive(now).contains(&"c".into());
    assert!(is_alive(&members, later));
    assert!(!is_alive(&members, later + MIN_PEER_TIMEOUT + STEP));
}

/// Guards against a removed host that comes back to the lists because a peer that has not removed it
/// yet still lists it.
#[tokio::test(start_paused = true)]
async fn a_listed_host_that_nobody_has_seen_is_not_added() {
    let base = Instant::now();
    let mut members = Members::new("a".into());
    let listed = [
        ("b", Duration::ZERO),
        ("c", MIN_PEER_TIMEOUT * 2),
        ("d", Duration::ZERO),
    ];

    members.record_report(report("b", &listed), base);

    assert_eq!(members.names(), ["a".into(), "b".into(), "d".into()]);
}

/// Guards against ages that are taken for those of other hosts, because sender and recipient know
/// different hosts.
#[tokio::test(start_paused = true)]
async fn ages_of_unknown_hosts_are_ignored() {
    let base = Instant::now();
    let mut members = Members::new("a".into());
    members.apply_rows(&rows(&[("b", 1), ("c", 1)]), base);
    let later = base + Timeouts::of(3).removal;
    let mut other_hosts = report("b", &[]);
    other_hosts.members_digest = members.digest() ^ 1;
    other_hosts.ages = vec![Age::from(Duration::ZERO); 3];

    members.record_report(other_hosts, later);

    assert!(!members.alive(later).contains(&"c".into()));
}

/// Guards against a host that is removed although it lives: while it hears of few peers, its peers
/// may not hear of it, and it has to renew its member row more often.
#[tokio::test(start_paused = true)]
async fn a_host_that_hears_of_few_peers_is_isolated() {
    let base = Instant::now();
    let mut members = Members::new("a".into());
    members.apply_rows(&rows(&[("b", 1), ("c", 1), ("d", 1)]), base);
    let later = base + MIN_PEER_TIMEOUT;

    assert!(!members.is_isolated(base));
    assert!(members.is_isolated(later));
    members.record_report(report("b", &[]), later);
    assert!(members.is_isolated(later));
    members.record_report(report("c", &[]), later);
    assert!(!members.is_isolated(later));
}

/// Guards against a list of all hosts in each report of a large fleet, in which a host reports to
/// most peers before they have reported to it.
#[tokio::test(start_paused = true)]
async fn a_peer_without_a_report_is_assumed_to_know_the_same_hosts() {
    let base = Instant::now();
    let mut members = Members::new("a".into());
    members.apply_rows(&rows(&[("b", 1)]), base);
    let address = endpoint(9).reports;

    let before = members.assumed_digest(address);
    let mut other = report("b", &[]);
    other.endpoint = endpoint(9);
    other.members_digest = members.digest() ^ 1;
    members.record_report(other, base);
    let after = members.assumed_digest(address);

    assert_eq!(before, members.digest());
    assert_eq!(after, members.digest() ^ 1);
}

/// Guards against a host that cannot read the reports of hosts whose deployment has no orders, or whose
/// version does not know them.
#[test]
fn a_report_without_orders_is_decoded() {
    let mut sent = report("b", &[]);
    let plain = rmp_serde::to_vec(&sent).expect("encoded");
    sent.orders = Some(Snapshot {
        revision: OrderRevision { era: 1, number: 7 },
        zones: ["zone".into()].into(),
    });
    let with_orders = rmp_serde::to_vec(&sent).expect("encoded");

    assert_eq!(plain[0] + 1, with_orders[0], "one field more");
    let decoded: Report = rmp_serde::from_slice(&plain).expect("decoded");
    assert_eq!(decoded.orders, None);
    let decoded: Report = rmp_serde::from_slice(&with_orders).expect("decoded");
    assert_eq!(decoded, sent);
}
