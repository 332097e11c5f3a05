//! Case "lost": a primary and the replica that has received the newest commits crash together and
//! come back with their logs later; the other replica is behind by its usual lag.

use super::{
    Verdict,
    client::{Client, Reply},
    group::Group,
    host::{Host, Site},
    net::Net,
    record,
    store::Store,
};
use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time for which both backends are away.
const AWAY: Duration = Duration::from_secs(35);
/// Lag of the other replica ("replicas 60 ms behind").
const LAG: Duration = Duration::from_millis(60);

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let net = Arc::new(Net::default());
    let (store, address) = Store::start();
    let zones = ["attica-a", "attica-b", "attica-c"];
    let delays = [Duration::ZERO, Duration::from_millis(1), LAG];
    let group = Group::start("huvo11a", &zones, &delays, &store);
    store.set_groups(vec![Arc::clone(&group)]);
    store.write("op", "config", Some(CONFIGURATION));
    let site = Site {
        folder: folder.to_owned(),
        store: net.relay("store", address),
        zones: zones.to_vec(),
        net: Arc::clone(&net),
    };
    let mut hosts: Vec<Host> = Vec::new();
    for (name, zone) in [
        ("front-a-1", "attica-a"),
        ("front-a-2", "attica-a"),
        ("front-b-1", "attica-b"),
        ("front-c-1", "attica-c"),
    ] {
        let seeds: Vec<_> = hosts.iter().map(|it| it.control).take(3).collect();
        hosts.push(Host::start(&site, name, zone, &seeds));
    }
    let until = Instant::now() + Duration::from_secs(15);
    while !hosts.iter().all(Host::is_ready) {
        if Instant::now() > until {
            return Verdict::NotRun;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(1));
    let mut writers = Vec::new();
    for host in &hosts {
        for _ in 0..2 {
            let (front, name) = (host.front, host.name.clone());
            let (group, is_over, number) = (
                Arc::clone(&group),
                Arc::clone(&is_over),
                Arc::clone(&number),
            );
            writers.push(thread::spawn(move || {
                write(front, &name, &group, &is_over, &number)
            }));
        }
    }
    thread::sleep(Duration::from_secs(12));
    let before = group.acknowledged();
    record::say(&format!("{before} commits are acknowledged"));
    if before < 100 {
        return Verdict::NotRun;
    }
    if has_trouble {
        group.crash(1);
        group.crash(0);
    }
    thread::sleep(AWAY);
    if has_trouble {
        group.restart(0);
        group.restart(1);
    }
    thread::sleep(Duration::from_secs(12));
    is_over.store(true, Ordering::Relaxed);
    for writer in writers {
        let _ = writer.join();
    }
    let missing = group.missing();
    record::say(&format!(
        "{} promotions, {} commits acknowledged, {} of them not in the log of a promoted backend",
        group.promotions(),
        group.acknowledged(),
        missing.len()
    ));
    if hosts.iter_mut().any(Host::has_ended) {
        return Verdict::NotRun;
    }
    if missing.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// Writes one item after the other until the case is over.
fn write(
    front: std::net::SocketAddr,
    host: &str,
    group: &Group,
    is_over: &AtomicBool,
    number: &AtomicU64,
) {
    let mut open = None;
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(15));
        let Some(client) = &mut open else {
            open = Client::open(front, host, "lepu270", "nypu920", "u6wsjnbanfqasnmgkcuy");
            continue;
        };
        let item = format!("k{}", number.fetch_add(1, Ordering::Relaxed));
        match client.run(&format!("WRITE {item} data")) {
            Reply::Success(_) => group.acknowledge(&item),
            Reply::Error(_) => thread::sleep(Duration::from_millis(200)),
            Reply::Lost => open = None,
        }
    }
}

/// Configuration as on the users' page, with one service and one tenant.
const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-rge9itf","host":"lepu270","pathPrefix":"/","kind":"primary","timeoutMs":800,"targetLatencyMs":120,"priority":1,"service":"huvo11a","maxAttempts":2,"public":false}],"services":[{"name":"huvo11a","healthPath":"/health","maxConnections":60,"protocol":"h1","tls":false,"syncReplicas":1}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"transactionIdleMs":3000},"tenants":[{"name":"nypu920","apiKeys":["u6wsjnbanfqasnmgkcuy"],"priority":1,"ratePerS":1000,"burst":1000}]}"#;
