//! QUOTA: a host that is cut off goes on to use its share of a tenant's rate, while a new host uses the
//! same share.

use crate::{
    Verdict,
    client::Client,
    fleet::{Fleet, HOSTS, KEY, OWN},
    record,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// `ratePerS` and `burst` of the tenant.
const RATE: u64 = 200;
const BURST: u64 = 20;
/// `quotaWindowS`, `quotaOverage` and `quotaSlack`.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Host that is cut off. The new host takes its share: it ranks lowest of the five for the tenant.
const CUT_HOST: usize = 2;
/// Duration of the cut.
const CUT: Duration = Duration::from_millis(5_500);
/// Clients of each host, and the pause between two requests of each of them.
const CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(30);

type Sent = Arc<Mutex<HashMap<String, Duration>>>;

pub fn play(files: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::start(files)?;
    fleet.reconfigure(|configuration| {
        configuration.rate = RATE;
        configuration.burst = BURST;
    });
    let sent = Sent::default();
    let stop = Arc::new(AtomicBool::new(false));
    let start = |front: SocketAddr| {
        (0..CLIENTS).for_each(|_| {
            let (sent, stop) = (Arc::clone(&sent), Arc::clone(&stop));
            thread::spawn(move || read(front, &sent, &stop));
        });
    };
    fleet.hosts.iter().for_each(|host| start(host.front));
    thread::sleep(Duration::from_secs(8));
    if has_trouble {
        fleet.cut_off(CUT_HOST);
    }
    fleet.add_host()?;
    start(fleet.hosts[HOSTS].front);
    thread::sleep(CUT);
    if has_trouble {
        fleet.heal(CUT_HOST);
    }
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(300));
    Ok(check(&fleet, &sent.lock().unwrap()))
}

/// Reads until `stop` is set.
fn read(front: SocketAddr, sent: &Sent, stop: &AtomicBool) {
    let mut session = None;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(PAUSE);
        let Some(client) = &mut session else {
            session = Client::open("reader", front, OWN, KEY).ok();
            continue;
        };
        let at = record::elapsed();
        let reply = client.run("READ 1a4");
        sent.lock().unwrap().insert(reply.id, at);
        if reply.state.is_empty() {
            session = None;
        }
    }
}

/// Finds the window with the most requests that were both sent and arrived in it.
fn check(fleet: &Fleet, sent: &HashMap<String, Duration>) -> Verdict {
    let arrivals = fleet.group.arrivals();
    let runs: Vec<(Duration, Duration)> = arrivals
        .iter()
        .filter_map(|(id, arrived)| Some((*sent.get(id)?, *arrived)))
        .collect();
    let count = |from: Duration| {
        let inside = |run: &&(Duration, Duration)| run.0 >= from && run.1 <= from + WINDOW;
        runs.iter().filter(inside).count()
    };
    let most = runs.iter().map(|(from, _)| (count(*from), *from)).max();
    let (most, from) = most.unwrap_or_default();
    let allowed = (RATE * WINDOW.as_secs() + BURST) as f64 * (1.0 + OVERAGE) + SLACK;
    record::show(&format!(
        "{most} requests ran in the window from {:.3}; {allowed:.0} are allowed",
        from.as_secs_f64()
    ));
    if most as f64 > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
