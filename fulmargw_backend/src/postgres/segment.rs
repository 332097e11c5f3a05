//! The messages of a backend server up to one `ReadyForQuery`.

use crate::{
    batch::Answer,
    connection::{Kind, TransactionState},
    frame::{self, Frame},
    group::{Fault, Row},
};
use bytes::{Bytes, BytesMut};
use fulmargw_model::outcome::Step;
use pgwire::messages::{
    DecodeContext, Message,
    response::{CommandComplete, ErrorResponse},
};

/// Greatest length of the kept messages of a wrapping statement, in bytes.
const WRAPPING_LIMIT_BYTES: usize = 64 * 1024;

/// SQLSTATE for an answer that is larger than the limit.
const PROGRAM_LIMIT_EXCEEDED: &str = "54000";

/// The answer to one `Query` or `Sync`.
#[derive(Debug)]
pub struct Segment {
    /// Step that the statement belongs to.
    pub step: Step,
    /// First error.
    pub fault: Option<Fault>,
    /// Tag of the last completed command.
    pub command: String,
    /// Transaction state at the end.
    pub transaction: TransactionState,
    limit: usize,
    replayed: usize,
    exceeded: bool,
    messages: BytesMut,
    row: Option<Frame>,
}

impl Segment {
    /// Expects the answer to a statement of this host.
    pub fn wrapping(step: Step) -> Self {
        Self::body(step, WRAPPING_LIMIT_BYTES, 0)
    }

    /// Expects an answer of up to `limit` bytes, of which the first `replayed` completions of
    /// replayed statements are left out.
    pub fn body(step: Step, limit: usize, replayed: usize) -> Self {
        Self {
            step,
            fault: None,
            command: String::new(),
            transaction: TransactionState::Idle,
            limit,
            replayed,
            exceeded: false,
            messages: BytesMut::new(),
            row: None,
        }
    }

    /// Adds a message; returns true if it is the `ReadyForQuery`.
    pub fn add(&mut self, frame: &Frame) -> Result<bool, Kind> {
        match frame.tag {
            b'Z' => {
                self.transaction = transaction(frame)?;
                return Ok(true);
            }
            // Settings and notifications belong to the shared connection, not to a caller.
            b'S' | b'A' | b'K' => return Ok(false),
            b'G' | b'H' | b'W' => return Err(Kind::Protocol("COPY is not supported".into())),
            b'1' | b'3' if self.replayed > 0 => {
                self.replayed -= 1;
                return Ok(false);
            }
            b'E' => self.add_fault(frame),
            b'C' => self.command = command(frame),
            b'D' if self.row.is_none() => self.row = Some(frame.clone()),
            _ => {}
        }
        self.keep(frame);
        Ok(false)
    }

    fn add_fault(&mut self, frame: &Frame) {
        if self.fault.is_none() {
            self.fault = Some(fault(frame));
        }
    }

    /// Keeps a message within the limit; beyond it the whole answer is dropped but read on,
    /// because the statements after it are already sent.
    fn keep(&mut self, frame: &Frame) {
        self.exceeded |= self.messages.len() + frame.bytes.len() > self.limit;
        if self.exceeded {
            self.messages = BytesMut::new();
            self.row = None;
        } else {
            self.messages.extend_from_slice(&frame.bytes);
        }
    }

    /// Reports whether the last command was a commit.
    pub fn is_commit(&self) -> bool {
        self.fault.is_none() && self.command == "COMMIT"
    }

    /// Replaces the transaction state by the one after a later statement.
    pub fn ending(mut self, transaction: TransactionState) -> Self {
        self.transaction = transaction;
        self
    }

    /// Takes the first row.
    pub fn take_row(&mut self) -> Option<Row> {
        self.row.take().map(|frame| Row::new(frame.payload()))
    }

    /// Makes the answer for the caller with the transaction state after the whole task.
    pub fn into_answer(self, transaction: TransactionState) -> Answer {
        let messages = if self.exceeded {
            too_large(self.limit)
        } else {
            self.messages.freeze()
        };
        Answer {
            messages,
            transaction,
        }
    }
}

fn transaction(frame: &Frame) -> Result<TransactionState, Kind> {
    match frame.payload().first() {
        Some(b'I') => Ok(TransactionState::Idle),
        Some(b'T') => Ok(TransactionState::Open),
        Some(b'E') => Ok(TransactionState::Failed),
        _ => Err(Kind::Protocol("transaction state is not valid".into())),
    }
}

fn command(frame: &Frame) -> String {
    let mut payload = BytesMut::from(frame.payload());
    let length = payload.len();
    CommandComplete::decode_body(&mut payload, length, &DecodeContext::default())
        .map(|complete| complete.tag)
        .unwrap_or_default()
}

/// Decodes an `ErrorResponse`.
pub fn fault(frame: &Frame) -> Fault {
    let mut payload = BytesMut::from(frame.payload());
    // The decoder reads until a NUL in place of a field type. Two of them end every field
    // list, so a response that is cut short does not make it panic.
    payload.extend_from_slice(&[0, 0]);
    let length = payload.len();
    let fields = ErrorResponse::decode_body(&mut payload, length, &DecodeContext::default())
        .map(|response| response.fields)
        .unwrap_or_default();
    let field = |code: u8| {
        let found = fields.iter().find(|field| field.0 == code);
        found.map(|field| field.1.clone()).unwrap_or_default()
    };
    Fault {
        code: field(b'C'),
        message: field(b'M'),
        detail: field(b'D'),
    }
}

fn too_large(limit: usize) -> Bytes {
    let response = ErrorResponse::new(vec![
        (b'S', "ERROR".into()),
        (b'V', "ERROR".into()),
        (b'C', PROGRAM_LIMIT_EXCEEDED.into()),
        (b'M', format!("the answer is larger than {limit} bytes")),
        (b'D', "the request ran; its answer was dropped".into()),
    ]);
    let mut messages = BytesMut::new();
    // A response of five short fields is always within the limit of the encoder.
    let _ = frame::append(&mut messages, &response);
    messages.freeze()
}
