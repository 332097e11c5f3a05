//! Choice of backend servers.

use fulmargw_model::{
    execution::Consistency,
    position::{Position, Term},
};
use fulmargw_pool::{
    freshness::{Freshness, Moment, Sample},
    routing::{self, Floor, Need, Room, View},
};
use std::time::Duration;
use tokio::time::Instant;

fn position(term: u64, index: u64) -> Position {
    Position {
        term: Term(term),
        index,
    }
}

fn view(id: &str) -> View {
    View {
        id: id.into(),
        is_primary: false,
        is_near: false,
        is_usable: true,
        room: Room::Idle,
        running: 0,
        limit: 2,
        applied: Some(position(3, 100)),
        lacked: None,
    }
}

fn primary(id: &str) -> View {
    View {
        is_primary: true,
        ..view(id)
    }
}

fn need(floor: Option<Floor>) -> Need {
    Need {
        primary_only: false,
        floor,
        zone: "a".into(),
        account: "account".into(),
    }
}

fn floor(index: u64) -> Floor {
    Floor {
        position: position(3, index),
        age: Duration::ZERO,
    }
}

fn chosen(need: &Need, views: &[View]) -> Option<String> {
    routing::choose(need, views).map(|choice| choice.server.as_str().to_owned())
}

/// Guards against a read on a replica that is not known to have what the read must see.
#[test]
fn a_read_without_a_known_position_runs_on_the_primary() {
    let views = [view("replica"), primary("primary")];

    assert_eq!(chosen(&need(None), &views).as_deref(), Some("primary"));
}

/// Guards against replicas that are asked for a position that they cannot have yet.
#[test]
fn a_replica_that_lags_is_passed_over() {
    let views = [view("replica"), primary("primary")];

    assert_eq!(
        chosen(&need(Some(floor(100))), &views).as_deref(),
        Some("replica")
    );
    assert_eq!(
        chosen(&need(Some(floor(101))), &views).as_deref(),
        Some("primary")
    );
}

/// Guards against a position that the replica is not made to confirm.
#[test]
fn a_replica_has_to_confirm_the_position() {
    let views = [view("replica")];

    let choice = routing::choose(&need(Some(floor(90))), &views).expect("a choice");

    assert!(!choice.as_primary);
    assert_eq!(choice.after, Some(floor(90)));
}

/// Guards against a write that is sent to a replica.
#[test]
fn work_for_the_primary_waits_for_the_primary() {
    let write = Need {
        primary_only: true,
        ..need(Some(floor(1)))
    };
    let busy = View {
        running: 2,
        ..primary("primary")
    };

    assert_eq!(chosen(&write, &[view("replica"), busy]), None);
}

/// Guards against new connections where an open one is free.
#[test]
fn an_open_connection_goes_before_a_nearer_server() {
    let near = View {
        is_near: true,
        room: Room::Opening,
        ..view("near")
    };

    let choice = chosen(&need(Some(floor(1))), &[near, view("far")]);

    assert_eq!(choice.as_deref(), Some("far"));
}

/// Guards against work for servers that are in trouble or full.
#[test]
fn unusable_and_full_servers_get_nothing() {
    let unusable = View {
        is_usable: false,
        ..view("unusable")
    };
    let full = View {
        room: Room::Full,
        ..view("full")
    };

    assert_eq!(chosen(&need(Some(floor(1))), &[unusable, full]), None);
}

/// Guards against reads that take all slots of the primary from writes.
#[test]
fn reads_that_replicas_can_serve_leave_the_primary_half() {
    let full = View {
        running: 2,
        ..view("replica")
    };
    let half = View {
        running: 1,
        ..primary("primary")
    };

    assert_eq!(chosen(&need(Some(floor(1))), &[full, half]), None);
}

/// Guards against a session that does not see its own commit.
#[test]
fn the_floor_includes_the_own_commits_of_a_session() {
    let sample = Sample {
        asked: Instant::now(),
        asked_since_boot: Duration::ZERO,
        position: position(3, 50),
    };
    let bound = Duration::from_secs(2);
    let age = Duration::from_secs(1);
    let session = Some(position(3, 60));

    let own = routing::floor(Consistency::Session(bound), session, Some(sample), age);
    let bounded = routing::floor(Consistency::Bounded(bound), session, Some(sample), age);
    let current = routing::floor(Consistency::Current, session, Some(sample), age);

    assert_eq!(own.expect("a floor").position, position(3, 60));
    assert_eq!(own.expect("a floor").age, Duration::ZERO);
    assert_eq!(bounded.expect("a floor").position, position(3, 50));
    assert_eq!(current, None);
}

fn moment(base: Instant, now_ms: u64, since_boot_ms: u64) -> Moment {
    Moment {
        now: base + Duration::from_millis(now_ms),
        since_boot: Duration::from_millis(since_boot_ms),
    }
}

fn sample(base: Instant, at_ms: u64, position: Position) -> Sample {
    Sample {
        asked: base + Duration::from_millis(at_ms),
        asked_since_boot: Duration::from_millis(at_ms),
        position,
    }
}

/// Guards against a stale read with a position that is older than the bound.
#[tokio::test(start_paused = true)]
async fn the_oldest_sample_within_the_bound_is_used() {
    let base = Instant::now();
    let mut freshness = Freshness::default();
    for (at, index) in [(0, 10), (500, 20), (1_000, 30)] {
        freshness.add(sample(base, at, position(3, index)));
    }
    let bound = Duration::from_millis(700);

    let used = freshness.within(bound, moment(base, 1_100, 1_100));
    let none = freshness.within(bound, moment(base, 2_000, 2_000));

    assert_eq!(used.expect("a sample").position, position(3, 20));
    assert_eq!(none, None);
}

/// Guards against a stale read after the host was suspended, which the runtime's clock does
/// not count.
#[tokio::test(start_paused = true)]
async fn suspension_makes_samples_older() {
    let base = Instant::now();
    let mut freshness = Freshness::default();
    freshness.add(sample(base, 0, position(3, 10)));

    let used = freshness.within(Duration::from_secs(1), moment(base, 100, 5_000));

    assert_eq!(used, None);
}

/// Guards against a position of an entry that a promotion removed.
#[tokio::test(start_paused = true)]
async fn a_later_term_replaces_earlier_samples() {
    let base = Instant::now();
    let mut freshness = Freshness::default();
    freshness.add(sample(base, 0, position(3, 100)));
    freshness.add(sample(base, 100, position(4, 90)));
    freshness.add(sample(base, 200, position(3, 101)));

    let used = freshness.within(Duration::from_secs(1), moment(base, 300, 300));

    assert_eq!(used.expect("a sample").position, position(4, 90));
}

/// Guards against an extra round trip for a read whose position proves what it needs, and against
/// a read without one that is not made to prove that the server leads.
#[test]
fn a_read_on_the_primary_carries_its_position() {
    let views = [primary("primary")];
    let write = Need {
        primary_only: true,
        ..need(Some(floor(9)))
    };

    let with = routing::choose(&need(Some(floor(9))), &views).expect("a choice");
    let without = routing::choose(&need(None), &views).expect("a choice");
    let written = routing::choose(&write, &views).expect("a choice");

    assert_eq!(with.after, Some(floor(9)));
    assert_eq!(without.after, None);
    assert_eq!(written.after, None);
}
