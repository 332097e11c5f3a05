//! Signals that stop the process.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGTERM and SIGINT.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Takes both signals over from the operating system's default action.
    ///
    /// # Errors
    ///
    /// The operating system refuses.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next of the signals.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
