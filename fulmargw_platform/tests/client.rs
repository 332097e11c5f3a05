//! The HTTP client against a small server of canned answers.

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
enum Reply {
    Answer(&'static str, Vec<u8>),
    Silence,
}

fn answer<T: Serialize>(value: &T) -> Reply {
    Reply::Answer("200 OK", rmp_serde::to_vec_named(value).expect("encodable"))
}

/// Serves one canned reply and returns its address.
async fn serve(reply: Reply) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, reply.clone()));
        }
    });
    address
}

async fn respond(mut stream: TcpStream, reply: Reply) {
    let mut request = [0; 4096];
    let _ = stream.read(&mut request).await;
    match reply {
        Reply::Answer(status, body) => {
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n"
            );
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.write_all(&body).await;
        }
        Reply::Silence => tokio::time::sleep(Duration::from_secs(5)).await,
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

fn nothing() -> Transaction {
    Transaction {
        conditions: Vec::new(),
        writes: Vec::new(),
    }
}

/// Guards against rows that are taken for those of other keys.
#[tokio::test]
async fn rows_are_read_in_order() {
    let client = client(vec![serve(answer(&rows(2))).await]);

    let read = client.read(&["a", "b"]).await;
    let short = client.read(&["a", "b", "c"]).await;

    assert_eq!(read, Ok(rows(2).rows));
    assert!(short.is_err(), "an answer with too few rows was taken");
}

/// Guards against an outage that is taken for an answer.
#[tokio::test]
async fn an_unavailable_platform_is_an_error() {
    let unavailable = Reply::Answer("503 Service Unavailable", Vec::new());
    let client = client(vec![serve(unavailable).await]);

    let commit = client.commit(nothing()).await;

    let cause = commit.expect_err("status 503").cause;
    assert!(cause.contains("503"), "{cause}");
}

/// Guards against a call that waits for ever.
#[tokio::test]
async fn a_silent_platform_is_given_up_in_time() {
    let client = client(vec![serve(Reply::Silence).await]);

    let start = Instant::now();
    let read = client.read(&["a"]).await;

    assert_eq!(read.expect_err("no answer").cause, "timeout");
    assert!(start.elapsed() < Duration::from_secs(1));
}

/// Guards against a client that stays with an address that has failed.
#[tokio::test]
async fn the_next_call_goes_to_the_next_address() {
    let silent = serve(Reply::Silence).await;
    let open = serve(answer(&Commit::Done)).await;
    let client = client(vec![silent, open]);

    let first = client.commit(nothing()).await;
    let second = client.commit(nothing()).await;

    assert!(first.is_err());
    assert_eq!(second, Ok(Commit::Done));
}

/// Guards against a panic for bytes that are no answer.
#[tokio::test]
async fn a_broken_answer_is_an_error() {
    let client = client(vec![serve(Reply::Answer("200 OK", vec![0xc1; 9])).await]);

    assert!(client.hosts().await.is_err());
}

/// Guards against a client without any address.
#[test]
fn settings_need_an_address() {
    assert!(Client::new(&Settings::default()).is_err());
}
