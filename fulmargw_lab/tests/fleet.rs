//! A fleet that consists only of stand-ins for outside systems, without hosts.

use fulmargw_lab::{
    database::fault::{Change, Exit},
    fleet::{
        layout::{Options, Server},
        processes::Fleet,
        settings::Start,
    },
    link::rule::Table,
};
use std::{
    path::Path,
    time::{Duration, Instant},
};
use tokio::time;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

async fn start_fleet(name: &str) -> Fleet {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let options = Options {
        hosts: 0,
        ..Options::new(directory, Vec::new()).expect("options")
    };
    Fleet::start(options).await.expect("start fleet")
}

fn server<'a>(fleet: &'a Fleet, name: &str) -> &'a Server {
    let servers = &fleet.layout().servers;
    let found = servers.iter().find(|server| server.name == name);
    found.expect("server exists")
}

async fn connect(fleet: &Fleet, name: &str, term: u64) -> Client {
    let address = server(fleet, name).relayed;
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user("lab").options(format!("-c group.term={term}"));
    let (client, connection) = config.connect(NoTls).await.expect("connect");
    tokio::spawn(connection);
    client
}

/// Returns the first column of the first row.
async fn first_value(client: &Client, query: &str) -> Option<String> {
    let messages = client.simple_query(query).await.expect(query);
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

/// Fences the servers, promotes the one with the longest log and returns its name.
async fn promote<'a>(fleet: &Fleet, servers: &[&'a str], term: u64) -> &'a str {
    let mut longest = None;
    for server in servers {
        let control = connect(fleet, server, 0).await;
        let fence = format!("SELECT * FROM group_fence({term})");
        let received = number(&control, &fence, "received_index").await;
        longest = longest.max(Some((received, *server)));
    }
    let (_, candidate) = longest.expect("there is a server");
    let control = connect(fleet, candidate, 0).await;
    let promote = format!("SELECT * FROM group_promote({term})");
    assert_eq!(
        first_value(&control, &promote).await.as_deref(),
        Some("primary")
    );
    candidate
}

/// Returns the number in a column of the first row.
async fn number(client: &Client, query: &str, name: &str) -> u64 {
    let messages = client.simple_query(query).await.expect(query);
    let value = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(name)?.parse().ok(),
        _ => None,
    });
    value.expect(name)
}

/// Guards against a committed write that is lost when the primary exits before its response, and a
/// restarted server that does not recover its data.
#[tokio::test]
async fn write_survives_an_exit_after_commit_and_the_restart_recovers() {
    let mut fleet = start_fleet("fleet-exit").await;
    let old = connect(&fleet, "s1", 1).await;
    let exit = Change {
        exit: Some(Exit::AfterCommit),
        ..Change::default()
    };
    fleet.set_server_fault("s1", &exit).await.expect("fault");

    let unacknowledged = old.simple_query("INSERT INTO kv VALUES ('k', '1')").await;
    let primary = promote(&fleet, &["s2", "s3"], 2).await;
    let new = connect(&fleet, primary, 2).await;
    let kept = first_value(&new, "SELECT value FROM kv WHERE key = 'k'").await;
    fleet.start_server("s1", Start::Restarted).expect("restart");
    let begin = Instant::now();
    while fleet
        .server_report("s1")
        .await
        .map_or(true, |report| report.recovering)
    {
        assert!(begin.elapsed() < Duration::from_secs(5), "s1 recovers");
        time::sleep(Duration::from_millis(20)).await;
    }

    assert!(unacknowledged.is_err());
    assert_eq!(kept.as_deref(), Some("1"));
    let recovered = connect(&fleet, "s1", 2).await;
    let value = first_value(&recovered, "SELECT value FROM kv WHERE key = 'k'").await;
    assert_eq!(value.as_deref(), Some("1"));
    assert_eq!(fleet.primary().await.expect("primary"), primary);
}

/// Guards against partition rules that let replication through, or a partition that lasts after its
/// rules are removed.
#[tokio::test]
async fn partitioned_primary_does_not_replicate_until_it_is_reconnected() {
    let fleet = start_fleet("fleet-partition").await;
    let primary = connect(&fleet, "s1", 1).await;
    let replica = connect(&fleet, "s2", 0).await;
    let wait = "SELECT * FROM group_wait('received', 1, 2, 400)";

    let partition = fleet.partition_rules("s1").expect("rules");
    let write = primary.simple_query("INSERT INTO kv VALUES ('k', '1')");
    write.await.expect("write before the partition");
    fleet.set_link_rules(&partition).await.expect("partition");
    let write = primary.simple_query("INSERT INTO kv VALUES ('k', '2')");
    let blocked = time::timeout(Duration::from_millis(200), write).await;
    fleet
        .set_link_rules(&Table::default())
        .await
        .expect("reconnect");
    let caught_up = first_value(&replica, wait).await;

    assert!(blocked.is_err());
    assert_eq!(caught_up.as_deref(), Some("replica"));
}

/// Guards against a pause that does not stop a process, and a kill that leaves it running.
#[tokio::test]
async fn paused_process_does_not_respond_until_it_resumes() {
    let mut fleet = start_fleet("fleet-pause").await;

    fleet.pause("s3").expect("pause");
    let paused = fleet.server_report("s3").await;
    fleet.resume("s3").expect("resume");
    let resumed = fleet.server_report("s3").await;
    fleet.kill("s3").expect("kill");
    let killed = fleet.server_report("s3").await;

    assert!(paused.is_err());
    assert!(resumed.is_ok());
    assert!(killed.is_err());
}
