//! Framing of damaged streams.

#[path = "fixture/message.rs"]
mod message;

use bytes::{Bytes, BytesMut};
use fulmargw_backend::{
    frame::{self, Codec, Error},
    group::Row,
};
use message::{complete, error, message, mutate, ready, row};
use tokio_util::codec::Decoder;

const LIMIT: usize = 256;

fn stream() -> Vec<u8> {
    let messages = [
        row(&["primary", "3", "3", "3", "17", "3", "16", "0"]),
        complete("SELECT 1"),
        error("GR004", "3/17"),
        ready(b'I'),
    ];
    messages.concat()
}

/// Guards against panics and unbounded buffers on streams with damaged lengths and content.
#[test]
fn damaged_streams_end_in_frames_or_errors() {
    for seed in 0..20_000 {
        let mut buffer = BytesMut::from(&mutate(&stream(), seed)[..]);
        let mut codec = Codec::new(LIMIT);

        while let Ok(Some(frame)) = codec.decode(&mut buffer) {
            assert!(frame.bytes.len() <= LIMIT, "seed {seed}");
            let mut row = Row::new(frame.payload());
            let _ = row.status();
            let _ = Row::new(frame.payload()).position();
            let _ = frame::split_string(&mut frame.payload());
        }
    }
}

/// Guards against a stated length that makes the reader wait for, and keep, too much.
#[test]
fn too_long_message_is_refused_by_its_header() {
    let mut buffer = BytesMut::from(&message(b'D', &[0; LIMIT])[..5]);

    let decoded = Codec::new(LIMIT).decode(&mut buffer);

    assert!(matches!(decoded, Err(Error::TooLarge { limit: LIMIT, .. })));
}

/// Guards against a length below its own size, which would make the reader loop.
#[test]
fn too_short_length_is_refused() {
    let mut buffer = BytesMut::from(&b"D\0\0\0\x03rest"[..]);

    let decoded = Codec::new(LIMIT).decode(&mut buffer);

    assert!(matches!(decoded, Err(Error::Length(3))));
}

/// Guards against an endless or failing split of messages that are cut short.
#[test]
fn split_stops_at_a_cut_message() {
    let whole = stream();
    let cut = Bytes::from(whole[..whole.len() - 1].to_vec());

    let frames = frame::split(&cut).count();

    assert_eq!(frames, 3);
}
