//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    collections::BTreeMap,
    fs::File,
    io::Write as _,
    sync::{Mutex, OnceLock},
    time::{Duration, Instant},
};

static START: OnceLock<Instant> = OnceLock::new();
static FILE: OnceLock<Mutex<File>> = OnceLock::new();
static RUNS: Mutex<BTreeMap<String, Run>> = Mutex::new(BTreeMap::new());

/// One statement with an id of a client: when it was sent, and when a backend ran it.
#[derive(Debug, Clone)]
pub struct Run {
    pub tenant: String,
    pub sent: Duration,
    pub ran: Option<Duration>,
}

pub fn open(path: &str) {
    START.get_or_init(Instant::now);
    let file = File::create(path).expect("create the record");
    FILE.set(Mutex::new(file)).expect("one record");
}

pub fn now() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

/// Writes a line to the record.
pub fn line(text: &str) {
    if let Some(file) = FILE.get() {
        let mut file = file.lock().expect("record");
        let _ = writeln!(file, "{:9.3} {text}", now().as_secs_f64());
    }
}

/// Writes a line to the record and to standard output.
pub fn say(text: &str) {
    println!("{:9.3} {text}", now().as_secs_f64());
    line(text);
}

/// Records that a client sends a statement.
pub fn sent(id: &str, tenant: &str, host: &str, text: &str) {
    let run = Run {
        tenant: tenant.to_owned(),
        sent: now(),
        ran: None,
    };
    RUNS.lock().expect("runs").insert(id.to_owned(), run);
    line(&format!("sent {id} tenant={tenant} host={host} {text}"));
}

/// Records that a backend runs a statement.
pub fn ran(id: &str, tenant: &str, server: &str, text: &str) {
    if id == "-" {
        return;
    }
    if let Some(run) = RUNS.lock().expect("runs").get_mut(id) {
        run.ran.get_or_insert(now());
    }
    line(&format!("ran {id} tenant={tenant} server={server} {text}"));
}

pub fn runs() -> Vec<Run> {
    RUNS.lock().expect("runs").values().cloned().collect()
}
