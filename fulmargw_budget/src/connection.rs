//! A connection that fails when its place is given to another one.

use crate::slot::Slot;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_util::sync::WaitForCancellationFutureOwned;

/// A TCP connection with the slot that counts it.
#[derive(Debug)]
pub struct Connection {
    inner: TcpStream,
    revoked: Pin<Box<WaitForCancellationFutureOwned>>,
    _slot: Slot,
}

impl Connection {
    /// Counts a connection with a slot, which is free again when the connection is dropped.
    #[must_use]
    pub fn new(inner: TcpStream, slot: Slot) -> Self {
        Self {
            inner,
            revoked: Box::pin(slot.revoked().clone().cancelled_owned()),
            _slot: slot,
        }
    }

    fn check_revoked(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        match self.revoked.as_mut().poll(context) {
            Poll::Ready(()) => Err(io::ErrorKind::ConnectionAborted.into()),
            Poll::Pending => Ok(()),
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_revoked(context)?;
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_revoked(context)?;
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
