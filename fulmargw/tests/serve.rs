//! Start and stop of the process.

mod fixture;

use fixture::{
    file,
    host::{Running, addresses, await_health, free, settings},
    run, stderr,
};
use std::{net::TcpListener, time::Duration};
use tokio::time::Instant;

/// Guards against a start that fails without naming the step and the address.
#[test]
fn occupied_address_is_named() {
    let addresses = addresses();
    let _occupied = TcpListener::bind(addresses.operator).expect("occupy the address");
    let text = settings("host-a", &addresses, free(), "");
    let path = file("serve-occupied.toml", &text);

    let output = run(&["serve", "--settings", &path]);

    assert_eq!(output.status.code(), Some(1));
    let expected = format!("bind the operator address {}", addresses.operator);
    assert!(stderr(&output).contains(&expected), "{}", stderr(&output));
}

/// Guards against a host that needs the platform to start or to stop.
#[tokio::test]
async fn host_starts_and_stops_without_the_platform() {
    let addresses = addresses();
    let text = settings("host-a", &addresses, free(), "stop_notice_ms = 100");
    let mut host = Running::start("serve-alone", &text);
    await_health(addresses.operator, "unleased").await;

    host.terminate();

    assert_eq!(host.end().await.code(), Some(0));
}

/// Guards against a balancer that sends callers until the host is gone, and against a
/// second signal that has to wait for the first one.
#[tokio::test]
async fn health_fails_first_and_a_second_signal_ends_at_once() {
    let addresses = addresses();
    let text = settings("host-a", &addresses, free(), "stop_notice_ms = 20000");
    let mut host = Running::start("serve-twice", &text);
    await_health(addresses.operator, "unleased").await;

    host.terminate();
    await_health(addresses.operator, "draining").await;
    let accepting = tokio::net::TcpStream::connect(addresses.caller).await;
    let signalled = Instant::now();
    host.terminate();

    assert_eq!(host.end().await.code(), Some(1));
    assert!(
        accepting.is_ok(),
        "accepting ended before the notice was over"
    );
    assert!(signalled.elapsed() < Duration::from_secs(2));
}
