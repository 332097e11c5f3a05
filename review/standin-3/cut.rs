//! Case "cut": a primary is replaced as planned while one host is cut off from the others and the
//! candidate receives nothing for a moment.

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
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Length of the cut (`core_cut` in the site file).
const CUT: Duration = Duration::from_millis(5_500);
/// Time from the cut until the primary reports `draining`.
const UNTIL_DRAIN: Duration = Duration::from_millis(100);
/// Time for which the candidate receives nothing.
const DEAF: Duration = Duration::from_secs(2);
const ZONES: [&str; 3] = ["attica-a", "attica-b", "attica-c"];
/// The last host is cut off.
const HOSTS: [(&str, &str); 4] = [
    ("front-a-1", "attica-a"),
    ("front-a-2", "attica-a"),
    ("front-b-1", "attica-b"),
    ("front-c-1", "attica-c"),
];

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let net = Arc::new(Net::default());
    let (store, address) = Store::start();
    let delays = [2, 2, 3].map(Duration::from_millis);
    let group = Group::start("huvo11a", &ZONES, &delays, &store);
    store.set_groups(vec![Arc::clone(&group)]);
    store.write("op", "config", Some(CONFIGURATION));
    let site = Site {
        folder: folder.to_owned(),
        store: net.relay("store", address),
        zones: ZONES.to_vec(),
        net: Arc::clone(&net),
    };
    let mut hosts: Vec<Host> = Vec::new();
    for (name, zone) in HOSTS {
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
    let next = Arc::new(AtomicU64::new(1));
    for host in &hosts {
        // The other hosts have little to do, so that the replacement is not put off.
        let pause = if host.name == HOSTS[3].0 { 25 } else { 300 };
        let pause = Duration::from_millis(pause);
        for _ in 0..2 {
            let (front, name) = (host.front, host.name.clone());
            let (group, is_over, next) =
                (Arc::clone(&group), Arc::clone(&is_over), Arc::clone(&next));
            thread::spawn(move || write(front, &name, pause, &group, &is_over, &next));
        }
    }
    thread::sleep(Duration::from_secs(8));
    let cut_off = HOSTS[3].0;
    wait_for_renewal(&store, cut_off);
    let cut_at = Instant::now();
    if has_trouble {
        net.cut(cut_off, "store");
        for (other, _) in &HOSTS[..3] {
            net.cut(cut_off, other);
        }
    }
    thread::sleep(UNTIL_DRAIN);
    // Planned: the primary is replaced, and another backend too, whose successor starts first.
    let primary = group.primary();
    group.set_draining(primary, true);
    let until = Instant::now() + Duration::from_secs(6);
    while !group.has_accepted() && Instant::now() < until {
        thread::sleep(Duration::from_millis(1));
    }
    if !group.has_accepted() {
        return Verdict::NotRun;
    }
    let candidate = group.candidate();
    if has_trouble {
        group.set_deaf(candidate, true);
    }
    group.join(ZONES[2]);
    thread::sleep(DEAF);
    group.set_deaf(candidate, false);
    thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    net.heal();
    thread::sleep(Duration::from_secs(4));
    is_over.store(true, Ordering::Relaxed);
    let missing = group.missing();
    record::say(&format!(
        "{} promotions, {} commits acknowledged, {} of them not in the log of a promoted backend",
        group.promotions(),
        group.acknowledged(),
        missing.len()
    ));
    if hosts.iter_mut().any(Host::has_ended) || group.promotions() == 0 {
        return Verdict::NotRun;
    }
    if missing.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// Waits until a host has renewed its row in the store, as it does about every 4 s.
fn wait_for_renewal(store: &Store, host: &str) {
    let key = format!("member/{host}");
    let before = store.version("fulmargw", &key);
    let until = Instant::now() + Duration::from_secs(10);
    while store.version("fulmargw", &key) == before && Instant::now() < until {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(200));
}

/// Books, one write after the other, until the case is over.
fn write(
    front: SocketAddr,
    host: &str,
    pause: Duration,
    group: &Group,
    is_over: &AtomicBool,
    next: &AtomicU64,
) {
    let mut open = None;
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(pause);
        let Some(client) = &mut open else {
            open = Client::open(front, host, "lepu270", "nypu920", "u6wsjnbanfqasnmgkcuy");
            continue;
        };
        let item = format!("k{}", next.fetch_add(1, Ordering::Relaxed));
        match client.run(&format!("WRITE {item} data")) {
            Reply::Success(_) => group.acknowledge(&item),
            Reply::Error(_) => thread::sleep(Duration::from_millis(20)),
            Reply::Lost => open = None,
        }
    }
}

/// Configuration as on the users' page, with one service and one tenant.
const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-rge9itf","host":"lepu270","pathPrefix":"/","kind":"primary","timeoutMs":800,"targetLatencyMs":120,"priority":1,"service":"huvo11a","maxAttempts":2,"public":false}],"services":[{"name":"huvo11a","healthPath":"/health","maxConnections":60,"protocol":"h1","tls":false,"syncReplicas":1}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"transactionIdleMs":3000},"tenants":[{"name":"nypu920","apiKeys":["u6wsjnbanfqasnmgkcuy"],"priority":1,"ratePerS":1000,"burst":1000}]}"#;
