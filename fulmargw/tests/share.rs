//! Connection shares while a host joins the fleet.

mod fixture;

use fixture::{
    CREDENTIAL,
    host::{Addresses, Process, WAIT_TIMEOUT, addresses, await_health, free_address, settings},
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

/// Connection limit of the backend server. One host may use four connections, two hosts two each.
const CONNECTION_LIMIT: u32 = 4;

/// Longer than a join takes when nothing delays it.
const JOIN_DURATION: Duration = Duration::from_secs(4);

async fn start_platform() -> SocketAddr {
    let address = free_address();
    platform::start(address, free_address())
        .await
        .expect("start the platform");
    address
}

/// Starts the only backend server of a database group.
async fn start_server() -> Arc<Server> {
    let settings = database::Settings {
        name: "x".to_owned(),
        listen: free_address(),
        replication: free_address(),
        admin: free_address(),
        peers: Vec::new(),
        slots: 4,
        max_connections: CONNECTION_LIMIT as usize,
        connect_time: Duration::from_millis(1),
        statement_time: Duration::from_micros(10),
        start: Start::Primary,
        strict: false,
    };
    database::start(settings).await.expect("start the server")
}

/// Returns a patch that creates a service, an account and an open route for writes.
fn initial_patch(server: SocketAddr) -> Value {
    json!({"base": 0, "changes": [
        {"put_service": {"name": "notes", "servers": [{
            "name": "x", "zone": "zone-1", "address": server, "slots": 4,
            "connections": CONNECTION_LIMIT,
        }]}},
        {"put_account": {"name": "public", "rate": 1000.0, "burst": 100.0}},
        {"put_route": {
            "name": "notes", "service": "notes", "class": "write", "repeat": "once",
            "access": {"open": "public"},
        }},
    ]})
}

async fn submit(operator: SocketAddr, patch: &Value) {
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
        .expect("request the state");
    response.json().await.expect("a state as JSON")
}

/// Returns the state of a member in the fleet record of a host.
async fn member_state(operator: SocketAddr, name: &str) -> Option<String> {
    let state = state(operator).await;
    let members = state["control"]["fleet"]["members"].as_array()?.iter();
    let member = members
        .rev()
        .find(|member| member["host"]["name"] == name)?;
    member["state"].as_str().map(str::to_owned)
}

/// Waits until a member has the expected state in the fleet record of a host.
async fn await_member(operator: SocketAddr, name: &str, expected: &str) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while member_state(operator, name).await.as_deref() != Some(expected) {
        assert!(Instant::now() < deadline, "{name} is not {expected}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Connects to a host and begins a transaction. Retries until the host can run it.
async fn begin(caller: SocketAddr) -> Client {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut config = Config::new();
    config.host(caller.ip().to_string()).port(caller.port());
    config.dbname("notes").user("anybody");
    let (client, connection) = config.connect(NoTls).await.expect("connect");
    tokio::spawn(connection);
    while let Err(error) = client.batch_execute("BEGIN").await {
        assert!(Instant::now() < deadline, "{error:?}");
        sleep(Duration::from_millis(50)).await;
    }
    client
}

fn start(name: &str, addresses: &Addresses, platform: SocketAddr) -> Process {
    Process::start(
        &format!("share-{name}"),
        &settings(name, addresses, platform, ""),
    )
}

/// Guards against a joining host that uses its share while transactions on another host still use
/// more than theirs, so that both together exceed the connection limit of the backend server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn join_waits_for_transactions_above_the_smaller_share() {
    let (platform, server) = (start_platform().await, start_server().await);
    let (first, second) = (addresses(), addresses());
    let _first = start("host-a", &first, platform);
    await_health(first.operator, "serving").await;
    submit(first.operator, &initial_patch(server.settings.listen)).await;
    let callers = [begin(first.caller).await, begin(first.caller).await];

    let _second = start("host-b", &second, platform);
    await_member(first.operator, "host-b", "joining").await;
    sleep(JOIN_DURATION).await;
    let state_while_open = member_state(first.operator, "host-b").await;
    for caller in callers {
        caller.batch_execute("COMMIT").await.expect("commit");
    }

    assert_eq!(state_while_open.as_deref(), Some("joining"));
    await_member(first.operator, "host-b", "active").await;
}
