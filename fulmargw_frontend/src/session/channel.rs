//! The connection of a caller, with its codecs and limits.

use super::End;
use crate::{error::Failure, response::Output, settings::Settings, startup};
use bytes::BytesMut;
use fulmargw_backend::frame::{self, Frame};
use std::{io, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time,
};
use tokio_util::codec::Decoder;

/// Buffer space for one read, in bytes. It is small because every idle connection keeps a buffer.
const READ_BUFFER_BYTES: usize = 4096;

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
}

impl Channel {
    pub fn new(stream: TcpStream, settings: &Settings) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        Ok(Self {
            output: Output::default(),
            reader,
            writer,
            input: BytesMut::new(),
            codec: frame::Codec::new(startup::MAX_MESSAGE_BYTES),
            write_timeout: settings.write_timeout,
        })
    }

    /// Sets the maximum length of a message; it is larger for authenticated callers.
    pub fn set_max_message_bytes(&mut self, max_bytes: usize) {
        self.codec = frame::Codec::new(max_bytes);
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
        loop {
            match self.codec.decode(&mut self.input) {
                Ok(Some(frame)) => {
                    self.release_buffer(&frame);
                    return Ok(frame);
                }
                Ok(None) => self.fill().await?,
                Err(error) => return Err(Failure::protocol_violation(&error.to_string()).into()),
            }
        }
    }

    /// Releases the input buffer after a long message.
    fn release_buffer(&mut self, frame: &Frame) {
        if self.input.is_empty() && frame.bytes.len() > READ_BUFFER_BYTES {
            self.input = BytesMut::new();
        }
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
