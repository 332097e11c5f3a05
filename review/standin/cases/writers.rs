//! Clients that write until they are stopped, and the check that no acknowledged write is lost.

use crate::{
    Verdict,
    client::Client,
    fleet::{Fleet, KEY, PRIMARY},
    record,
};
use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Pause between two writes of a client.
const PAUSE: Duration = Duration::from_millis(60);

/// Writes that were acknowledged, with the time of the acknowledgement.
type Acknowledged = Arc<Mutex<Vec<(String, Duration)>>>;

/// One client for each host.
pub struct Writers {
    acknowledged: Acknowledged,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Writers {
    pub fn start(fleet: &Fleet) -> Self {
        let acknowledged = Acknowledged::default();
        let stop = Arc::new(AtomicBool::new(false));
        let hosts = fleet.hosts.iter();
        let threads = hosts.map(|host| {
            let (name, address) = (host.name.clone(), host.front);
            let (acknowledged, stop) = (Arc::clone(&acknowledged), Arc::clone(&stop));
            thread::spawn(move || write(&name, address, &acknowledged, &stop))
        });
        Self {
            threads: threads.collect(),
            acknowledged,
            stop,
        }
    }

    /// Stops the clients, and checks that each server that was promoted had every commit that was
    /// acknowledged before.
    pub fn stop_and_check(self, fleet: &Fleet) -> Verdict {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        for host in &fleet.hosts {
            let events = ["promotion_stopped", "promotion_candidate", "\"promoted\""];
            for line in events.iter().flat_map(|event| host.log_lines(event)) {
                record::line(&format!("log of {}: {line}", host.name));
            }
        }
        let acknowledged = self.acknowledged.lock().unwrap();
        check(fleet, &acknowledged)
    }
}

/// Writes until `stop` is set, and records what was acknowledged.
fn write(name: &str, address: SocketAddr, acknowledged: &Acknowledged, stop: &AtomicBool) {
    let mut session = None;
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(PAUSE);
        let Some(client) = &mut session else {
            session = Client::open(name, address, PRIMARY, KEY).ok();
            continue;
        };
        number += 1;
        let reply = client.run(&format!("WRITE {name}-{number} deposit"));
        if reply.is_signed() {
            acknowledged
                .lock()
                .unwrap()
                .push((reply.id, record::elapsed()));
        }
        if reply.state.is_empty() {
            session = None;
        }
    }
}

fn check(fleet: &Fleet, acknowledged: &[(String, Duration)]) -> Verdict {
    record::show(&format!("{} writes were acknowledged", acknowledged.len()));
    let mut verdict = Verdict::Held;
    for promotion in fleet.group.promotions() {
        let log: HashSet<&String> = promotion.log.iter().collect();
        let before = acknowledged.iter().filter(|(_, at)| *at <= promotion.at);
        let missing: Vec<_> = before.filter(|(id, _)| !log.contains(id)).collect();
        let at = promotion.at.as_secs_f64();
        let server = &promotion.server;
        record::show(&format!(
            "server {server} was promoted at {at:.3} without {} acknowledged commits",
            missing.len()
        ));
        for (id, at) in &missing {
            record::line(&format!(
                "lost: {id}, acknowledged at {:.4}",
                at.as_secs_f64()
            ));
        }
        if !missing.is_empty() {
            verdict = Verdict::Broken;
        }
    }
    verdict
}
