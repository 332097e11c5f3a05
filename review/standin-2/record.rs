//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::Write as _,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

#[derive(Debug)]
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("create the record")),
        }
    }

    /// Returns the time since the start of the record.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn tell(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
