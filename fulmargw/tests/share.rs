//! Connection shares while hosts join.

mod fixture;

use fixture::{
    CREDENTIAL,
    host::{Addresses, PATIENCE, Running, addresses, await_health, free, settings},
};
use fulmargw_lab::{
    database::{
        process::{self as database, Server},
        state::Start,
    },
    platform::process as platform,
};
use serde_json::{Value, json};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};
use tokio_postgres::{Client, Config, NoTls};

/// Connection limit of the backend server: four for one host, two each for two hosts.
const CONNECTIONS: u32 = 4;

/// More than the time that a join takes when nothing holds it up.
const JOIN_TIME: Duration = Duration::from_secs(4);

async fn start_platform() -> SocketAddr {
    let address = free();
    platform::start(address, free())
        .await
        .expect("start the platform");
    address
}

/// Starts a backend server that is a group of its own.
async fn start_server() -> Arc<Server> {
    let settings = database::Settings {
        name: "x".to_owned(),
        listen: free(),
        replication: free(),
        admin: free(),
        peers: Vec::new(),
        slots: 4,
        max_connections: CONNECTIONS as usize,
        connect_time: Duration::from_millis(1),
        statement_time: Duration::from_micros(10),
        start: Start::Primary,
        strict: false,
    };
    database::start(settings).await.expect("start the server")
}

/// A configuration with one open route for writes.
fn configuration(server: SocketAddr) -> Value {
    json!({"base": 0, "changes": [
        {"put_service": {"name": "notes", "servers": [{
            "name": "x", "zone": "zone-1", "address": server, "slots": 4,
            "connections": CONNECTIONS,
        }]}},
        {"put_account": {"name": "public", "rate": 1000.0, "burst": 100.0}},
        {"put_route": {
            "name": "notes", "service": "notes", "class": "write", "repeat": "once",
            "access": {"open": "public"},
        }},
    ]})
}

async fn patch(operator: SocketAddr, patch: &Value) {
    let request = reqwest::Client::new().post(format!("http://{operator}/patch"));
    let response = request.bearer_auth(CREDENTIAL).json(patch).send().await;
    let response = response.expect("send the patch");
    assert!(
        response.status().is_success(),
        "{:?}",
        response.text().await
    );
}

async fn state(operator: SocketAddr) -> Value {
    let request = reqwest::Client::new().get(format!("http://{operator}/state"));
    let response = request
        .bearer_auth(CREDENTIAL)
        .send()
        .await
        .expect("ask for the state");
    response.json().await.expect("a state as JSON")
}

/// State of a member in the fleet record that a host sees.
async fn member(operator: SocketAddr, name: &str) -> Option<String> {
    let state = state(operator).await;
    let members = state["control"]["fleet"]["members"].as_array()?.iter();
    let member = members
        .rev()
        .find(|member| member["host"]["name"] == name)?;
    member["state"].as_str().map(str::to_owned)
}

async fn await_member(operator: SocketAddr, name: &str, expected: &str) {
    let limit = Instant::now() + PATIENCE;
    while member(operator, name).await.as_deref() != Some(expected) {
        assert!(Instant::now() < limit, "{name} is not {expected}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Connects to a host and begins a transaction as soon as the host can run it.
async fn begin(caller: SocketAddr) -> Client {
    let limit = Instant::now() + PATIENCE;
    let mut config = Config::new();
    config.host(caller.ip().to_string()).port(caller.port());
    config.dbname("notes").user("anybody");
    let (client, connection) = config.connect(NoTls).await.expect("connect");
    tokio::spawn(connection);
    while let Err(error) = client.batch_execute("BEGIN").await {
        assert!(Instant::now() < limit, "{error:?}");
        sleep(Duration::from_millis(50)).await;
    }
    client
}

fn start(name: &str, addresses: &Addresses, platform: SocketAddr) -> Running {
    Running::start(
        &format!("share-{name}"),
        &settings(name, addresses, platform, ""),
    )
}

/// Guards against a joining host that uses connections which a transaction on another host
/// still holds, so that both exceed the limit of the backend server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn join_waits_for_transactions_above_the_smaller_share() {
    let (platform, server) = (start_platform().await, start_server().await);
    let (first, second) = (addresses(), addresses());
    let _first = start("host-a", &first, platform);
    await_health(first.operator, "serving").await;
    patch(first.operator, &configuration(server.settings.listen)).await;
    let callers = [begin(first.caller).await, begin(first.caller).await];

    let _second = start("host-b", &second, platform);
    await_member(first.operator, "host-b", "joining").await;
    sleep(JOIN_TIME).await;
    let while_open = member(first.operator, "host-b").await;
    for caller in callers {
        caller.batch_execute("COMMIT").await.expect("commit");
    }

    assert_eq!(while_open.as_deref(), Some("joining"));
    await_member(first.operator, "host-b", "active").await;
}
