//! Stand-in of a database group: one primary and its replicas, which speak the line protocol.
//!
//! A commit is acknowledged once a replica has received it. A server that is promoted leads the next
//! term with what it has received. Log, roles and connections of all servers are in one state.

use crate::{json::Json, record, store::Store};
use std::{
    collections::BTreeMap,
    io::{BufRead as _, BufReader, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

/// Interval between heartbeats of the servers; an entry is removed after three of them.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Interval in which the log is sent to the replicas.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(2);
/// Time after which a replica applies what it has received.
const APPLY_DELAY: Duration = Duration::from_millis(60);
/// Execution time of a read, a write and a commit.
const STATEMENT_TIME: Duration = Duration::from_millis(4);
/// Time of a promotion.
const PROMOTION_TIME: Duration = Duration::from_millis(600);
/// Time for which a commit waits for a replica before the connection is closed.
const SYNC_TIMEOUT: Duration = Duration::from_secs(8);

/// A committed write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    pub term: u64,
    pub id: String,
    item: String,
    data: String,
}

#[derive(Debug)]
struct Server {
    id: String,
    address: SocketAddr,
    zone: String,
    is_running: bool,
    /// Whether its log entries do not arrive.
    is_deaf: bool,
    is_paused: bool,
    is_draining: bool,
    /// Newest term that it knows.
    term: u64,
    log: Vec<Entry>,
    /// Time at which it received each entry.
    received_at: Vec<Instant>,
    born: u64,
    sequence: u64,
    /// Number of starts; the connections of earlier ones are closed.
    starts: u64,
    connections: Vec<TcpStream>,
    /// Time of its last heartbeat, and whether its entry is in the store.
    heartbeat_at: Option<Instant>,
    is_registered: bool,
    /// Role and state in its last entry.
    last_entry: Option<(&'static str, &'static str)>,
}

#[derive(Debug)]
struct State {
    primary: usize,
    term: u64,
    servers: Vec<Server>,
    signatures: u64,
    /// Log of each server that was promoted, at the moment at which it began to lead.
    promotions: Vec<Promotion>,
    /// Prepared statements that ran, with the shape that the server knows under the name.
    executed: Vec<(String, String)>,
}

/// A promotion that took effect.
#[derive(Debug, Clone)]
pub struct Promotion {
    pub server: String,
    pub at: Duration,
    pub log: Vec<String>,
}

/// A database group.
#[derive(Debug)]
pub struct Group {
    service: String,
    store: Arc<Store>,
    state: Mutex<State>,
    changed: Condvar,
    highest_token: Mutex<u64>,
}

/// State of one connection.
#[derive(Debug, Default)]
struct Session {
    open: Option<Transaction>,
    has_failed: bool,
    prepared: BTreeMap<String, String>,
    variables: BTreeMap<String, String>,
}

#[derive(Debug, Default)]
struct Transaction {
    /// Term in which it began, unless it is read-only.
    began: Option<u64>,
    writes: Vec<(String, String, String)>,
}

enum Failure {
    Code(&'static str),
    /// The connection is closed without a response.
    Close,
}

type Outcome = Result<Vec<String>, Failure>;

impl Group {
    /// Starts servers at addresses; the first one is the primary.
    pub fn start(service: &str, store: &Arc<Store>, addresses: &[SocketAddr]) -> Arc<Self> {
        let group = Arc::new(Self {
            service: service.to_owned(),
            store: Arc::clone(store),
            state: Mutex::new(State {
                primary: 0,
                term: 1,
                servers: Vec::new(),
                signatures: 0,
                promotions: Vec::new(),
                executed: Vec::new(),
            }),
            changed: Condvar::new(),
            highest_token: Mutex::new(0),
        });
        for address in addresses {
            group.add(*address);
        }
        let replicated = Arc::clone(&group);
        thread::spawn(move || {
            loop {
                thread::sleep(REPLICATION_INTERVAL);
                replicated.replicate();
            }
        });
        let registered = Arc::clone(&group);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                registered.send_heartbeats();
            }
        });
        group
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Adds a server, which receives the log like the other replicas. Returns its index.
    pub fn add(self: &Arc<Self>, address: SocketAddr) -> usize {
        let listener = TcpListener::bind(address).expect("bind a server");
        let index = {
            let mut state = self.lock();
            let index = state.servers.len();
            let term = state.term;
            state.servers.push(Server {
                id: format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_mul(index as u32 + 1)),
                address,
                zone: ["attica-a", "attica-b", "attica-c"][index % 3].to_owned(),
                is_running: true,
                is_deaf: false,
                is_paused: false,
                is_draining: false,
                term,
                log: Vec::new(),
                received_at: Vec::new(),
                born: 1_791_821_691_495 + record::elapsed().as_millis() as u64,
                sequence: 0,
                starts: 1,
                connections: Vec::new(),
                heartbeat_at: None,
                is_registered: false,
                last_entry: None,
            });
            index
        };
        let group = Arc::clone(self);
        thread::spawn(move || group.accept(index, listener));
        index
    }

    /// Returns the identifier of a server.
    pub fn id(&self, index: usize) -> String {
        self.lock().servers[index].id.clone()
    }

    fn note(&self, index: usize, what: &str) {
        let state = self.lock();
        let server = &state.servers[index];
        let text = format!(
            "server {} {what}; its log has {} entries",
            server.id,
            server.log.len()
        );
        drop(state);
        record::show(&text);
    }

    /// Starts or ends the loss of all log entries on the way to a replica.
    pub fn set_deaf(&self, index: usize, is_deaf: bool) {
        self.lock().servers[index].is_deaf = is_deaf;
        self.note(
            index,
            if is_deaf {
                "receives nothing"
            } else {
                "receives again"
            },
        );
    }

    /// A server reports that it is draining.
    pub fn drain(&self, index: usize) {
        self.lock().servers[index].is_draining = true;
        self.send_heartbeats();
        self.note(index, "reports draining");
    }

    /// A server exits: its entry is removed, and its log is gone.
    pub fn leave(&self, index: usize) {
        let id = {
            let mut state = self.lock();
            stop(&mut state.servers[index]);
            state.servers[index].is_registered = false;
            state.servers[index].id.clone()
        };
        self.store.write("servers", &id, None);
        self.note(index, "has left");
    }

    /// A server crashes: it resets its connections and refuses new ones.
    pub fn crash(&self, index: usize) {
        stop(&mut self.lock().servers[index]);
        self.note(index, "crashes");
    }

    /// A server that crashed starts again with its log.
    pub fn restart(&self, index: usize) {
        {
            let mut state = self.lock();
            let server = &mut state.servers[index];
            server.is_running = true;
            server.is_paused = false;
            server.starts += 1;
            server.born += 60_000;
            server.sequence = 0;
            server.last_entry = None;
            server.heartbeat_at = None;
        }
        self.send_heartbeats();
        self.note(index, "starts again");
    }

    /// Returns the index of the primary.
    pub fn primary(&self) -> usize {
        self.lock().primary
    }

    /// Returns the promotions that took effect.
    pub fn promotions(&self) -> Vec<Promotion> {
        self.lock().promotions.clone()
    }

    /// Returns the identifiers of executed statements, each with the shape that ran.
    pub fn executed(&self) -> Vec<(String, String)> {
        self.lock().executed.clone()
    }

    /// Handles a promotion call. Returns the status of the response.
    pub fn promote(self: &Arc<Self>, id: &str, holder: &str, token: u64) -> u16 {
        record::show(&format!(
            "cloud: promotion of {id}, holder {holder}, fencing token {token}"
        ));
        let mut highest = self.highest_token.lock().unwrap();
        if token < *highest {
            return 409;
        }
        *highest = token;
        let state = self.lock();
        let found = state
            .servers
            .iter()
            .position(|server| server.id == id && server.is_running);
        let Some(index) = found else {
            return 409;
        };
        if index == state.primary {
            return 200;
        }
        drop(state);
        let group = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(PROMOTION_TIME);
            group.lead(index);
        });
        200
    }

    fn lead(&self, index: usize) {
        {
            let mut state = self.lock();
            state.term += 1;
            state.primary = index;
            let term = state.term;
            for server in &mut state.servers {
                server.is_paused = false;
            }
            let server = &mut state.servers[index];
            server.term = term;
            let promotion = Promotion {
                server: server.id.clone(),
                at: record::elapsed(),
                log: server.log.iter().map(|entry| entry.id.clone()).collect(),
            };
            state.promotions.push(promotion);
            self.changed.notify_all();
        }
        self.send_heartbeats();
        self.note(index, "leads the next term");
    }

    /// Sends the log of the primary to the replicas that receive it.
    fn replicate(&self) {
        let mut state = self.lock();
        let (primary, term) = (state.primary, state.term);
        if !state.servers[primary].is_running {
            return;
        }
        let log = state.servers[primary].log.clone();
        let mut has_changed = false;
        for (index, server) in state.servers.iter_mut().enumerate() {
            let receives = server.is_running && !server.is_deaf && !server.is_paused;
            if index == primary || !receives {
                continue;
            }
            server.term = term;
            let is_prefix = server.log.len() <= log.len() && log.starts_with(&server.log);
            if !is_prefix {
                let common = server
                    .log
                    .iter()
                    .zip(&log)
                    .take_while(|(one, other)| one == other);
                let common = common.count();
                server.log.truncate(common);
                server.received_at.truncate(common);
            }
            if server.log.len() < log.len() {
                server.log.extend_from_slice(&log[server.log.len()..]);
                server.received_at.resize(log.len(), Instant::now());
                has_changed = true;
            }
        }
        if has_changed {
            self.changed.notify_all();
        }
    }

    /// Writes the entries of the servers that run, if they have changed, and removes those that have
    /// been silent for three heartbeats.
    fn send_heartbeats(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let primary = state.primary;
        for (index, server) in state.servers.iter_mut().enumerate() {
            let silent = server.heartbeat_at.map(|at| now.duration_since(at));
            if !server.is_running {
                if server.is_registered && silent.is_some_and(|silent| silent >= HEARTBEAT * 3) {
                    server.is_registered = false;
                    self.store.write("servers", &server.id, None);
                }
                continue;
            }
            server.heartbeat_at = Some(now);
            let role = if index == primary {
                "primary"
            } else {
                "replica"
            };
            let state = if server.is_draining {
                "draining"
            } else {
                "ready"
            };
            let description = (role, state);
            let entry = |sequence| {
                Json::object([
                    ("service", Json::text(&self.service)),
                    ("address", Json::text(server.address.to_string())),
                    ("zone", Json::text(&server.zone)),
                    ("version", Json::text("v1")),
                    ("slots", Json::Int(4)),
                    ("state", Json::text(state)),
                    ("coldRemainingMs", Json::Int(0)),
                    ("databaseRole", Json::text(role)),
                    ("sequence", Json::Int(sequence)),
                    ("born", Json::Int(server.born)),
                ])
                .encode()
            };
            if !server.is_registered || server.last_entry.as_ref() != Some(&description) {
                server.sequence += 1;
                let entry = entry(server.sequence);
                server.is_registered = true;
                server.last_entry = Some(description);
                self.store.write("servers", &server.id, Some(&entry));
            }
        }
    }

    /// Accepts connections while the server runs. A server that does not run has no listener, so that
    /// connections to it are refused.
    fn accept(self: Arc<Self>, index: usize, listener: TcpListener) {
        let address = listener.local_addr().expect("the address of a server");
        let mut listener = Some(listener);
        loop {
            let is_running = self.lock().servers[index].is_running;
            if !is_running {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let accepted = listener.as_ref().and_then(|listener| {
                let _ = listener.set_nonblocking(true);
                listener.accept().ok()
            });
            let Some((stream, _)) = accepted else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let mut state = self.lock();
            let server = &mut state.servers[index];
            let starts = server.starts;
            if !server.is_running {
                continue;
            }
            server.connections.retain(|it| it.peer_addr().is_ok());
            if let Ok(copy) = stream.try_clone() {
                server.connections.push(copy);
            }
            drop(state);
            let group = Arc::clone(&self);
            thread::spawn(move || {
                let _ = group.serve(index, starts, stream);
            });
        }
    }

    fn serve(&self, index: usize, starts: u64, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut write = stream.try_clone()?;
        let mut lines = BufReader::new(stream);
        let mut session = Session::default();
        loop {
            let mut line = String::new();
            if lines.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let line = line.trim_end_matches(['\r', '\n']);
            let mut parts = line.splitn(3, ' ');
            let verb = parts.next().unwrap_or_default();
            let response = match verb {
                "START" => {
                    let fields: Vec<&str> = line.split(' ').collect();
                    let id = self.id(index);
                    let is_wrong = fields.get(1) != Some(&self.service.as_str())
                        || fields.get(3).is_some_and(|expected| *expected != id);
                    if is_wrong {
                        write.write_all(format!("ERROR MISROUTED {id}\r\n").as_bytes())?;
                        return Ok(());
                    }
                    thread::sleep(Duration::from_millis(3));
                    format!("READY I {}\r\n", self.position(index))
                }
                "QUERY" => {
                    let id = parts.next().unwrap_or_default();
                    let text = parts.next().unwrap_or_default();
                    match self.respond(index, starts, &mut session, id, text) {
                        Some(response) => response,
                        None => return Ok(()),
                    }
                }
                _ => return Ok(()),
            };
            if self.lock().servers[index].starts != starts {
                return Ok(());
            }
            write.write_all(response.as_bytes())?;
        }
    }

    fn respond(
        &self,
        index: usize,
        starts: u64,
        session: &mut Session,
        id: &str,
        text: &str,
    ) -> Option<String> {
        let outcome = self.execute(index, starts, session, id, text);
        let mut response = String::new();
        let answer = match outcome {
            Ok(rows) => {
                for row in &rows {
                    response += &format!("ROW {row}\r\n");
                }
                let mut state = self.lock();
                state.signatures += 1;
                let signature = format!("{}.{:x}", state.servers[index].id, state.signatures);
                response += &format!("COMPLETE {signature}\r\n");
                "done".to_owned()
            }
            Err(Failure::Code(code)) => {
                session.has_failed = session.open.is_some();
                response += &format!("ERROR {code} {}\r\n", self.id(index));
                code.to_owned()
            }
            Err(Failure::Close) => "connection closed".to_owned(),
        };
        if id != "-" {
            let shown: String = text.chars().take(80).collect();
            record::line(&format!(
                "server {} ran {id} {shown}: {answer}",
                self.id(index)
            ));
        }
        if answer == "connection closed" {
            return None;
        }
        let state = match &session.open {
            None => "I",
            Some(_) if session.has_failed => "E",
            Some(_) => "T",
        };
        Some(response + &format!("READY {state} {}\r\n", self.position(index)))
    }

    /// Returns the position up to which a server has applied the log.
    fn position(&self, index: usize) -> String {
        let state = self.lock();
        let applied = applied(&state, index);
        format!("{}.{applied}", state.servers[index].term)
    }

    fn execute(
        &self,
        index: usize,
        starts: u64,
        session: &mut Session,
        id: &str,
        text: &str,
    ) -> Outcome {
        let mut words: Vec<&str> = text.split(' ').collect();
        if words[0] == "AFTER" {
            let (term, number) = words[1].split_once('.').unwrap_or(("0", "0"));
            let term: u64 = term.parse().unwrap_or(0);
            let number: usize = number.parse().unwrap_or(0);
            let state = self.lock();
            if state.servers[index].term < term || applied(&state, index) < number {
                return Err(Failure::Code("LAGGING"));
            }
            drop(state);
            words.drain(..2);
        }
        match words[0] {
            "STATUS" => Ok(self.status(index)),
            "PAUSE" => {
                self.lock().servers[index].is_paused = true;
                self.note(index, "is paused");
                Ok(self.status(index))
            }
            "RESUME" => {
                self.lock().servers[index].is_paused = false;
                self.note(index, "is resumed");
                Ok(self.status(index))
            }
            "SET" => {
                session
                    .variables
                    .insert(words[1].to_owned(), words[2..].join(" "));
                Ok(Vec::new())
            }
            "RESET" => {
                session.variables.clear();
                session.prepared.clear();
                Ok(Vec::new())
            }
            "PREPARE" => {
                session
                    .prepared
                    .insert(words[1].to_owned(), words[2..].join(" "));
                Ok(Vec::new())
            }
            "DEALLOCATE" => match session.prepared.remove(words[1]) {
                Some(_) => Ok(Vec::new()),
                None => Err(Failure::Code("NOSUCHNAME")),
            },
            "EXECUTE" => {
                let Some(shape) = session.prepared.get(words[1]).cloned() else {
                    return Err(Failure::Code("NOSUCHNAME"));
                };
                self.lock().executed.push((id.to_owned(), shape.clone()));
                record::line(&format!(
                    "server {} runs {id} with the shape '{shape}'",
                    self.id(index)
                ));
                let verb = shape.split(' ').next().unwrap_or_default();
                self.run(index, starts, session, id, verb, &words[2..])
            }
            verb => self.run(index, starts, session, id, verb, &words[1..]),
        }
    }

    fn status(&self, index: usize) -> Vec<String> {
        let state = self.lock();
        let server = &state.servers[index];
        let role = if state.primary == index {
            "primary"
        } else {
            "replica"
        };
        let term = server.log.last().map_or(1, |entry| entry.term);
        vec![format!(
            "{role} {} {term}.{} 0 0 0 1",
            server.term,
            server.log.len()
        )]
    }

    fn run(
        &self,
        index: usize,
        starts: u64,
        session: &mut Session,
        id: &str,
        verb: &str,
        arguments: &[&str],
    ) -> Outcome {
        thread::sleep(STATEMENT_TIME);
        let state = self.lock();
        if state.servers[index].starts != starts || !state.servers[index].is_running {
            return Err(Failure::Close);
        }
        let leads = (state.primary == index).then_some(state.term);
        let open_term = session.open.as_ref().and_then(|open| open.began);
        let has_lost_lead = open_term.is_some() && leads != open_term;
        match verb {
            "BEGIN" => {
                let is_read_only = arguments.first() == Some(&"READ");
                if !is_read_only && leads.is_none() {
                    return Err(Failure::Code("READONLY"));
                }
                session.has_failed = false;
                session.open = Some(Transaction {
                    began: leads.filter(|_| !is_read_only),
                    writes: Vec::new(),
                });
                Ok(Vec::new())
            }
            "ROLLBACK" => {
                session.open = None;
                session.has_failed = false;
                Ok(Vec::new())
            }
            "COMMIT" => {
                let open = session.open.take().unwrap_or_default();
                let has_failed = std::mem::take(&mut session.has_failed);
                if has_failed || open.writes.is_empty() {
                    return Ok(Vec::new());
                }
                if has_lost_lead {
                    return Err(Failure::Code("READONLY"));
                }
                self.commit(state, index, starts, open.writes)
            }
            "READ" if has_lost_lead => Err(Failure::Code("READONLY")),
            "READ" => {
                let applied = applied(&state, index);
                let mut entries = state.servers[index].log[..applied].iter().rev();
                let found = entries.find(|entry| Some(&entry.item.as_str()) == arguments.first());
                Ok(found.map(|entry| entry.data.clone()).into_iter().collect())
            }
            "WRITE" => {
                let is_read_only = session
                    .open
                    .as_ref()
                    .is_some_and(|open| open.began.is_none());
                if leads.is_none() || has_lost_lead || is_read_only {
                    return Err(Failure::Code("READONLY"));
                }
                let item = arguments.first().copied().unwrap_or_default().to_owned();
                let write = (id.to_owned(), item, arguments[1..].join(" "));
                match &mut session.open {
                    Some(open) => {
                        open.writes.push(write);
                        Ok(Vec::new())
                    }
                    None => self.commit(state, index, starts, vec![write]),
                }
            }
            _ => Err(Failure::Code("MALFORMED")),
        }
    }

    /// Adds writes to the log of the primary, and waits until a replica has received them.
    fn commit(
        &self,
        mut state: MutexGuard<'_, State>,
        index: usize,
        starts: u64,
        writes: Vec<(String, String, String)>,
    ) -> Outcome {
        let term = state.term;
        let now = Instant::now();
        for (id, item, data) in writes {
            let server = &mut state.servers[index];
            server.log.push(Entry {
                term,
                id,
                item,
                data,
            });
            server.received_at.push(now);
        }
        let length = state.servers[index].log.len();
        let deadline = now + SYNC_TIMEOUT;
        loop {
            let server = &state.servers[index];
            let leads = state.primary == index && state.term == term;
            if !leads || server.starts != starts || !server.is_running || Instant::now() >= deadline
            {
                return Err(Failure::Close);
            }
            let mut others = state.servers.iter().enumerate();
            let is_received = others.any(|(other, server)| {
                other != index && server.is_running && server.log.len() >= length
            });
            if is_received {
                return Ok(Vec::new());
            }
            let wait = Duration::from_millis(50);
            state = self.changed.wait_timeout(state, wait).unwrap().0;
        }
    }
}

fn stop(server: &mut Server) {
    server.is_running = false;
    server.starts += 1;
    for connection in server.connections.drain(..) {
        let _ = connection.shutdown(Shutdown::Both);
    }
}

/// Returns the number of log entries that a server has applied.
fn applied(state: &State, index: usize) -> usize {
    let server = &state.servers[index];
    if state.primary == index {
        return server.log.len();
    }
    let received = server.received_at.iter();
    received
        .take_while(|at| at.elapsed() >= APPLY_DELAY)
        .count()
}
