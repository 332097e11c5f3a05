//! A stream whose frames, each with a length before it, are read only when there is memory for them.

use crate::{connection::Connection, slot::Slots, transfer};
use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpListener,
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, Sleep, sleep_until},
};
use tokio_util::sync::PollSemaphore;

/// Length of the header of a frame, in bytes.
const HEADER_BYTES: usize = 4;
/// Time within which a large frame must be complete, once its memory is reserved.
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which nothing is due.
const FAR_FUTURE: Duration = Duration::from_hours(24 * 365);

/// Memory for large frames of one listener. Clones share it.
#[derive(Debug, Clone)]
pub struct Frames(Arc<Semaphore>);

impl Frames {
    /// Creates a budget of this many bytes, and at least of one frame of `longest` bytes.
    #[must_use]
    pub fn new(bytes: usize, longest: usize) -> Self {
        Self(transfer::budget(bytes, longest))
    }
}

/// Accepts a bounded number of connections with frames.
#[derive(Debug)]
pub struct Listener {
    inner: TcpListener,
    slots: Slots,
    frames: Frames,
    longest: usize,
}

impl Listener {
    /// Bounds the connections of a listener. Their frames have at most `longest` bytes.
    #[must_use]
    pub fn new(inner: TcpListener, slots: Slots, frames: Frames, longest: usize) -> Self {
        Self {
            inner,
            slots,
            frames,
            longest,
        }
    }

    /// Accepts a connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, for example if no descriptor is free.
    pub async fn accept(&self) -> io::Result<Stream> {
        let (stream, _) = self.inner.accept().await?;
        stream.set_nodelay(true)?;
        let connection = Connection::new(stream, self.slots.take());
        Ok(Stream::new(connection, &self.frames, self.longest))
    }
}

/// Position of a stream in the frame that is being read.
#[derive(Debug, Default)]
struct Position {
    /// Bytes of the header; the first `header_length` of them are known.
    header: [u8; HEADER_BYTES],
    header_length: usize,
    /// Bytes of the content that are missing.
    missing: usize,
    /// Length of the content if it is large and its memory is not reserved yet.
    unreserved: Option<usize>,
}

impl Position {
    /// Follows the frames through bytes that were read. Returns whether a frame has ended.
    fn advance(&mut self, mut bytes: &[u8]) -> bool {
        let mut has_ended = false;
        while !bytes.is_empty() {
            if self.header_length < HEADER_BYTES {
                let taken = bytes.len().min(HEADER_BYTES - self.header_length);
                let end = self.header_length + taken;
                self.header[self.header_length..end].copy_from_slice(&bytes[..taken]);
                self.header_length = end;
                bytes = &bytes[taken..];
                if end < HEADER_BYTES {
                    break;
                }
                self.missing = u32::from_be_bytes(self.header) as usize;
                self.unreserved = (self.missing > transfer::SMALL_BYTES).then_some(self.missing);
            } else {
                let taken = bytes.len().min(self.missing);
                self.missing -= taken;
                bytes = &bytes[taken..];
            }
            if self.missing == 0 {
                self.header_length = 0;
                self.unreserved = None;
                has_ended = true;
            }
        }
        has_ended
    }
}

/// One connection with frames.
#[derive(Debug)]
pub struct Stream {
    inner: Connection,
    frames: PollSemaphore,
    position: Position,
    permit: Option<OwnedSemaphorePermit>,
    deadline: Pin<Box<Sleep>>,
    longest: usize,
}

impl Stream {
    fn new(inner: Connection, frames: &Frames, longest: usize) -> Self {
        Self {
            inner,
            frames: PollSemaphore::new(Arc::clone(&frames.0)),
            position: Position::default(),
            permit: None,
            deadline: Box::pin(sleep_until(Instant::now() + FAR_FUTURE)),
            longest,
        }
    }

    /// Fails if a large frame is not complete in time.
    fn check_deadline(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        if self.deadline.as_mut().poll(context).is_ready() {
            metrics::counter!("fulmargw_incomplete_frames_total").increment(1);
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    /// Waits for the memory of a large frame of which the header was read.
    fn poll_reserve(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(length) = self.position.unreserved else {
            return Poll::Ready(Ok(()));
        };
        if length > self.longest {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let units = transfer::units(length);
        self.permit = ready!(self.frames.poll_acquire_many(context, units));
        self.position.unreserved = None;
        self.deadline.as_mut().reset(Instant::now() + FRAME_TIMEOUT);
        Poll::Ready(Ok(()))
    }

    /// Releases the memory of a frame that has ended.
    fn release(&mut self) {
        if self.permit.take().is_some() {
            self.deadline.as_mut().reset(Instant::now() + FAR_FUTURE);
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_deadline(context)?;
        ready!(self.poll_reserve(context))?;
        // A frame whose header was just read has not reserved its memory: it counts from the next
        // read on, and until then the buffer bounds it.
        let start = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        if self.position.advance(&buffer.filled()[start..]) {
            self.release();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
