//! The connection of a caller with its codecs and limits.

use super::End;
use crate::{
    error::Failure,
    response::Output,
    settings::Settings,
    startup::{self, Hello},
};
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

/// Room for one read, in bytes. It is small because every idle connection keeps it.
const READ_BYTES: usize = 4096;

/// Time that a closed connection waits for the caller to close as well.
const LINGER: Duration = Duration::from_millis(500);

/// Input that a closed connection discards, in bytes.
const LINGER_BYTES: u64 = 1024 * 1024;

/// The connection of one caller.
#[derive(Debug)]
pub struct Channel {
    /// Messages that wait for the next flush.
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
            codec: frame::Codec::new(startup::MAXIMUM_BYTES),
            write_timeout: settings.write_timeout,
        })
    }

    /// Raises the limit of a message, once the caller is accepted.
    pub fn allow(&mut self, maximum_bytes: usize) {
        self.codec = frame::Codec::new(maximum_bytes);
    }

    /// Reads a message without a type.
    pub async fn hello(&mut self) -> Result<Hello, End> {
        loop {
            match startup::Codec.decode(&mut self.input) {
                Ok(Some(hello)) => return Ok(hello),
                Ok(None) => self.fill().await?,
                Err(_) => return Err(Failure::protocol("malformed start-up message").into()),
            }
        }
    }

    /// Reads a message. A dropped call loses nothing.
    pub async fn frame(&mut self) -> Result<Frame, End> {
        loop {
            match self.codec.decode(&mut self.input) {
                Ok(Some(frame)) => {
                    self.trim(&frame);
                    return Ok(frame);
                }
                Ok(None) => self.fill().await?,
                Err(error) => return Err(Failure::protocol(&error.to_string()).into()),
            }
        }
    }

    /// Lets go of the memory for a long message once it is read.
    fn trim(&mut self, frame: &Frame) {
        if self.input.is_empty() && frame.bytes.len() > READ_BYTES {
            self.input = BytesMut::new();
        }
    }

    async fn fill(&mut self) -> Result<(), End> {
        self.input.reserve(READ_BYTES);
        match self.reader.read_buf(&mut self.input).await {
            Ok(0) | Err(_) => Err(End::Closed),
            Ok(_) => Ok(()),
        }
    }

    /// Writes all messages that wait, and then reads until the caller closes as well or a
    /// limit passes. Closing with unread input would reset the connection, and the caller
    /// could lose the last message.
    pub async fn close(mut self) {
        if self.flush().await.is_err() || self.writer.shutdown().await.is_err() {
            return;
        }
        let mut rest = self.reader.take(LINGER_BYTES);
        let _ = time::timeout(LINGER, tokio::io::copy(&mut rest, &mut tokio::io::sink())).await;
    }

    /// Writes all messages that wait.
    pub async fn flush(&mut self) -> Result<(), End> {
        let messages = self.output.take();
        let write = self.writer.write_all(&messages);
        match time::timeout(self.write_timeout, write).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(End::Closed),
        }
    }
}
