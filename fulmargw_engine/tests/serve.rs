//! Reads and writes on a group without failures.

mod common;

use common::{Body, answer, fixture};
use fulmargw_model::{position::Position, request::Class};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const SECOND: Class = Class::Aged(Duration::from_secs(1));

/// Guards against an engine that never connects to the group.
#[tokio::test(start_paused = true)]
async fn a_write_is_answered_and_read_again() {
    let fixture = fixture().await;

    let position = fixture.put(7).await;
    let read = fixture.get(SECOND, position).await;

    assert_eq!(read, [7]);
}

/// Guards against a read on a replica that has not applied the session's own write yet.
#[tokio::test(start_paused = true)]
async fn a_session_reads_its_write_while_replicas_lag() {
    let fixture = fixture().await;
    for server in ["b", "c"] {
        fixture
            .cluster
            .change(server, |node| node.lag = Duration::from_millis(300));
    }

    for value in 0..20 {
        let position = fixture.put(value).await;
        let read = fixture.get(SECOND, position).await;

        assert!(read.contains(&value), "{read:?} lacks {value}");
    }
}

/// Guards against reads that run on the primary although a replica in the zone is fresh enough.
#[tokio::test(start_paused = true)]
async fn a_read_runs_on_the_replica_in_the_zone() {
    let fixture = fixture().await;
    let position = fixture.put(1).await;
    sleep(Duration::from_millis(300)).await;

    let read = fixture.get(SECOND, position).await;

    assert_eq!(read, [1]);
    assert_eq!(fixture.last_server().as_str(), "b");
}

/// Guards against a current read that misses a write acknowledged before it.
#[tokio::test(start_paused = true)]
async fn a_current_read_sees_every_acknowledged_write() {
    let fixture = fixture().await;
    for server in ["b", "c"] {
        fixture
            .cluster
            .change(server, |node| node.lag = Duration::from_millis(30));
    }

    for value in 0..20 {
        fixture.put(value).await;
        let read = fixture.get(Class::Current, Position::default()).await;

        assert!(read.contains(&value), "{read:?} lacks {value}");
    }
}

/// Guards against a current read that waits for a position that an empty log never reaches.
#[tokio::test(start_paused = true)]
async fn a_current_read_of_an_empty_log_is_answered() {
    let fixture = fixture().await;

    let read = fixture.get(Class::Current, Position::default()).await;

    assert!(read.is_empty());
}

/// Guards against a read that returns data older than its maximum age.
#[tokio::test(start_paused = true)]
async fn an_aged_read_is_within_its_maximum_age() {
    let fixture = fixture().await;
    for server in ["b", "c"] {
        fixture
            .cluster
            .change(server, |node| node.lag = Duration::from_secs(3));
    }
    fixture.put(1).await;
    sleep(Duration::from_millis(1_500)).await;

    let read = fixture.get(SECOND, Position::default()).await;

    assert_eq!(read, [1]);
}

/// Guards against an acknowledgement of a write that only the primary holds: it would be lost
/// if the primary fails.
#[tokio::test(start_paused = true)]
async fn a_write_is_acknowledged_only_after_a_replica_holds_it() {
    let fixture = fixture().await;
    for server in ["b", "c"] {
        fixture
            .cluster
            .change(server, |node| node.reachable_by_nodes = false);
    }
    let mut request = fixture.request(Class::Write, Body::Put(1));
    request.deadline = Instant::now() + Duration::from_millis(200);

    let outcome = fulmargw_engine::submit::Submit::submit(&fixture.engine, request).await;

    assert!(
        matches!(outcome, fulmargw_model::outcome::Outcome::Unknown(_)),
        "{outcome:?}"
    );
}

/// Guards against more concurrent statements on a server than it has slots.
#[tokio::test(start_paused = true)]
async fn statements_stay_within_the_slots() {
    let fixture = fixture().await;
    for server in common::SERVERS {
        fixture
            .cluster
            .change(server, |node| node.run_time = Duration::from_millis(10));
    }

    let reads = (0..30).map(|_| fixture.statement(SECOND, Body::Get));
    let writes = (0..30).map(|value| fixture.statement(Class::Write, Body::Put(value)));
    let reads = futures::future::join_all(reads);
    let writes = futures::future::join_all(writes);
    let (read, written) = futures::future::join(reads, writes).await;

    for outcome in read.into_iter().chain(written) {
        answer(outcome);
    }
    let state = fixture.cluster.lock();
    assert!(state.nodes.values().all(|node| node.peak_running <= 2));
}
