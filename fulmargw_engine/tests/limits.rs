//! Connections, slots, transactions, leaving servers and shutdown.

mod common;

use common::{Bench, Body, SERVERS, answer, bench, bench_on, is_refused};
use fulmargw_engine::submit::Submit;
use fulmargw_model::{
    outcome::{Outcome, Reason},
    position::Position,
    request::{Class, Part},
};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const SECOND: Class = Class::Aged(Duration::from_secs(1));

fn connections(bench: &Bench) -> Vec<u32> {
    let group = bench.world.lock();
    group.nodes.values().map(|node| node.connections).collect()
}

fn most_connections(bench: &Bench) -> Vec<u32> {
    let group = bench.world.lock();
    group
        .nodes
        .values()
        .map(|node| node.most_connections)
        .collect()
}

/// Makes every open connection to a server silent; new ones work.
fn silence(bench: &Bench) {
    let mut group = bench.world.lock();
    let opened = group.next;
    group.silent.extend(0..opened);
}

/// Guards against more connections than the share of this host, also during a failover.
#[tokio::test(start_paused = true)]
async fn connections_stay_within_the_share() {
    let bench = bench().await;
    for server in SERVERS {
        bench
            .world
            .change(server, |node| node.work = Duration::from_millis(5));
    }

    let writes = (0..40).map(|value| bench.statement(Class::Write, Body::Put(value)));
    let reads = (0..40).map(|_| bench.statement(SECOND, Body::Get));
    let load = futures::future::join(
        futures::future::join_all(writes),
        futures::future::join_all(reads),
    );
    let kill = async {
        sleep(Duration::from_millis(30)).await;
        bench.world.kill("a");
    };
    futures::future::join(load, kill).await;
    sleep(Duration::from_secs(1)).await;

    let most = most_connections(&bench);
    assert!(most.iter().all(|most| *most <= 4), "{most:?}");
}

/// Guards against connections beyond the share to a server that was paused, which still ends the
/// statements that it had received on connections that were given up.
#[tokio::test(start_paused = true)]
async fn a_resumed_server_gets_no_more_connections_than_the_share() {
    let bench = bench().await;
    bench
        .world
        .change("a", |node| node.work = Duration::from_millis(20));

    let writes = (0..8).map(|value| bench.statement(Class::Write, Body::Put(value)));
    let fault = async {
        sleep(Duration::from_millis(30)).await;
        bench.world.partition("a");
        sleep(Duration::from_secs(6)).await;
        bench.world.heal();
        sleep(Duration::from_secs(3)).await;
    };
    futures::future::join(futures::future::join_all(writes), fault).await;

    let most = most_connections(&bench);
    assert!(most.iter().all(|most| *most <= 4), "{most:?}");
    assert_eq!(connections(&bench)[0], 4);
}

/// Guards against a share that is kept after another host has joined.
#[tokio::test(start_paused = true)]
async fn a_smaller_share_closes_connections() {
    let bench = bench().await;
    bench.gate.set_divisor(2);
    sleep(Duration::from_millis(300)).await;
    let before = connections(&bench);

    bench.gate.set_divisor(8);
    sleep(Duration::from_millis(300)).await;

    assert!(before.iter().all(|open| *open > 4), "{before:?}");
    assert_eq!(connections(&bench), [2, 2, 2]);
    assert!(bench.engine.is_within_share(8));
    bench.put(1).await;
}

/// Guards against connections that a host without a lease keeps.
#[tokio::test(start_paused = true)]
async fn a_lost_lease_closes_every_connection() {
    let bench = bench().await;
    answer(bench.part(Part::Begin, Body::Nothing).await);

    bench.gate.set_leased(false);
    let other = bench.engine.open_caller();
    let mut request = bench.request(Class::Write, Body::Put(1));
    request.caller = other;
    let refused = bench.engine.submit(request).await;
    sleep(Duration::from_millis(1_200)).await;

    assert!(matches!(refused, Outcome::Refused(refusal) if refusal.reason == Reason::Lease));
    assert_eq!(connections(&bench), [0, 0, 0]);
}

/// Guards against a host that does not come back after its lease is valid again.
#[tokio::test(start_paused = true)]
async fn a_regained_lease_opens_connections_again() {
    let bench = bench().await;
    bench.gate.set_leased(false);
    sleep(Duration::from_secs(2)).await;

    bench.gate.set_leased(true);
    sleep(Duration::from_millis(300)).await;

    bench.put(1).await;
}

/// Guards against a transaction whose connection another caller gets.
#[tokio::test(start_paused = true)]
async fn a_connection_of_a_gone_caller_is_not_used_again() {
    let bench = bench().await;
    answer(bench.part(Part::Begin, Body::Nothing).await);
    answer(bench.part(Part::Statement, Body::Put(1)).await);
    let opened = bench.world.lock().next;

    bench.engine.close_caller(bench.caller);
    sleep(Duration::from_millis(200)).await;
    for value in 2..20 {
        bench.put(value).await;
    }

    let values = bench.world.values();
    assert!(!values.contains(&1), "{values:?}");
    assert!(
        bench.world.lock().next > opened,
        "the connection was not replaced"
    );
    assert!(bench.engine.dump().transactions.is_empty());
}

/// Guards against a submission that is dropped while a worker runs its begin.
#[tokio::test(start_paused = true)]
async fn a_begin_without_a_caller_frees_its_connection() {
    let bench = bench().await;
    bench
        .world
        .change("a", |node| node.work = Duration::from_millis(20));
    let begin = bench.part(Part::Begin, Body::Nothing);

    let gone = tokio::time::timeout(Duration::from_millis(10), begin).await;
    bench.engine.close_caller(bench.caller);
    sleep(Duration::from_millis(300)).await;

    assert!(gone.is_err());
    let state = bench.engine.dump();
    let servers = &state.services[0].servers;
    assert!(
        servers
            .iter()
            .all(|server| server.pinned == 0 && server.running == 0)
    );
    assert_eq!(connections(&bench), [4, 4, 4]);
    for value in 0..6 {
        bench.put(value).await;
    }
}

/// Guards against transactions that take every connection of the primary.
#[tokio::test(start_paused = true)]
async fn transactions_leave_a_connection_for_writes() {
    let bench = bench().await;
    let begins = (0..6).map(|_| {
        let mut request = bench.request(Class::Write, Body::Nothing);
        request.caller = bench.engine.open_caller();
        request.part = Part::Begin;
        request.deadline = Instant::now() + Duration::from_millis(100);
        bench.engine.submit(request)
    });

    let begun = futures::future::join_all(begins).await;
    bench.put(1).await;

    assert_eq!(
        begun.iter().filter(|outcome| !is_refused(outcome)).count(),
        2
    );
}

/// Guards against a rolled-back transaction whose next statement runs on its own.
#[tokio::test(start_paused = true)]
async fn a_statement_after_a_lost_transaction_is_refused() {
    let bench = bench().await;
    answer(bench.part(Part::Begin, Body::Nothing).await);
    sleep(Duration::from_secs(31)).await;

    let outcome = bench.part(Part::Statement, Body::Put(1)).await;

    assert!(is_refused(&outcome), "{outcome:?}");
    assert!(bench.world.values().is_empty());
}

/// Guards against a committed transaction that is not visible, or a rolled-back one that is.
#[tokio::test(start_paused = true)]
async fn a_transaction_ends_as_the_caller_says() {
    let bench = bench().await;
    for (value, end) in [(1, Body::Nothing), (2, Body::Rollback)] {
        answer(bench.part(Part::Begin, Body::Nothing).await);
        answer(bench.part(Part::Statement, Body::Put(value)).await);
        answer(bench.part(Part::End, end).await);
    }

    let read = bench.get(Class::Current, Position::default()).await;

    assert_eq!(read, [1]);
}

/// Guards against requests that wait on silent connections although new ones work.
#[tokio::test(start_paused = true)]
async fn silent_connections_are_replaced() {
    let bench = bench().await;
    bench.put(1).await;

    silence(&bench);
    sleep(Duration::from_millis(700)).await;
    let began = Instant::now();
    let read = bench.get(SECOND, Position::default()).await;
    let server = bench.last_server();
    bench.put(2).await;

    assert_eq!((read, server.as_str()), (vec![1], "b"));
    assert!(began.elapsed() < Duration::from_millis(100));
    let term = bench.world.lock().nodes["a"].term.0;
    assert_eq!(term, 1, "the primary was replaced");
}

/// Guards against a single silent connection that a request finds before the engine does.
#[tokio::test(start_paused = true)]
async fn a_silent_idle_connection_is_found_by_a_check() {
    let bench = bench().await;
    bench.put(1).await;
    bench.world.silence_work("a");
    sleep(Duration::from_secs(3)).await;

    let began = Instant::now();
    bench.put(2).await;

    assert!(began.elapsed() < Duration::from_millis(100));
}

/// Guards against browse requests that leave nothing for urgent ones.
#[tokio::test(start_paused = true)]
async fn urgent_requests_find_a_connection_under_browse_load() {
    let bench = bench().await;
    bench.gate.set_divisor(5);
    sleep(Duration::from_millis(300)).await;
    for server in SERVERS {
        bench
            .world
            .change(server, |node| node.work = Duration::from_millis(100));
    }
    let browse = (0..10).map(|_| bench.statement(SECOND, Body::Get));
    let urgent = async {
        sleep(Duration::from_millis(5)).await;
        let began = Instant::now();
        bench.get(Class::Current, Position::default()).await;
        began.elapsed()
    };

    let (_, took) = futures::future::join(futures::future::join_all(browse), urgent).await;

    assert!(took < Duration::from_millis(140), "{took:?}");
}

/// Guards against a failed begin that counts against the transactions for good.
#[tokio::test(start_paused = true)]
async fn a_begin_that_ran_before_holds_no_connection() {
    let bench = bench().await;
    let write = bench.request(Class::Write, Body::Put(1));
    let mut begin = bench.request(Class::Write, Body::Nothing);
    begin.id = write.id.clone();
    begin.part = Part::Begin;
    answer(bench.engine.submit(write).await);

    let outcome = bench.engine.submit(begin).await;

    assert!(matches!(outcome, Outcome::AlreadyRan(_)), "{outcome:?}");
    let state = bench.engine.dump();
    assert!(
        state.services[0]
            .servers
            .iter()
            .all(|server| server.pinned == 0)
    );
}

/// Guards against new work on a leaving replica.
#[tokio::test(start_paused = true)]
async fn a_leaving_replica_gets_no_new_work() {
    let bench = bench().await;
    bench.put(1).await;
    bench
        .gate
        .change(|service| service.servers[1].leaving = true);
    sleep(Duration::from_millis(100)).await;
    let before = bench.world.lock().nodes["b"].statements;

    for _ in 0..10 {
        bench.get(SECOND, Position::default()).await;
    }

    assert_eq!(bench.world.lock().nodes["b"].statements, before);
}

/// Guards against a leaving primary that keeps its role, or writes lost on the change.
#[tokio::test(start_paused = true)]
async fn a_leaving_primary_hands_over() {
    let bench = bench().await;
    bench.put(1).await;

    bench
        .gate
        .change(|service| service.servers[0].leaving = true);
    sleep(Duration::from_millis(100)).await;
    let began = Instant::now();
    bench.put(2).await;

    assert!(began.elapsed() < Duration::from_secs(2));
    assert_ne!(bench.world.primary().as_str(), "a");
    assert_eq!(bench.world.values(), [1, 2]);
}

/// Guards against a shutdown that interrupts a request or leaves connections open.
#[tokio::test(start_paused = true)]
async fn a_drain_finishes_running_work() {
    let bench = bench().await;
    bench
        .world
        .change("a", |node| node.work = Duration::from_millis(100));
    let write = bench.statement(Class::Write, Body::Put(1));
    let drain = async {
        sleep(Duration::from_millis(10)).await;
        let deadline = Instant::now() + Duration::from_secs(2);
        bench.engine.drain(deadline).await
    };

    let (written, drained) = futures::future::join(write, drain).await;
    let late = bench.statement(SECOND, Body::Get).await;

    answer(written);
    assert!(drained);
    assert!(matches!(late, Outcome::Refused(refusal) if refusal.reason == Reason::Leaving));
    assert_eq!(connections(&bench), [0, 0, 0]);
}

/// Guards against an open transaction that a shutdown breaks off.
#[tokio::test(start_paused = true)]
async fn a_drain_waits_for_open_transactions() {
    let bench = bench().await;
    answer(bench.part(Part::Begin, Body::Nothing).await);
    answer(bench.part(Part::Statement, Body::Put(1)).await);
    let end = async {
        sleep(Duration::from_millis(300)).await;
        bench.part(Part::End, Body::Nothing).await
    };
    let deadline = Instant::now() + Duration::from_secs(2);

    let (ended, drained) = futures::future::join(end, bench.engine.drain(deadline)).await;

    answer(ended);
    assert!(drained);
    assert_eq!(bench.world.values(), [1]);
}

/// Guards against a session position that no server has, which must not be answered.
#[tokio::test(start_paused = true)]
async fn a_future_position_is_refused() {
    let bench = bench().await;
    let position = bench.put(1).await;
    let mut request = bench.request(SECOND, Body::Get);
    request.required = Position {
        index: position.index + 100,
        ..position
    };

    let outcome = bench.engine.submit(request).await;

    assert!(matches!(outcome, Outcome::Refused(refusal) if refusal.reason == Reason::Position));
}

/// Guards against two hosts that together exceed the limit of a server.
#[tokio::test(start_paused = true)]
async fn four_hosts_share_the_limit() {
    let first = bench().await;
    let mut hosts = Vec::new();
    for rank in 1..4 {
        hosts.push(bench_on(first.world.clone(), rank).await);
    }
    sleep(Duration::from_secs(1)).await;

    first.world.kill("a");
    first.put(1).await;
    sleep(Duration::from_secs(1)).await;

    let most = most_connections(&first);
    assert!(most.iter().all(|most| *most <= 16), "{most:?}");
}
