//! The connection of a caller: reads requests and writes responses within the memory budget and the
//! time limits of the caller.

use crate::{
    budget::Budget,
    dialect::Dialect,
    message::{Request, Response},
    settings::Callers,
};
use bytes::{Buf as _, BytesMut};
use fulmargw_budget::memory::Hold;
use fulmargw_model::name::Name;
use std::{future, io};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep_until},
};
use tokio_util::codec::{Decoder as _, Encoder as _};

/// Buffer space for one read, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// Input and output of this size are counted for every session and need no reservation, in bytes.
pub(super) const SMALL_BYTES: usize = 16 * 1024;
/// Largest message of the budget for messages, in bytes.
const MEDIUM_BYTES: usize = 64 * 1024;
/// Bytes that a large message may take: the largest message, and the read that ends it.
const LARGE_BYTES: usize = 1024 * 1024 + READ_BYTES;
/// A message and a row are in memory twice while they are encoded for the next connection.
const COPIES: u64 = 2;
/// Output buffered before it is written, in bytes.
const WRITE_BYTES: usize = 8 * 1024;
/// Owner of the memory of callers that have not opened a session.
const UNIDENTIFIED: &str = "-";

/// Why a connection ends before its caller closes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Cause {
    /// A message was not complete in time.
    IncompleteMessage,
    /// A response was not read in time.
    UnreadResponse,
    /// Others needed the memory of a message.
    MemoryForMessages,
    /// Others needed the memory of a response.
    MemoryForResponses,
    /// No memory was available for a message in time.
    NoMemory,
    /// The first message did not arrive in time.
    NoStart,
    /// Newer connections took the place of one without a session.
    ManyStarting,
}

impl Cause {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::IncompleteMessage => "incomplete_message",
            Self::UnreadResponse => "unread_response",
            Self::MemoryForMessages => "memory_for_messages",
            Self::MemoryForResponses => "memory_for_responses",
            Self::NoMemory => "no_memory",
            Self::NoStart => "no_start",
            Self::ManyStarting => "many_starting",
        }
    }
}

/// End of a connection.
#[derive(Debug)]
pub(super) enum End {
    /// The caller closed the connection, or it failed.
    Closed,
    /// This host closes the connection.
    Cause(Cause),
}

impl From<io::Error> for End {
    fn from(_: io::Error) -> Self {
        Self::Closed
    }
}

/// The connection of a caller.
#[derive(Debug)]
pub(super) struct Channel<D: Dialect> {
    stream: TcpStream,
    codec: D::FrontendCodec,
    input: BytesMut,
    output: BytesMut,
    /// Account that pays for the memory of the connection.
    owner: Name,
    /// When the incomplete message in the input began.
    begun: Option<Instant>,
    message: Option<Hold>,
    large_message: Option<Hold>,
    response: Option<Hold>,
    /// Size of the last response if it was large, in bytes, with its copies.
    last_response_bytes: u64,
}

impl<D: Dialect> Channel<D> {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            codec: D::FrontendCodec::default(),
            input: BytesMut::new(),
            output: BytesMut::new(),
            owner: Name::new(UNIDENTIFIED),
            begun: None,
            message: None,
            large_message: None,
            response: None,
            last_response_bytes: 0,
        }
    }

    /// Sets the account that pays for the memory of the connection from now on.
    pub(super) fn set_owner(&mut self, owner: Name) {
        self.owner = owner;
    }

    pub(super) fn owner(&self) -> &Name {
        &self.owner
    }

    /// Returns the bytes that the caller holds beyond what is counted for every session.
    pub(super) fn held_bytes(&self) -> u64 {
        let holds = [&self.message, &self.large_message, &self.response];
        holds.into_iter().flatten().map(Hold::bytes).sum()
    }

    /// Reads the next request; `None` after the last one. If the call is dropped, no input is lost.
    pub(super) async fn next(
        &mut self,
        budget: &Budget,
        callers: &Callers,
    ) -> Result<Option<Request>, End> {
        loop {
            if let Some(request) = self.codec.decode(&mut self.input)? {
                self.begun = None;
                let holds = [&self.message, &self.large_message];
                holds.into_iter().flatten().for_each(Hold::record_work);
                return Ok(Some(request));
            }
            self.release_message();
            if !self.input.is_empty() && self.begun.is_none() {
                self.begun = Some(Instant::now());
            }
            if !self.fill(budget, callers).await? {
                return Ok(None);
            }
        }
    }

    /// Releases the memory of messages that were handled.
    fn release_message(&mut self) {
        // With less than one more read the memory would be reserved again at once.
        if self.input.len() + READ_BYTES <= SMALL_BYTES && self.message.is_some() {
            // The rest of the input is copied, because it shares the memory of the message.
            self.input = BytesMut::from(&self.input[..]);
            self.message = None;
            self.large_message = None;
        }
    }

    /// Reads more input; returns false at its end.
    async fn fill(&mut self, budget: &Budget, callers: &Callers) -> Result<bool, End> {
        let deadline = self.begun.map(|begun| begun + callers.message_timeout());
        tokio::select! {
            biased;
            () = reserve(&self.input, &self.owner, &mut self.message, &mut self.large_message, budget) => {}
            () = until(deadline) => return Err(End::Cause(Cause::NoMemory)),
        }
        let holds = [&self.message, &self.large_message];
        holds.into_iter().flatten().for_each(Hold::record_progress);
        loop {
            tokio::select! {
                biased;
                ready = self.stream.readable() => ready?,
                () = revoked(self.message.as_ref(), self.large_message.as_ref()) => {
                    return Err(End::Cause(Cause::MemoryForMessages));
                }
                () = until(deadline) => return Err(End::Cause(Cause::IncompleteMessage)),
            }
            self.input.reserve(READ_BYTES);
            match self.stream.try_read_buf(&mut self.input) {
                Ok(read) => return Ok(read > 0),
                Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => {}
                Err(cause) => return Err(cause.into()),
            }
        }
    }

    /// Counts responses of this size until they are written.
    pub(super) fn hold_responses(&mut self, budget: &Budget, bytes: usize) {
        if bytes <= SMALL_BYTES {
            self.last_response_bytes = 0;
            return;
        }
        self.last_response_bytes = bytes as u64 * COPIES;
        let hold = budget
            .responses
            .record(&self.owner, self.last_response_bytes);
        self.response = Some(hold);
    }

    /// Returns the memory that the next response is expected to take; 0 if it is expected to be small.
    pub(super) fn expected_response_bytes(&self) -> u64 {
        self.last_response_bytes
    }

    /// Writes a response, or buffers it with others.
    pub(super) async fn feed(&mut self, response: Response, callers: &Callers) -> Result<(), End> {
        self.codec.encode(response, &mut self.output)?;
        if self.output.len() < WRITE_BYTES {
            return Ok(());
        }
        self.flush(callers).await
    }

    /// Writes the buffered responses.
    pub(super) async fn flush(&mut self, callers: &Callers) -> Result<(), End> {
        let begun = Instant::now();
        // The capacity does not tell: it shrinks while the buffer is written.
        let is_large = self.output.len() > SMALL_BYTES;
        while !self.output.is_empty() {
            match self.stream.try_write(&self.output) {
                Ok(written) => {
                    self.output.advance(written);
                    if let Some(hold) = &self.response {
                        hold.record_progress();
                    }
                }
                Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => {
                    self.await_reader(begun + callers.response_timeout())
                        .await?;
                }
                Err(cause) => return Err(cause.into()),
            }
        }
        if is_large {
            self.output = BytesMut::new();
        }
        Ok(())
    }

    /// Ends the accounting of responses that were written.
    pub(super) fn release_responses(&mut self) {
        self.response = None;
    }

    async fn await_reader(&self, deadline: Instant) -> Result<(), End> {
        tokio::select! {
            biased;
            ready = self.stream.writable() => Ok(ready?),
            () = revoked(self.response.as_ref(), None) => Err(End::Cause(Cause::MemoryForResponses)),
            () = sleep_until(deadline) => Err(End::Cause(Cause::UnreadResponse)),
        }
    }
}

/// Waits until the memory for the next read is reserved.
async fn reserve(
    input: &BytesMut,
    owner: &Name,
    message: &mut Option<Hold>,
    large_message: &mut Option<Hold>,
    budget: &Budget,
) {
    if input.len() + READ_BYTES > SMALL_BYTES && message.is_none() {
        let bytes = MEDIUM_BYTES as u64 * COPIES;
        *message = Some(budget.messages.reserve(owner, bytes).await);
    }
    if input.len() + READ_BYTES > MEDIUM_BYTES && large_message.is_none() {
        if let Some(hold) = message {
            hold.record_work();
        }
        let bytes = LARGE_BYTES as u64 * COPIES;
        *large_message = Some(budget.large_messages.reserve(owner, bytes).await);
    }
}

async fn until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => future::pending().await,
    }
}

/// Waits until the memory of one of the holds is needed for others.
async fn revoked(one: Option<&Hold>, other: Option<&Hold>) {
    match (one, other) {
        (None, None) => future::pending().await,
        (Some(hold), None) | (None, Some(hold)) => hold.revoked().await,
        (Some(one), Some(other)) => tokio::select! {
            () = one.revoked() => {}
            () = other.revoked() => {}
        },
    }
}
