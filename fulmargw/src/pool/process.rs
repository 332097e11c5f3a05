//! What a pool process has besides its runtime: the log sink and the watchdog of the stop.

use super::{error::Error, hang, lines::Sink, progress::Progress, watchdog};
use fulmargw_decision::stop::Step;
use fulmargw_pool::settings::Settings;
use std::{sync::Arc, time::Duration};

/// Longest time to wait until the last lines are written. It ends before the watchdog ends the
/// process.
const LAST_LINES_TIMEOUT: Duration = Duration::from_millis(300);

/// Log sink and progress of the stop. They outlive the runtime.
#[derive(Debug)]
pub struct Process {
    /// Log sink of the process.
    pub sink: Sink,
    /// Progress of the graceful stop.
    pub progress: Arc<Progress>,
}

impl Process {
    /// Installs the logger.
    ///
    /// # Errors
    ///
    /// Returns an error if a logger is already installed, or the operating system rejects the
    /// thread that writes the log.
    pub fn start(settings: &Settings) -> Result<Self, Error> {
        let sink = Sink::install(&settings.host)?;
        let progress = Arc::new(Progress::new(settings.limits.grace_period()));
        Ok(Self { sink, progress })
    }

    /// Starts the watchdog that ends the process if a graceful stop exceeds its grace period. Call
    /// it once the runtime receives the signals: one that only the watchdog receives would let the
    /// process serve until the watchdog ends it.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system rejects the signal handler or the thread.
    pub fn watch(&self) -> Result<(), Error> {
        let progress = Arc::clone(&self.progress);
        watchdog::start(progress, self.sink.clone()).map_err(Error::Watchdog)
    }

    /// Records that the runtime is about to end. From here on only the watchdog bounds the stop.
    pub fn end_runtime(&self) {
        self.progress.enter(Step::Runtime);
        hang::at(Step::Runtime);
    }

    /// Writes the last log lines. Call it after the runtime has ended.
    pub fn finish(&self) {
        self.sink.finish(LAST_LINES_TIMEOUT);
    }
}
