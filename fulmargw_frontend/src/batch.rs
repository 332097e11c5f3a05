//! Batches of extended-protocol messages up to a `Sync`.

use crate::{
    error::Failure,
    prepared::{self, Store},
    settings::Settings,
    statement,
};
use bytes::{Bytes, BytesMut};
use fulmargw_backend::{
    batch::Batch,
    frame::{self, Frame},
};
use pgwire::messages::extendedquery::{Close, TARGET_TYPE_BYTE_STATEMENT};
use std::collections::HashSet;

/// Maximum number of messages of a batch. A decoded short message takes more memory than its
/// length, so the limit of the length alone would not bound the memory.
const MAX_OPERATIONS: usize = 10_000;

/// One extended-protocol message of a caller.
#[derive(Debug, Clone)]
pub enum Operation {
    /// Prepares a statement.
    Parse {
        /// Name of the statement.
        name: Bytes,
        /// The statement.
        prepared: prepared::Statement,
    },
    /// Creates a portal from a statement.
    Bind {
        /// Name of the portal.
        portal: Bytes,
        /// Name of the statement.
        statement: Bytes,
    },
    /// Describes a statement.
    DescribeStatement(Bytes),
    /// Describes a portal.
    DescribePortal(Bytes),
    /// Runs a portal.
    Execute(Bytes),
    /// Closes a statement.
    CloseStatement(Bytes),
    /// Closes a portal.
    ClosePortal(Bytes),
}

impl Operation {
    /// Decodes a message; returns `Ok(None)` if it is not part of the extended protocol.
    ///
    /// # Errors
    ///
    /// If the message is malformed or its statement is not supported.
    pub fn decode(frame: &Frame) -> Result<Option<Self>, Failure> {
        let mut payload = frame.payload();
        let truncated = || Failure::protocol_violation("truncated message");
        let name = |payload: &mut Bytes| {
            let name = frame::split_string(payload).ok_or_else(truncated)?;
            std::str::from_utf8(&name).map_err(|_| Failure::invalid_encoding())?;
            Ok(name)
        };
        let operation = match frame.tag {
            b'P' => {
                let name = name(&mut payload)?;
                let text = frame::split_string(&mut payload).ok_or_else(truncated)?;
                let text = std::str::from_utf8(&text).map_err(|_| Failure::invalid_encoding())?;
                let prepared = prepared::Statement {
                    parse: frame.bytes.clone(),
                    kind: statement::classify(text)?,
                };
                Self::Parse { name, prepared }
            }
            b'B' => Self::Bind {
                portal: name(&mut payload)?,
                statement: name(&mut payload)?,
            },
            b'E' => Self::Execute(name(&mut payload)?),
            b'D' | b'C' => {
                let target = payload.split_to(payload.len().min(1));
                let name = name(&mut payload)?;
                match (frame.tag, &target[..]) {
                    (b'D', b"S") => Self::DescribeStatement(name),
                    (b'D', b"P") => Self::DescribePortal(name),
                    (_, b"S") => Self::CloseStatement(name),
                    (_, b"P") => Self::ClosePortal(name),
                    _ => {
                        return Err(Failure::protocol_violation(
                            "Describe or Close of an unknown kind of object",
                        ));
                    }
                }
            }
            _ => return Ok(None),
        };
        Ok(Some(operation))
    }
}

/// Collects the messages of a batch until its `Sync`.
#[derive(Debug, Default)]
pub struct Collector {
    messages: BytesMut,
    operations: Vec<Operation>,
}

impl Collector {
    /// Returns whether there are no messages.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Adds a message.
    ///
    /// # Errors
    ///
    /// If the batch has too many messages or bytes.
    pub fn add(
        &mut self,
        frame: &Frame,
        operation: Operation,
        settings: &Settings,
    ) -> Result<(), Failure> {
        let limit = settings.maximum_frame_bytes;
        if self.messages.len() + frame.bytes.len() > limit {
            return Err(Failure::limit_exceeded("bytes before a Sync", limit));
        }
        if self.operations.len() >= MAX_OPERATIONS {
            return Err(Failure::limit_exceeded(
                "messages before a Sync",
                MAX_OPERATIONS,
            ));
        }
        self.messages.extend_from_slice(&frame.bytes);
        self.operations.push(operation);
        Ok(())
    }

    /// Takes the whole batch when its `Sync` arrives.
    pub fn take(&mut self, sync: &Frame) -> Pipeline {
        self.messages.extend_from_slice(&sync.bytes);
        Pipeline {
            messages: self.messages.split().freeze(),
            operations: std::mem::take(&mut self.operations),
        }
    }

    /// Discards the batch after an error in it.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

/// The messages of a complete batch.
#[derive(Debug)]
pub struct Pipeline {
    /// The encoded messages with the `Sync`.
    messages: Bytes,
    /// The decoded messages in order, without the `Sync`.
    pub operations: Vec<Operation>,
}

impl Pipeline {
    /// Returns the body for the backend server: the batch after messages that replay the session's
    /// prepared statements to which the batch refers.
    ///
    /// Each name is closed first, because another session may have left a statement with that name
    /// on the connection. A name that the session does not have thus stays unknown.
    #[must_use]
    pub fn to_batch(&self, store: &Store) -> Batch {
        let mut replay = BytesMut::new();
        let mut replayed = 0;
        let mut seen = HashSet::new();
        for operation in &self.operations {
            let (name, is_parse) = match operation {
                Operation::Parse { name, .. } => (name, true),
                Operation::Bind {
                    statement: name, ..
                }
                | Operation::DescribeStatement(name)
                | Operation::CloseStatement(name) => (name, false),
                _ => continue,
            };
            // Parsing an unnamed statement replaces an existing one without an error.
            if !seen.insert(name.clone()) || (is_parse && name.is_empty()) {
                continue;
            }
            append_close(&mut replay, name);
            replayed += 1;
            if let Some(prepared) = store.get(name) {
                replay.extend_from_slice(&prepared.parse);
                replayed += 1;
            }
        }
        Batch {
            messages: concatenate(replay, self.messages.clone()),
            replayed,
        }
    }

    /// Returns whether the batch has a `Parse` or `Close` message.
    #[must_use]
    pub fn parses_or_closes(&self) -> bool {
        self.operations.iter().any(|operation| {
            matches!(
                operation,
                Operation::Parse { .. } | Operation::CloseStatement(_) | Operation::ClosePortal(_)
            )
        })
    }

    /// Returns the number of the named statements that the batch prepares, and their total length
    /// in bytes.
    #[must_use]
    pub fn added_statements(&self) -> (usize, usize) {
        let parsed = self
            .operations
            .iter()
            .filter_map(|operation| match operation {
                Operation::Parse { name, prepared } if !name.is_empty() => {
                    Some(prepared.parse.len())
                }
                _ => None,
            });
        parsed.fold((0, 0), |(count, bytes), length| (count + 1, bytes + length))
    }
}

fn append_close(replay: &mut BytesMut, name: &Bytes) {
    // The name is valid UTF-8, as checked when the message was decoded.
    let name = String::from_utf8_lossy(name).into_owned();
    let close = Close::new(TARGET_TYPE_BYTE_STATEMENT, Some(name));
    if let Err(error) = frame::append(replay, &close) {
        log::error!("cannot encode a Close message: {error}");
    }
}

fn concatenate(mut replay: BytesMut, messages: Bytes) -> Bytes {
    if replay.is_empty() {
        return messages;
    }
    replay.extend_from_slice(&messages);
    replay.freeze()
}
