//! The record of a case: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::{BufWriter, Write as _},
    path::Path,
    sync::{Mutex, OnceLock},
    time::{Duration, Instant},
};

static START: OnceLock<Instant> = OnceLock::new();
static FILE: OnceLock<Mutex<BufWriter<File>>> = OnceLock::new();

/// Opens the record; the time of the case starts.
pub fn open(path: &Path) {
    START.get_or_init(Instant::now);
    let file = File::create(path).expect("create the record");
    FILE.get_or_init(|| Mutex::new(BufWriter::new(file)));
}

/// Returns the time since the start of the case.
pub fn elapsed() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

/// Writes a line.
pub fn line(text: &str) {
    let at = elapsed().as_secs_f64();
    if let Some(file) = FILE.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{at:9.4} {text}");
    }
}

/// Writes a line, and shows it.
pub fn show(text: &str) {
    println!("{:9.4} {text}", elapsed().as_secs_f64());
    line(text);
}

/// Writes everything to the file.
pub fn flush() {
    if let Some(file) = FILE.get() {
        let _ = file.lock().unwrap().flush();
    }
}
