//! Failures of the primary, dropped messages and concurrent promotions.

mod common;

use common::{Body, Fixture, SERVERS, answer, cluster::Cluster, fixture, fixture_on, is_refused};
use fulmargw_engine::submit::Submit;
use fulmargw_model::{
    outcome::Outcome,
    position::{Position, Term},
    request::{Class, Part, Request},
};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Puts a value and returns the time that it took.
async fn timed_put(fixture: &Fixture, value: u64) -> Duration {
    let began = Instant::now();
    fixture.put(value).await;
    began.elapsed()
}

/// Returns how often a value was committed, including commits whose log entry was lost later.
fn count_commits(cluster: &Cluster, value: u64) -> usize {
    let state = cluster.lock();
    state
        .commits
        .iter()
        .filter(|(_, put)| *put == value)
        .count()
}

/// Returns how often a value is in the log of the current primary.
fn count_in_log(cluster: &Cluster, value: u64) -> usize {
    cluster.values().iter().filter(|put| **put == value).count()
}

fn write(fixture: &Fixture, value: u64) -> Request<Body> {
    fixture.request(Class::Write, Body::Put(value))
}

/// Guards against a slow failover after the primary was killed.
#[tokio::test(start_paused = true)]
async fn a_killed_primary_is_replaced_within_300_ms() {
    let fixture = fixture().await;
    fixture.put(1).await;

    fixture.cluster.kill("a");
    let gap = timed_put(&fixture, 2).await;

    assert!(gap < Duration::from_millis(300), "{gap:?}");
    assert_eq!(fixture.cluster.values(), [1, 2]);
}

/// Guards against promotion attempts without backoff while no majority responds; each uses up a
/// term.
#[tokio::test(start_paused = true)]
async fn promotions_without_a_majority_back_off() {
    let fixture = fixture().await;
    fixture.put(1).await;

    fixture.cluster.kill("a");
    fixture.cluster.kill("b");
    sleep(Duration::from_secs(10)).await;

    // At most two terms per second, after the term of the first primary.
    let promised = fixture.cluster.lock().nodes["c"].promised;
    assert!(promised <= Term(21), "{promised:?}");
}

/// Guards against a slow failover after the primary was isolated from hosts and replicas.
#[tokio::test(start_paused = true)]
async fn a_partitioned_primary_is_replaced_within_1_s() {
    let fixture = fixture().await;
    fixture.put(1).await;

    fixture.cluster.partition("a");
    let gap = timed_put(&fixture, 2).await;

    assert!(gap < Duration::from_secs(1), "{gap:?}");
    assert_eq!(fixture.cluster.values(), [1, 2]);
}

/// Guards against a primary that hosts reach but replicas do not, and which therefore cannot
/// get writes confirmed.
#[tokio::test(start_paused = true)]
async fn a_primary_without_replicas_is_replaced() {
    let fixture = fixture().await;
    fixture.put(1).await;

    fixture
        .cluster
        .change("a", |node| node.reachable_by_nodes = false);
    let gap = timed_put(&fixture, 2).await;

    assert!(gap < Duration::from_secs(1), "{gap:?}");
    assert_eq!(fixture.cluster.values(), [1, 2]);
    assert_ne!(fixture.cluster.primary().as_str(), "a");
}

/// Guards against a promotion by a host that cannot reach the primary although the replicas can.
#[tokio::test(start_paused = true)]
async fn a_primary_that_the_replicas_reach_is_kept() {
    let fixture = fixture().await;

    fixture
        .cluster
        .change("a", |node| node.reachable_by_hosts = false);
    sleep(Duration::from_secs(5)).await;

    assert_eq!(fixture.cluster.lock().nodes["a"].term, Term(1));
}

/// Guards against a stale current read on a primary that another host has replaced.
#[tokio::test(start_paused = true)]
async fn a_current_read_does_not_use_a_replaced_primary() {
    let fixture = fixture().await;
    for server in ["b", "c"] {
        fixture
            .cluster
            .change(server, |node| node.lag = Duration::from_secs(10));
    }
    fixture.put(1).await;
    sleep(Duration::from_secs(1)).await;
    // Until its next probe, this host still takes server a for the primary.
    fixture
        .cluster
        .change("a", |node| node.reachable_by_nodes = false);
    fixture.cluster.promote("b", Term(2), 2);

    let read = fixture.get(Class::Current, Position::default()).await;

    assert_eq!(read, [1, 2]);
}

/// Guards against two hosts of the same rank that promote different servers in turns forever.
#[tokio::test(start_paused = true)]
async fn two_hosts_that_promote_at_once_converge() {
    let cluster = Cluster::new(&SERVERS);
    let first = fixture_on(cluster.clone(), 0).await;
    let second = fixture_on(cluster.clone(), 0).await;
    first.put(1).await;

    cluster.kill("a");
    let gaps = futures::future::join(timed_put(&first, 2), timed_put(&second, 3)).await;
    sleep(Duration::from_secs(3)).await;
    let term = cluster.lock().nodes.values().map(|node| node.term).max();
    sleep(Duration::from_secs(3)).await;

    assert!(gaps.0.max(gaps.1) < Duration::from_secs(1), "{gaps:?}");
    assert_eq!(
        cluster.lock().nodes.values().map(|node| node.term).max(),
        term
    );
    assert_eq!(
        (count_in_log(&cluster, 2), count_in_log(&cluster, 3)),
        (1, 1)
    );
}

/// Guards against a write that is run again because its response was lost.
#[tokio::test(start_paused = true)]
async fn a_write_with_a_lost_response_is_resolved_as_already_run() {
    let fixture = fixture().await;
    fixture.cluster.lock().responses_to_drop = 1;

    let outcome = fixture.statement(Class::Write, Body::Put(1)).await;

    assert!(matches!(outcome, Outcome::AlreadyRan(_)), "{outcome:?}");
    assert_eq!(count_commits(&fixture.cluster, 1), 1);
}

/// Guards against a write that was lost before it ran and is reported as run or not retried.
#[tokio::test(start_paused = true)]
async fn a_lost_request_is_cancelled_and_retried() {
    let fixture = fixture().await;
    fixture.cluster.lock().requests_to_drop = 1;

    fixture.put(1).await;

    assert_eq!(count_commits(&fixture.cluster, 1), 1);
    assert_eq!(fixture.cluster.values(), [1]);
}

/// Guards against a request that runs twice when the caller submits it again after its response.
#[tokio::test(start_paused = true)]
async fn a_repeated_request_does_not_run_again() {
    let fixture = fixture().await;
    let first = write(&fixture, 1);
    let mut second = write(&fixture, 1);
    second.id = first.id.clone();
    answer(fixture.engine.submit(first).await);

    let outcome = fixture.engine.submit(second).await;

    assert!(matches!(outcome, Outcome::AlreadyRan(_)), "{outcome:?}");
    assert_eq!(count_commits(&fixture.cluster, 1), 1);
}

/// Guards against writes that are lost or committed twice when the primary is killed under load,
/// with and without a log entry at the promotion.
#[tokio::test(start_paused = true)]
async fn writes_under_load_commit_exactly_once_across_a_failover() {
    for (logs_promotions, delay) in [(true, 0), (false, 0), (true, 1), (false, 2), (true, 3)] {
        let fixture = fixture().await;
        fixture.cluster.lock().logs_promotions = logs_promotions;
        let fault = async {
            sleep(Duration::from_millis(10 + delay)).await;
            fixture.cluster.kill("a");
        };
        let fixture = &fixture;
        let callers = (0..60).map(|value| async move {
            sleep(Duration::from_millis(value / 2)).await;
            (value, submit_write(fixture, value).await)
        });

        let (outcomes, ()) = futures::future::join(futures::future::join_all(callers), fault).await;

        for (value, outcome) in outcomes {
            let expected = match outcome {
                Outcome::Answered(_) | Outcome::AlreadyRan(_) => 1,
                Outcome::Refused(_) => 0,
                Outcome::Unknown(_) => panic!("{value} is unknown"),
            };
            assert_eq!(
                count_in_log(&fixture.cluster, value),
                expected,
                "{value}: {outcome:?}"
            );
        }
    }
}

async fn submit_write(fixture: &Fixture, value: u64) -> Outcome<Vec<u64>> {
    let mut request = write(fixture, value);
    request.caller = fixture.engine.open_caller();
    fixture.engine.submit(request).await
}

/// Guards against a write of an earlier term that is never resolved, because the new primary has
/// received it but has not appended an entry of its own term.
#[tokio::test(start_paused = true)]
async fn a_write_of_an_earlier_term_is_resolved() {
    let fixture = fixture().await;
    fixture.cluster.lock().logs_promotions = false;
    fixture
        .cluster
        .change("a", |node| node.run_time = Duration::from_millis(20));
    let fault = async {
        while count_commits(&fixture.cluster, 1) == 0 {
            sleep(Duration::from_micros(100)).await;
        }
        fixture
            .cluster
            .change("a", |node| node.reachable_by_hosts = false);
        sleep(Duration::from_millis(10)).await;
        fixture.cluster.kill("a");
    };

    let write = fixture.statement(Class::Write, Body::Put(1));
    let (outcome, ()) = futures::future::join(write, fault).await;

    assert!(matches!(outcome, Outcome::AlreadyRan(_)), "{outcome:?}");
    assert_eq!(count_in_log(&fixture.cluster, 1), 1);
}

/// Guards against a transaction that commits although it was reported as not run.
#[tokio::test(start_paused = true)]
async fn a_transaction_on_a_killed_primary_is_not_committed() {
    let fixture = fixture().await;
    answer(fixture.part(Part::Begin, Body::Nothing).await);
    answer(fixture.part(Part::Statement, Body::Put(1)).await);

    fixture.cluster.kill("a");
    let outcome = fixture.part(Part::End, Body::Nothing).await;

    assert!(is_refused(&outcome), "{outcome:?}");
    sleep(Duration::from_secs(1)).await;
    assert_eq!(count_in_log(&fixture.cluster, 1), 0);
}

/// Guards against an unknown outcome of a transaction whose commit was run but whose response was
/// lost.
#[tokio::test(start_paused = true)]
async fn a_commit_with_a_lost_response_is_resolved() {
    let fixture = fixture().await;
    answer(fixture.part(Part::Begin, Body::Nothing).await);
    answer(fixture.part(Part::Statement, Body::Put(1)).await);
    fixture.cluster.lock().responses_to_drop = 1;

    let outcome = fixture.part(Part::End, Body::Nothing).await;

    assert!(matches!(outcome, Outcome::AlreadyRan(_)), "{outcome:?}");
    assert_eq!(count_in_log(&fixture.cluster, 1), 1);
}
