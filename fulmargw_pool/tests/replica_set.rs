//! Record of the servers that together have every acknowledged commit.

use fulmargw_pool::replica_set::{Member, Record};
use std::collections::BTreeSet;

fn member(server: &str) -> Member {
    Member {
        server: server.into(),
        born_unix_ms: 1,
    }
}

fn members(servers: &[&str]) -> BTreeSet<Member> {
    servers.iter().map(|server| member(server)).collect()
}

fn record() -> Record {
    Record {
        primary: Some("a".into()),
        members: members(&["a", "b", "c"]),
    }
}

/// Guards against a promotion that overlooks a server which has left: its log may have been the only
/// one with an acknowledged commit besides that of the failed primary.
#[test]
fn a_server_that_has_left_is_a_gap_until_another_one_has_caught_up() {
    let registered = members(&["a", "b", "d"]);

    let updated = record().updated(None, &registered);

    assert!(updated.has_absent(&registered));
    assert_eq!(updated.gap(&members(&["b", "d"])), Some(&"c".into()));
    let caught_up = updated.without_absent(&registered);
    assert!(!caught_up.has_absent(&registered));
    assert_eq!(caught_up.gap(&members(&["b", "d"])), None);
    assert_eq!(caught_up.primary, Some("a".into()));
}

/// Guards against a promotion that waits for the failed primary although all replicas are there.
#[test]
fn the_failed_primary_is_no_gap() {
    assert_eq!(record().gap(&members(&["b", "c"])), None);
}

/// Guards against a replaced primary that is left out, although the record names the one before it.
#[test]
fn the_primary_after_the_recorded_one_is_a_gap() {
    assert_eq!(record().gap(&members(&["a", "c"])), Some(&"b".into()));
}

/// Guards against a restarted server that is taken for the one which had received a commit, although
/// its log is empty.
#[test]
fn a_restarted_replica_is_another_member() {
    let restarted = Member {
        born_unix_ms: 2,
        ..member("c")
    };
    let asked = BTreeSet::from([member("b"), restarted]);

    assert_eq!(record().gap(&asked), Some(&"c".into()));
}
