//! Signals that stop the process.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receiver of SIGTERM and SIGINT.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs handlers for both signals, which replace the default action of ending the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system rejects a handler.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal of either kind.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
