//! Log lines on standard output, bounded and without blocking.

use crate::settings::log::{Format, Level, Log};
use fern::Output;
use std::{
    io::{self, Write as _},
    path::PathBuf,
    sync::{
        Arc, Mutex, PoisonError,
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::Duration,
};
use tokio::time::interval;

/// Most bytes that wait to be written; further lines are dropped and counted.
const MAX_WAITING_BYTES: usize = 256 * 1024;
/// Time between two writes, so that many lines take one system call.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Batches that wait for a slow reader of standard output.
const MAX_BATCHES: usize = 4;

/// Lines that wait to be written.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// The log of the process.
#[derive(Debug, Clone)]
pub struct Sink {
    /// Nothing else is locked while this is locked, so it needs no rank.
    buffer: Arc<Mutex<Buffer>>,
    batches: SyncSender<Vec<u8>>,
}

impl Sink {
    /// Installs the logger of the process.
    ///
    /// # Errors
    ///
    /// A logger is installed already.
    pub fn install(host: &fulmargw_pool::settings::Host) -> Result<Self, log::SetLoggerError> {
        let (batches, received) = sync_channel(MAX_BATCHES);
        std::thread::spawn(move || write(&received));
        let lines = Self {
            buffer: Arc::default(),
            batches,
        };
        let log = Log {
            level: Level::Info,
            format: Format::Json,
            destination: PathBuf::from("stdout"),
        };
        let queue = lines.clone();
        let output = Output::call(move |record| queue.add(record.args()));
        crate::log::dispatch_for(&log, host.name.clone(), host.zone.clone())
            .chain(output)
            .apply()?;
        Ok(lines)
    }

    fn add(&self, line: &std::fmt::Arguments<'_>) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() >= MAX_WAITING_BYTES {
            buffer.dropped += 1;
            return;
        }
        // Writing to memory does not fail.
        let _ = writeln!(buffer.bytes, "{line}");
    }

    /// Hands the waiting lines to the writer.
    pub fn flush(&self) {
        let (bytes, dropped) = {
            let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
            let dropped = std::mem::take(&mut buffer.dropped);
            (std::mem::take(&mut buffer.bytes), dropped)
        };
        if dropped > 0 {
            metrics::counter!("fulmargw_pool_log_lines_dropped_total").increment(dropped);
            log::warn!(event = "log_lines_dropped", dropped; "log lines dropped");
        }
        if !bytes.is_empty() && self.batches.try_send(bytes).is_err() {
            metrics::counter!("fulmargw_pool_log_batches_dropped_total").increment(1);
        }
    }

    /// Flushes at intervals until it is cancelled.
    pub async fn keep(self) {
        let mut ticks = interval(FLUSH_INTERVAL);
        loop {
            ticks.tick().await;
            self.flush();
        }
    }
}

/// Writes batches in a thread of its own, because standard output may block.
fn write(batches: &Receiver<Vec<u8>>) {
    let mut output = io::stdout();
    for batch in batches {
        // Without a reader there is nobody to tell.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
    }
}
