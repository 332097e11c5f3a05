//! The peer protocol over loopback connections.

#[allow(dead_code, reason = "each test file uses a part of the fixtures")]
mod fixture;

use fixture::{
    Recorder, Relay, announcement, configuration, demand, note, question, removal, serve, set,
};
use fulmargw_model::configuration::Version;
use std::{net::IpAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};

/// Guards against messages that are encoded in a way that the other side does not read.
#[tokio::test]
async fn every_call_is_answered() {
    let (handler, host) = serve(Recorder::default()).await;
    let peers = set(None);

    let confirmation = peers.confirm(host.address, question()).await;
    let consent = peers.consent(host.address, removal()).await;
    let noted = peers.note(host.address, note()).await;
    let loan = peers.borrow(host.address, demand()).await;
    let announced = peers.announce(host.address, announcement()).await;
    let pushed = peers.push(host.address, Arc::new(configuration(7))).await;

    assert!(confirmation.is_ok_and(|answer| answer.granted));
    assert_eq!((consent, noted), (Ok(true), Ok(true)));
    assert!(loan.is_ok_and(|loan| loan.grant.is_some()));
    assert_eq!(announced, Ok(()));
    assert_eq!(pushed, Ok(Version(7)));
    assert_eq!(handler.calls(), 6);
}

/// Guards against documents that lose content on the way.
#[tokio::test]
async fn documents_arrive_whole() {
    let (_, host) = serve(Recorder::default()).await;
    let peers = set(None);

    let missing = peers.configuration(host.document_address).await;
    let pushed = peers.push(host.address, Arc::new(configuration(3))).await;
    let fetched = peers.configuration(host.document_address).await;
    let fleet = peers.fleet(host.document_address).await;

    assert!(missing.is_err(), "a host without a document has none");
    assert_eq!(pushed, Ok(Version(3)));
    assert_eq!(fetched, Ok(configuration(3)));
    assert!(fleet.is_ok_and(|fleet| fleet.members.len() == 1));
}

/// Guards against a call that waits for ever on a silent connection, and against further
/// calls on it.
#[tokio::test]
async fn a_silent_connection_is_replaced() {
    let (_, host) = serve(Recorder::default()).await;
    let relay = Relay::start(host.address).await;
    let peers = set(None);
    let first = peers.confirm(relay.address, question()).await;

    relay.silence();
    let start = Instant::now();
    let silent = peers.confirm(relay.address, question()).await;
    let waited = start.elapsed();
    let again = peers.confirm(relay.address, question()).await;

    assert!(first.is_ok());
    assert!(silent.is_err());
    assert!(waited < Duration::from_millis(600), "{waited:?}");
    assert!(again.is_ok(), "{again:?}");
}

/// Guards against a host that is given up for good after a failed connection.
#[tokio::test]
async fn a_restarted_host_is_reached_again() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let peers = set(None);
    let before = peers.confirm(address, question()).await;

    fixture::serve_at(address, Recorder::default()).await;
    let start = Instant::now();
    while peers.confirm(address, question()).await.is_err() {
        assert!(
            start.elapsed() < Duration::from_secs(3),
            "not reached again"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    assert!(before.is_err());
}

/// Guards against outgoing connections from another address than the host's own.
#[tokio::test]
async fn connections_come_from_the_source_address() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let source: IpAddr = "127.0.0.2".parse().expect("an address");
    let peers = set(Some(source));

    let call = tokio::spawn(async move { peers.confirm(address, question()).await });
    let (_stream, from) = listener.accept().await.expect("a connection");
    call.abort();

    assert_eq!(from.ip(), source);
}

/// Guards against memory that is reserved for the length that a broken frame claims.
#[tokio::test]
async fn an_oversized_frame_closes_only_its_connection() {
    let (_, host) = serve(Recorder::default()).await;
    let peers = set(None);

    let mut stream = TcpStream::connect(host.address).await.expect("connected");
    stream.write_all(&[0xff; 64]).await.expect("written");
    let mut rest = Vec::new();
    let closed = stream.read_to_end(&mut rest).await;

    assert!(closed.is_err() || rest.is_empty());
    assert!(peers.confirm(host.address, question()).await.is_ok());
}

/// Guards against a server that stops when it gets random bytes in well-formed frames.
#[tokio::test]
async fn random_frames_do_not_stop_the_server() {
    let (_, host) = serve(Recorder::default()).await;
    let peers = set(None);

    for seed in 0..50 {
        let mut stream = TcpStream::connect(host.address).await.expect("connected");
        let body = fixture::random_bytes(seed, 200);
        let length = u32::try_from(body.len()).expect("short");
        // The server may have closed the connection already.
        let _ = stream.write_all(&length.to_be_bytes()).await;
        let _ = stream.write_all(&body).await;
    }

    assert!(peers.confirm(host.address, question()).await.is_ok());
}
