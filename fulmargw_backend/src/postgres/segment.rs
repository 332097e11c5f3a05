//! The response of a backend server up to one `ReadyForQuery`.

use crate::{
    batch::Answer,
    connection::{Kind, TransactionState},
    frame::{self, Frame},
    group::{Row, ServerError},
};
use bytes::{Bytes, BytesMut};
use fulmargw_model::outcome::Step;
use pgwire::messages::{
    DecodeContext, Message,
    response::{CommandComplete, ErrorResponse},
};

/// Maximum length of the response to a statement that this host adds, in bytes.
const MAX_WRAPPING_BYTES: usize = 64 * 1024;

/// SQLSTATE of the error that replaces a response above the limit.
const PROGRAM_LIMIT_EXCEEDED: &str = "54000";

/// The response to one `Query` or `Sync`.
#[derive(Debug)]
pub struct Segment {
    /// Step of the task that the statement belongs to.
    pub step: Step,
    /// First error of the response.
    pub error: Option<ServerError>,
    /// Command tag of the last completed statement.
    pub command_tag: String,
    /// Transaction state at the end of the response.
    pub transaction: TransactionState,
    max_bytes: usize,
    /// Completions of replayed statements that are still expected.
    replayed: usize,
    is_oversized: bool,
    messages: BytesMut,
    first_row: Option<Frame>,
}

impl Segment {
    /// Expects the response to a statement that this host adds around those of a caller.
    pub fn wrapping(step: Step) -> Self {
        Self::body(step, MAX_WRAPPING_BYTES, 0)
    }

    /// Expects the response to a caller's statements, of up to `max_bytes` bytes. The completions
    /// of the first `replayed` messages are left out.
    pub fn body(step: Step, max_bytes: usize, replayed: usize) -> Self {
        Self {
            step,
            error: None,
            command_tag: String::new(),
            transaction: TransactionState::Idle,
            max_bytes,
            replayed,
            is_oversized: false,
            messages: BytesMut::new(),
            first_row: None,
        }
    }

    /// Adds a message and returns whether it is the final `ReadyForQuery`.
    pub fn add(&mut self, frame: &Frame) -> Result<bool, Kind> {
        match frame.tag {
            b'Z' => {
                self.transaction = decode_transaction(frame)?;
                return Ok(true);
            }
            // Parameter changes and notifications concern the shared connection, not a caller.
            b'S' | b'A' | b'K' => return Ok(false),
            b'G' | b'H' | b'W' => return Err(Kind::Protocol("COPY is not supported".into())),
            b'1' | b'3' if self.replayed > 0 => {
                self.replayed -= 1;
                return Ok(false);
            }
            b'E' => self.add_error(frame),
            b'C' => self.command_tag = decode_command_tag(frame),
            b'D' if self.first_row.is_none() => self.first_row = Some(frame.clone()),
            _ => {}
        }
        self.append(frame);
        Ok(false)
    }

    fn add_error(&mut self, frame: &Frame) {
        if self.error.is_none() {
            self.error = Some(decode_error(frame));
        }
    }

    /// Appends a message to the response. Above the limit the whole response is discarded, but
    /// still read to its end, because the statements after it have already been sent.
    fn append(&mut self, frame: &Frame) {
        self.is_oversized |= self.messages.len() + frame.bytes.len() > self.max_bytes;
        if self.is_oversized {
            self.messages = BytesMut::new();
            self.first_row = None;
        } else {
            self.messages.extend_from_slice(&frame.bytes);
        }
    }

    /// Returns whether the last statement committed a transaction.
    pub fn is_commit(&self) -> bool {
        self.error.is_none() && self.command_tag == "COMMIT"
    }

    /// Replaces the transaction state by that after a later statement.
    pub fn with_transaction(mut self, transaction: TransactionState) -> Self {
        self.transaction = transaction;
        self
    }

    /// Takes the first row of the response.
    pub fn take_row(&mut self) -> Option<Row> {
        self.first_row.take().map(|frame| Row::new(frame.payload()))
    }

    /// Returns the response for the caller, with the transaction state after the whole task.
    pub fn into_answer(self, transaction: TransactionState) -> Answer {
        let messages = if self.is_oversized {
            oversized_response(self.max_bytes)
        } else {
            self.messages.freeze()
        };
        Answer {
            messages,
            transaction,
        }
    }
}

fn decode_transaction(frame: &Frame) -> Result<TransactionState, Kind> {
    match frame.payload().first() {
        Some(b'I') => Ok(TransactionState::Idle),
        Some(b'T') => Ok(TransactionState::Open),
        Some(b'E') => Ok(TransactionState::Failed),
        _ => Err(Kind::Protocol("invalid transaction state".into())),
    }
}

fn decode_command_tag(frame: &Frame) -> String {
    let mut payload = BytesMut::from(frame.payload());
    let length = payload.len();
    CommandComplete::decode_body(&mut payload, length, &DecodeContext::default())
        .map(|complete| complete.tag)
        .unwrap_or_default()
}

/// Decodes an `ErrorResponse`.
pub fn decode_error(frame: &Frame) -> ServerError {
    let mut payload = BytesMut::from(frame.payload());
    // The decoder panics on a truncated message. Two NUL bytes end the last field and the list of
    // fields, so that it stops within the buffer.
    payload.extend_from_slice(&[0, 0]);
    let length = payload.len();
    let fields = ErrorResponse::decode_body(&mut payload, length, &DecodeContext::default())
        .map(|response| response.fields)
        .unwrap_or_default();
    let field = |code: u8| {
        let found = fields.iter().find(|field| field.0 == code);
        found.map(|field| field.1.clone()).unwrap_or_default()
    };
    ServerError {
        code: field(b'C'),
        message: field(b'M'),
        detail: field(b'D'),
    }
}

/// Encodes the error that replaces a response above the limit.
fn oversized_response(max_bytes: usize) -> Bytes {
    let response = ErrorResponse::new(vec![
        (b'S', "ERROR".into()),
        (b'V', "ERROR".into()),
        (b'C', PROGRAM_LIMIT_EXCEEDED.into()),
        (
            b'M',
            format!("the response is larger than {max_bytes} bytes"),
        ),
        (b'D', "the request ran; its response was discarded".into()),
    ]);
    let mut messages = BytesMut::new();
    // Five short fields never exceed the maximum message length of the encoder.
    let _ = frame::append(&mut messages, &response);
    messages.freeze()
}
