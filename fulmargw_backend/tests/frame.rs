//! Splitting damaged streams into messages.

#[path = "fixture/message.rs"]
mod message;

use bytes::{Bytes, BytesMut};
use fulmargw_backend::{
    frame::{self, Codec, Error},
    group::Row,
};
use message::{complete, error, message, mutate, ready, row};
use tokio_util::codec::Decoder;

const MAX_BYTES: usize = 256;

fn stream() -> Vec<u8> {
    let messages = [
        row(&["primary", "3", "3", "3", "17", "3", "16", "0"]),
        complete("SELECT 1"),
        error("GR004", "3/17"),
        ready(b'I'),
    ];
    messages.concat()
}

/// Guards against panics and unlimited buffers on streams with damaged lengths or content.
#[test]
fn damaged_streams_end_in_frames_or_errors() {
    for seed in 0..20_000 {
        let mut buffer = BytesMut::from(&mutate(&stream(), seed)[..]);
        let mut codec = Codec::new(MAX_BYTES);

        while let Ok(Some(frame)) = codec.decode(&mut buffer) {
            assert!(frame.bytes.len() <= MAX_BYTES, "seed {seed}");
            let mut row = Row::new(frame.payload());
            let _ = row.status();
            let _ = Row::new(frame.payload()).position();
            let _ = frame::split_string(&mut frame.payload());
        }
    }
}

/// Guards against a length field that makes the reader buffer an oversized message.
#[test]
fn oversized_message_is_refused_by_its_header() {
    let mut buffer = BytesMut::from(&message(b'D', &[0; MAX_BYTES])[..5]);

    let decoded = Codec::new(MAX_BYTES).decode(&mut buffer);

    assert!(matches!(
        decoded,
        Err(Error::TooLarge {
            limit: MAX_BYTES,
            ..
        })
    ));
}

/// Guards against an endless loop of the reader on a length below the size of the length field.
#[test]
fn length_below_its_own_size_is_refused() {
    let mut buffer = BytesMut::from(&b"D\0\0\0\x03rest"[..]);

    let decoded = Codec::new(MAX_BYTES).decode(&mut buffer);

    assert!(matches!(decoded, Err(Error::Length(3))));
}

/// Guards against an endless loop or a panic when messages are truncated.
#[test]
fn split_stops_at_a_truncated_message() {
    let whole = stream();
    let truncated = Bytes::from(whole[..whole.len() - 1].to_vec());

    let frames = frame::split(&truncated).count();

    assert_eq!(frames, 3);
}
