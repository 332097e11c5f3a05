//! Log sink that writes lines to standard output without blocking the process.

use super::error::Error;
use crate::settings::log::{Format, Level, Log};
use fern::Output;
use std::{
    io::{self, Write as _},
    path::PathBuf,
    sync::{
        Arc, Condvar, Mutex, PoisonError,
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread::Builder,
    time::Duration,
};
use tokio::time::interval;

/// Maximum size of the buffer, in bytes. When it is full, lines are dropped and counted.
const MAX_BUFFER_BYTES: usize = 256 * 1024;
/// Interval between two flushes, so that one system call writes many lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of batches that wait while standard output blocks.
const MAX_QUEUED_BATCHES: usize = 4;

/// Formatted lines that are not flushed yet.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Lines dropped since the last flush.
    dropped: u64,
}

/// Batches that were passed to the writer thread and are not written yet.
#[derive(Debug, Default)]
struct Unwritten {
    /// No other lock is taken while this one is held, so it needs no rank in the lock order.
    count: Mutex<usize>,
    /// Notified when a batch has been written.
    written: Condvar,
}

/// A buffered log sink. Clones share the same buffer.
#[derive(Debug, Clone)]
pub struct Sink {
    /// No other lock is taken while this one is held, so it needs no rank in the lock order.
    buffer: Arc<Mutex<Buffer>>,
    batches: SyncSender<Vec<u8>>,
    unwritten: Arc<Unwritten>,
}

impl Sink {
    /// Installs a logger that writes JSON lines to a new sink.
    ///
    /// # Errors
    ///
    /// Returns an error if a logger is already installed, or the operating system rejects the
    /// writer thread.
    pub fn install(host: &fulmargw_pool::settings::Host) -> Result<Self, Error> {
        let (batches, receiver) = sync_channel(MAX_QUEUED_BATCHES);
        let unwritten: Arc<Unwritten> = Arc::default();
        let sink = Self {
            buffer: Arc::default(),
            batches,
            unwritten: Arc::clone(&unwritten),
        };
        Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write_batches(&receiver, &unwritten))
            .map_err(Error::Writer)?;
        let log = Log {
            level: Level::Info,
            format: Format::Json,
            destination: PathBuf::from("stdout"),
        };
        let buffer = sink.clone();
        let output = Output::call(move |record| buffer.add(record.args()));
        crate::log::dispatch_for(&log, host.name.clone(), host.zone.clone())
            .chain(output)
            .apply()
            .map_err(Error::Log)?;
        Ok(sink)
    }

    fn add(&self, line: &std::fmt::Arguments<'_>) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() >= MAX_BUFFER_BYTES {
            buffer.dropped += 1;
            return;
        }
        // Writing to memory never fails.
        let _ = writeln!(buffer.bytes, "{line}");
    }

    /// Passes the buffered lines to the writer thread, or drops them if its queue is full.
    pub fn flush(&self) {
        let (bytes, dropped) = {
            let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
            let dropped = std::mem::take(&mut buffer.dropped);
            (std::mem::take(&mut buffer.bytes), dropped)
        };
        if dropped > 0 {
            metrics::counter!("fulmargw_pool_log_lines_dropped_total").increment(dropped);
            log::warn!(event = "log_lines_dropped", dropped; "log lines dropped because the buffer was full");
        }
        if bytes.is_empty() {
            return;
        }
        self.unwritten.add();
        if self.batches.try_send(bytes).is_err() {
            self.unwritten.remove();
            metrics::counter!("fulmargw_pool_log_batches_dropped_total").increment(1);
        }
    }

    /// Flushes, and waits until everything is written, but no longer than `limit`.
    ///
    /// A process that ends without this loses its last lines, because its end also ends the writer
    /// thread. Blocks the calling thread.
    pub fn finish(&self, limit: Duration) {
        self.flush();
        self.unwritten.wait(limit);
    }

    /// Flushes at intervals until the task is cancelled.
    pub async fn flush_periodically(self) {
        let mut ticks = interval(FLUSH_INTERVAL);
        loop {
            ticks.tick().await;
            self.flush();
        }
    }
}

impl Unwritten {
    fn add(&self) {
        *self.count.lock().unwrap_or_else(PoisonError::into_inner) += 1;
    }

    fn remove(&self) {
        let mut count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
        *count = count.saturating_sub(1);
        self.written.notify_all();
    }

    /// Waits until nothing is left to write, but no longer than `limit`.
    fn wait(&self, limit: Duration) {
        let count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self
            .written
            .wait_timeout_while(count, limit, |count| *count > 0);
        // After the limit the lines are lost, because standard output blocks.
        drop(waited);
    }
}

/// Writes batches to standard output. Runs in a thread of its own, because standard output may
/// block.
fn write_batches(batches: &Receiver<Vec<u8>>, unwritten: &Unwritten) {
    let mut output = io::stdout();
    for batch in batches {
        // If standard output is closed, there is nowhere to report the error.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        unwritten.remove();
    }
}
