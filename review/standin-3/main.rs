//! The cases of the third review that are scripts: stand-ins of clients, backends and the platform,
//! with the system's own program as separate processes on loopback addresses.
//!
//! Usage: `standin-3 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod client;
mod cut;
mod group;
mod hang;
mod host;
mod json;
mod net;
mod quota;
mod record;
mod store;

use std::{
    env,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::exit,
    sync::atomic::{AtomicU16, Ordering},
};

/// How a case ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a listener on a free port below those that the system gives to outgoing connections.
pub fn listen() -> TcpListener {
    let base = 12_000 + (std::process::id() % 40) as u16 * 450;
    loop {
        let port = base + NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener;
        }
    }
}

/// Returns an address on which nobody listens.
pub fn free_address() -> SocketAddr {
    listen().local_addr().expect("address")
}

/// Listens at an address without blocking, if it is free.
pub fn listen_at(address: SocketAddr) -> Option<TcpListener> {
    let listener = TcpListener::bind(address).ok()?;
    listener.set_nonblocking(true).ok()?;
    Some(listener)
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin-3 CASE RECORD");
        exit(2);
    };
    record::open(path);
    let has_trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let folder = env::temp_dir().join(format!("fulmargw-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("make a folder");
    let verdict = run(case, &folder, has_trouble);
    if env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    record::say(&format!("verdict: {verdict:?}"));
    exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    });
}

fn run(case: &str, folder: &PathBuf, has_trouble: bool) -> Verdict {
    match case {
        "hang" => hang::run(folder, has_trouble),
        "cut" => cut::run(folder, has_trouble),
        "quota-join" => quota::run(folder, has_trouble),
        _ => Verdict::NotRun,
    }
}
