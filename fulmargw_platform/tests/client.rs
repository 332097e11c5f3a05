//! The HTTP client of the platform against a server with fixed responses.

use fulmargw_platform::{
    client::{Client, Settings},
    message::{Commit, Row, Rows, Transaction},
    store::Store,
};
use serde::Serialize;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};

/// What the server does with every request.
#[derive(Debug, Clone)]
enum Behavior {
    /// Responds with this status line and body.
    Respond(&'static str, Vec<u8>),
    NoResponse,
}

fn respond_with<T: Serialize>(value: &T) -> Behavior {
    Behavior::Respond("200 OK", rmp_serde::to_vec_named(value).expect("encodable"))
}

/// Starts a server and returns its address.
async fn start_server(behavior: Behavior) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, behavior.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, behavior: Behavior) {
    let mut request = [0; 4096];
    let _ = stream.read(&mut request).await;
    match behavior {
        Behavior::Respond(status, body) => {
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n"
            );
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.write_all(&body).await;
        }
        Behavior::NoResponse => tokio::time::sleep(Duration::from_secs(5)).await,
    }
}

fn client(addresses: Vec<SocketAddr>) -> Client {
    let settings = Settings {
        addresses,
        timeout_ms: 200,
        ..Settings::default()
    };
    Client::new(&settings).expect("valid settings")
}

fn rows(count: u64) -> Rows {
    let row = |revision| {
        Some(Row {
            revision,
            value: "value".into(),
        })
    };
    Rows {
        rows: (1..=count).map(row).collect(),
    }
}

fn empty_transaction() -> Transaction {
    Transaction {
        conditions: Vec::new(),
        writes: Vec::new(),
    }
}

/// Guards against rows that are assigned to other keys, because a response has too few of them.
#[tokio::test]
async fn rows_are_read_in_order() {
    let client = client(vec![start_server(respond_with(&rows(2))).await]);

    let read = client.read(&["a", "b"]).await;
    let short = client.read(&["a", "b", "c"]).await;

    assert_eq!(read, Ok(rows(2).rows));
    assert!(short.is_err(), "a response with too few rows was accepted");
}

/// Guards against an error status that is taken for a response of the store.
#[tokio::test]
async fn an_unavailable_platform_is_an_error() {
    let unavailable = Behavior::Respond("503 Service Unavailable", Vec::new());
    let client = client(vec![start_server(unavailable).await]);

    let commit = client.commit(empty_transaction()).await;

    let cause = commit.expect_err("status 503").cause;
    assert!(cause.contains("503"), "{cause}");
}

/// Guards against a call that waits forever for a platform that does not respond.
#[tokio::test]
async fn a_call_without_a_response_times_out() {
    let client = client(vec![start_server(Behavior::NoResponse).await]);

    let start = Instant::now();
    let read = client.read(&["a"]).await;

    assert_eq!(read.expect_err("no response").cause, "timeout");
    assert!(start.elapsed() < Duration::from_secs(1));
}

/// Guards against a client that keeps using an address that does not respond.
#[tokio::test]
async fn a_failed_call_switches_to_the_next_address() {
    let unresponsive = start_server(Behavior::NoResponse).await;
    let responsive = start_server(respond_with(&Commit::Done)).await;
    let client = client(vec![unresponsive, responsive]);

    let first = client.commit(empty_transaction()).await;
    let second = client.commit(empty_transaction()).await;

    assert!(first.is_err());
    assert_eq!(second, Ok(Commit::Done));
}

/// Guards against a panic on a response that is not valid MessagePack.
#[tokio::test]
async fn an_undecodable_response_is_an_error() {
    let client = client(vec![
        start_server(Behavior::Respond("200 OK", vec![0xc1; 9])).await,
    ]);

    assert!(client.hosts().await.is_err());
}

/// Guards against a client without any address.
#[test]
fn settings_need_an_address() {
    assert!(Client::new(&Settings::default()).is_err());
}
