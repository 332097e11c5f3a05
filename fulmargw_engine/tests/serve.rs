//! Reads and writes of an engine on a healthy group.

mod common;

use common::{Body, answer, bench};
use fulmargw_model::{position::Position, request::Class};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const SECOND: Class = Class::Aged(Duration::from_secs(1));

/// Guards against an engine that never reaches the group.
#[tokio::test(start_paused = true)]
async fn a_write_is_answered_and_read_again() {
    let bench = bench().await;

    let position = bench.put(7).await;
    let read = bench.get(SECOND, position).await;

    assert_eq!(read, [7]);
}

/// Guards against a read on a replica that lacks the session's own write.
#[tokio::test(start_paused = true)]
async fn a_session_reads_its_write_while_replicas_are_behind() {
    let bench = bench().await;
    for server in ["b", "c"] {
        bench
            .world
            .change(server, |node| node.lag = Duration::from_millis(300));
    }

    for value in 0..20 {
        let position = bench.put(value).await;
        let read = bench.get(SECOND, position).await;

        assert!(read.contains(&value), "{read:?} lacks {value}");
    }
}

/// Guards against reads that go to the primary although a replica qualifies.
#[tokio::test(start_paused = true)]
async fn a_read_goes_to_the_replica_of_the_zone() {
    let bench = bench().await;
    let position = bench.put(1).await;
    sleep(Duration::from_millis(300)).await;

    let read = bench.get(SECOND, position).await;

    assert_eq!(read, [1]);
    assert_eq!(bench.last_server().as_str(), "b");
}

/// Guards against a current read that lacks a write of another session.
#[tokio::test(start_paused = true)]
async fn a_current_read_sees_every_acknowledged_write() {
    let bench = bench().await;
    for server in ["b", "c"] {
        bench
            .world
            .change(server, |node| node.lag = Duration::from_millis(30));
    }

    for value in 0..20 {
        bench.put(value).await;
        let read = bench.get(Class::Current, Position::default()).await;

        assert!(read.contains(&value), "{read:?} lacks {value}");
    }
}

/// Guards against a read index that no server reaches while the log is empty.
#[tokio::test(start_paused = true)]
async fn a_current_read_of_an_empty_log_is_answered() {
    let bench = bench().await;

    let read = bench.get(Class::Current, Position::default()).await;

    assert!(read.is_empty());
}

/// Guards against an aged read of data that is older than stated.
#[tokio::test(start_paused = true)]
async fn an_aged_read_is_within_its_age() {
    let bench = bench().await;
    for server in ["b", "c"] {
        bench
            .world
            .change(server, |node| node.lag = Duration::from_secs(3));
    }
    bench.put(1).await;
    sleep(Duration::from_millis(1_500)).await;

    let read = bench.get(SECOND, Position::default()).await;

    assert_eq!(read, [1]);
}

/// Guards against an acknowledgement of a write that only the primary holds.
#[tokio::test(start_paused = true)]
async fn a_write_is_acknowledged_only_after_a_replica_holds_it() {
    let bench = bench().await;
    for server in ["b", "c"] {
        bench.world.change(server, |node| node.linked = false);
    }
    let mut request = bench.request(Class::Write, Body::Put(1));
    request.deadline = Instant::now() + Duration::from_millis(200);

    let outcome = fulmargw_engine::submit::Submit::submit(&bench.engine, request).await;

    assert!(
        matches!(outcome, fulmargw_model::outcome::Outcome::Unknown(_)),
        "{outcome:?}"
    );
}

/// Guards against more statements on a server than it has slots.
#[tokio::test(start_paused = true)]
async fn statements_stay_within_the_slots() {
    let bench = bench().await;
    for server in common::SERVERS {
        bench
            .world
            .change(server, |node| node.work = Duration::from_millis(10));
    }

    let reads = (0..30).map(|_| bench.statement(SECOND, Body::Get));
    let writes = (0..30).map(|value| bench.statement(Class::Write, Body::Put(value)));
    let reads = futures::future::join_all(reads);
    let writes = futures::future::join_all(writes);
    let (read, written) = futures::future::join(reads, writes).await;

    for outcome in read.into_iter().chain(written) {
        answer(outcome);
    }
    let group = bench.world.lock();
    assert!(group.nodes.values().all(|node| node.most_running <= 2));
}
