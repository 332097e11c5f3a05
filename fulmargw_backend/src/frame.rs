//! Framing of PostgreSQL messages that carry a type byte, without decoding their content.

use bytes::{Buf, Bytes, BytesMut};
use pgwire::{error::PgWireError, messages::Message};
use std::io;
use tokio_util::codec::Decoder;

/// Bytes of the type and the length in front of each message.
pub const HEADER_BYTES: usize = 5;

/// Bytes that the length field itself counts.
const LENGTH_BYTES: usize = 4;

/// One encoded message. The content is relayed as it came, because `pgwire` replaces bytes
/// that are not UTF-8 and panics on content that is cut short.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Type of the message.
    pub tag: u8,
    /// The whole message with its header.
    pub bytes: Bytes,
}

impl Frame {
    /// Returns the content after the header.
    #[must_use]
    pub fn payload(&self) -> Bytes {
        self.bytes.slice(HEADER_BYTES..)
    }
}

/// Failures to split a stream into messages.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the stream failed: {0}
    Io(io::Error),
    /// message length {0} is not valid
    Length(u32),
    /// message of {length} bytes exceeds the limit of {limit} bytes
    TooLarge {
        /// Length that the message states, in bytes.
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

/// Splits a stream into frames of a bounded length.
#[derive(Debug)]
pub struct Codec {
    limit: usize,
}

impl Codec {
    /// Makes a codec that accepts messages of up to `limit` bytes with their header.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit }
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let Some(length) = message_length(buffer)? else {
            return Ok(None);
        };
        if length > self.limit {
            return Err(Error::TooLarge {
                length,
                limit: self.limit,
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

/// Reads the length of the first message with its header, if the header is complete.
fn message_length(buffer: &[u8]) -> Result<Option<usize>, Error> {
    if buffer.len() < HEADER_BYTES {
        return Ok(None);
    }
    let stated = (&buffer[1..HEADER_BYTES]).get_u32();
    match usize::try_from(stated) {
        Ok(length) if length >= LENGTH_BYTES => Ok(Some(length.saturating_add(1))),
        _ => Err(Error::Length(stated)),
    }
}

/// Splits encoded messages; stops at a message that is cut short.
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

/// Splits a NUL-terminated string off the front of a payload.
pub fn split_string(payload: &mut Bytes) -> Option<Bytes> {
    let end = payload.iter().position(|byte| *byte == 0)?;
    let text = payload.split_to(end);
    payload.advance(1);
    Some(text)
}

/// Appends an encoded message.
///
/// # Errors
///
/// If the message is longer than the protocol allows; nothing is appended then.
pub fn append(buffer: &mut BytesMut, message: &impl Message) -> Result<(), PgWireError> {
    let start = buffer.len();
    message
        .encode(buffer)
        .inspect_err(|_| buffer.truncate(start))
}
