//! A read has a large result. The platform kills a process that exceeds its memory.

use crate::{
    Outcome, Setting,
    client::Client,
    fleet::{self, Host},
    group::{Behaviour, Group},
    record::Record,
    store::Store,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const MEMORY_MB: u64 = 260;
const BYTES_PER_MB: u64 = 1_000_000;
/// A message is at most 1 MiB.
const ROW_BYTES: usize = 1_000_000;
const ROWS: usize = 400;
const ROWS_WITHOUT_TROUBLE: usize = 3;
/// Number of reads with a large result.
const READS: usize = 3;
const READ_INTERVAL: Duration = Duration::from_secs(8);
/// Ends of a process, and machines on which they happen, that count as a fault.
const ENDS: usize = 3;
const MACHINES: usize = 2;
/// Time from the end of a process until it starts again.
const RESTART_DELAY: Duration = Duration::from_millis(800);
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::start(record);
    let behaviour = Behaviour {
        work: Duration::from_millis(5),
        report_rows: if setting.has_trouble {
            ROWS
        } else {
            ROWS_WITHOUT_TROUBLE
        },
        row_bytes: ROW_BYTES,
    };
    let _group = Group::start(&store, record, behaviour);
    store.write(
        "op",
        "config",
        Some(&fleet::configuration(7, 1_500, 1_000, 400)),
    );
    let hosts = fleet::start(&setting.folder, store.address, MEMORY_MB, record);
    if hosts.is_empty() || !fleet::wait_until_ready(&hosts) {
        record.tell("the hosts did not get ready");
        return Outcome::NotRun;
    }
    let fronts: Vec<SocketAddr> = hosts.iter().map(Host::front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let kills = Arc::new(Mutex::new(Vec::new()));
    let platform = {
        let (is_over, kills, record) =
            (Arc::clone(&is_over), Arc::clone(&kills), Arc::clone(record));
        thread::spawn(move || watch(hosts, &is_over, &kills, &record))
    };
    let lost = Arc::new(AtomicU32::new(0));
    let others: Vec<_> = fronts
        .iter()
        .enumerate()
        .map(|(index, front)| {
            let (front, record) = (*front, Arc::clone(record));
            let (is_over, lost) = (Arc::clone(&is_over), Arc::clone(&lost));
            thread::spawn(move || write_steadily(index, front, &is_over, &lost, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    for _ in 0..READS {
        match Client::open("reader", fronts[0], "current", "u3f1", record) {
            Ok(mut reader) => drop(reader.run("READ report")),
            Err(cause) => record.tell(&format!("the reader cannot open a session: {cause}")),
        }
        thread::sleep(READ_INTERVAL);
    }
    is_over.store(true, Ordering::Relaxed);
    others.into_iter().for_each(|other| drop(other.join()));
    drop(platform.join());
    let kills = kills.lock().unwrap().clone();
    let lost = lost.load(Ordering::Relaxed);
    record.tell(&format!(
        "processes over their memory: {kills:?}; answers that other clients never got: {lost}"
    ));
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for host in kills {
        *ends.entry(host).or_default() += 1;
    }
    if ends.values().filter(|count| **count >= ENDS).count() < MACHINES {
        return Outcome::Held;
    }
    record.tell("fault: processes of two machines ended by themselves three times, without a disruption there");
    Outcome::Broken
}

/// Kills processes that exceed their memory, and starts them again.
fn watch(
    mut hosts: Vec<Host>,
    is_over: &AtomicBool,
    kills: &Mutex<Vec<String>>,
    record: &Arc<Record>,
) {
    let mut peaks = vec![0; hosts.len()];
    let mut restarts: Vec<Option<Instant>> = vec![None; hosts.len()];
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(CHECK_INTERVAL);
        for ((host, peak), restart) in hosts.iter_mut().zip(&mut peaks).zip(&mut restarts) {
            if restart.is_some_and(|at| at <= Instant::now()) {
                host.spawn();
                *restart = None;
            }
            let bytes = host.memory();
            *peak = bytes.max(*peak);
            if bytes > MEMORY_MB * BYTES_PER_MB {
                let megabytes = bytes / BYTES_PER_MB;
                record.tell(&format!(
                    "host {} has {megabytes} MB, more than its {MEMORY_MB} MB; killed",
                    host.name
                ));
                kills.lock().unwrap().push(host.name.clone());
                host.kill();
                *restart = Some(Instant::now() + RESTART_DELAY);
            }
        }
    }
    for (host, peak) in hosts.iter().zip(peaks) {
        record.tell(&format!(
            "host {}: {} MB at most",
            host.name,
            peak / BYTES_PER_MB
        ));
    }
}

/// Sends a write at a time, and counts those that are never answered.
fn write_steadily(
    index: usize,
    front: SocketAddr,
    is_over: &AtomicBool,
    lost: &AtomicU32,
    record: &Arc<Record>,
) {
    let name = format!("writer-{index}");
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::open(&name, front, "current", "u3f1", record) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        while !is_over.load(Ordering::Relaxed) {
            number += 1;
            if client.run(&format!("WRITE {name}-{number} data")).is_err() {
                lost.fetch_add(1, Ordering::Relaxed);
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}
