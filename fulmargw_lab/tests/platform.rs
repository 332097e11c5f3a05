//! The platform stand-in.

use bytes::Bytes;
use fulmargw_lab::{
    address,
    platform::{
        fault::{Fault, Injector},
        process,
        state::State,
    },
};
use fulmargw_model::name::Name;
use fulmargw_platform::message::{Commit, Condition, Hosts, Read, Rows, Transaction, Write};
use std::time::Duration;
use tokio::time::Instant;

fn transaction(revision: u64, value: &'static str) -> Transaction {
    let key = "k".to_owned();
    Transaction {
        conditions: vec![Condition {
            key: key.clone(),
            revision,
        }],
        writes: vec![Write {
            key,
            value: Bytes::from_static(value.as_bytes()),
        }],
    }
}

fn hosts(name: &str) -> Hosts {
    Hosts {
        live: vec![Name::new(name)],
        leaving: Vec::new(),
    }
}

/// Guards against a commit although a row no longer has the expected revision.
#[test]
fn commit_checks_its_conditions() {
    let mut state = State::default();

    let first = state.commit(transaction(0, "a"));
    let outdated = state.commit(transaction(0, "b"));
    let second = state.commit(transaction(1, "c"));

    let read = Read {
        keys: vec!["k".to_owned()],
    };
    let rows = state.read(&read).rows;
    assert_eq!(
        (first, outdated, second),
        (Commit::Done, Commit::Conflict, Commit::Done)
    );
    assert_eq!(rows[0].as_ref().map(|row| row.revision), Some(2));
}

/// Guards against a host list that does not lag behind as the fault demands.
#[tokio::test(start_paused = true)]
async fn host_list_lags() {
    let mut state = State::default();
    state.set_hosts(hosts("a"), Instant::now());
    tokio::time::advance(Duration::from_secs(5)).await;
    state.set_hosts(hosts("b"), Instant::now());

    let lagging = state.hosts(Instant::now(), Duration::from_secs(2));
    let current = state.hosts(Instant::now(), Duration::ZERO);

    assert_eq!((lagging, current), (hosts("a"), hosts("b")));
}

/// Guards against an outage that lets calls through, and a write that has no effect because its
/// response is lost.
#[tokio::test]
async fn outage_refuses_calls_and_writes_with_lost_responses_take_effect() {
    let listen = address::free(1).expect("free port");
    let admin = address::free(1).expect("free port");
    let platform = process::start(listen, admin).await.expect("start");
    let client = reqwest::Client::new();
    let body = rmp_serde::to_vec(&transaction(0, "a")).expect("encode");
    let commit = || {
        client
            .post(format!("http://{listen}/table/commit"))
            .body(body.clone())
    };
    let fault = |down: bool, lose: f64| Fault {
        down,
        lose,
        ..Fault::default()
    };

    *platform.injector.lock() = Injector::new(fault(true, 0.0));
    let down = commit().send().await.expect("response").status();
    *platform.injector.lock() = Injector::new(fault(false, 1.0));
    let lost = commit().timeout(Duration::from_millis(200)).send().await;
    let read = Read {
        keys: vec!["k".to_owned()],
    };
    let read = rmp_serde::to_vec(&read).expect("encode");
    let request = client
        .post(format!("http://{listen}/table/read"))
        .body(read);
    let bytes = request
        .send()
        .await
        .expect("response")
        .bytes()
        .await
        .expect("body");

    assert_eq!(down.as_u16(), 503);
    assert!(lost.is_err());
    let rows: Rows = rmp_serde::from_slice(&bytes).expect("decode");
    assert_eq!(rows.rows[0].as_ref().map(|row| row.revision), Some(1));
}
