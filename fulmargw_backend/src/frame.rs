//! Framing of PostgreSQL messages that start with a type byte; their content is not decoded.

use bytes::{Buf, Bytes, BytesMut};
use pgwire::{error::PgWireError, messages::Message};
use std::io;
use tokio_util::codec::Decoder;

/// Length of a message header in bytes: the type byte and the length field.
pub const HEADER_BYTES: usize = 5;

/// Length of the length field in bytes, which its value includes.
const LENGTH_FIELD_BYTES: usize = 4;

/// One encoded message. Its content is relayed without decoding, because `pgwire` replaces bytes
/// that are not UTF-8 and panics on truncated content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Type byte of the message.
    pub tag: u8,
    /// The whole message with its header.
    pub bytes: Bytes,
}

impl Frame {
    /// Returns the content of the message, which follows the header.
    #[must_use]
    pub fn payload(&self) -> Bytes {
        self.bytes.slice(HEADER_BYTES..)
    }
}

/// Errors of splitting a stream into messages.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the stream failed: {0}
    Io(io::Error),
    /// message length {0} is invalid
    Length(u32),
    /// message of {length} bytes exceeds the limit of {limit} bytes
    TooLarge {
        /// Length of the message according to its header, in bytes.
        length: usize,
        /// Greatest accepted length, in bytes.
        limit: usize,
    },
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Decoder that splits a stream into frames of limited length.
#[derive(Debug)]
pub struct Codec {
    max_bytes: usize,
}

impl Codec {
    /// Creates a codec that accepts messages of up to `max_bytes` bytes including the header.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self { max_bytes }
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let Some(length) = message_length(buffer)? else {
            return Ok(None);
        };
        if length > self.max_bytes {
            return Err(Error::TooLarge {
                length,
                limit: self.max_bytes,
            });
        }
        if buffer.len() < length {
            return Ok(None);
        }
        let bytes = buffer.split_to(length).freeze();
        Ok(Some(Frame {
            tag: bytes[0],
            bytes,
        }))
    }
}

/// Returns the length of the first message including its header, or `None` if the header is
/// incomplete.
fn message_length(buffer: &[u8]) -> Result<Option<usize>, Error> {
    if buffer.len() < HEADER_BYTES {
        return Ok(None);
    }
    let length_field = (&buffer[1..HEADER_BYTES]).get_u32();
    match usize::try_from(length_field) {
        Ok(length) if length >= LENGTH_FIELD_BYTES => Ok(Some(length.saturating_add(1))),
        _ => Err(Error::Length(length_field)),
    }
}

/// Returns the length that the first message in a buffer announces, including its header; `None` if
/// the header is incomplete or invalid.
#[must_use]
pub fn announced_length(buffer: &[u8]) -> Option<usize> {
    message_length(buffer).ok().flatten()
}

/// Splits encoded messages into frames and stops at a truncated message.
pub fn split(messages: &Bytes) -> impl Iterator<Item = Frame> {
    let mut rest = messages.clone();
    std::iter::from_fn(move || {
        let length = message_length(&rest).ok().flatten()?;
        if rest.len() < length {
            return None;
        }
        let bytes = rest.split_to(length);
        Some(Frame {
            tag: bytes[0],
            bytes,
        })
    })
}

/// Removes a NUL-terminated string from the front of a payload; `None` if no NUL byte is found.
pub fn split_string(payload: &mut Bytes) -> Option<Bytes> {
    let end = payload.iter().position(|byte| *byte == 0)?;
    let text = payload.split_to(end);
    payload.advance(1);
    Some(text)
}

/// Encodes a message and appends it to a buffer.
///
/// # Errors
///
/// If the message is longer than the protocol allows; the buffer is then unchanged.
pub fn append(buffer: &mut BytesMut, message: &impl Message) -> Result<(), PgWireError> {
    let start = buffer.len();
    message
        .encode(buffer)
        .inspect_err(|_| buffer.truncate(start))
}
