//! Damaged messages of callers.

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

/// Returns the messages of a session that uses most message types.
fn session_messages() -> Vec<u8> {
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

/// Changes, inserts or removes a few bytes. The pseudo-random choice depends only on `seed`.
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
        let index = usize::try_from(next()).unwrap_or(0) % changed.len();
        let value = u8::try_from(next() & 0xff).unwrap_or(0);
        match next() % 4 {
            0 => changed.insert(index, value),
            1 => drop(changed.remove(index)),
            _ => changed[index] = value,
        }
    }
    changed
}

/// Guards against damaged messages that make a session panic or stay open. Each session must end
/// without a panic once its input has ended.
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
    let frontend = start(limits).await;
    frontend.engine.state.lock().unwrap().has_empty_responses = true;

    for seed in 0..1000 {
        let mut stream = TcpStream::connect(frontend.address).await.unwrap();
        stream
            .write_all(&mutate(&session_messages(), seed))
            .await
            .unwrap();
        // These calls fail if the session has already ended.
        let _ = stream.shutdown().await;
        let mut response = Vec::new();
        let end = stream.read_to_end(&mut response);
        let end = tokio::time::timeout(Duration::from_secs(1), end).await;
        assert!(end.is_ok(), "seed {seed}: the session stayed open");
    }

    assert_eq!(PANICS.load(Ordering::Relaxed), 0);
    assert!(
        frontend
            .connect("write")
            .await
            .simple_query("SELECT 1")
            .await
            .is_ok()
    );
}

/// Guards against memory that is allocated for a message of which only the length was sent.
#[tokio::test]
async fn message_length_is_limited_before_authentication() {
    let frontend = start(settings()).await;
    let cases: [&[u8]; 3] = [
        b"\x7f\xff\xff\xff\0\x03\0\0",
        b"\0\0\0\x07\0\x03\0\0",
        b"\0\0\0\x08\0\x02\0\0",
    ];
    for case in cases {
        let mut stream = TcpStream::connect(frontend.address).await.unwrap();
        stream.write_all(case).await.unwrap();
        let mut response = Vec::new();

        stream.read_to_end(&mut response).await.unwrap();

        assert!(String::from_utf8_lossy(&response).contains("08P01"));
    }
}
