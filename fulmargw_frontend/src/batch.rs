//! Collection of extended-protocol messages up to a `Sync`, and what they ask for.

use crate::{
    error::Failure,
    prepared::{Prepared, Store},
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

/// Messages of one batch. Short messages take more memory than their length once they are
/// recognised, so their number has a limit of its own.
const MAXIMUM_OPERATIONS: usize = 10_000;

/// One extended-protocol message of a caller.
#[derive(Debug, Clone)]
pub enum Operation {
    /// Prepares a statement.
    Parse {
        /// Name of the statement.
        name: Bytes,
        /// The statement.
        prepared: Prepared,
    },
    /// Makes a portal from a statement.
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
    /// Reads a message; `Ok(None)` is a message of another protocol part.
    ///
    /// # Errors
    ///
    /// If the message is malformed or its statement is not supported.
    pub fn read(frame: &Frame) -> Result<Option<Self>, Failure> {
        let mut payload = frame.payload();
        let malformed = || Failure::protocol("message is cut short");
        let name = |payload: &mut Bytes| {
            let name = frame::split_string(payload).ok_or_else(malformed)?;
            std::str::from_utf8(&name).map_err(|_| Failure::encoding())?;
            Ok(name)
        };
        let operation = match frame.tag {
            b'P' => {
                let name = name(&mut payload)?;
                let text = frame::split_string(&mut payload).ok_or_else(malformed)?;
                let text = std::str::from_utf8(&text).map_err(|_| Failure::encoding())?;
                let prepared = Prepared {
                    parse: frame.bytes.clone(),
                    kind: statement::recognise(text)?,
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
                    _ => return Err(Failure::protocol("unknown target of a message")),
                }
            }
            _ => return Ok(None),
        };
        Ok(Some(operation))
    }
}

/// Collects the messages of a batch.
#[derive(Debug, Default)]
pub struct Collector {
    messages: BytesMut,
    operations: Vec<Operation>,
}

impl Collector {
    /// Reports whether no message was collected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Adds a message.
    ///
    /// # Errors
    ///
    /// If the batch becomes too large.
    pub fn add(
        &mut self,
        frame: &Frame,
        operation: Operation,
        settings: &Settings,
    ) -> Result<(), Failure> {
        let limit = settings.maximum_frame_bytes;
        if self.messages.len() + frame.bytes.len() > limit {
            return Err(Failure::limit("bytes before a Sync", limit));
        }
        if self.operations.len() >= MAXIMUM_OPERATIONS {
            return Err(Failure::limit("messages before a Sync", MAXIMUM_OPERATIONS));
        }
        self.messages.extend_from_slice(&frame.bytes);
        self.operations.push(operation);
        Ok(())
    }

    /// Takes the batch at its `Sync`.
    pub fn take(&mut self, sync: &Frame) -> Collected {
        self.messages.extend_from_slice(&sync.bytes);
        Collected {
            messages: self.messages.split().freeze(),
            operations: std::mem::take(&mut self.operations),
        }
    }

    /// Drops the batch after an error in it.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

/// The messages of a batch with its `Sync`.
#[derive(Debug)]
pub struct Collected {
    messages: Bytes,
    /// The messages in order, without the `Sync`.
    pub operations: Vec<Operation>,
}

impl Collected {
    /// Makes the body for the backend server: the statements that the batch takes from the
    /// session are replayed in front of it.
    ///
    /// A name that the session does not have is closed, because another session may have left
    /// a statement of that name on the connection.
    #[must_use]
    pub fn batch(&self, store: &Store) -> Batch {
        let mut replay = BytesMut::new();
        let mut replayed = 0;
        let mut seen = HashSet::new();
        for operation in &self.operations {
            let (name, creates) = match operation {
                Operation::Parse { name, .. } => (name, true),
                Operation::Bind {
                    statement: name, ..
                }
                | Operation::DescribeStatement(name)
                | Operation::CloseStatement(name) => (name, false),
                _ => continue,
            };
            // A new unnamed statement replaces an old one without an error.
            if !seen.insert(name.clone()) || (creates && name.is_empty()) {
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
            messages: join(replay, self.messages.clone()),
            replayed,
        }
    }

    /// Reports whether a message prepares or closes something.
    #[must_use]
    pub fn changes_names(&self) -> bool {
        self.operations.iter().any(|operation| {
            matches!(
                operation,
                Operation::Parse { .. } | Operation::CloseStatement(_) | Operation::ClosePortal(_)
            )
        })
    }

    /// Counts the named statements and their bytes that the batch adds to a store.
    #[must_use]
    pub fn growth(&self) -> (usize, usize) {
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
    // Names were checked to be UTF-8, so none of them changes here.
    let name = String::from_utf8_lossy(name).into_owned();
    let close = Close::new(TARGET_TYPE_BYTE_STATEMENT, Some(name));
    if let Err(error) = frame::append(replay, &close) {
        log::error!("close message cannot be encoded: {error}");
    }
}

fn join(mut replay: BytesMut, messages: Bytes) -> Bytes {
    if replay.is_empty() {
        return messages;
    }
    replay.extend_from_slice(&messages);
    replay.freeze()
}
