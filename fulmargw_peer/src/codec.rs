//! MessagePack encoding of the RPC messages, with counters per method.

use crate::{
    forward::{ForwardRequest, ForwardResponse},
    service::{ControlRequest, ControlResponse},
};
use bytes::{Bytes, BytesMut};
use fulmargw_budget::{
    frame::{self, Frames},
    slot::Slots,
};
use metrics::counter;
use serde::{Deserialize, Serialize, de::DeserializeOwned, de::IgnoredAny};
use std::{io, pin::Pin, time::Duration};
use tarpc::{ClientMessage, Response, context};
use tokio::{net::TcpListener, time::Instant};
use tokio_serde::{Deserializer, Serializer};
use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame, in bytes. A configuration of the planned maximum size fits into it.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Longest time until the deadline that a request may carry.
///
/// `tarpc` adds this time to the current time without an overflow check and panics for values
/// near the greatest duration.
const MAX_DEADLINE: Duration = Duration::from_hours(1);

/// Connections of peers to a listener whose process sets no limit.
const DEFAULT_CONNECTIONS: usize = 1_024;

/// Bounds the connections and frames of a listener.
#[must_use]
pub fn bounded(listener: TcpListener, slots: Slots, frames: Frames) -> frame::Listener {
    frame::Listener::new(listener, slots, frames, MAX_FRAME_BYTES)
}

/// Bounds the connections and frames of a listener whose process sets no limit: many connections,
/// and one large frame at a time.
#[must_use]
pub fn bounded_by_default(listener: TcpListener) -> frame::Listener {
    let slots = Slots::new("peer", DEFAULT_CONNECTIONS);
    let frames = Frames::new(MAX_FRAME_BYTES, MAX_FRAME_BYTES);
    bounded(listener, slots, frames)
}

/// Returns the context of a request with a deadline. The receiver rejects one that is too far away, and
/// closes the connection, so a later one is brought forward.
pub(crate) fn context(deadline: Instant) -> context::Context {
    let latest = Instant::now() + MAX_DEADLINE;
    let mut context = context::current();
    context.deadline = deadline.min(latest).into_std();
    context
}

/// Encodes and decodes the messages of one connection.
#[derive(Debug, Clone, Copy, Default)]
pub struct Codec;

/// An RPC message that is counted per method and validated before it is decoded.
pub trait Message {
    /// Returns the name of the RPC method, `cancel` or `error`. It labels the counters.
    fn method_name(&self) -> &'static str;

    /// Checks an encoded message for values with which `tarpc` would panic.
    ///
    /// # Errors
    ///
    /// If the message must not be decoded.
    fn validate(frame: &[u8]) -> io::Result<()>;
}

impl Message for ClientMessage<ControlRequest> {
    fn method_name(&self) -> &'static str {
        match self {
            Self::Request(request) => request_method(&request.message),
            _ => "cancel",
        }
    }

    fn validate(frame: &[u8]) -> io::Result<()> {
        validate_deadline(frame)
    }
}

impl Message for ClientMessage<ForwardRequest> {
    fn method_name(&self) -> &'static str {
        match self {
            Self::Request(request) => match &request.message {
                ForwardRequest::Run { .. } => "run",
                ForwardRequest::Release { .. } => "release",
                ForwardRequest::Reaches { .. } => "reaches",
                ForwardRequest::Acknowledged { .. } => "acknowledged",
                ForwardRequest::Ping { .. } => "ping",
                ForwardRequest::Sample { .. } => "sample",
                ForwardRequest::RaiseBarrier { .. } => "raise_barrier",
                ForwardRequest::LiftBarrier { .. } => "lift_barrier",
            },
            _ => "cancel",
        }
    }

    fn validate(frame: &[u8]) -> io::Result<()> {
        validate_deadline(frame)
    }
}

impl Message for Response<ForwardResponse> {
    fn method_name(&self) -> &'static str {
        match &self.message {
            Ok(ForwardResponse::Run(_)) => "run",
            Ok(ForwardResponse::Release(())) => "release",
            Ok(ForwardResponse::Reaches(_)) => "reaches",
            Ok(ForwardResponse::Acknowledged(_)) => "acknowledged",
            Ok(ForwardResponse::Ping(())) => "ping",
            Ok(ForwardResponse::Sample(_)) => "sample",
            Ok(ForwardResponse::RaiseBarrier(_)) => "raise_barrier",
            Ok(ForwardResponse::LiftBarrier(())) => "lift_barrier",
            Err(_) => "error",
        }
    }

    fn validate(_: &[u8]) -> io::Result<()> {
        Ok(())
    }
}

fn validate_deadline(frame: &[u8]) -> io::Result<()> {
    match decode::<Envelope>(frame)? {
        Envelope::Request((context, ..)) if context.0 > MAX_DEADLINE => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the deadline is too far away",
        )),
        _ => Ok(()),
    }
}

impl Message for Response<ControlResponse> {
    fn method_name(&self) -> &'static str {
        match &self.message {
            Ok(response) => response_method(response),
            Err(_) => "error",
        }
    }

    fn validate(_: &[u8]) -> io::Result<()> {
        Ok(())
    }
}

fn request_method(request: &ControlRequest) -> &'static str {
    match request {
        ControlRequest::Confirm { .. } => "confirm",
        ControlRequest::Consent { .. } => "consent",
        ControlRequest::Note { .. } => "note",
        ControlRequest::Borrow { .. } => "borrow",
        ControlRequest::Announce { .. } => "announce",
        ControlRequest::Push { .. } => "push",
    }
}

fn response_method(response: &ControlResponse) -> &'static str {
    match response {
        ControlResponse::Confirm(_) => "confirm",
        ControlResponse::Consent(_) => "consent",
        ControlResponse::Note(_) => "note",
        ControlResponse::Borrow(_) => "borrow",
        ControlResponse::Announce(()) => "announce",
        ControlResponse::Push(_) => "push",
    }
}

/// The part of `tarpc`'s client messages that is validated.
#[derive(Debug, Deserialize)]
enum Envelope {
    Request(((Duration, IgnoredAny), IgnoredAny, IgnoredAny)),
    Cancel(IgnoredAny),
}

impl<M: Message + DeserializeOwned> Deserializer<M> for Codec {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, frame: &BytesMut) -> io::Result<M> {
        M::validate(frame)?;
        let message: M = decode(frame)?;
        count_message(&message, frame.len());
        Ok(message)
    }
}

impl<M: Message + Serialize> Serializer<M> for Codec {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, message: &M) -> io::Result<Bytes> {
        let frame = rmp_serde::to_vec(message).map_err(invalid)?;
        count_message(message, frame.len());
        Ok(frame.into())
    }
}

/// Returns the codec that frames the messages of a connection by length.
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

fn count_message(message: &impl Message, bytes: usize) {
    let method = message.method_name();
    counter!("fulmargw_control_messages_total", "mechanism" => method).increment(1);
    counter!("fulmargw_control_bytes_total", "mechanism" => method).increment(bytes as u64);
}
