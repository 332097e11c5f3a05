//! A host is killed and starts again while a promotion is about to take effect.

use crate::{
    Outcome, Setting,
    client::Client,
    fleet::{self, Host},
    group::{Behaviour, Group},
    record::Record,
    store::Store,
};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const CLIENTS_PER_HOST: usize = 8;
/// Time between the starts of two new servers.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time for which the host is down.
const DOWN_TIME: Duration = Duration::from_millis(250);

pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::start(record);
    let behaviour = Behaviour {
        work: Duration::from_millis(4),
        report_rows: 1,
        row_bytes: 10,
    };
    let group = Group::start(&store, record, behaviour);
    store.write(
        "op",
        "config",
        Some(&fleet::configuration(7, 800, 1_000, 2_000)),
    );
    let mut hosts = fleet::start(&setting.folder, store.address, 260, record);
    if hosts.is_empty() || !fleet::wait_until_ready(&hosts) {
        record.tell("the hosts did not get ready");
        return Outcome::NotRun;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let acknowledged = Arc::new(Mutex::new(BTreeSet::new()));
    let fronts: Vec<SocketAddr> = hosts.iter().map(Host::front).collect();
    let mut clients = Vec::new();
    for (index, front) in fronts.iter().enumerate() {
        for number in 0..CLIENTS_PER_HOST {
            let name = format!("client-{index}-{number}");
            let (front, record) = (*front, Arc::clone(record));
            let (is_over, acknowledged) = (Arc::clone(&is_over), Arc::clone(&acknowledged));
            clients.push(thread::spawn(move || {
                write_steadily(&name, front, &is_over, &acknowledged, &record)
            }));
        }
    }
    thread::sleep(Duration::from_secs(6));
    // Two servers of the service are replaced one after the other, the primary first. The new one starts
    // first, and then the old one drains.
    group.join();
    thread::sleep(REPLACEMENT_INTERVAL);
    group.drain(group.primary());
    let has_promoted = wait_for(Duration::from_secs(15), || !group.accepted().is_empty());
    group.join();
    if has_promoted && setting.has_trouble {
        let candidate = group.accepted()[0];
        disrupt(&group, &mut hosts, candidate, &store);
    }
    let has_led =
        has_promoted && wait_for(Duration::from_secs(5), || !group.promotions().is_empty());
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    if !has_led {
        record.tell("the primary was not replaced");
        return Outcome::NotRun;
    }
    judge(&group, &acknowledged.lock().unwrap(), record)
}

/// Lets the candidate receive nothing, and kills the host that asked for the promotion and starts it
/// again. The replacement of the next server begins meanwhile, as planned.
fn disrupt(group: &Arc<Group>, hosts: &mut [Host], candidate: usize, store: &Store) {
    group.deafen(candidate);
    let holder = store.last_promoter();
    let mut killed: Vec<&mut Host> = hosts
        .iter_mut()
        .filter(|host| host.name == holder)
        .collect();
    killed.iter_mut().for_each(|host| host.kill());
    thread::sleep(DOWN_TIME);
    killed.iter_mut().for_each(|host| host.spawn());
}

fn wait_for(limit: Duration, holds: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while !holds() {
        if Instant::now() > deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(2));
    }
    true
}

/// Sends a write at a time, and records the acknowledged ones.
fn write_steadily(
    name: &str,
    front: SocketAddr,
    is_over: &AtomicBool,
    acknowledged: &Mutex<BTreeSet<String>>,
    record: &Arc<Record>,
) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::open(name, front, "current", "u3f1", record) else {
            thread::sleep(Duration::from_millis(10));
            continue;
        };
        while !is_over.load(Ordering::Relaxed) {
            number += 1;
            match client.run(&format!("WRITE {name}-{number} data")) {
                Ok(reply) if reply.result.is_ok() => {
                    let _ = acknowledged.lock().unwrap().insert(reply.id);
                }
                Ok(_) => {}
                Err(_) => break,
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// LOST: an acknowledged commit is not in the log of the promoted server.
fn judge(group: &Arc<Group>, acknowledged: &BTreeSet<String>, record: &Arc<Record>) -> Outcome {
    let mut lost = 0;
    for promotion in group.promotions() {
        let missing: Vec<&String> = promotion
            .missing
            .iter()
            .filter(|id| acknowledged.contains(*id))
            .collect();
        lost += missing.len();
        record.tell(&format!(
            "promotion of i-{}: {} of {} acknowledged writes are not in its log: {missing:?}",
            promotion.server,
            missing.len(),
            acknowledged.len()
        ));
    }
    if lost == 0 {
        return Outcome::Held;
    }
    record.tell("LOST is broken: acknowledged commits are not in the log of the promoted server");
    Outcome::Broken
}
