//! Failures of the primary, lost answers and competing hosts.

mod common;

use common::{Bench, Body, SERVERS, answer, bench, bench_on, group::World, is_refused};
use fulmargw_engine::submit::Submit;
use fulmargw_model::{
    outcome::Outcome,
    position::{Position, Term},
    request::{Class, Part, Request},
};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Puts a value and returns the time that it took.
async fn timed_put(bench: &Bench, value: u64) -> Duration {
    let began = Instant::now();
    bench.put(value).await;
    began.elapsed()
}

/// Returns how often a value was committed, also in logs that were lost.
fn commits(world: &World, value: u64) -> usize {
    let group = world.lock();
    group
        .commits
        .iter()
        .filter(|(_, put)| *put == value)
        .count()
}

/// Returns how often a value is in the log of the present primary.
fn kept(world: &World, value: u64) -> usize {
    world.values().iter().filter(|put| **put == value).count()
}

fn write(bench: &Bench, value: u64) -> Request<Body> {
    bench.request(Class::Write, Body::Put(value))
}

/// Guards against writes that wait for long after the primary was killed.
#[tokio::test(start_paused = true)]
async fn a_killed_primary_is_replaced_in_time() {
    let bench = bench().await;
    bench.put(1).await;

    bench.world.kill("a");
    let gap = timed_put(&bench, 2).await;

    assert!(gap < Duration::from_millis(300), "{gap:?}");
    assert_eq!(bench.world.values(), [1, 2]);
}

/// Guards against promotions that use up terms without pause while no majority answers.
#[tokio::test(start_paused = true)]
async fn promotions_without_a_majority_slow_down() {
    let bench = bench().await;
    bench.put(1).await;

    bench.world.kill("a");
    bench.world.kill("b");
    sleep(Duration::from_secs(10)).await;

    // Two terms a second, after the term of the first primary.
    let promised = bench.world.lock().nodes["c"].promised;
    assert!(promised <= Term(21), "{promised:?}");
}

/// Guards against writes that wait for long after the primary was cut off.
#[tokio::test(start_paused = true)]
async fn a_partitioned_primary_is_replaced_in_time() {
    let bench = bench().await;
    bench.put(1).await;

    bench.world.partition("a");
    let gap = timed_put(&bench, 2).await;

    assert!(gap < Duration::from_secs(1), "{gap:?}");
    assert_eq!(bench.world.values(), [1, 2]);
}

/// Guards against acknowledgements of a primary that hosts reach but replicas do not.
#[tokio::test(start_paused = true)]
async fn a_primary_without_replicas_is_replaced() {
    let bench = bench().await;
    bench.put(1).await;

    bench.world.change("a", |node| node.linked = false);
    let gap = timed_put(&bench, 2).await;

    assert!(gap < Duration::from_secs(1), "{gap:?}");
    assert_eq!(bench.world.values(), [1, 2]);
    assert_ne!(bench.world.primary().as_str(), "a");
}

/// Guards against a promotion by a host that alone cannot reach the primary.
#[tokio::test(start_paused = true)]
async fn a_primary_that_the_replicas_hear_is_kept() {
    let bench = bench().await;

    bench.world.change("a", |node| node.reachable = false);
    sleep(Duration::from_secs(5)).await;

    assert_eq!(bench.world.lock().nodes["a"].term, Term(1));
}

/// Guards against a stale current read at a primary that was replaced.
#[tokio::test(start_paused = true)]
async fn a_current_read_ignores_a_replaced_primary() {
    let bench = bench().await;
    for server in ["b", "c"] {
        bench
            .world
            .change(server, |node| node.lag = Duration::from_secs(10));
    }
    bench.put(1).await;
    sleep(Duration::from_secs(1)).await;
    // This host still takes the old primary for the present one until its next probe.
    bench.world.change("a", |node| node.linked = false);
    bench.world.promote("b", Term(2), 2);

    let read = bench.get(Class::Current, Position::default()).await;

    assert_eq!(read, [1, 2]);
}

/// Guards against promotions that undo each other without end.
#[tokio::test(start_paused = true)]
async fn two_hosts_that_compete_agree() {
    let world = World::new(&SERVERS);
    let first = bench_on(world.clone(), 0).await;
    let second = bench_on(world.clone(), 0).await;
    first.put(1).await;

    world.kill("a");
    let gaps = futures::future::join(timed_put(&first, 2), timed_put(&second, 3)).await;
    sleep(Duration::from_secs(3)).await;
    let term = world.lock().nodes.values().map(|node| node.term).max();
    sleep(Duration::from_secs(3)).await;

    assert!(gaps.0.max(gaps.1) < Duration::from_secs(1), "{gaps:?}");
    assert_eq!(
        world.lock().nodes.values().map(|node| node.term).max(),
        term
    );
    assert_eq!((kept(&world, 2), kept(&world, 3)), (1, 1));
}

/// Guards against a second run of a write whose answer was lost.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_settled_as_already_run() {
    let bench = bench().await;
    bench.world.lock().lost_answers = 1;

    let outcome = bench.statement(Class::Write, Body::Put(1)).await;

    assert!(matches!(outcome, Outcome::AlreadyRan(_)), "{outcome:?}");
    assert_eq!(commits(&bench.world, 1), 1);
}

/// Guards against a lost write that is reported as run, or never run again.
#[tokio::test(start_paused = true)]
async fn a_lost_request_is_cancelled_and_run_again() {
    let bench = bench().await;
    bench.world.lock().lost_requests = 1;

    bench.put(1).await;

    assert_eq!(commits(&bench.world, 1), 1);
    assert_eq!(bench.world.values(), [1]);
}

/// Guards against a second run of a request that a caller sends again after its answer.
#[tokio::test(start_paused = true)]
async fn a_repeated_request_does_not_run_again() {
    let bench = bench().await;
    let first = write(&bench, 1);
    let mut second = write(&bench, 1);
    second.id = first.id.clone();
    answer(bench.engine.submit(first).await);

    let outcome = bench.engine.submit(second).await;

    assert!(matches!(outcome, Outcome::AlreadyRan(_)), "{outcome:?}");
    assert_eq!(commits(&bench.world, 1), 1);
}

/// Guards against lost or doubled writes when the primary dies under load, with and without a
/// log entry at the promotion.
#[tokio::test(start_paused = true)]
async fn writes_under_load_survive_a_kill_exactly_once() {
    for (promotion_entry, delay) in [(true, 0), (false, 0), (true, 1), (false, 2), (true, 3)] {
        let bench = bench().await;
        bench.world.lock().promotion_entry = promotion_entry;
        let fault = async {
            sleep(Duration::from_millis(10 + delay)).await;
            bench.world.kill("a");
        };
        let bench = &bench;
        let callers = (0..60).map(|value| async move {
            sleep(Duration::from_millis(value / 2)).await;
            (value, bench_submit(bench, value).await)
        });

        let (outcomes, ()) = futures::future::join(futures::future::join_all(callers), fault).await;

        for (value, outcome) in outcomes {
            let expected = match outcome {
                Outcome::Answered(_) | Outcome::AlreadyRan(_) => 1,
                Outcome::Refused(_) => 0,
                Outcome::Unknown(_) => panic!("{value} is unknown"),
            };
            assert_eq!(kept(&bench.world, value), expected, "{value}: {outcome:?}");
        }
    }
}

async fn bench_submit(bench: &Bench, value: u64) -> Outcome<Vec<u64>> {
    let mut request = write(bench, value);
    request.caller = bench.engine.open_caller();
    bench.engine.submit(request).await
}

/// Guards against a write of an earlier term that is never settled, because the new primary has
/// it but has not written an entry of its own.
#[tokio::test(start_paused = true)]
async fn a_write_of_an_earlier_term_is_settled() {
    let bench = bench().await;
    bench.world.lock().promotion_entry = false;
    bench
        .world
        .change("a", |node| node.work = Duration::from_millis(20));
    let fault = async {
        while commits(&bench.world, 1) == 0 {
            sleep(Duration::from_micros(100)).await;
        }
        bench.world.change("a", |node| node.reachable = false);
        sleep(Duration::from_millis(10)).await;
        bench.world.kill("a");
    };

    let write = bench.statement(Class::Write, Body::Put(1));
    let (outcome, ()) = futures::future::join(write, fault).await;

    assert!(matches!(outcome, Outcome::AlreadyRan(_)), "{outcome:?}");
    assert_eq!(kept(&bench.world, 1), 1);
}

/// Guards against a transaction that is committed although it was reported as not run.
#[tokio::test(start_paused = true)]
async fn a_transaction_on_a_killed_primary_did_not_run() {
    let bench = bench().await;
    answer(bench.part(Part::Begin, Body::Nothing).await);
    answer(bench.part(Part::Statement, Body::Put(1)).await);

    bench.world.kill("a");
    let outcome = bench.part(Part::End, Body::Nothing).await;

    assert!(is_refused(&outcome), "{outcome:?}");
    sleep(Duration::from_secs(1)).await;
    assert_eq!(kept(&bench.world, 1), 0);
}

/// Guards against an unknown outcome of a commit whose answer was lost.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_of_a_commit_is_settled() {
    let bench = bench().await;
    answer(bench.part(Part::Begin, Body::Nothing).await);
    answer(bench.part(Part::Statement, Body::Put(1)).await);
    bench.world.lock().lost_answers = 1;

    let outcome = bench.part(Part::End, Body::Nothing).await;

    assert!(matches!(outcome, Outcome::AlreadyRan(_)), "{outcome:?}");
    assert_eq!(kept(&bench.world, 1), 1);
}
