//! The TCP relay.

use fulmargw_lab::{
    address,
    link::{
        process,
        relay::Mapping,
        rule::{Action, Direction, Rule, Table},
    },
};
use std::{sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{self, Instant},
};

/// Starts an echo server and a relay to it, and connects through the relay.
async fn echo(delay: Duration) -> (Arc<watch::Sender<Table>>, TcpStream) {
    let target = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let mapping = Mapping {
        name: "echo".to_owned(),
        listen: address::free(1).expect("free port"),
        target: target.local_addr().expect("address"),
    };
    let listen = mapping.listen;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = target.accept().await {
            let (mut read, mut write) = stream.split();
            // The test notices a failed echo server by a missing response.
            let _ = tokio::io::copy(&mut read, &mut write).await;
        }
    });
    let admin = address::free(1).expect("free port");
    let rules = process::start(vec![mapping], delay, admin).await;
    let stream = TcpStream::connect(listen).await.expect("connect");
    (rules.expect("start"), stream)
}

/// Returns a table with one rule for the connections of `echo`.
fn single_rule(direction: Option<Direction>, action: Action) -> Table {
    Table(vec![Rule {
        mapping: Some("echo".to_owned()),
        source: Some("127.0.0.1".parse().expect("address")),
        direction,
        action,
    }])
}

/// Sends a byte and returns the one that comes back.
async fn exchange(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.write_u8(7).await?;
    stream.read_u8().await
}

/// Guards against a delay that applies in one direction only, or is much too long.
#[tokio::test]
async fn delay_applies_in_both_directions() {
    let (_rules, mut stream) = echo(Duration::from_millis(5)).await;
    exchange(&mut stream).await.expect("first response");
    let begin = Instant::now();

    exchange(&mut stream).await.expect("response");

    let elapsed = begin.elapsed();
    assert!(elapsed >= Duration::from_millis(10), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(40), "{elapsed:?}");
}

/// Guards against dropped traffic that ends the connection, or that does not arrive after the
/// partition.
#[tokio::test]
async fn dropped_traffic_arrives_after_the_partition() {
    for direction in [None, Some(Direction::Backward)] {
        let (rules, mut stream) = echo(Duration::ZERO).await;
        exchange(&mut stream)
            .await
            .expect("response before the partition");

        rules.send_replace(single_rule(direction, Action::Drop));
        stream.write_u8(9).await.expect("write");
        let response = time::timeout(Duration::from_millis(50), stream.read_u8()).await;
        rules.send_replace(Table::default());

        assert!(response.is_err());
        assert_eq!(stream.read_u8().await.expect("late response"), 9);
    }
}

/// Guards against a reset that leaves idle connections open.
#[tokio::test]
async fn reset_ends_idle_connections() {
    let (rules, mut stream) = echo(Duration::ZERO).await;
    exchange(&mut stream)
        .await
        .expect("response before the reset");

    rules.send_replace(single_rule(None, Action::Reset));

    assert!(stream.read_u8().await.is_err());
}

/// Guards against a connection that reaches the target after the partition, although its client
/// has closed it during the partition.
#[tokio::test]
async fn abandoned_connection_does_not_arrive_after_the_partition() {
    let target = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let mapping = Mapping {
        name: "echo".to_owned(),
        listen: address::free(1).expect("free port"),
        target: target.local_addr().expect("address"),
    };
    let listen = mapping.listen;
    let admin = address::free(1).expect("free port");
    let rules = process::start(vec![mapping], Duration::ZERO, admin).await;
    let rules = rules.expect("start");
    rules.send_replace(single_rule(None, Action::Drop));

    let mut abandoned = TcpStream::connect(listen).await.expect("connect");
    abandoned.write_u8(7).await.expect("write");
    drop(abandoned);
    time::sleep(Duration::from_millis(20)).await;
    rules.send_replace(Table::default());
    let arrived = time::timeout(Duration::from_millis(100), target.accept()).await;

    assert!(arrived.is_err());
}

/// Guards against a rule that matches traffic of another source.
#[test]
fn rules_match_by_source() {
    let rules = single_rule(None, Action::Drop);

    let other = "127.0.0.2".parse().expect("address");

    assert_eq!(
        rules.action("echo", other, Direction::Forward),
        Action::Pass
    );
}
