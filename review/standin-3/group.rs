//! A stand-in of one service: a primary and its replicas, which speak the line protocol, register
//! themselves in the store and replicate the log with `syncReplicas` 1.

use super::{json::quote, listen_at, record, store::Store};
use std::{
    collections::{BTreeMap, BTreeSet},
    io::{BufRead as _, BufReader, Write as _},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Times that statements take, one after the other.
const WORK_MS: [u64; 7] = [2, 7, 1, 11, 4, 2, 5];
/// Time from an accepted promotion until it takes effect (`promote_ms` of the site).
const PROMOTE: Duration = Duration::from_millis(600);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Longest time for which a commit waits for a replica.
const SYNC: Duration = Duration::from_secs(5);

#[derive(Debug, Clone)]
struct Entry {
    term: u64,
    item: String,
    data: String,
    at: Instant,
}

#[derive(Debug)]
struct Server {
    id: String,
    zone: String,
    address: SocketAddr,
    is_running: bool,
    /// Time from a commit until this replica receives it.
    delay: Duration,
    held: u64,
    /// Whether it receives nothing.
    is_deaf: bool,
    is_draining: bool,
    term: u64,
    log: Vec<Entry>,
    born: u128,
    sequence: u64,
    beat_at: Option<Instant>,
    connections: Vec<TcpStream>,
}

#[derive(Debug)]
struct State {
    primary: usize,
    term: u64,
    servers: Vec<Server>,
    /// Items whose writes were acknowledged to clients.
    acknowledged: BTreeSet<String>,
    /// Acknowledged items that the log of a promoted backend lacked.
    missing: BTreeSet<String>,
    promotions: usize,
    /// Backends whose promotions were accepted and have not taken effect.
    accepted: Vec<usize>,
}

#[derive(Debug)]
pub struct Group {
    pub service: String,
    state: Mutex<State>,
    changed: Condvar,
    store_entries: Mutex<BTreeMap<String, Instant>>,
    /// Number of statements that were run.
    statements: AtomicUsize,
    /// Greatest length of the log in an answer to a successful write or commit.
    reported: AtomicUsize,
}

impl Group {
    /// Starts a backend in each zone; the first one is the primary.
    pub fn start(
        service: &str,
        zones: &[&str],
        delays: &[Duration],
        store: &Arc<Store>,
    ) -> Arc<Self> {
        let servers = zones
            .iter()
            .zip(delays)
            .enumerate()
            .map(|(index, (zone, delay))| Server {
                id: format!("i-{service}-{index}"),
                zone: (*zone).to_owned(),
                address: super::listen().local_addr().expect("address"),
                is_running: true,
                delay: *delay,
                held: 0,
                is_deaf: false,
                is_draining: false,
                term: 1,
                log: Vec::new(),
                born: unix_ms(),
                sequence: 0,
                beat_at: None,
                connections: Vec::new(),
            });
        let group = Arc::new(Self {
            service: service.to_owned(),
            state: Mutex::new(State {
                primary: 0,
                term: 1,
                servers: servers.collect(),
                acknowledged: BTreeSet::new(),
                missing: BTreeSet::new(),
                promotions: 0,
                accepted: Vec::new(),
            }),
            changed: Condvar::new(),
            store_entries: Mutex::default(),
            statements: AtomicUsize::new(0),
            reported: AtomicUsize::new(0),
        });
        for index in 0..zones.len() {
            let served = Arc::clone(&group);
            thread::spawn(move || served.accept(index));
        }
        let replicated = Arc::clone(&group);
        thread::spawn(move || replicated.replicate());
        let (beating, store) = (Arc::clone(&group), Arc::clone(store));
        thread::spawn(move || beating.beat(&store));
        group
    }

    /// Crashes a backend: its connections break and it accepts none.
    pub fn crash(&self, index: usize) {
        let mut state = self.state.lock().expect("state");
        let server = &mut state.servers[index];
        server.is_running = false;
        for connection in server.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        record::say(&format!(
            "backend {} crashes with {} log entries",
            server.id,
            server.log.len()
        ));
    }

    /// Crashes the primary at a moment when it has given a position of its log that no replica has
    /// received yet: that of other writes, which are under way. Returns whether there was one.
    pub fn crash_with_writes_under_way(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(2);
        while Instant::now() < until {
            let state = self.state.lock().expect("state");
            let primary = state.primary;
            let replicas = state.servers.iter().enumerate();
            let replicas = replicas.filter(|(index, _)| *index != primary);
            let received = replicas.map(|(_, it)| it.log.len()).max();
            let reported = self.reported.load(Ordering::Relaxed);
            drop(state);
            if received.is_some_and(|received| reported > received + 1) {
                self.crash(primary);
                return true;
            }
            thread::sleep(Duration::from_millis(1));
        }
        false
    }

    /// Starts a crashed backend again, with its log.
    pub fn restart(&self, index: usize) {
        let mut state = self.state.lock().expect("state");
        let server = &mut state.servers[index];
        server.is_running = true;
        server.held = 0;
        server.born = unix_ms();
        server.sequence = 0;
        server.beat_at = None;
        record::say(&format!("backend {} is back with its log", server.id));
    }

    /// Records that a client got a success for its write.
    pub fn acknowledge(&self, item: &str) {
        let mut state = self.state.lock().expect("state");
        state.acknowledged.insert(item.to_owned());
    }

    /// Lets a replica receive nothing, or receive again.
    pub fn set_deaf(&self, index: usize, is_deaf: bool) {
        let mut state = self.state.lock().expect("state");
        let server = &mut state.servers[index];
        server.is_deaf = is_deaf;
        record::say(&format!(
            "backend {} receives nothing: {is_deaf}",
            server.id
        ));
    }

    /// Reports a backend as draining, or as ready again.
    pub fn set_draining(&self, index: usize, is_draining: bool) {
        let mut state = self.state.lock().expect("state");
        let server = &mut state.servers[index];
        server.is_draining = is_draining;
        server.beat_at = None;
        record::say(&format!("backend {} is draining: {is_draining}", server.id));
    }

    /// Lets all backends write their registry entries again.
    pub fn register_again(&self) {
        let mut state = self.state.lock().expect("state");
        for server in &mut state.servers {
            server.beat_at = None;
        }
    }

    /// Reports whether a promotion was accepted and has not taken effect.
    pub fn has_accepted(&self) -> bool {
        !self.state.lock().expect("state").accepted.is_empty()
    }

    /// Returns the backend whose promotion was accepted last and has not taken effect, or else the
    /// primary.
    pub fn candidate(&self) -> usize {
        let state = self.state.lock().expect("state");
        state.accepted.last().copied().unwrap_or(state.primary)
    }

    /// Starts a new replica in a zone. It gets the log of the primary and registers itself.
    pub fn join(self: &Arc<Self>, zone: &str) {
        let mut state = self.state.lock().expect("state");
        let index = state.servers.len();
        let id = format!("i-{}-{index}", self.service);
        record::say(&format!("backend {id} starts as a new replica"));
        state.servers.push(Server {
            id,
            zone: zone.to_owned(),
            address: super::listen().local_addr().expect("address"),
            is_running: true,
            delay: Duration::from_millis(2),
            held: 0,
            is_deaf: false,
            is_draining: false,
            term: 1,
            log: Vec::new(),
            born: unix_ms(),
            sequence: 0,
            beat_at: None,
            connections: Vec::new(),
        });
        drop(state);
        let served = Arc::clone(self);
        thread::spawn(move || served.accept(index));
    }

    /// Returns the index of the primary.
    pub fn primary(&self) -> usize {
        self.state.lock().expect("state").primary
    }

    /// Returns the backends with their roles, the lengths of their logs and their pauses.
    pub fn describe(&self) -> String {
        let state = self.state.lock().expect("state");
        let servers = state.servers.iter().enumerate().map(|(index, it)| {
            let role = if index == state.primary {
                "primary"
            } else {
                "replica"
            };
            format!(
                "{} {role} log {} paused {} runs {}",
                it.id,
                it.log.len(),
                it.held,
                it.is_running
            )
        });
        servers.collect::<Vec<_>>().join("; ")
    }

    pub fn acknowledged(&self) -> usize {
        self.state.lock().expect("state").acknowledged.len()
    }

    pub fn promotions(&self) -> usize {
        self.state.lock().expect("state").promotions
    }

    pub fn missing(&self) -> BTreeSet<String> {
        self.state.lock().expect("state").missing.clone()
    }

    /// Accepts a promotion of a backend that runs.
    pub fn promote(self: &Arc<Self>, id: &str) -> bool {
        let mut state = self.state.lock().expect("state");
        let Some(index) = state
            .servers
            .iter()
            .position(|it| it.id == id && it.is_running)
        else {
            return false;
        };
        if index == state.primary {
            return true;
        }
        state.accepted.push(index);
        drop(state);
        let group = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(PROMOTE);
            group.lead(index);
        });
        true
    }

    fn lead(&self, index: usize) {
        let mut state = self.state.lock().expect("state");
        state.accepted.retain(|it| *it != index);
        if !state.servers[index].is_running {
            return;
        }
        state.term += 1;
        let term = state.term;
        state.primary = index;
        state.promotions += 1;
        for server in &mut state.servers {
            server.held = 0;
            server.beat_at = None;
        }
        let server = &mut state.servers[index];
        server.term = term;
        let id = server.id.clone();
        let log: BTreeSet<String> = server.log.iter().map(|it| it.item.clone()).collect();
        let length = log.len();
        let missing: Vec<String> = state.acknowledged.difference(&log).cloned().collect();
        record::say(&format!(
            "backend {id} leads term {term} with {length} log entries; {} acknowledged commits are not in its log",
            missing.len()
        ));
        for item in &missing {
            record::line(&format!(
                "acknowledged commit {item} is not in the log of the promoted backend {id}"
            ));
        }
        state.missing.extend(missing);
        drop(state);
        self.changed.notify_all();
    }

    /// Sends the replicas what they lack of the log of the primary.
    fn replicate(&self) {
        loop {
            thread::sleep(Duration::from_millis(2));
            let mut state = self.state.lock().expect("state");
            let (primary, term) = (state.primary, state.term);
            if !state.servers[primary].is_running {
                continue;
            }
            let log = std::mem::take(&mut state.servers[primary].log);
            for (index, server) in state.servers.iter_mut().enumerate() {
                if index == primary || !server.is_running || server.held > 0 || server.is_deaf {
                    continue;
                }
                while server.log.last().is_some_and(|last| {
                    let same = log.get(server.log.len() - 1);
                    same.is_none_or(|same| (same.term, &same.item) != (last.term, &last.item))
                }) {
                    server.log.pop();
                }
                server.term = term;
                let missing = log[server.log.len()..].iter();
                let due = missing.take_while(|it| it.at.elapsed() >= server.delay);
                let due: Vec<Entry> = due.cloned().collect();
                server.log.extend(due);
            }
            state.servers[primary].log = log;
            drop(state);
            self.changed.notify_all();
        }
    }

    /// Writes the registry entries. The store removes one after three intervals of silence.
    fn beat(&self, store: &Store) {
        loop {
            thread::sleep(Duration::from_millis(50));
            let mut state = self.state.lock().expect("state");
            let primary = state.primary;
            let mut entries = self.store_entries.lock().expect("entries");
            for (index, server) in state.servers.iter_mut().enumerate() {
                let is_due = server.beat_at.is_none_or(|at| at.elapsed() >= HEARTBEAT);
                if server.is_running && is_due {
                    server.beat_at = Some(Instant::now());
                    server.sequence += 1;
                    let role = if index == primary {
                        "primary"
                    } else {
                        "replica"
                    };
                    let entry = format!(
                        "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":5,\"state\":\"{}\",\"coldRemainingMs\":0,\"sequence\":{},\"born\":{},\"databaseRole\":\"{role}\"}}",
                        quote(&self.service),
                        server.address,
                        quote(&server.zone),
                        if server.is_draining {
                            "draining"
                        } else {
                            "ready"
                        },
                        server.sequence,
                        server.born
                    );
                    entries.insert(server.id.clone(), Instant::now());
                    store.write("servers", &server.id, Some(&entry));
                }
                let is_silent = entries
                    .get(&server.id)
                    .is_some_and(|at| at.elapsed() >= HEARTBEAT * 3);
                if is_silent {
                    entries.remove(&server.id);
                    store.write("servers", &server.id, None);
                    record::line(&format!("store: the entry of {} expires", server.id));
                }
            }
        }
    }

    /// Accepts connections to a backend while it runs.
    fn accept(self: &Arc<Self>, index: usize) {
        let address = self.state.lock().expect("state").servers[index].address;
        let mut listener = None;
        loop {
            if !self.state.lock().expect("state").servers[index].is_running {
                listener = None;
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            let Some(open) = &listener else {
                listener = listen_at(address);
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        self.state.lock().expect("state").servers[index]
                            .connections
                            .push(copy);
                    }
                    let group = Arc::clone(self);
                    thread::spawn(move || group.serve(index, &stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, index: usize, stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        let mut session = Session::default();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                break;
            }
            let line = line.trim_end_matches(['\r', '\n']);
            let response = match line.split_once(' ') {
                Some(("START", rest)) => match self.open(index, &mut session, rest) {
                    true => format!("READY I {}\r\n", self.position(index)),
                    false => "ERROR MISROUTED other backend\r\n".to_owned(),
                },
                Some(("QUERY", rest)) => {
                    let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
                    self.respond(index, &mut session, id, text)
                }
                _ => break,
            };
            let mut writer = stream;
            let is_written = writer.write_all(response.as_bytes()).is_ok();
            if !is_written || response.starts_with("ERROR MISROUTED") {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn open(&self, index: usize, session: &mut Session, rest: &str) -> bool {
        let fields: Vec<&str> = rest.split(' ').collect();
        let state = self.state.lock().expect("state");
        session.tenant = fields.get(1).copied().unwrap_or_default().to_owned();
        let is_expected = fields
            .get(2)
            .is_none_or(|id| *id == state.servers[index].id);
        fields.first() == Some(&self.service.as_str()) && is_expected
    }

    /// Returns the position of the log of a backend.
    fn position(&self, index: usize) -> String {
        let state = self.state.lock().expect("state");
        let server = &state.servers[index];
        let last = server.log.last().map_or(1, |it| it.term);
        format!("{}.{}", last.max(server.term), server.log.len())
    }

    fn respond(&self, index: usize, session: &mut Session, id: &str, text: &str) -> String {
        let mut response = String::new();
        let is_commit = session.open.is_none() && text.starts_with("WRITE");
        let mut has_succeeded = false;
        match self.execute(index, session, id, text) {
            Ok(rows) => {
                has_succeeded = true;
                for row in rows {
                    response.push_str(&format!("ROW {row}\r\n"));
                }
                response.push_str(&format!("COMPLETE sig.{index}.{id}\r\n"));
            }
            Err(code) => {
                session.has_failed = session.open.is_some();
                response.push_str(&format!("ERROR {code} i-{index}\r\n"));
            }
        }
        let state = match session.open {
            None => "I",
            Some(_) if session.has_failed => "E",
            Some(_) => "T",
        };
        let position = self.position(index);
        if is_commit && has_succeeded {
            let length = position
                .split('.')
                .next_back()
                .and_then(|it| it.parse().ok());
            self.reported
                .fetch_max(length.unwrap_or(0), Ordering::Relaxed);
        }
        response.push_str(&format!("READY {state} {position}\r\n"));
        response
    }

    fn execute(
        &self,
        index: usize,
        session: &mut Session,
        id: &str,
        text: &str,
    ) -> Result<Vec<String>, &'static str> {
        let mut words: Vec<&str> = text.split(' ').collect();
        if words[0] == "AFTER" {
            let (term, number) = words[1].split_once('.').ok_or("MALFORMED")?;
            let (term, number): (u64, usize) =
                (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
            let state = self.state.lock().expect("state");
            let server = &state.servers[index];
            if server.term < term || server.log.len() < number {
                return Err("LAGGING");
            }
            words.drain(..2);
        }
        match words[0] {
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => {
                return Ok(vec![self.command(index, &words)]);
            }
            "SET" | "RESET" | "PREPARE" | "DEALLOCATE" => return Ok(Vec::new()),
            _ => {}
        }
        if session.has_failed && !matches!(words[0], "COMMIT" | "ROLLBACK") {
            return Err("MALFORMED");
        }
        let number = self.statements.fetch_add(1, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(WORK_MS[number % WORK_MS.len()]));
        let term = {
            let state = self.state.lock().expect("state");
            (state.primary == index).then_some(state.term)
        };
        let began = session.open.as_ref().and_then(|it| it.term);
        let has_lost_lead = began.is_some() && term != began;
        match words[0] {
            "ROLLBACK" => {
                session.end();
                Ok(Vec::new())
            }
            _ if has_lost_lead => Err("READONLY"),
            "BEGIN" => {
                let is_plain = words.len() == 1;
                if is_plain && term.is_none() {
                    return Err("READONLY");
                }
                session.open = Some(Transaction {
                    term: term.filter(|_| is_plain),
                    writes: Vec::new(),
                });
                Ok(Vec::new())
            }
            "READ" => {
                record::ran(id, &session.tenant, &index.to_string(), text);
                let state = self.state.lock().expect("state");
                let found = state.servers[index]
                    .log
                    .iter()
                    .rev()
                    .find(|it| it.item == words[1]);
                Ok(found.map(|it| it.data.clone()).into_iter().collect())
            }
            "WRITE" => {
                if term.is_none() {
                    return Err("READONLY");
                }
                record::ran(id, &session.tenant, &index.to_string(), text);
                let write = (words[1].to_owned(), words[2..].join(" "));
                match &mut session.open {
                    Some(transaction) => transaction.writes.push(write),
                    None => self.commit(index, vec![write])?,
                }
                Ok(Vec::new())
            }
            "COMMIT" => {
                record::ran(id, &session.tenant, &index.to_string(), text);
                let has_failed = session.has_failed;
                let writes = session.end();
                if !has_failed {
                    self.commit(index, writes)?;
                }
                Ok(Vec::new())
            }
            _ => Err("MALFORMED"),
        }
    }

    /// Appends writes to the log, and waits until a replica has received them.
    fn commit(&self, index: usize, writes: Vec<(String, String)>) -> Result<(), &'static str> {
        if writes.is_empty() {
            return Ok(());
        }
        let until = Instant::now() + SYNC;
        let mut state = self.state.lock().expect("state");
        let term = state.term;
        if state.primary != index {
            return Err("READONLY");
        }
        for (item, data) in writes {
            let entry = Entry {
                term,
                item,
                data,
                at: Instant::now(),
            };
            state.servers[index].log.push(entry);
        }
        let length = state.servers[index].log.len();
        loop {
            let mut replicas = state
                .servers
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index);
            let is_received =
                replicas.any(|(_, it)| it.log.len() >= length && it.log[length - 1].term == term);
            if state.primary != index || state.term != term || !state.servers[index].is_running {
                return Err("FAILED");
            }
            if is_received {
                return Ok(());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err("TIMEOUT");
            }
            state = self.changed.wait_timeout(state, left).expect("state").0;
        }
    }

    fn command(&self, index: usize, words: &[&str]) -> String {
        let mut state = self.state.lock().expect("state");
        let term: u64 = words.get(1).and_then(|it| it.parse().ok()).unwrap_or(0);
        let (newest, leads) = (state.term, state.primary == index);
        let server = &mut state.servers[index];
        match words[0] {
            "PAUSE" if !leads && term > newest => server.held = server.held.max(term),
            "RESUME" => server.held = 0,
            _ => {}
        }
        if words[0] != "STATUS" {
            record::line(&format!("backend {}: {}", server.id, words.join(" ")));
        }
        let role = if leads { "primary" } else { "replica" };
        let last = server.log.last().map_or(1, |it| it.term);
        format!(
            "{role} {} {last}.{} {} 0 0 1",
            server.term,
            server.log.len(),
            server.held
        )
    }
}

#[derive(Default)]
struct Session {
    tenant: String,
    open: Option<Transaction>,
    has_failed: bool,
}

struct Transaction {
    /// Term in which it began, unless it is read-only.
    term: Option<u64>,
    writes: Vec<(String, String)>,
}

impl Session {
    fn end(&mut self) -> Vec<(String, String)> {
        self.has_failed = false;
        self.open.take().map(|it| it.writes).unwrap_or_default()
    }
}

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |it| it.as_millis())
}
