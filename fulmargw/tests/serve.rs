//! Start and graceful stop of `fulmargw serve`.

mod fixture;

use fixture::{
    file,
    host::{Process, addresses, await_health, free_address, settings},
    run, stderr,
};
use std::{net::TcpListener, time::Duration};
use tokio::time::Instant;

/// Guards against a start failure that does not name the listener and its address.
#[test]
fn address_in_use_is_reported() {
    let addresses = addresses();
    let _occupied = TcpListener::bind(addresses.operator).expect("occupy the address");
    let text = settings("host-a", &addresses, free_address(), "");
    let path = file("serve-occupied.toml", &text);

    let output = run(&["serve", "--settings", &path]);

    assert_eq!(output.status.code(), Some(1));
    let expected = format!("bind the operator address {}", addresses.operator);
    assert!(stderr(&output).contains(&expected), "{}", stderr(&output));
}

/// Guards against a host that cannot start or stop while the platform is down.
#[tokio::test]
async fn host_starts_and_stops_without_the_platform() {
    let addresses = addresses();
    let text = settings("host-a", &addresses, free_address(), "stop_notice_ms = 100");
    let mut host = Process::start("serve-alone", &text);
    await_health(addresses.operator, "unleased").await;

    host.terminate();

    assert_eq!(host.exit().await.code(), Some(0));
}

/// Guards against a host that stops accepting callers before its health check fails, and against a
/// second signal that does not interrupt the graceful stop.
#[tokio::test]
async fn health_fails_first_and_a_second_signal_interrupts_the_stop() {
    let addresses = addresses();
    let text = settings(
        "host-a",
        &addresses,
        free_address(),
        "stop_notice_ms = 20000",
    );
    let mut host = Process::start("serve-twice", &text);
    await_health(addresses.operator, "unleased").await;

    host.terminate();
    await_health(addresses.operator, "draining").await;
    let connection = tokio::net::TcpStream::connect(addresses.caller).await;
    let signalled = Instant::now();
    host.terminate();

    assert_eq!(host.exit().await.code(), Some(1));
    assert!(
        connection.is_ok(),
        "stopped accepting callers before the notice was over"
    );
    assert!(signalled.elapsed() < Duration::from_secs(2));
}
