//! The connection of a caller, with its codecs and limits.

use super::End;
use crate::{error::Failure, response::Output, settings::Settings, startup};
use bytes::BytesMut;
use fulmargw_backend::frame::{self, Frame};
use fulmargw_budget::memory::{Budget, Hold};
use fulmargw_model::name::Name;
use std::{future, io, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::{self, Instant},
};
use tokio_util::codec::Decoder;

/// Buffer space for one read, in bytes. It is small because every idle connection keeps a buffer.
const READ_BUFFER_BYTES: usize = 4096;

/// Messages of a request up to this size need no reservation, in bytes.
const SMALL_BYTES: usize = 16 * 1024;
/// A message is in memory twice while it is copied into a batch and to the backend server.
const COPIES: u64 = 2;
/// Owner of the memory of callers that are not authorized yet.
const UNIDENTIFIED: &str = "-";

/// Time to wait for the caller to close its side of a closed connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum input of a closed connection that is read and discarded, in bytes.
const MAX_LINGER_BYTES: u64 = 1024 * 1024;

/// The connection of one caller.
#[derive(Debug)]
pub struct Channel {
    /// Messages to be written by the next flush.
    pub output: Output,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    input: BytesMut,
    codec: frame::Codec,
    write_timeout: Duration,
    message_timeout: Duration,
    max_message_bytes: usize,
    messages: Budget,
    /// Account that pays for the memory of the messages.
    owner: Name,
    /// When the incomplete message in the input began.
    begun: Option<Instant>,
    /// Bytes of the messages of the current request that were read.
    pending: usize,
    /// Memory of the current request.
    holds: Vec<Hold>,
}

impl Channel {
    pub fn new(stream: TcpStream, settings: &Settings, messages: Budget) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        Ok(Self {
            output: Output::default(),
            reader,
            writer,
            input: BytesMut::new(),
            codec: frame::Codec::new(startup::MAX_MESSAGE_BYTES),
            write_timeout: settings.write_timeout,
            message_timeout: settings.message_timeout,
            max_message_bytes: startup::MAX_MESSAGE_BYTES,
            messages,
            owner: Name::new(UNIDENTIFIED),
            begun: None,
            pending: 0,
            holds: Vec::new(),
        })
    }

    /// Sets the maximum length of a message; it is larger for authenticated callers.
    pub fn set_max_message_bytes(&mut self, max_bytes: usize) {
        self.codec = frame::Codec::new(max_bytes);
        self.max_message_bytes = max_bytes;
    }

    /// Sets the account that pays for the memory of messages from now on.
    pub fn set_owner(&mut self, owner: Name) {
        self.owner = owner;
    }

    /// Reads a message of the start-up, which has no type byte.
    pub async fn startup_request(&mut self) -> Result<startup::Request, End> {
        loop {
            match startup::Codec.decode(&mut self.input) {
                Ok(Some(request)) => return Ok(request),
                Ok(None) => self.fill().await?,
                Err(_) => {
                    return Err(Failure::protocol_violation("malformed start-up message").into());
                }
            }
        }
    }

    /// Reads a message. If the call is dropped, no input is lost.
    pub async fn frame(&mut self) -> Result<Frame, End> {
        self.holds.iter().for_each(Hold::record_progress);
        loop {
            match self.codec.decode(&mut self.input) {
                Ok(Some(frame)) => {
                    self.begun = None;
                    self.pending += frame.bytes.len();
                    self.holds.iter().for_each(Hold::record_work);
                    self.release_buffer(&frame);
                    return Ok(frame);
                }
                Ok(None) => self.fill_message().await?,
                Err(error) => return Err(Failure::protocol_violation(&error.to_string()).into()),
            }
        }
    }

    /// Releases the memory of the messages of a request that was handled.
    pub fn end_request(&mut self) {
        self.pending = 0;
        self.holds.clear();
    }

    /// Releases the input buffer after a long message.
    fn release_buffer(&mut self, frame: &Frame) {
        if frame.bytes.len() > READ_BUFFER_BYTES && self.input.len() <= READ_BUFFER_BYTES {
            // The rest of the input is copied, because it shares the memory of the message.
            self.input = BytesMut::from(&self.input[..]);
        }
    }

    /// Reads more of a message, once its memory is reserved.
    async fn fill_message(&mut self) -> Result<(), End> {
        if !self.input.is_empty() && self.begun.is_none() {
            self.begun = Some(Instant::now());
        }
        let deadline = self.begun.map(|begun| begun + self.message_timeout);
        tokio::select! {
            biased;
            read = self.fill_reserved() => read,
            () = until(deadline) => {
                Err(Failure::protocol_violation("the message was not complete in time").into())
            }
        }
    }

    async fn fill_reserved(&mut self) -> Result<(), End> {
        let announced = frame::announced_length(&self.input).unwrap_or(0);
        let needed = self.pending + announced.max(self.input.len()).min(self.max_message_bytes);
        let reserved: u64 = self.holds.iter().map(Hold::bytes).sum();
        let missing = (needed as u64 * COPIES).saturating_sub(reserved);
        if needed > SMALL_BYTES && missing > 0 {
            let small = SMALL_BYTES as u64 * COPIES;
            let reserved = if !self.holds.is_empty() && missing <= small {
                // A request that has begun goes on: requests that each wait for the last bytes of the
                // others would wait for ever.
                self.messages.record(&self.owner, missing)
            } else {
                tokio::select! {
                    biased;
                    reserved = self.messages.reserve(&self.owner, missing) => reserved,
                    () = revoked(&self.holds) => return Err(Failure::out_of_memory().into()),
                }
            };
            self.holds.push(reserved);
        }
        self.input.reserve(READ_BUFFER_BYTES);
        tokio::select! {
            biased;
            read = self.reader.read_buf(&mut self.input) => match read {
                Ok(0) | Err(_) => return Err(End::Closed),
                Ok(_) => {}
            },
            () = revoked(&self.holds) => return Err(Failure::out_of_memory().into()),
        }
        self.holds.iter().for_each(Hold::record_progress);
        Ok(())
    }

    async fn fill(&mut self) -> Result<(), End> {
        self.input.reserve(READ_BUFFER_BYTES);
        match self.reader.read_buf(&mut self.input).await {
            Ok(0) | Err(_) => Err(End::Closed),
            Ok(_) => Ok(()),
        }
    }

    /// Writes all pending messages and closes the connection. Then reads until the caller closes
    /// its side or a limit is reached: closing with unread input would reset the connection, and
    /// the caller could lose the last message.
    pub async fn close(mut self) {
        if self.flush().await.is_err() || self.writer.shutdown().await.is_err() {
            return;
        }
        let mut input = self.reader.take(MAX_LINGER_BYTES);
        let _ = time::timeout(
            LINGER_TIMEOUT,
            tokio::io::copy(&mut input, &mut tokio::io::sink()),
        )
        .await;
    }

    /// Writes all pending messages.
    pub async fn flush(&mut self) -> Result<(), End> {
        let messages = self.output.take();
        let write = self.writer.write_all(&messages);
        match time::timeout(self.write_timeout, write).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(End::Closed),
        }
    }
}

async fn until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => time::sleep_until(deadline).await,
        None => future::pending().await,
    }
}

/// Waits until the memory of the first of the holds is needed for others.
async fn revoked(holds: &[Hold]) {
    if holds.is_empty() {
        return future::pending().await;
    }
    let revoked = holds.iter().map(|hold| Box::pin(hold.revoked()));
    futures::future::select_all(revoked).await;
}
