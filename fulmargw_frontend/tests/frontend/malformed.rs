//! Damaged streams of callers.

use crate::fixture::{
    raw::{bind, execute, message, parse, query, startup, sync},
    settings, start,
};
use fulmargw_frontend::settings::Settings;
use std::{
    panic,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

static PANICS: AtomicUsize = AtomicUsize::new(0);

/// A session with one message of each kind.
fn session() -> Vec<u8> {
    let messages = [
        startup("database\0open\0options\0-c fulmar.position=ledger/1/2\0"),
        query("SELECT 1"),
        parse("s", "SELECT $1"),
        message(b'D', b"Ss\0"),
        bind("s"),
        execute(),
        sync(),
        message(b'C', b"Ss\0"),
        message(b'H', b""),
        sync(),
        query("SET fulmar.request_id = 'id'"),
        message(b'X', b""),
    ];
    messages.concat()
}

/// Changes a few bytes with a small deterministic generator.
fn mutate(bytes: &[u8], seed: u64) -> Vec<u8> {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut next = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state
    };
    let mut changed = bytes.to_vec();
    for _ in 0..=next() % 3 {
        let place = usize::try_from(next()).unwrap_or(0) % changed.len();
        let value = u8::try_from(next() & 0xff).unwrap_or(0);
        match next() % 4 {
            0 => changed.insert(place, value),
            1 => drop(changed.remove(place)),
            _ => changed[place] = value,
        }
    }
    changed
}

/// Guards against callers whose damaged messages panic a session or keep it open: each of
/// the sessions must end by itself, without a panic, after its input ended.
#[tokio::test]
async fn damaged_sessions_end_without_a_panic() {
    panic::set_hook(Box::new(|information| {
        eprintln!("{information}");
        PANICS.fetch_add(1, Ordering::Relaxed);
    }));
    let limits = Settings {
        maximum_frame_bytes: 4096,
        ..settings()
    };
    let front = start(limits).await;
    front.engine.state.lock().unwrap().blank = true;

    for seed in 0..1000 {
        let mut stream = TcpStream::connect(front.address).await.unwrap();
        stream.write_all(&mutate(&session(), seed)).await.unwrap();
        // A session that ended early makes the rest of the calls fail.
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let end = stream.read_to_end(&mut answer);
        let end = tokio::time::timeout(Duration::from_secs(1), end).await;
        assert!(end.is_ok(), "seed {seed}: the session stayed open");
    }

    assert_eq!(PANICS.load(Ordering::Relaxed), 0);
    assert!(
        front
            .connect("write")
            .await
            .simple_query("SELECT 1")
            .await
            .is_ok()
    );
}

/// Guards against memory for a message that a caller only announces.
#[tokio::test]
async fn announced_length_is_bounded() {
    let front = start(settings()).await;
    let cases: [&[u8]; 3] = [
        b"\x7f\xff\xff\xff\0\x03\0\0",
        b"\0\0\0\x07\0\x03\0\0",
        b"\0\0\0\x08\0\x02\0\0",
    ];
    for case in cases {
        let mut stream = TcpStream::connect(front.address).await.unwrap();
        stream.write_all(case).await.unwrap();
        let mut answer = Vec::new();

        stream.read_to_end(&mut answer).await.unwrap();

        assert!(String::from_utf8_lossy(&answer).contains("08P01"));
    }
}
