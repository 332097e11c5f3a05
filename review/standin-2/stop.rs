//! A host that runs the transactions of other hosts' clients is stopped with SIGTERM.

use crate::{
    Outcome, Setting,
    client::{Client, Reply},
    fleet::{self, Host, SIGTERM},
    group::{Behaviour, Group},
    record::Record,
    store::Store,
};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Time that a read or write takes on a server, within what the sheets give.
const WORK: Duration = Duration::from_millis(30);
const CLIENTS_PER_HOST: usize = 3;
/// Half of the grace period of 6 s, in which an open transaction may end.
const HALF_GRACE: Duration = Duration::from_secs(3);
/// Statements of a transaction are sent without pauses from this time before the half of the grace
/// period on.
const LEAD: Duration = Duration::from_millis(100);
/// Times after SIGTERM of the statements that come before.
const EARLY: [u64; 3] = [700, 1_400, 2_100];
/// Number of the writes that follow.
const LATE_WRITES: usize = 6;

/// A transaction as its client saw it.
struct Seen {
    name: String,
    /// Identifiers of the statements sent after BEGIN succeeded and before COMMIT or ROLLBACK.
    inside: Vec<String>,
    has_committed: bool,
    /// First reply in the middle of the transaction that says that none is open, although it is a
    /// success.
    lapse: Option<String>,
}

pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::start(record);
    let behaviour = Behaviour {
        work: WORK,
        report_rows: 1,
        row_bytes: 10,
    };
    let group = Group::start(&store, record, behaviour);
    store.write(
        "op",
        "config",
        Some(&fleet::configuration(7, 800, 1_000, 400)),
    );
    let hosts = fleet::start(&setting.folder, store.address, 260, record);
    if hosts.is_empty() || !fleet::wait_until_ready(&hosts) {
        record.tell("the hosts did not get ready");
        return Outcome::NotRun;
    }
    let Some(holder) = find_holder(&hosts, record) else {
        record.tell("no host runs the statements of the service");
        return Outcome::NotRun;
    };
    record.tell(&format!(
        "{} runs the statements of the service",
        hosts[holder].name
    ));
    let stopped_at = Instant::now() + Duration::from_millis(600);
    let mut clients = Vec::new();
    for (index, host) in hosts
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != holder)
    {
        for number in 0..CLIENTS_PER_HOST {
            let name = format!("client-{index}-{number}");
            let (front, record) = (host.front(), Arc::clone(record));
            clients.push(thread::spawn(move || {
                transact(&name, front, stopped_at, &record)
            }));
        }
    }
    sleep_until(stopped_at);
    if setting.has_trouble {
        hosts[holder].signal(SIGTERM);
    }
    let seen: Vec<Seen> = clients
        .into_iter()
        .filter_map(|client| client.join().ok()?)
        .collect();
    thread::sleep(Duration::from_millis(500));
    if seen.is_empty() {
        record.tell("no client could begin a transaction");
        return Outcome::NotRun;
    }
    judge(&group, &seen, record)
}

/// Runs reads through all hosts, and returns the one that opened connections to the servers.
fn find_holder(hosts: &[Host], record: &Arc<Record>) -> Option<usize> {
    for host in hosts {
        let mut client = Client::open("probe", host.front(), "current", "u3f1", record).ok()?;
        client.run("READ nothing").ok()?;
    }
    let opened = hosts
        .iter()
        .map(|host| host.metric("fulmargw_pool_connections_opened_total"));
    let opened: Vec<f64> = opened.collect();
    let most = opened.iter().copied().fold(0.0, f64::max);
    opened
        .iter()
        .position(|count| *count > 0.0 && *count >= most)
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Runs one transaction: a write, three reads with pauses, six writes without pauses, and COMMIT.
///
/// The client goes on with its transaction after each success, and ends it after an error.
fn transact(
    name: &str,
    front: SocketAddr,
    stopped_at: Instant,
    record: &Arc<Record>,
) -> Option<Seen> {
    let mut client = Client::open(name, front, "current", "u3f1", record).ok()?;
    sleep_until(stopped_at - Duration::from_millis(300));
    let begun = client.run("BEGIN").ok()?;
    if begun.result.is_err() {
        return None;
    }
    let mut seen = Seen {
        name: name.to_owned(),
        inside: Vec::new(),
        has_committed: false,
        lapse: None,
    };
    let early = EARLY.map(|at| {
        (
            stopped_at + Duration::from_millis(at),
            format!("READ {name}-0"),
        )
    });
    let late = stopped_at + HALF_GRACE - LEAD;
    let writes =
        (1..=LATE_WRITES).map(|number| (late, format!("WRITE {name}-{number} part-{number}")));
    let first = (
        stopped_at - Duration::from_millis(200),
        format!("WRITE {name}-0 part-0"),
    );
    for (at, text) in [first].into_iter().chain(early).chain(writes) {
        sleep_until(at);
        let reply = client.run(&text).ok()?;
        if !record_reply(&mut seen, &reply) {
            return Some(seen);
        }
    }
    seen.has_committed = client.run("COMMIT").is_ok_and(|reply| reply.result.is_ok());
    Some(seen)
}

/// Records the reply to a statement inside the transaction. Returns whether the transaction goes on.
fn record_reply(seen: &mut Seen, reply: &Reply) -> bool {
    seen.inside.push(reply.id.clone());
    if reply.result.is_ok() && reply.state == "I" && seen.lapse.is_none() {
        seen.lapse = Some(reply.id.clone());
    }
    reply.result.is_ok()
}

/// PINNED: a statement runs outside its own transaction.
fn judge(group: &Arc<Group>, seen: &[Seen], record: &Arc<Record>) -> Outcome {
    let runs = group.runs();
    let kept: BTreeSet<String> = group.kept().into_iter().collect();
    let mut is_broken = false;
    for transaction in seen {
        let mut numbers = BTreeSet::new();
        let mut outside = Vec::new();
        for run in runs
            .iter()
            .filter(|run| transaction.inside.contains(&run.id))
        {
            match run.transaction {
                Some(number) => drop(numbers.insert(number)),
                None => outside.push(run.id.clone()),
            }
        }
        let kept = transaction
            .inside
            .iter()
            .filter(|id| kept.contains(*id))
            .count();
        record.tell(&format!(
            "{}: {} statements sent inside its transaction, {} ran outside of it, {kept} writes kept, committed: {}, success with state I in the middle: {}",
            transaction.name, transaction.inside.len(), outside.len(), transaction.has_committed,
            transaction.lapse.as_deref().unwrap_or("none")
        ));
        is_broken |= !outside.is_empty() || numbers.len() > 1;
    }
    if is_broken {
        record.tell("PINNED is broken: statements of a transaction ran outside of it");
        return Outcome::Broken;
    }
    Outcome::Held
}
