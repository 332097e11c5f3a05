//! Sessions of standard clients over an in-memory engine.

use crate::fixture::{
    code, connect,
    raw::{Raw, bind, execute, message, parse, query, sync, tags, text},
    rows, settings, start, withdrawn,
};
use fulmargw_frontend::settings::Settings;
use fulmargw_model::{
    outcome::{Outcome, Reason, Refusal, Step},
    position::{Position, Term},
    request::{Class, Part},
};
use std::{sync::Arc, time::Duration};
use tokio::time;

fn refused<A>(reason: Reason) -> Outcome<A> {
    Outcome::Refused(Refusal {
        reason,
        retry_after: Duration::from_millis(20),
    })
}

/// Waits until a client notices the end of its connection.
async fn closed(client: &tokio_postgres::Client) {
    let ended = async {
        while !client.is_closed() {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    let ended = time::timeout(Duration::from_secs(1), ended).await;
    assert!(ended.is_ok(), "the connection stayed open");
}

/// Guards the simple and extended protocols, with parameters and reused statements.
#[tokio::test]
async fn queries_are_relayed() {
    let front = start(settings()).await;
    let client = front.connect("write").await;

    let simple = rows(&client, "SELECT 1").await.unwrap();
    let statement = client.prepare("SELECT $1").await.unwrap();
    let mut values = Vec::new();
    for value in ["x", "y"] {
        let row = client.query_one(&statement, &[&value]).await.unwrap();
        values.push(row.get::<_, String>(0));
    }

    assert_eq!(simple, ["SELECT 1"]);
    assert_eq!(values, ["SELECT $1 x", "SELECT $1 y"]);
    assert_eq!(front.engine.seen()[0].class, Class::Write);
}

/// Guards `whole-answer`: sessions that share a connection must not get each other's
/// prepared statements, whether they have one of that name or not.
#[tokio::test]
async fn statement_names_belong_to_a_session() {
    let front = start(settings()).await;
    let mut first = Raw::connect(front.address).await;
    let mut second = Raw::connect(front.address).await;
    let mut third = Raw::connect(front.address).await;

    let parsed_first = first.exchange(&[parse("s", "SELECT first"), sync()]).await;
    let parsed_second = second
        .exchange(&[parse("s", "SELECT second"), sync()])
        .await;
    let run = [bind("s"), execute(), sync()];
    let ran_first = first.exchange(&run).await;
    let ran_second = second.exchange(&run).await;
    let ran_third = third.exchange(&run).await;
    let unnamed = third.exchange(&[bind(""), execute(), sync()]).await;

    assert_eq!(tags(&parsed_first), "1Z");
    assert_eq!(tags(&parsed_second), "1Z");
    assert!(text(&ran_first, b'D').ends_with("SELECT first"));
    assert!(text(&ran_second, b'D').ends_with("SELECT second"));
    assert!(text(&ran_third, b'E').contains("26000"));
    assert!(text(&unnamed, b'E').contains("26000"));
}

/// Guards against statements that stay, or go, although the server did otherwise.
#[tokio::test]
async fn statements_follow_the_answers_of_the_server() {
    let front = start(settings()).await;
    let mut raw = Raw::connect(front.address).await;

    raw.exchange(&[parse("good", "SELECT"), parse("bad", "WRONG"), sync()])
        .await;
    let good = raw.exchange(&[bind("good"), execute(), sync()]).await;
    let bad = raw.exchange(&[bind("bad"), execute(), sync()]).await;
    let again = raw.exchange(&[parse("good", "SELECT"), sync()]).await;
    raw.exchange(&[message(b'C', b"Sgood\0"), sync()]).await;
    let gone = raw.exchange(&[bind("good"), execute(), sync()]).await;

    assert_eq!(tags(&good), "2DCZ");
    assert!(text(&bad, b'E').contains("26000"));
    assert!(text(&again, b'E').contains("42P05"));
    assert!(text(&gone, b'E').contains("26000"));
}

/// Guards against a session that keeps any number of statements.
#[tokio::test]
async fn prepared_statements_are_bounded() {
    let settings = Settings {
        prepared_statements: 2,
        ..settings()
    };
    let front = start(settings).await;
    let mut raw = Raw::connect(front.address).await;

    raw.exchange(&[parse("a", "SELECT"), parse("b", "SELECT"), sync()])
        .await;
    let third = raw.exchange(&[parse("c", "SELECT"), sync()]).await;

    assert!(text(&third, b'E').contains("54000"));
}

/// Guards `own-account`: only the right key opens a keyed route.
#[tokio::test]
async fn callers_are_authorised() {
    let front = start(settings()).await;
    let mut wrong = front.client("write");
    wrong.password("wrong");

    let wrong = connect(&wrong).await;
    let unknown = connect(&front.client("nowhere")).await;
    let open = connect(front.client("open").password("")).await;

    assert_eq!(code(wrong), "28P01");
    assert_eq!(code(unknown), "3D000");
    assert!(open.is_ok());
}

/// Guards `withdrawn-key` on a connection that sends nothing.
#[tokio::test]
async fn withdrawn_key_ends_an_idle_connection() {
    let front = start(settings()).await;
    let client = front.connect("write").await;
    let open = front.connect("open").await;

    front
        .engine
        .configuration
        .send_replace(Arc::new(withdrawn()));
    closed(&client).await;

    assert!(rows(&open, "SELECT 1").await.is_ok());
}

/// Guards `withdrawn-key` on a connection whose request takes long, and `not-run` for it.
#[tokio::test]
async fn withdrawn_key_ends_a_busy_connection() {
    let front = start(settings()).await;
    let client = front.connect("write").await;
    front.engine.held.send_replace(true);
    let running = tokio::spawn(async move { client.simple_query("SELECT 1").await });
    front.engine.arrived(1).await;

    front
        .engine
        .configuration
        .send_replace(Arc::new(withdrawn()));
    let result = time::timeout(Duration::from_secs(1), running).await;

    let error = result.unwrap().unwrap().unwrap_err();
    let error = error.as_db_error().unwrap();
    assert_eq!(error.code().code(), "28P01");
    assert!(!error.detail().unwrap().contains("not run"));
}

/// Guards the SQLSTATE codes that callers decide by, `not-run`, and `read-your-writes` after
/// a write that ran before.
#[tokio::test]
async fn outcomes_have_their_codes() {
    let front = start(settings()).await;
    let client = front.connect("write").await;
    let refusals = [
        (Reason::Rate, "53400"),
        (Reason::QueueFull, "53300"),
        (Reason::Deadline, "53300"),
        (Reason::NoPrimary, "57P03"),
        (Reason::Lease, "57P03"),
        (Reason::Unsupported, "0A000"),
    ];
    for (reason, expected) in refusals {
        front.engine.push(refused(reason));

        let error = client.simple_query("SELECT 1").await.unwrap_err();

        let error = error.as_db_error().unwrap();
        assert_eq!(error.code().code(), expected);
        assert_eq!(error.detail(), Some("not run; retry after 20 ms"));
    }

    front.engine.push(Outcome::Unknown(Step::Commit));
    front.engine.push(Outcome::AlreadyRan(Position {
        term: Term(4),
        index: 44,
    }));
    let unknown = client.simple_query("SELECT 1").await.unwrap_err();
    let repeated = client.simple_query("SELECT 1").await;
    let shown = rows(&client, "SHOW fulmar.position").await.unwrap();

    let unknown = unknown.as_db_error().unwrap();
    assert_eq!(unknown.code().code(), "08007");
    assert_eq!(unknown.detail(), None);
    assert_eq!(code(repeated), "FG001");
    assert_eq!(shown, ["ledger/4/44"]);
}

/// Guards against a refusal that operators cannot find in the state dump.
#[tokio::test]
async fn refusal_names_the_request() {
    let front = start(settings()).await;
    let client = front.connect("write").await;
    let set = "SET fulmar.request_id = 'order-17'";
    client.simple_query(set).await.unwrap();
    front.engine.push(refused(Reason::Rate));

    let error = client.simple_query("INSERT").await.unwrap_err();

    let hint = error.as_db_error().unwrap().hint();
    assert_eq!(hint, Some("request order-17, service ledger"));
}

/// Guards against a commit without a statement that was refused in its transaction.
#[tokio::test]
async fn refusal_fails_the_open_transaction() {
    let front = start(settings()).await;
    let mut raw = Raw::connect(front.address).await;
    raw.exchange(&[query("BEGIN")]).await;
    front.engine.push(refused(Reason::NoPrimary));

    let refused = raw.exchange(&[query("SELECT 1")]).await;
    let ignored = raw.exchange(&[query("SELECT 2")]).await;
    let ended = raw.exchange(&[query("COMMIT")]).await;
    let next = raw.exchange(&[query("SELECT 3")]).await;

    assert!(text(&refused, b'E').contains("57P03"));
    assert_eq!(text(&refused, b'Z'), "E");
    assert!(text(&ignored, b'E').contains("25P02"));
    assert_eq!(text(&ended, b'C'), "ROLLBACK\0");
    assert_eq!(text(&ended, b'Z'), "I");
    assert_eq!(text(&next, b'Z'), "I");
    let parts: Vec<Part> = front.engine.seen().iter().map(|seen| seen.part).collect();
    assert_eq!(parts, [Part::Begin, Part::Statement, Part::Statement]);
    assert_eq!(front.engine.state.lock().unwrap().closed, [1]);
}

/// Guards transactions of standard clients: parts, states and statements in between.
#[tokio::test]
async fn transactions_have_their_parts() {
    let front = start(settings()).await;
    let mut client = front.connect("write").await;

    let transaction = client.transaction().await.unwrap();
    transaction.execute("INSERT", &[]).await.unwrap();
    transaction.commit().await.unwrap();
    client.simple_query("ROLLBACK").await.unwrap();

    let parts: Vec<Part> = front.engine.seen().iter().map(|seen| seen.part).collect();
    assert_eq!(parts.first(), Some(&Part::Begin));
    assert_eq!(parts.last(), Some(&Part::End));
    let middle = &parts[1..parts.len() - 1];
    assert!(middle.iter().all(|part| *part == Part::Statement));
}

/// Guards the recognition of transaction control in extended batches.
#[tokio::test]
async fn extended_transaction_control_is_recognised() {
    let front = start(settings()).await;
    let mut raw = Raw::connect(front.address).await;
    let run = |text: &str| [parse("", text), bind(""), execute()].concat();

    let mixed = [run("SELECT 1"), run("BEGIN"), sync()];
    let mixed = raw.exchange(&mixed).await;
    let hidden = [parse("", "COMMIT"), bind(""), sync()];
    let outside = raw.exchange(&[run("COMMIT"), sync()]).await;
    let begun = raw.exchange(&[run("BEGIN"), run("SELECT 1"), sync()]).await;
    let hidden = raw.exchange(&hidden).await;
    let ended = raw.exchange(&[run("ROLLBACK"), sync()]).await;

    assert!(text(&mixed, b'E').contains("0A000"));
    assert_eq!(tags(&outside), "12NCZ");
    assert_eq!(text(&begun, b'Z'), "T");
    assert!(text(&hidden, b'E').contains("0A000"));
    assert_eq!(text(&hidden, b'Z'), "E");
    assert_eq!(text(&ended, b'C'), "ROLLBACK\0");
    assert_eq!(front.engine.seen()[0].part, Part::Begin);
}

/// Guards the refusal of what cannot work over shared connections.
#[tokio::test]
async fn unsupported_requests_are_refused() {
    let front = start(settings()).await;
    let client = front.connect("write").await;
    let mut raw = Raw::connect(front.address).await;

    let several = client.simple_query("INSERT; COMMIT; INSERT").await;
    let copy = client.simple_query("/* c */ copy t from stdin").await;
    let flush = raw
        .exchange(&[parse("", "SELECT"), message(b'H', b""), sync()])
        .await;
    let call = raw
        .exchange(&[message(b'F', b"\0\0\0\0\0\0\0\0\0\0")])
        .await;

    assert_eq!(code(several), "0A000");
    assert_eq!(code(copy), "0A000");
    assert!(text(&flush, b'E').contains("0A000"));
    assert!(text(&call, b'E').contains("0A000"));
    assert!(front.engine.seen().is_empty());
}

/// Guards `read-your-writes` over hosts: the position is reported, shown and presented.
#[tokio::test]
async fn position_is_carried_by_the_caller() {
    let front = start(settings()).await;
    let first = front.connect("write").await;
    first.simple_query("INSERT").await.unwrap();
    let shown = rows(&first, "SHOW fulmar.position").await.unwrap();
    let mut config = front.client("aged");
    config.options("-c fulmar.position=ledger/1/5,other/2/7");
    let second = connect(&config).await.unwrap();

    second.simple_query("SELECT 1").await.unwrap();
    second
        .simple_query("SET fulmar.position = 'ledger/1/9'")
        .await
        .unwrap();
    second.simple_query("SELECT 2").await.unwrap();
    let malformed = second.simple_query("SET fulmar.position TO 'x'").await;
    let shown_extended = second.query_one("SHOW fulmar.position", &[]).await.unwrap();

    assert_eq!(shown, ["ledger/1/1"]);
    let required: Vec<u64> = front
        .engine
        .seen()
        .iter()
        .map(|seen| seen.required.index)
        .collect();
    assert_eq!(required, [0, 5, 9]);
    assert_eq!(code(malformed), "22023");
    assert_eq!(shown_extended.get::<_, String>(0), "ledger/1/9,other/2/7");
}

/// Guards against a position that the client learns after it was told to go on.
#[tokio::test]
async fn changed_position_is_reported_before_ready() {
    let front = start(settings()).await;
    let mut raw = Raw::connect(front.address).await;

    let set = raw
        .exchange(&[query("SET fulmar.position = 'ledger/3/17'")])
        .await;
    let same = raw.exchange(&[query("SHOW fulmar.position")]).await;

    assert_eq!(tags(&set), "CSZ");
    assert_eq!(text(&set, b'S'), "fulmar.position\0ledger/3/17\0");
    assert_eq!(tags(&same), "TDCZ");
}

/// Guards `at-most-once`: an identifier marks one write, and preparing does not use it up.
#[tokio::test]
async fn request_id_serves_the_next_write() {
    let front = start(settings()).await;
    let client = front.connect("write").await;
    client
        .simple_query("SET fulmar.request_id = 'id-1'")
        .await
        .unwrap();

    client.query("INSERT", &[]).await.unwrap();
    client.simple_query("INSERT").await.unwrap();

    let writes = front.engine.seen();
    let writes: Vec<_> = writes
        .iter()
        .filter(|seen| seen.class == Class::Write)
        .collect();
    assert_eq!(&*writes[0].id.0, "id-1");
    assert_ne!(&*writes[1].id.0, "id-1");
}

/// Guards against a caller that raises the age its route states.
#[tokio::test]
async fn maximum_age_only_lowers_the_age() {
    let front = start(settings()).await;
    let client = front.connect("aged").await;

    for age in ["200", "9000", "DEFAULT"] {
        let set = format!("SET fulmar.max_age_ms = {age}");
        client.simple_query(&set).await.unwrap();
        client.simple_query("SELECT 1").await.unwrap();
    }

    let classes: Vec<Class> = front.engine.seen().iter().map(|seen| seen.class).collect();
    let expected = [200, 1000, 1000].map(|age| Class::Aged(Duration::from_millis(age)));
    assert_eq!(classes, expected);
}

/// Guards `graceful-stop`: a running request and an open transaction end before the close.
#[tokio::test]
async fn shutdown_interrupts_no_request() {
    let front = start(settings()).await;
    let idle = front.connect("write").await;
    let mut open = Raw::connect(front.address).await;
    open.exchange(&[query("BEGIN")]).await;
    let busy = front.connect("write").await;
    front.engine.held.send_replace(true);
    let running = tokio::spawn(async move { rows(&busy, "SELECT busy").await });
    front.engine.arrived(2).await;

    front.shutdown.cancel();
    closed(&idle).await;
    front.engine.held.send_replace(false);
    let inside = open.exchange(&[query("SELECT 1")]).await;
    let commit = open.exchange(&[query("COMMIT")]).await;
    let end = open.exchange(&[]).await;
    let refused = connect(&front.client("write")).await;

    assert_eq!(running.await.unwrap().unwrap(), ["SELECT busy"]);
    assert_eq!(text(&inside, b'Z'), "T");
    assert_eq!(text(&commit, b'C'), "COMMIT\0");
    assert!(text(&end, b'E').contains("57P01"));
    assert!(refused.is_err());
    assert!(front.task.await.unwrap().is_ok());
}

/// Guards against a shutdown that waits for ever for a transaction, or that counts the time
/// before it.
#[tokio::test]
async fn shutdown_bounds_an_open_transaction() {
    let settings = Settings {
        drain: Duration::from_millis(100),
        ..settings()
    };
    let front = start(settings).await;
    let mut raw = Raw::connect(front.address).await;
    raw.exchange(&[query("BEGIN")]).await;
    time::sleep(Duration::from_millis(150)).await;

    front.shutdown.cancel();
    let inside = raw.exchange(&[query("SELECT 1")]).await;
    let end = raw.exchange(&[]).await;

    assert_eq!(text(&inside, b'Z'), "T");
    assert!(text(&end, b'E').contains("57P01"));
    assert_eq!(front.engine.state.lock().unwrap().closed, [1]);
}

/// Guards against one address that takes every connection, and against idle connections.
#[tokio::test]
async fn connections_are_bounded() {
    let settings = Settings {
        connections_per_address: 1,
        idle_timeout: Duration::from_millis(100),
        ..settings()
    };
    let front = start(settings).await;
    let first = front.connect("write").await;

    let second = connect(&front.client("write")).await;
    closed(&first).await;
    time::sleep(Duration::from_millis(50)).await;
    let third = connect(&front.client("write")).await;

    assert!(second.is_err());
    assert!(third.is_ok());
}
