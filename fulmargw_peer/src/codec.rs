//! MessagePack encoding of the remote procedures, with counters per mechanism.

use crate::{
    forward::{ForwardRequest, ForwardResponse},
    service::{ControlRequest, ControlResponse},
};
use bytes::{Bytes, BytesMut};
use metrics::counter;
use serde::{Deserialize, Serialize, de::DeserializeOwned, de::IgnoredAny};
use std::{io, pin::Pin, time::Duration};
use tarpc::{ClientMessage, Response};
use tokio_serde::{Deserializer, Serializer};
use tokio_util::codec::LengthDelimitedCodec;

/// The largest frame, in bytes; a configuration of the target size fits.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// The longest deadline that a request may carry.
///
/// `tarpc` adds the deadline to the current time without a check, and that addition panics
/// for a value near the greatest duration.
const LONGEST_DEADLINE: Duration = Duration::from_mins(1);

/// Encodes and decodes the messages of one connection.
#[derive(Debug, Clone, Copy, Default)]
pub struct Codec;

/// A message whose mechanism is known.
pub trait Traffic {
    /// Returns the label of the counters.
    fn mechanism(&self) -> &'static str;

    /// Checks an encoded message for values that `tarpc` does not bear.
    ///
    /// # Errors
    ///
    /// If the message must not be decoded.
    fn check(frame: &[u8]) -> io::Result<()>;
}

impl Traffic for ClientMessage<ControlRequest> {
    fn mechanism(&self) -> &'static str {
        match self {
            Self::Request(request) => request_mechanism(&request.message),
            _ => "cancel",
        }
    }

    fn check(frame: &[u8]) -> io::Result<()> {
        check_deadline(frame)
    }
}

impl Traffic for ClientMessage<ForwardRequest> {
    fn mechanism(&self) -> &'static str {
        match self {
            Self::Request(request) => match &request.message {
                ForwardRequest::Run { .. } => "run",
                ForwardRequest::Release { .. } => "release",
                ForwardRequest::Reaches { .. } => "reaches",
                ForwardRequest::Acknowledged { .. } => "acknowledged",
                ForwardRequest::Ping { .. } => "ping",
            },
            _ => "cancel",
        }
    }

    fn check(frame: &[u8]) -> io::Result<()> {
        check_deadline(frame)
    }
}

impl Traffic for Response<ForwardResponse> {
    fn mechanism(&self) -> &'static str {
        match &self.message {
            Ok(ForwardResponse::Run(_)) => "run",
            Ok(ForwardResponse::Release(())) => "release",
            Ok(ForwardResponse::Reaches(_)) => "reaches",
            Ok(ForwardResponse::Acknowledged(_)) => "acknowledged",
            Ok(ForwardResponse::Ping(())) => "ping",
            Err(_) => "error",
        }
    }

    fn check(_: &[u8]) -> io::Result<()> {
        Ok(())
    }
}

fn check_deadline(frame: &[u8]) -> io::Result<()> {
    match decode::<Envelope>(frame)? {
        Envelope::Request((context, ..)) if context.0 > LONGEST_DEADLINE => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the deadline is too far away",
        )),
        _ => Ok(()),
    }
}

impl Traffic for Response<ControlResponse> {
    fn mechanism(&self) -> &'static str {
        match &self.message {
            Ok(response) => response_mechanism(response),
            Err(_) => "error",
        }
    }

    fn check(_: &[u8]) -> io::Result<()> {
        Ok(())
    }
}

fn request_mechanism(request: &ControlRequest) -> &'static str {
    match request {
        ControlRequest::Confirm { .. } => "confirm",
        ControlRequest::Consent { .. } => "consent",
        ControlRequest::Note { .. } => "note",
        ControlRequest::Borrow { .. } => "borrow",
        ControlRequest::Announce { .. } => "announce",
        ControlRequest::Push { .. } => "push",
    }
}

fn response_mechanism(response: &ControlResponse) -> &'static str {
    match response {
        ControlResponse::Confirm(_) => "confirm",
        ControlResponse::Consent(_) => "consent",
        ControlResponse::Note(_) => "note",
        ControlResponse::Borrow(_) => "borrow",
        ControlResponse::Announce(()) => "announce",
        ControlResponse::Push(_) => "push",
    }
}

/// The outer form of `tarpc`'s client messages, as far as it is checked.
#[derive(Debug, Deserialize)]
enum Envelope {
    Request(((Duration, IgnoredAny), IgnoredAny, IgnoredAny)),
    Cancel(IgnoredAny),
}

impl<M: Traffic + DeserializeOwned> Deserializer<M> for Codec {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, frame: &BytesMut) -> io::Result<M> {
        M::check(frame)?;
        let message: M = decode(frame)?;
        count(&message, frame.len());
        Ok(message)
    }
}

impl<M: Traffic + Serialize> Serializer<M> for Codec {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, message: &M) -> io::Result<Bytes> {
        let frame = rmp_serde::to_vec(message).map_err(invalid)?;
        count(message, frame.len());
        Ok(frame.into())
    }
}

/// Returns the framing of a connection.
#[must_use]
pub fn framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

fn decode<T: DeserializeOwned>(frame: &[u8]) -> io::Result<T> {
    rmp_serde::from_slice(frame).map_err(invalid)
}

fn invalid(cause: impl std::error::Error + Send + Sync + 'static) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause)
}

fn count(message: &impl Traffic, bytes: usize) {
    let mechanism = message.mechanism();
    counter!("fulmargw_control_messages_total", "mechanism" => mechanism).increment(1);
    counter!("fulmargw_control_bytes_total", "mechanism" => mechanism).increment(bytes as u64);
}
