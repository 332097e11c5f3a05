//! The protocol between hosts over loopback connections.

#[allow(dead_code, reason = "each test file uses a part of the fixtures")]
mod fixture;

use fixture::{
    Proxy, Recorder, announcement, configuration, connections, lease_request, loan_request,
    removal_request, serve, version_notice,
};
use fulmargw_model::configuration::Version;
use std::{net::IpAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};

/// Guards against messages whose encoding the other side cannot decode.
#[tokio::test]
async fn every_call_gets_a_response() {
    let (handler, host) = serve(Recorder::default()).await;
    let peers = connections(None);

    let confirmation = peers.confirm(host.address, lease_request()).await;
    let consent = peers.consent(host.address, removal_request()).await;
    let noted = peers.send_notice(host.address, version_notice()).await;
    let loan = peers.borrow(host.address, loan_request()).await;
    let announced = peers.announce(host.address, announcement()).await;
    let pushed = peers.push(host.address, Arc::new(configuration(7))).await;

    assert!(confirmation.is_ok_and(|response| response.granted));
    assert_eq!((consent, noted), (Ok(true), Ok(true)));
    assert!(loan.is_ok_and(|loan| loan.grant.is_some()));
    assert_eq!(announced, Ok(()));
    assert_eq!(pushed, Ok(Version(7)));
    assert_eq!(handler.calls(), 6);
}

/// Guards against documents that lose content in transit.
#[tokio::test]
async fn documents_arrive_unchanged() {
    let (_, host) = serve(Recorder::default()).await;
    let peers = connections(None);

    let missing = peers.configuration(host.document_address).await;
    let pushed = peers.push(host.address, Arc::new(configuration(3))).await;
    let fetched = peers.configuration(host.document_address).await;
    let fleet = peers.fleet(host.document_address).await;

    assert!(missing.is_err(), "got a document from a host without one");
    assert_eq!(pushed, Ok(Version(3)));
    assert_eq!(fetched, Ok(configuration(3)));
    assert!(fleet.is_ok_and(|fleet| fleet.members.len() == 1));
}

/// Guards against a call that waits forever on an unresponsive connection, and against further
/// calls on that connection.
#[tokio::test]
async fn an_unresponsive_connection_is_replaced() {
    let (_, host) = serve(Recorder::default()).await;
    let proxy = Proxy::start(host.address).await;
    let peers = connections(None);
    let first = peers.confirm(proxy.address, lease_request()).await;

    proxy.block();
    let start = Instant::now();
    let unresponsive = peers.confirm(proxy.address, lease_request()).await;
    let waited = start.elapsed();
    let again = peers.confirm(proxy.address, lease_request()).await;

    assert!(first.is_ok());
    assert!(unresponsive.is_err());
    assert!(waited < Duration::from_millis(600), "{waited:?}");
    assert!(again.is_ok(), "{again:?}");
}

/// Guards against a host that is never connected to again after a failed attempt.
#[tokio::test]
async fn a_restarted_host_is_reached_again() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let peers = connections(None);
    let before = peers.confirm(address, lease_request()).await;

    fixture::serve_at(address, Recorder::default()).await;
    let start = Instant::now();
    while peers.confirm(address, lease_request()).await.is_err() {
        assert!(
            start.elapsed() < Duration::from_secs(3),
            "not reached again"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    assert!(before.is_err());
}

/// Guards against outgoing connections that don't use the configured source address.
#[tokio::test]
async fn connections_come_from_the_source_address() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let source: IpAddr = "127.0.0.2".parse().expect("an address");
    let peers = connections(Some(source));

    let call = tokio::spawn(async move { peers.confirm(address, lease_request()).await });
    let (_stream, from) = listener.accept().await.expect("a connection");
    call.abort();

    assert_eq!(from.ip(), source);
}

/// Guards against a server that allocates memory for the length claimed by an invalid frame.
#[tokio::test]
async fn an_oversized_frame_closes_only_its_connection() {
    let (_, host) = serve(Recorder::default()).await;
    let peers = connections(None);

    let mut stream = TcpStream::connect(host.address).await.expect("connected");
    stream.write_all(&[0xff; 64]).await.expect("written");
    let mut rest = Vec::new();
    let closed = stream.read_to_end(&mut rest).await;

    assert!(closed.is_err() || rest.is_empty());
    assert!(peers.confirm(host.address, lease_request()).await.is_ok());
}

/// Guards against a server that stops when it receives well-formed frames with random content.
#[tokio::test]
async fn random_frames_do_not_stop_the_server() {
    let (_, host) = serve(Recorder::default()).await;
    let peers = connections(None);

    for seed in 0..50 {
        let mut stream = TcpStream::connect(host.address).await.expect("connected");
        let body = fixture::random_bytes(seed, 200);
        let length = u32::try_from(body.len()).expect("short");
        // The server may have closed the connection already.
        let _ = stream.write_all(&length.to_be_bytes()).await;
        let _ = stream.write_all(&body).await;
    }

    assert!(peers.confirm(host.address, lease_request()).await.is_ok());
}
