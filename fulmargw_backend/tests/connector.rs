//! Connections to a scripted backend server.

mod fixture;

use fixture::{
    MAX_RESPONSE_BYTES, Script, Step, connector,
    message::{complete, error, message, mutate, ready, row},
    query, server, tags,
};
use fulmargw_backend::{
    batch::{Answer, Batch},
    connection::{
        Connection as _, Connector as _, Error, Kind, Level, Reply, Task, TransactionState,
    },
    postgres::Connection,
};
use fulmargw_model::{
    backend_server::Role,
    position::{Position, Term},
    request::Id,
};
use std::time::Duration;
use tokio::time;

const WRITE_PIPELINE: &[&str] = &[
    "Q BEGIN",
    "Q SELECT * FROM group_record('id-1', 2)",
    "Q INSERT",
    "Q COMMIT",
    "Q SELECT * FROM group_position()",
];

fn id() -> Id {
    Id::parse("id-1").unwrap()
}

fn position(term: u64, index: u64) -> Position {
    Position {
        term: Term(term),
        index,
    }
}

async fn write(connection: &mut Connection) -> Result<Reply<Answer>, Error> {
    let (id, body) = (id(), query("INSERT"));
    let task = Task::Write {
        id: &id,
        attempt: 2,
        body: &body,
    };
    connection.run(task).await
}

async fn read(connection: &mut Connection, text: &str) -> Result<Reply<Answer>, Error> {
    let body = query(text);
    let task = Task::Read {
        min_position: None,
        with_status: false,
        body: &body,
    };
    connection.run(task).await
}

/// Returns the responses to a write: `body` with transaction status `status`, and those to the
/// statements around it. `tag` is the command tag in response to `COMMIT`.
fn wrapped_responses(body: Vec<u8>, status: u8, tag: &str) -> Vec<Vec<u8>> {
    let begin = [complete("BEGIN"), ready(b'T')].concat();
    let record = [row(&["t"]), complete("SELECT 1"), ready(b'T')].concat();
    let body = [body, ready(status)].concat();
    let commit = [complete(tag), ready(b'I')].concat();
    let position = [row(&["3", "17"]), complete("SELECT 1"), ready(b'I')].concat();
    vec![begin, record, body, commit, position]
}

/// Guards against round trips between the statements of a write, and against responses to the
/// added statements that reach the caller.
#[tokio::test]
async fn write_is_one_pipeline() {
    let body = [row(&["x"]), complete("INSERT 0 1")].concat();
    let steps = vec![
        Step::Expect(WRITE_PIPELINE),
        Step::Send(wrapped_responses(body, b'T', "COMMIT")),
    ];
    let script = Script::ready(steps).await;
    let mut connection = script.connect(3).await;

    let reply = write(&mut connection).await.unwrap();

    assert_eq!(reply.committed, Some(position(3, 17)));
    assert_eq!(reply.transaction, TransactionState::Idle);
    assert_eq!(tags(&reply.answer.messages), "DC");
    let startup = String::from_utf8_lossy(&script.end().await).into_owned();
    assert!(startup.contains("options\0-c group.term=3\0"), "{startup}");
}

/// Guards against a rolled-back write that counts as committed.
#[tokio::test]
async fn failed_write_is_reported_as_not_committed() {
    let steps = vec![
        Step::Expect(WRITE_PIPELINE),
        Step::Send(wrapped_responses(error("23505", ""), b'E', "ROLLBACK")),
    ];
    let script = Script::ready(steps).await;
    let mut connection = script.connect(3).await;

    let reply = write(&mut connection).await.unwrap();

    assert_eq!(reply.committed, None);
    assert_eq!(reply.transaction, TransactionState::Idle);
    assert_eq!(tags(&reply.answer.messages), "E");
}

/// Guards against success reported to the caller of a write whose commit failed.
#[tokio::test]
async fn failed_commit_replaces_the_response() {
    let mut responses = wrapped_responses(complete("INSERT 0 1"), b'T', "COMMIT");
    responses[3] = [error("40001", ""), ready(b'I')].concat();
    let script = Script::ready(vec![Step::Expect(WRITE_PIPELINE), Step::Send(responses)]).await;
    let mut connection = script.connect(3).await;

    let reply = write(&mut connection).await.unwrap();

    assert_eq!(reply.committed, None);
    assert_eq!(tags(&reply.answer.messages), "E");
}

/// Guards against a repeated or cancelled write, or one of an old term, that runs again: a refused
/// record must fail the write with an error of its own kind. The connection must stay usable.
#[tokio::test]
async fn refused_record_fails_the_write_and_keeps_the_connection() {
    let cases = [
        ("GR004", "3/12", Kind::Duplicate(position(3, 12))),
        ("GR005", "7", Kind::Cancelled(7)),
        ("GR001", "", Kind::WrongTerm),
    ];
    for (code, detail, expected) in cases {
        let mut responses = wrapped_responses(error("25P02", ""), b'E', "ROLLBACK");
        responses[1] = [error(code, detail), ready(b'E')].concat();
        let steps = vec![
            Step::Expect(WRITE_PIPELINE),
            Step::Send(responses),
            Step::Expect(&["Q SELECT"]),
            Step::Send(vec![complete("SELECT 0"), ready(b'I')]),
        ];
        let script = Script::ready(steps).await;
        let mut connection = script.connect(3).await;

        let error = write(&mut connection).await.unwrap_err();
        let next = read(&mut connection, "SELECT").await;

        assert_eq!(error.kind, expected);
        assert!(error.is_not_run());
        assert!(next.is_ok());
    }
}

/// Guards against an error that claims that the body was not run. After a failed `BEGIN` it may
/// have run in a transaction of its own.
#[tokio::test]
async fn failed_begin_is_not_reported_as_not_run() {
    let mut responses = wrapped_responses(complete("INSERT 0 1"), b'I', "COMMIT");
    responses[0] = [error("53200", ""), ready(b'I')].concat();
    let script = Script::ready(vec![Step::Expect(WRITE_PIPELINE), Step::Send(responses)]).await;
    let mut connection = script.connect(3).await;

    let error = write(&mut connection).await.unwrap_err();

    assert!(!error.is_not_run());
}

/// Guards against the error of a server that is no longer the primary of the connection's term
/// being relayed to the caller as a response.
#[tokio::test]
async fn wrong_term_in_a_transaction_is_an_error() {
    let responses = vec![error("GR001", ""), ready(b'I')];
    let script = Script::ready(vec![Step::Expect(&["Q INSERT"]), Step::Send(responses)]).await;
    let mut connection = script.connect(3).await;
    let body = query("INSERT");

    let result = connection.run(Task::InTransaction { body: &body }).await;

    assert_eq!(result.unwrap_err().kind, Kind::WrongTerm);
}

/// Guards against reads that miss the session's own writes: the response of a server that has not
/// applied the minimum position must be discarded.
#[tokio::test]
async fn read_on_a_lagging_server_is_an_error() {
    let wait = "Q SELECT * FROM group_wait('applied', 3, 17, 250)";
    let cases = [
        ("GR003", "", Kind::Lagging),
        ("GR002", "promised 5", Kind::Promised(Term(5))),
    ];
    for (code, detail, expected) in cases {
        let stale = vec![
            [error(code, detail), ready(b'I')].concat(),
            [row(&["stale"]), complete("SELECT 1"), ready(b'I')].concat(),
        ];
        let fresh = vec![row(&["fresh"]), complete("SELECT 1"), ready(b'I')];
        let steps = vec![
            Step::Expect(vec![wait, "Q SELECT"].leak()),
            Step::Send(stale),
            Step::Expect(&["Q SELECT 2"]),
            Step::Send(fresh),
        ];
        let script = Script::ready(steps).await;
        let mut connection = script.connect(0).await;
        let body = query("SELECT");
        let task = Task::Read {
            min_position: Some((position(3, 17), Duration::from_millis(250))),
            with_status: false,
            body: &body,
        };

        let error = connection.run(task).await.unwrap_err();
        let next = read(&mut connection, "SELECT 2").await.unwrap();

        assert_eq!(error.kind, expected);
        assert_eq!(&next.answer.messages[11..16], b"fresh");
    }
}

/// Guards against a late response to a dropped call that is read as the response to the next one.
#[tokio::test]
async fn connection_with_a_dropped_call_is_unusable() {
    let steps = vec![
        Step::Expect(&["Q SELECT 1"]),
        Step::Pause(Duration::from_millis(50)),
        Step::Send(vec![row(&["late"]), complete("SELECT 1"), ready(b'I')]),
    ];
    let script = Script::ready(steps).await;
    let mut connection = script.connect(0).await;

    let dropped = time::timeout(Duration::from_millis(10), read(&mut connection, "SELECT 1"));
    assert!(dropped.await.is_err());
    time::sleep(Duration::from_millis(100)).await;
    let next = read(&mut connection, "SELECT 2").await;

    assert!(matches!(next.unwrap_err().kind, Kind::Closed(_)));
}

/// Guards against completions of replayed statements in the response to the caller.
#[tokio::test]
async fn completions_of_replayed_statements_are_left_out() {
    let sent = [message(b'C', b"Ss\0"), message(b'P', b"s\0SELECT\0\0\0")];
    let body = [message(b'B', b"\0s\0\0\0\0\0\0\0"), message(b'S', b"")];
    let responses = ["3", "1", "2"].map(|tag| message(tag.as_bytes()[0], b""));
    let steps = vec![
        Step::Expect(&["C Ss", "P s", "B ", "S "]),
        Step::Send(vec![responses.concat(), complete("SELECT 0"), ready(b'I')]),
    ];
    let script = Script::ready(steps).await;
    let mut connection = script.connect(0).await;
    let body = Batch {
        messages: [sent.concat(), body.concat()].concat().into(),
        replayed: 2,
    };
    let task = Task::Read {
        min_position: None,
        with_status: false,
        body: &body,
    };

    let reply = connection.run(task).await.unwrap();

    assert_eq!(tags(&reply.answer.messages), "2C");
}

/// Guards against explicit transactions that can run twice, and against commits without a log
/// position: the record follows the caller's `BEGIN`, the position query its `COMMIT`.
#[tokio::test]
async fn explicit_transaction_has_a_record_and_a_position() {
    let steps = vec![
        Step::Expect(&["Q BEGIN"]),
        Step::Send(vec![complete("BEGIN"), ready(b'T')]),
        Step::Expect(&["Q SELECT * FROM group_record('id-1', 1)"]),
        Step::Send(vec![complete("SELECT 1"), ready(b'T')]),
        Step::Expect(&["Q COMMIT", "Q SELECT * FROM group_position()"]),
        Step::Send(vec![complete("COMMIT"), ready(b'I')]),
        Step::Send(vec![row(&["3", "18"]), complete("SELECT 1"), ready(b'I')]),
    ];
    let script = Script::ready(steps).await;
    let mut connection = script.connect(3).await;
    let (id, first, last) = (id(), query("BEGIN"), query("COMMIT"));
    let task = Task::Begin {
        record: Some((&id, 1)),
        body: &first,
    };

    let begun = connection.run(task).await.unwrap();
    let ended = connection.run(Task::End { body: &last }).await.unwrap();

    assert_eq!(begun.transaction, TransactionState::Open);
    assert_eq!(tags(&begun.answer.messages), "C");
    assert_eq!(ended.transaction, TransactionState::Idle);
    assert_eq!(ended.committed, Some(position(3, 18)));
}

/// Guards against an open transaction that the next caller inherits: after an error that leaves the
/// connection usable, the transaction must be rolled back.
#[tokio::test]
async fn refused_record_in_a_transaction_rolls_it_back() {
    let steps = vec![
        Step::Expect(&["Q BEGIN"]),
        Step::Send(vec![complete("BEGIN"), ready(b'T')]),
        Step::Expect(&["Q SELECT * FROM group_record('id-1', 1)"]),
        Step::Send(vec![error("GR005", "1"), ready(b'E')]),
        Step::Expect(&["Q ROLLBACK"]),
        Step::Send(vec![complete("ROLLBACK"), ready(b'I')]),
    ];
    let script = Script::ready(steps).await;
    let mut connection = script.connect(3).await;
    let (id, begin) = (id(), query("BEGIN"));
    let task = Task::Begin {
        record: Some((&id, 1)),
        body: &begin,
    };

    let result = connection.run(task).await;

    assert_eq!(result.unwrap_err().kind, Kind::Cancelled(1));
    drop(connection);
    script.end().await;
}

/// Guards against a read that leaves its open transaction to the next caller.
#[tokio::test]
async fn read_that_opens_a_transaction_is_rolled_back() {
    let steps = vec![
        Step::Expect(&["Q CALL p()"]),
        Step::Send(vec![complete("CALL"), ready(b'T')]),
        Step::Expect(&["Q ROLLBACK"]),
        Step::Send(vec![complete("ROLLBACK"), ready(b'I')]),
    ];
    let script = Script::ready(steps).await;
    let mut connection = script.connect(0).await;

    let reply = read(&mut connection, "CALL p()").await.unwrap();

    assert_eq!(reply.transaction, TransactionState::Idle);
    assert_eq!(reply.answer.transaction, TransactionState::Idle);
    assert_eq!(tags(&reply.answer.messages), "C");
}

/// Guards against unlimited memory for a response, and against a committed write that is reported
/// as failed because its response is too long.
#[tokio::test]
async fn oversized_response_is_discarded_and_the_commit_reported() {
    let line = row(&["x".repeat(1000).as_str()]);
    let body = [
        line.repeat(2 * MAX_RESPONSE_BYTES / 1000),
        complete("SELECT 8"),
    ]
    .concat();
    let steps = vec![
        Step::Expect(WRITE_PIPELINE),
        Step::Send(wrapped_responses(body, b'T', "COMMIT")),
    ];
    let script = Script::ready(steps).await;
    let mut connection = script.connect(3).await;

    let reply = write(&mut connection).await.unwrap();

    assert_eq!(reply.committed, Some(position(3, 17)));
    assert_eq!(tags(&reply.answer.messages), "E");
}

/// Guards against misread columns of the results of group functions.
#[tokio::test]
async fn columns_of_group_functions_are_read_in_order() {
    let columns = ["replica", "3", "4", "3", "17", "2", "16", "120"];
    let status = || vec![row(&columns), complete("SELECT 1"), ready(b'I')];
    let cancellation = vec![row(&["t", "3", "17"]), complete("SELECT 1"), ready(b'I')];
    let steps = vec![
        Step::Expect(&["Q SELECT * FROM group_status()"]),
        Step::Send(status()),
        Step::Expect(&["Q SELECT * FROM group_wait('received', 3, 17, 100)"]),
        Step::Send(status()),
        Step::Expect(&["Q SELECT * FROM group_cancel('id-1', 2)"]),
        Step::Send(cancellation),
    ];
    let script = Script::ready(steps).await;
    let mut connection = script.connect(0).await;

    let status = connection.status().await.unwrap();
    let timeout = Duration::from_millis(100);
    let waited = connection.wait(Level::Received, position(3, 17), timeout);
    let waited = waited.await.unwrap();
    let cancellation = connection.cancel(&id(), 2).await.unwrap();

    assert_eq!(status.role, Role::Replica);
    assert_eq!((status.term, status.promised), (Term(3), Term(4)));
    assert_eq!(
        (status.received, status.applied),
        (position(3, 17), position(2, 16))
    );
    assert_eq!(status.silence, Duration::from_millis(120));
    assert_eq!(status, waited);
    assert!(cancellation.committed);
    assert_eq!(cancellation.position, position(3, 17));
}

/// Guards against a server at its connection limit that is taken for an unresponsive one.
#[tokio::test]
async fn refused_and_unresponsive_connections_are_told_apart() {
    let full = Script::start(vec![error("53300", "")], vec![]).await;
    let unresponsive = Script::start(vec![], vec![Step::Pause(Duration::from_secs(2))]).await;

    let refused = connector().connect(&server(full.address), Term(0)).await;
    let timeout = connector()
        .connect(&server(unresponsive.address), Term(0))
        .await;

    assert_eq!(refused.unwrap_err().kind, Kind::TooManyConnections);
    assert_eq!(timeout.unwrap_err().kind, Kind::Timeout);
}

/// Guards against panics and endless waits on damaged responses.
#[tokio::test]
async fn damaged_responses_end_in_errors_or_replies() {
    let body = [row(&["x"]), error("GR004", "3/12"), complete("SELECT 1")].concat();
    let response = wrapped_responses(body, b'T', "COMMIT").concat();
    for seed in 0..300 {
        let damaged = mutate(&response, seed);
        let steps = vec![Step::Expect(WRITE_PIPELINE), Step::Send(vec![damaged])];
        let script = Script::ready(steps).await;
        let mut connection = script.connect(3).await;

        let written = time::timeout(Duration::from_secs(5), write(&mut connection));

        assert!(written.await.is_ok(), "seed {seed}");
    }
}
