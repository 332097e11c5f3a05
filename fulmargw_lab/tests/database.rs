//! The backend server stand-in over the PostgreSQL protocol.

use fulmargw_lab::{
    address,
    database::{
        fault,
        process::{self, Peer, Server, Settings},
        state::Start,
    },
};
use std::{sync::Arc, time::Duration};
use tokio::time;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage, error::SqlState};

/// Starts a group of three servers, of which `s1` is the primary.
async fn group() -> Vec<Arc<Server>> {
    let names = ["s1", "s2", "s3"];
    let peers: Vec<Peer> = names.iter().map(|name| peer(name)).collect();
    let mut servers = Vec::new();
    for (number, own) in peers.iter().enumerate() {
        let start = if number == 0 {
            Start::Primary
        } else {
            Start::Replica
        };
        let others = peers.iter().filter(|peer| *peer != own).cloned().collect();
        let settings = settings(own, others, start);
        servers.push(process::start(settings).await.expect("start server"));
    }
    servers
}

fn peer(name: &str) -> Peer {
    Peer {
        name: name.to_owned(),
        address: address::free(1).expect("free port"),
    }
}

fn settings(own: &Peer, peers: Vec<Peer>, start: Start) -> Settings {
    Settings {
        name: own.name.clone(),
        listen: address::free(1).expect("free port"),
        replication: own.address,
        admin: address::free(1).expect("free port"),
        peers,
        slots: 2,
        max_connections: 4,
        connect_time: Duration::from_millis(1),
        statement_time: Duration::from_micros(200),
        start,
        strict: false,
    }
}

async fn connect(server: &Server, term: u64) -> Result<Client, tokio_postgres::Error> {
    let address = server.settings.listen;
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user("lab").options(format!("-c group.term={term}"));
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Returns the values of all result rows in one list.
async fn query_values(client: &Client, query: &str) -> Vec<String> {
    let messages = client.simple_query(query).await.expect(query);
    let mut values = Vec::new();
    for message in messages {
        if let SimpleQueryMessage::Row(row) = message {
            let columns = 0..row.len();
            values.extend(columns.filter_map(|column| row.get(column).map(str::to_owned)));
        }
    }
    values
}

/// Returns the SQLSTATE with which a query fails.
async fn error_code(client: &Client, query: &str) -> String {
    let error = client.simple_query(query).await.expect_err(query);
    error
        .code()
        .map_or_else(String::new, |code| code.code().to_owned())
}

/// Guards against responses that a standard client cannot read in the simple or the extended
/// query protocol.
#[tokio::test]
async fn statements_work_in_simple_and_extended_protocol() {
    let servers = group().await;
    let client = connect(&servers[0], 1).await.expect("connect");

    client
        .batch_execute("CREATE TABLE kv (key text); INSERT INTO kv VALUES ('a', 'it''s')")
        .await
        .expect("batch");
    let insert = "INSERT INTO kv (key, value) VALUES ($1, $2)";
    client.execute(insert, &[&"b", &"2"]).await.expect("insert");
    let append = "UPDATE kv SET value = value || 'x,' WHERE key = 'c'";
    query_values(&client, &format!("{append}; {append}")).await;
    let select = "SELECT value FROM kv WHERE key = $1";
    let read = client.query_one(select, &[&"a"]).await.expect("select");

    assert_eq!(read.get::<_, &str>(0), "it's");
    assert_eq!(query_values(&client, "SELECT 1").await, ["1"]);
    let all = query_values(&client, "SELECT key, value FROM kv").await;
    assert_eq!(all, ["a", "it's", "b", "2", "c", "x,x,"]);
}

/// Guards against changes of an open or rolled-back transaction that other connections see.
#[tokio::test]
async fn transactions_are_isolated_and_roll_back() {
    let servers = group().await;
    let writer = connect(&servers[0], 1).await.expect("connect");
    let reader = connect(&servers[0], 0).await.expect("connect");
    let select = "SELECT value FROM kv WHERE key = 'k'";

    query_values(&writer, "BEGIN").await;
    query_values(&writer, "INSERT INTO kv VALUES ('k', '1')").await;
    let seen_by_writer = query_values(&writer, select).await;
    let seen_by_reader = query_values(&reader, select).await;
    query_values(&writer, "ROLLBACK").await;

    assert_eq!(seen_by_writer, ["1"]);
    assert!(seen_by_reader.is_empty());
    assert!(query_values(&reader, select).await.is_empty());
    assert_eq!(
        error_code(&reader, "INSERT INTO kv VALUES ('k', '2')").await,
        "GR001"
    );
}

/// Guards against a failover that loses an acknowledged write of the old primary, or after which
/// the old primary still accepts writes.
#[tokio::test]
async fn failover_keeps_acknowledged_writes_and_stops_the_old_term() {
    let servers = group().await;
    let old = connect(&servers[0], 1).await.expect("connect");
    let candidate = connect(&servers[1], 0).await.expect("connect");
    query_values(&old, "BEGIN; SELECT * FROM group_record('r', 1)").await;
    query_values(&old, "INSERT INTO kv VALUES ('k', '1'); COMMIT").await;
    let position = query_values(&old, "SELECT * FROM group_position()")
        .await
        .join(", ");
    let wait = format!("SELECT * FROM group_wait('received', {position}, 1000)");
    query_values(&candidate, &wait).await;

    for server in &servers {
        let control = connect(server, 0).await.expect("connect");
        query_values(&control, "SELECT * FROM group_fence(2)").await;
    }
    let status = query_values(&candidate, "SELECT * FROM group_promote(2)").await;
    let new = connect(&servers[1], 2).await.expect("connect");

    assert_eq!(&status[..3], ["primary", "2", "2"]);
    assert_eq!(
        query_values(&new, "SELECT value FROM kv WHERE key = 'k'").await,
        ["1"]
    );
    assert_eq!(
        error_code(&old, "INSERT INTO kv VALUES ('k', '2')").await,
        "GR001"
    );
    let resolved = query_values(&new, "SELECT * FROM group_cancel('r', 1)").await;
    assert_eq!(resolved, ["t", "2", "3"]);
    let wait = "SELECT * FROM group_wait('applied', 2, 3, 1000)";
    let old_primary = connect(&servers[0], 0).await.expect("connect");
    assert_eq!(query_values(&old_primary, wait).await[0], "replica");
    assert!(connect(&servers[0], 1).await.is_err(), "term 1 ended");
}

/// Guards against an apply delay that also delays the receipt of entries, or that does not delay
/// their application.
#[tokio::test]
async fn apply_delay_separates_received_from_applied() {
    let servers = group().await;
    let client = connect(&servers[0], 1).await.expect("connect");
    let replica = connect(&servers[1], 0).await.expect("connect");
    let change = fault::Change {
        apply_delay_ms: Some(300),
        ..fault::Change::default()
    };
    servers[1].fault.lock().apply(&change);
    servers[1].notify_changed();

    query_values(&client, "INSERT INTO kv VALUES ('k', '1')").await;
    let received = "SELECT * FROM group_wait('received', 1, 2, 200)";
    let early = "SELECT * FROM group_wait('applied', 1, 2, 50)";
    let late = "SELECT * FROM group_wait('applied', 1, 2, 1000)";

    assert_eq!(query_values(&replica, received).await[4], "2");
    assert_eq!(error_code(&replica, early).await, "GR003");
    assert_eq!(query_values(&replica, late).await[6], "2");
}

/// Guards against a connection above the limit that is accepted, or refused but not counted.
#[tokio::test]
async fn connections_above_the_limit_are_refused_and_counted() {
    let servers = group().await;
    let mut clients = Vec::new();
    for _ in 0..4 {
        clients.push(connect(&servers[0], 0).await.expect("connect"));
    }

    let refused = connect(&servers[0], 0).await.expect_err("fifth connection");

    assert_eq!(refused.code(), Some(&SqlState::TOO_MANY_CONNECTIONS));
    let observation = servers[0].observation.lock();
    assert_eq!(
        (observation.violations, observation.peak_connections),
        (1, 5)
    );
    assert_eq!(observation.passwords, 0);
}

/// Guards against a silence fault that does not stop responses on existing connections, or that
/// also stops them on new ones.
#[tokio::test]
async fn silence_stops_responses_on_existing_connections_only() {
    let servers = group().await;
    let existing = connect(&servers[0], 0).await.expect("connect");

    servers[0].stop_responding();
    let response = time::timeout(
        Duration::from_millis(100),
        existing.simple_query("SELECT 1"),
    );
    let new = connect(&servers[0], 0).await.expect("connect");

    assert!(response.await.is_err());
    assert_eq!(query_values(&new, "SELECT 1").await, ["1"]);
}

/// Guards against more statements that run at the same time than there are slots.
#[tokio::test]
async fn slots_limit_running_statements() {
    let servers = group().await;
    servers[0].fault.lock().statement_us = 40_000;
    let mut clients = Vec::new();
    for _ in 0..4 {
        clients.push(connect(&servers[0], 0).await.expect("connect"));
    }
    let begin = time::Instant::now();

    let statements = clients.iter().map(|client| client.simple_query("SELECT 1"));
    futures::future::join_all(statements).await;

    assert!(
        begin.elapsed() >= Duration::from_millis(80),
        "two rounds of 40 ms"
    );
}
