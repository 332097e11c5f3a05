//! Connection shares, leases, transactions, leaving servers and shutdown.

mod common;

use common::{Body, Fixture, SERVERS, answer, fixture, fixture_on, is_refused};
use fulmargw_engine::submit::Submit;
use fulmargw_model::{
    outcome::{Outcome, Reason},
    position::Position,
    request::{Class, Part},
};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const SECOND: Class = Class::Aged(Duration::from_secs(1));

fn connections(fixture: &Fixture) -> Vec<u32> {
    let state = fixture.cluster.lock();
    state.nodes.values().map(|node| node.connections).collect()
}

fn peak_connections(fixture: &Fixture) -> Vec<u32> {
    let state = fixture.cluster.lock();
    state
        .nodes
        .values()
        .map(|node| node.peak_connections)
        .collect()
}

/// Makes every open connection unresponsive; new ones work.
fn make_connections_unresponsive(fixture: &Fixture) {
    let mut state = fixture.cluster.lock();
    let opened = state.next_connection;
    state.unresponsive_connections.extend(0..opened);
}

/// Guards against more connections than this host's share, under load and during a failover.
#[tokio::test(start_paused = true)]
async fn connections_stay_within_the_share() {
    let fixture = fixture().await;
    for server in SERVERS {
        fixture
            .cluster
            .change(server, |node| node.run_time = Duration::from_millis(5));
    }

    let writes = (0..40).map(|value| fixture.statement(Class::Write, Body::Put(value)));
    let reads = (0..40).map(|_| fixture.statement(SECOND, Body::Get));
    let load = futures::future::join(
        futures::future::join_all(writes),
        futures::future::join_all(reads),
    );
    let kill = async {
        sleep(Duration::from_millis(30)).await;
        fixture.cluster.kill("a");
    };
    futures::future::join(load, kill).await;
    sleep(Duration::from_secs(1)).await;

    let peak = peak_connections(&fixture);
    assert!(peak.iter().all(|peak| *peak <= 4), "{peak:?}");
}

/// Guards against connections beyond the share to a server that was paused: it still counts
/// closed connections until it has ended the statements that it had received on them.
#[tokio::test(start_paused = true)]
async fn connections_to_a_resumed_server_stay_within_the_share() {
    let fixture = fixture().await;
    fixture
        .cluster
        .change("a", |node| node.run_time = Duration::from_millis(20));

    let writes = (0..8).map(|value| fixture.statement(Class::Write, Body::Put(value)));
    let fault = async {
        sleep(Duration::from_millis(30)).await;
        fixture.cluster.partition("a");
        sleep(Duration::from_secs(6)).await;
        fixture.cluster.heal();
        sleep(Duration::from_secs(3)).await;
    };
    futures::future::join(futures::future::join_all(writes), fault).await;

    let peak = peak_connections(&fixture);
    assert!(peak.iter().all(|peak| *peak <= 4), "{peak:?}");
    assert_eq!(connections(&fixture)[0], 4);
}

/// Guards against connections that stay open after the share became smaller.
#[tokio::test(start_paused = true)]
async fn a_smaller_share_closes_connections() {
    let fixture = fixture().await;
    fixture.control_plane.set_share_divisor(2);
    sleep(Duration::from_millis(300)).await;
    let before = connections(&fixture);

    fixture.control_plane.set_share_divisor(8);
    sleep(Duration::from_millis(300)).await;

    assert!(before.iter().all(|open| *open > 4), "{before:?}");
    assert_eq!(connections(&fixture), [2, 2, 2]);
    assert!(fixture.engine.is_within_share(8));
    fixture.put(1).await;
}

/// Guards against connections that a host keeps open after its lease and the grace period.
#[tokio::test(start_paused = true)]
async fn a_lost_lease_closes_every_connection() {
    let fixture = fixture().await;
    answer(fixture.part(Part::Begin, Body::Nothing).await);

    fixture.control_plane.set_lease(false);
    let other = fixture.engine.open_caller();
    let mut request = fixture.request(Class::Write, Body::Put(1));
    request.caller = other;
    let refused = fixture.engine.submit(request).await;
    sleep(Duration::from_millis(1_200)).await;

    assert!(matches!(refused, Outcome::Refused(refusal) if refusal.reason == Reason::Lease));
    assert_eq!(connections(&fixture), [0, 0, 0]);
}

/// Guards against a host that opens no connections after its lease is valid again.
#[tokio::test(start_paused = true)]
async fn a_regained_lease_opens_connections_again() {
    let fixture = fixture().await;
    fixture.control_plane.set_lease(false);
    sleep(Duration::from_secs(2)).await;

    fixture.control_plane.set_lease(true);
    sleep(Duration::from_millis(300)).await;

    fixture.put(1).await;
}

/// Guards against the reuse of a connection on which a closed caller left a transaction open.
#[tokio::test(start_paused = true)]
async fn a_pinned_connection_of_a_closed_caller_is_not_reused() {
    let fixture = fixture().await;
    answer(fixture.part(Part::Begin, Body::Nothing).await);
    answer(fixture.part(Part::Statement, Body::Put(1)).await);
    let opened = fixture.cluster.lock().next_connection;

    fixture.engine.close_caller(fixture.caller);
    sleep(Duration::from_millis(200)).await;
    for value in 2..20 {
        fixture.put(value).await;
    }

    let values = fixture.cluster.values();
    assert!(!values.contains(&1), "{values:?}");
    assert!(
        fixture.cluster.lock().next_connection > opened,
        "the connection was not replaced"
    );
    assert!(fixture.engine.dump().transactions.is_empty());
}

/// Guards against a connection that stays pinned when the submission of a begin is dropped and
/// its caller closed while a worker runs it.
#[tokio::test(start_paused = true)]
async fn a_begin_of_a_closed_caller_frees_its_connection() {
    let fixture = fixture().await;
    fixture
        .cluster
        .change("a", |node| node.run_time = Duration::from_millis(20));
    let begin = fixture.part(Part::Begin, Body::Nothing);

    let submitted = tokio::time::timeout(Duration::from_millis(10), begin).await;
    fixture.engine.close_caller(fixture.caller);
    sleep(Duration::from_millis(300)).await;

    assert!(submitted.is_err());
    let state = fixture.engine.dump();
    let servers = &state.services[0].servers;
    assert!(
        servers
            .iter()
            .all(|server| server.pinned == 0 && server.running == 0)
    );
    assert_eq!(connections(&fixture), [4, 4, 4]);
    for value in 0..6 {
        fixture.put(value).await;
    }
}

/// Guards against transactions that pin every connection to the primary.
#[tokio::test(start_paused = true)]
async fn transactions_leave_a_connection_for_writes() {
    let fixture = fixture().await;
    let begins = (0..6).map(|_| {
        let mut request = fixture.request(Class::Write, Body::Nothing);
        request.caller = fixture.engine.open_caller();
        request.part = Part::Begin;
        request.deadline = Instant::now() + Duration::from_millis(100);
        fixture.engine.submit(request)
    });

    let begun = futures::future::join_all(begins).await;
    fixture.put(1).await;

    assert_eq!(
        begun.iter().filter(|outcome| !is_refused(outcome)).count(),
        2
    );
}

/// Guards against a statement that runs outside its transaction, because the transaction was
/// aborted at the time limit.
#[tokio::test(start_paused = true)]
async fn a_statement_after_an_aborted_transaction_is_refused() {
    let fixture = fixture().await;
    answer(fixture.part(Part::Begin, Body::Nothing).await);
    sleep(Duration::from_secs(31)).await;

    let outcome = fixture.part(Part::Statement, Body::Put(1)).await;

    assert!(is_refused(&outcome), "{outcome:?}");
    assert!(fixture.cluster.values().is_empty());
}

/// Guards against a committed transaction that is not visible, and a rolled-back one that is.
#[tokio::test(start_paused = true)]
async fn a_transaction_commits_or_rolls_back_as_requested() {
    let fixture = fixture().await;
    for (value, end) in [(1, Body::Nothing), (2, Body::Rollback)] {
        answer(fixture.part(Part::Begin, Body::Nothing).await);
        answer(fixture.part(Part::Statement, Body::Put(value)).await);
        answer(fixture.part(Part::End, end).await);
    }

    let read = fixture.get(Class::Current, Position::default()).await;

    assert_eq!(read, [1]);
}

/// Guards against requests that wait for unresponsive connections although new ones work.
#[tokio::test(start_paused = true)]
async fn unresponsive_connections_are_replaced() {
    let fixture = fixture().await;
    fixture.put(1).await;

    make_connections_unresponsive(&fixture);
    sleep(Duration::from_millis(700)).await;
    let began = Instant::now();
    let read = fixture.get(SECOND, Position::default()).await;
    let server = fixture.last_server();
    fixture.put(2).await;

    assert_eq!((read, server.as_str()), (vec![1], "b"));
    assert!(began.elapsed() < Duration::from_millis(100));
    let term = fixture.cluster.lock().nodes["a"].term.0;
    assert_eq!(term, 1, "the primary was replaced");
}

/// Guards against an unresponsive idle connection that is only noticed by the request that uses it.
#[tokio::test(start_paused = true)]
async fn an_unresponsive_idle_connection_is_found_by_a_check() {
    let fixture = fixture().await;
    fixture.put(1).await;
    fixture.cluster.make_work_connections_unresponsive("a");
    sleep(Duration::from_secs(3)).await;

    let began = Instant::now();
    fixture.put(2).await;

    assert!(began.elapsed() < Duration::from_millis(100));
}

/// Guards against low-urgency reads that use every connection while an urgent read waits.
#[tokio::test(start_paused = true)]
async fn urgent_reads_get_a_connection_under_low_urgency_load() {
    let fixture = fixture().await;
    fixture.control_plane.set_share_divisor(5);
    sleep(Duration::from_millis(300)).await;
    for server in SERVERS {
        fixture
            .cluster
            .change(server, |node| node.run_time = Duration::from_millis(100));
    }
    let low_urgency = (0..10).map(|_| fixture.statement(SECOND, Body::Get));
    let urgent = async {
        sleep(Duration::from_millis(5)).await;
        let began = Instant::now();
        fixture.get(Class::Current, Position::default()).await;
        began.elapsed()
    };

    let (_, took) = futures::future::join(futures::future::join_all(low_urgency), urgent).await;

    assert!(took < Duration::from_millis(140), "{took:?}");
}

/// Guards against a failed begin that stays counted as a pinned connection.
#[tokio::test(start_paused = true)]
async fn a_begin_that_already_ran_pins_no_connection() {
    let fixture = fixture().await;
    let write = fixture.request(Class::Write, Body::Put(1));
    let mut begin = fixture.request(Class::Write, Body::Nothing);
    begin.id = write.id.clone();
    begin.part = Part::Begin;
    answer(fixture.engine.submit(write).await);

    let outcome = fixture.engine.submit(begin).await;

    assert!(matches!(outcome, Outcome::AlreadyRan(_)), "{outcome:?}");
    let state = fixture.engine.dump();
    assert!(
        state.services[0]
            .servers
            .iter()
            .all(|server| server.pinned == 0)
    );
}

/// Guards against reads that are still sent to a leaving replica.
#[tokio::test(start_paused = true)]
async fn a_leaving_replica_gets_no_new_reads() {
    let fixture = fixture().await;
    fixture.put(1).await;
    fixture
        .control_plane
        .change_service(|service| service.servers[1].leaving = true);
    sleep(Duration::from_millis(100)).await;
    let before = fixture.cluster.lock().nodes["b"].statements;

    for _ in 0..10 {
        fixture.get(SECOND, Position::default()).await;
    }

    assert_eq!(fixture.cluster.lock().nodes["b"].statements, before);
}

/// Guards against a leaving primary that keeps its role, and writes that are lost at the
/// promotion of another server.
#[tokio::test(start_paused = true)]
async fn a_leaving_primary_is_replaced() {
    let fixture = fixture().await;
    fixture.put(1).await;

    fixture
        .control_plane
        .change_service(|service| service.servers[0].leaving = true);
    sleep(Duration::from_millis(100)).await;
    let began = Instant::now();
    fixture.put(2).await;

    assert!(began.elapsed() < Duration::from_secs(2));
    assert_ne!(fixture.cluster.primary().as_str(), "a");
    assert_eq!(fixture.cluster.values(), [1, 2]);
}

/// Guards against a drain that aborts a request or leaves connections open.
#[tokio::test(start_paused = true)]
async fn a_drain_finishes_running_work() {
    let fixture = fixture().await;
    fixture
        .cluster
        .change("a", |node| node.run_time = Duration::from_millis(100));
    let write = fixture.statement(Class::Write, Body::Put(1));
    let drain = async {
        sleep(Duration::from_millis(10)).await;
        let deadline = Instant::now() + Duration::from_secs(2);
        fixture.engine.drain(deadline).await
    };

    let (written, drained) = futures::future::join(write, drain).await;
    let late = fixture.statement(SECOND, Body::Get).await;

    answer(written);
    assert!(drained);
    assert!(matches!(late, Outcome::Refused(refusal) if refusal.reason == Reason::Leaving));
    assert_eq!(connections(&fixture), [0, 0, 0]);
}

/// Guards against a drain that aborts an open transaction.
#[tokio::test(start_paused = true)]
async fn a_drain_waits_for_open_transactions() {
    let fixture = fixture().await;
    answer(fixture.part(Part::Begin, Body::Nothing).await);
    answer(fixture.part(Part::Statement, Body::Put(1)).await);
    let end = async {
        sleep(Duration::from_millis(300)).await;
        fixture.part(Part::End, Body::Nothing).await
    };
    let deadline = Instant::now() + Duration::from_secs(2);

    let (ended, drained) = futures::future::join(end, fixture.engine.drain(deadline)).await;

    answer(ended);
    assert!(drained);
    assert_eq!(fixture.cluster.values(), [1]);
}

/// Guards against a response to a read that requires a position that no server has reached.
#[tokio::test(start_paused = true)]
async fn a_future_position_is_refused() {
    let fixture = fixture().await;
    let position = fixture.put(1).await;
    let mut request = fixture.request(SECOND, Body::Get);
    request.required = Position {
        index: position.index + 100,
        ..position
    };

    let outcome = fixture.engine.submit(request).await;

    assert!(matches!(outcome, Outcome::Refused(refusal) if refusal.reason == Reason::Position));
}

/// Guards against hosts that together exceed the connection limit of a server.
#[tokio::test(start_paused = true)]
async fn four_hosts_share_the_limit() {
    let first = fixture().await;
    let mut hosts = Vec::new();
    for rank in 1..4 {
        hosts.push(fixture_on(first.cluster.clone(), rank).await);
    }
    sleep(Duration::from_secs(1)).await;

    first.cluster.kill("a");
    first.put(1).await;
    sleep(Duration::from_secs(1)).await;

    let peak = peak_connections(&first);
    assert!(peak.iter().all(|peak| *peak <= 16), "{peak:?}");
}
