//! A database group: one primary and its replicas, which speak the line protocol.
//!
//! The servers share one log. Each replica has received a beginning of it, and shows what it has
//! received. A commit is acknowledged once a replica has received it. A promoted server leads with what
//! it has received; the rest of the log is gone.

use crate::{record::Record, store::Store};
use std::{
    collections::BTreeMap,
    io::{self, BufRead as _, BufReader, BufWriter, ErrorKind, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub const SERVICE: &str = "ledger";
/// Interval at which a server writes its registry entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time from the acceptance of a promotion until it takes effect.
pub const PROMOTION_TIME: Duration = Duration::from_millis(600);
/// Time from a commit until the replicas receive it.
const REPLICATION_TIME: Duration = Duration::from_millis(4);
/// Interval at which a connection checks whether its server has crashed.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const BORN_UNIX_MS: u64 = 1_780_000_000_000;
const ZONES: [&str; 3] = ["attica-a", "attica-b", "attica-c"];

/// A write in the log.
#[derive(Debug, Clone)]
pub struct Entry {
    pub id: String,
    pub item: String,
    pub data: String,
}

/// A read, write or commit that a server ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    /// Number of the transaction in which it ran; `None` if it ran outside of one.
    pub transaction: Option<u64>,
}

/// A promotion that has taken effect.
#[derive(Debug, Clone)]
pub struct Promotion {
    pub server: usize,
    /// Identifiers of the writes that the promoted server had not received.
    pub missing: Vec<String>,
}

/// What the servers do with statements, which a case sets.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    /// Time that a read or write takes.
    pub work: Duration,
    /// Number and size of the rows of a read of the item `report`.
    pub report_rows: usize,
    pub row_bytes: usize,
}

#[derive(Debug)]
struct Server {
    id: String,
    zone: &'static str,
    address: SocketAddr,
    born_unix_ms: u64,
    is_draining: bool,
    is_running: bool,
    /// Whether it receives nothing from the primary.
    is_deaf: bool,
    /// Number of its crashes. A connection ends with the run of the server that accepted it.
    crashes: u32,
    held_term: u64,
    /// Number of commits that it has received.
    received: usize,
}

impl Server {
    fn new(index: usize, listener: &TcpListener) -> Self {
        Self {
            id: format!("i-{index}"),
            zone: ZONES[index % ZONES.len()],
            address: listener.local_addr().expect("address"),
            born_unix_ms: BORN_UNIX_MS,
            is_draining: false,
            is_running: true,
            is_deaf: false,
            crashes: 0,
            held_term: 0,
            received: 0,
        }
    }
}

#[derive(Debug)]
struct State {
    term: u64,
    primary: usize,
    servers: Vec<Server>,
    /// Commits, each with its writes and the time of its end.
    log: Vec<(Vec<Entry>, Instant)>,
    runs: Vec<Run>,
    sequence: u64,
    accepted: Vec<usize>,
    promotions: Vec<Promotion>,
}

#[derive(Debug)]
pub struct Group {
    store: Arc<Store>,
    record: Arc<Record>,
    behaviour: Behaviour,
    state: Mutex<State>,
    next: AtomicU64,
}

/// An open transaction of a connection.
struct Transaction {
    number: u64,
    is_read_only: bool,
    has_failed: bool,
    term: u64,
    writes: Vec<Entry>,
}

struct Session {
    server: usize,
    transaction: Option<Transaction>,
    prepared: BTreeMap<String, bool>,
    values: BTreeMap<String, String>,
}

/// Rows, and a signature or an error code; `None` if the server crashed.
type Answer = Option<(Vec<Arc<str>>, Result<String, &'static str>)>;

fn send(output: &mut TcpStream, rows: &[Arc<str>], end: &str) -> io::Result<()> {
    let mut output = BufWriter::with_capacity(64 * 1024, output);
    for row in rows {
        output.write_all(b"ROW ")?;
        output.write_all(row.as_bytes())?;
        output.write_all(b"\r\n")?;
    }
    output.write_all(end.as_bytes())?;
    output.flush()
}

fn done() -> Answer {
    Some((Vec::new(), Ok("-".to_owned())))
}

fn refusal(code: &'static str) -> Answer {
    Some((Vec::new(), Err(code)))
}

impl Group {
    pub fn start(store: &Arc<Store>, record: &Arc<Record>, behaviour: Behaviour) -> Arc<Self> {
        let listeners: Vec<TcpListener> = ZONES
            .iter()
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("bind a server"))
            .collect();
        let servers = listeners.iter().enumerate();
        let servers = servers.map(|(index, listener)| Server::new(index, listener));
        let group = Arc::new(Self {
            store: Arc::clone(store),
            record: Arc::clone(record),
            behaviour,
            state: Mutex::new(State {
                term: 1,
                primary: 0,
                servers: servers.collect(),
                log: Vec::new(),
                runs: Vec::new(),
                sequence: 0,
                accepted: Vec::new(),
                promotions: Vec::new(),
            }),
            next: AtomicU64::new(1),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            group.accept(index, listener);
        }
        let beating = Arc::clone(&group);
        thread::spawn(move || {
            loop {
                beating.register_all();
                thread::sleep(HEARTBEAT);
            }
        });
        let replicating = Arc::clone(&group);
        thread::spawn(move || {
            loop {
                replicating.replicate();
                thread::sleep(Duration::from_millis(1));
            }
        });
        store.set_group(&group);
        group
    }

    fn accept(self: &Arc<Self>, index: usize, listener: TcpListener) {
        let group = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let group = Arc::clone(&group);
                thread::spawn(move || group.serve(index, stream));
            }
        });
    }

    /// Starts a new replica, which receives the log. Returns its index.
    pub fn join(self: &Arc<Self>) -> usize {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a server");
        let index = {
            let mut state = self.state();
            let index = state.servers.len();
            state.servers.push(Server::new(index, &listener));
            index
        };
        self.accept(index, listener);
        self.record
            .line(&format!("server i-{index} starts as a new replica"));
        self.register_all();
        index
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Returns the identifiers of the writes in the log of the primary.
    pub fn kept(&self) -> Vec<String> {
        let state = self.state();
        let entries = state.log.iter().flat_map(|(writes, _)| writes);
        entries.map(|entry| entry.id.clone()).collect()
    }

    pub fn primary(&self) -> usize {
        self.state().primary
    }

    /// Returns the servers whose promotions were accepted, in order.
    pub fn accepted(&self) -> Vec<usize> {
        self.state().accepted.clone()
    }

    pub fn promotions(&self) -> Vec<Promotion> {
        self.state().promotions.clone()
    }

    fn change(&self, index: usize, what: &str, change: impl FnOnce(&mut Server)) {
        self.record.line(&format!("server i-{index} {what}"));
        change(&mut self.state().servers[index]);
    }

    /// Lets a server report that it is draining.
    pub fn drain(&self, index: usize) {
        self.change(index, "is draining", |server| server.is_draining = true);
        self.register_all();
    }

    /// Lets a replica receive nothing.
    pub fn deafen(&self, index: usize) {
        self.change(index, "receives nothing", |server| server.is_deaf = true);
    }

    fn replicate(&self) {
        let mut state = self.state();
        let due = state
            .log
            .iter()
            .take_while(|(_, at)| at.elapsed() >= REPLICATION_TIME)
            .count();
        let (primary, length) = (state.primary, state.log.len());
        let is_sending = state.servers[primary].is_running;
        for (index, server) in state.servers.iter_mut().enumerate() {
            let may_receive =
                is_sending && server.is_running && !server.is_deaf && server.held_term == 0;
            if index == primary {
                server.received = length;
            } else if may_receive {
                server.received = server.received.max(due);
            }
        }
    }

    fn register_all(&self) {
        let mut state = self.state();
        state.sequence += 1;
        for (index, server) in state
            .servers
            .iter()
            .enumerate()
            .filter(|(_, it)| it.is_running)
        {
            let role = if state.primary == index {
                "primary"
            } else {
                "replica"
            };
            let condition = if server.is_draining {
                "draining"
            } else {
                "ready"
            };
            let entry = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":16,\"state\":\"{condition}\",\"coldRemainingMs\":0,\"databaseRole\":\"{role}\",\"sequence\":{},\"born\":{}}}",
                server.address, server.zone, state.sequence, server.born_unix_ms
            );
            self.store.write("servers", &server.id, Some(&entry));
        }
    }

    /// Accepts a promotion, which takes effect some hundred milliseconds later unless the server
    /// crashes before.
    pub fn promote(self: &Arc<Self>, id: &str) -> bool {
        let mut state = self.state();
        let mut servers = state.servers.iter();
        let Some(index) = servers.position(|server| server.id == id && server.is_running) else {
            return false;
        };
        if state.primary == index {
            return true;
        }
        state.accepted.push(index);
        let crashes = state.servers[index].crashes;
        drop(state);
        self.record
            .line(&format!("promotion of i-{index} accepted"));
        let group = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(PROMOTION_TIME);
            group.lead(index, crashes);
            group.register_all();
        });
        true
    }

    fn lead(&self, index: usize, crashes: u32) {
        let mut state = self.state();
        if state.servers[index].crashes != crashes || state.primary == index {
            return;
        }
        state.term += 1;
        state.primary = index;
        let length = state.servers[index].received;
        let missing = state.log.split_off(length);
        for server in &mut state.servers {
            server.held_term = 0;
            server.received = server.received.min(length);
        }
        let term = state.term;
        let missing: Vec<String> = missing
            .into_iter()
            .flat_map(|(writes, _)| writes)
            .map(|entry| entry.id)
            .collect();
        self.record.line(&format!("server i-{index} leads term {term} with {length} commits; {} writes are gone: {missing:?}", missing.len()));
        state.promotions.push(Promotion {
            server: index,
            missing,
        });
    }

    fn serve(&self, index: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(CRASH_CHECK_INTERVAL));
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        let crashes = self.state().servers[index].crashes;
        let mut session = Session {
            server: index,
            transaction: None,
            prepared: BTreeMap::new(),
            values: BTreeMap::new(),
        };
        let mut has_started = false;
        let mut line = Vec::new();
        loop {
            if !self.is_running(index, crashes) {
                return;
            }
            match input.read_until(b'\n', &mut line) {
                Ok(0) => return,
                Ok(_) if line.ends_with(b"\n") => {}
                Ok(_) => continue,
                Err(cause)
                    if matches!(cause.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
                {
                    continue;
                }
                Err(_) => return,
            }
            let text = String::from_utf8_lossy(&line)
                .trim_end_matches(['\r', '\n'])
                .to_owned();
            line.clear();
            let (word, rest) = text.split_once(' ').unwrap_or((&text, ""));
            let response = match word {
                "START" => {
                    has_started = self.accepts(index, rest);
                    let position = self.position(index);
                    let ready = format!("READY I {position}\r\n");
                    let end = if has_started {
                        ready
                    } else {
                        "ERROR MISROUTED\r\n".to_owned()
                    };
                    Some((Vec::new(), end))
                }
                "QUERY" if has_started => self.respond(&mut session, rest),
                _ => None,
            };
            let Some((rows, end)) = response.filter(|_| self.is_running(index, crashes)) else {
                return;
            };
            if send(&mut output, &rows, &end).is_err() || !has_started {
                return;
            }
        }
    }

    fn is_running(&self, index: usize, crashes: u32) -> bool {
        let state = self.state();
        state.servers[index].is_running && state.servers[index].crashes == crashes
    }

    fn accepts(&self, index: usize, fields: &str) -> bool {
        let mut fields = fields.split(' ');
        let service = fields.next();
        let id = fields.nth(1);
        service == Some(SERVICE) && id.is_none_or(|id| id == self.state().servers[index].id)
    }

    fn position(&self, index: usize) -> String {
        let state = self.state();
        let number = if state.primary == index {
            state.log.len()
        } else {
            state.servers[index].received
        };
        format!("{}.{number}", state.term)
    }

    /// Runs a statement. Returns the rows and the lines after them.
    fn respond(&self, session: &mut Session, fields: &str) -> Option<(Vec<Arc<str>>, String)> {
        let (id, query) = fields.split_once(' ').unwrap_or((fields, ""));
        let (rows, result) = self.run(session, id, query)?;
        let result = match result {
            Ok(signature) => format!("COMPLETE {signature}"),
            Err(code) => format!("ERROR {code}"),
        };
        let state = match &session.transaction {
            None => "I",
            Some(transaction) if transaction.has_failed => "E",
            Some(_) => "T",
        };
        let position = self.position(session.server);
        Some((rows, format!("{result}\r\nREADY {state} {position}\r\n")))
    }

    /// Reports whether a server has received a log position.
    fn has(&self, index: usize, position: &str) -> bool {
        let (term, number) = position.split_once('.').unwrap_or(("0", "0"));
        let state = self.state();
        let received = if state.primary == index {
            state.log.len()
        } else {
            state.servers[index].received
        };
        let has_term = term.parse().is_ok_and(|term: u64| term <= state.term);
        has_term && number.parse().is_ok_and(|number: usize| number <= received)
    }

    fn run(&self, session: &mut Session, id: &str, query: &str) -> Answer {
        let query = match query
            .strip_prefix("AFTER ")
            .and_then(|rest| rest.split_once(' '))
        {
            Some((position, _)) if !self.has(session.server, position) => {
                return refusal("LAGGING");
            }
            Some((_, rest)) => rest,
            None => query,
        };
        let (word, rest) = query.split_once(' ').unwrap_or((query, ""));
        let has_failed = session.transaction.as_ref().is_some_and(|it| it.has_failed);
        if has_failed && !matches!(word, "COMMIT" | "ROLLBACK") {
            return refusal("MALFORMED");
        }
        match word {
            "STATUS" => self.status(session.server),
            "PAUSE" => {
                let term = rest.parse().unwrap_or(0);
                let mut state = self.state();
                if term > state.term && state.primary != session.server {
                    state.servers[session.server].held_term = term;
                }
                drop(state);
                self.record.line(&format!(
                    "server i-{} is told to pause with term {term}",
                    session.server
                ));
                self.status(session.server)
            }
            "RESUME" => {
                self.state().servers[session.server].held_term = 0;
                self.record
                    .line(&format!("server i-{} is told to resume", session.server));
                self.status(session.server)
            }
            "RESET" => {
                session.values.clear();
                session.prepared.clear();
                done()
            }
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                session.values.insert(name.into(), value.into());
                done()
            }
            "PREPARE" => {
                let mut fields = rest.splitn(3, ' ');
                let name = fields.next().unwrap_or_default().to_owned();
                session
                    .prepared
                    .insert(name, fields.next() == Some("WRITE"));
                done()
            }
            "DEALLOCATE" => {
                session.prepared.remove(rest);
                done()
            }
            "BEGIN" => self.begin(session, rest == "READ"),
            "COMMIT" => self.commit(session, id),
            "ROLLBACK" => {
                session.transaction = None;
                done()
            }
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                match session.prepared.get(name) {
                    None => refusal("NOSUCHNAME"),
                    Some(true) => self.write(session, id, query, arguments),
                    Some(false) => self.read(session, id, query, arguments),
                }
            }
            "READ" => self.read(session, id, query, rest),
            "WRITE" => self.write(session, id, query, rest),
            _ => refusal("MALFORMED"),
        }
    }

    fn status(&self, index: usize) -> Answer {
        let state = self.state();
        let role = if state.primary == index {
            "primary"
        } else {
            "replica"
        };
        let Server {
            held_term,
            received,
            ..
        } = state.servers[index];
        let term = state.term;
        let row = format!("{role} {term} {term}.{received} {held_term} 0 1 1");
        Some((vec![row.into()], Ok("-".to_owned())))
    }

    fn begin(&self, session: &mut Session, is_read_only: bool) -> Answer {
        let state = self.state();
        if !is_read_only && state.primary != session.server {
            return refusal("READONLY");
        }
        session.transaction = Some(Transaction {
            number: self.next.fetch_add(1, Ordering::Relaxed),
            is_read_only,
            has_failed: false,
            term: state.term,
            writes: Vec::new(),
        });
        done()
    }

    fn signature(&self) -> String {
        format!("7.{:x}.c.2b", self.next.fetch_add(1, Ordering::Relaxed))
    }

    fn record_run(&self, session: &Session, id: &str, text: &str) {
        let transaction = session.transaction.as_ref().map(|it| it.number);
        let place = transaction.map_or("outside a transaction".into(), |it| {
            format!("in transaction {it}")
        });
        self.record.line(&format!(
            "server i-{} runs {id} {text} {place}",
            session.server
        ));
        self.state().runs.push(Run {
            id: id.to_owned(),
            transaction,
        });
    }

    /// Reports whether the open plain transaction belongs to an earlier term.
    fn has_lost_lead(&self, session: &Session) -> bool {
        let term = self.state().term;
        let transaction = session.transaction.as_ref();
        transaction.is_some_and(|it| !it.is_read_only && it.term != term)
    }

    fn refuse(session: &mut Session) -> Answer {
        if let Some(transaction) = &mut session.transaction {
            transaction.has_failed = true;
        }
        refusal("READONLY")
    }

    fn read(&self, session: &mut Session, id: &str, text: &str, item: &str) -> Answer {
        if self.has_lost_lead(session) {
            return Self::refuse(session);
        }
        thread::sleep(self.behaviour.work);
        self.record_run(session, id, text);
        if item == "report" {
            let row: Arc<str> = "x".repeat(self.behaviour.row_bytes).into();
            return Some((vec![row; self.behaviour.report_rows], Ok(self.signature())));
        }
        let own = session.transaction.iter().flat_map(|it| &it.writes);
        let state = self.state();
        let received = if state.primary == session.server {
            state.log.len()
        } else {
            state.servers[session.server].received
        };
        let entries = state.log[..received]
            .iter()
            .flat_map(|(writes, _)| writes)
            .chain(own);
        let found = entries.filter(|entry| entry.item == item).last();
        let rows = found
            .map(|entry| entry.data.as_str().into())
            .into_iter()
            .collect();
        drop(state);
        Some((rows, Ok(self.signature())))
    }

    fn write(&self, session: &mut Session, id: &str, text: &str, fields: &str) -> Answer {
        if self.has_lost_lead(session) || self.primary() != session.server {
            return Self::refuse(session);
        }
        thread::sleep(self.behaviour.work);
        self.record_run(session, id, text);
        let (item, data) = fields.split_once(' ').unwrap_or((fields, ""));
        let entry = Entry {
            id: id.to_owned(),
            item: item.to_owned(),
            data: data.to_owned(),
        };
        match &mut session.transaction {
            Some(transaction) => transaction.writes.push(entry),
            None => self.append(session.server, vec![entry])?,
        }
        Some((Vec::new(), Ok(self.signature())))
    }

    fn commit(&self, session: &mut Session, id: &str) -> Answer {
        let has_lost_lead = self.has_lost_lead(session);
        let Some(transaction) = session.transaction.as_ref() else {
            return refusal("MALFORMED");
        };
        if transaction.has_failed || (has_lost_lead && !transaction.writes.is_empty()) {
            session.transaction = None;
            return refusal("READONLY");
        }
        self.record_run(session, id, "COMMIT");
        let writes = session
            .transaction
            .take()
            .map(|it| it.writes)
            .unwrap_or_default();
        if !writes.is_empty() {
            self.append(session.server, writes)?;
        }
        Some((Vec::new(), Ok(self.signature())))
    }

    /// Commits writes, and waits until a replica has received them. Returns `None` if the server loses
    /// the lead or crashes before: the commit then gets no answer.
    fn append(&self, index: usize, writes: Vec<Entry>) -> Option<()> {
        let (term, number) = {
            let mut state = self.state();
            if state.primary != index || !state.servers[index].is_running {
                return None;
            }
            state.log.push((writes, Instant::now()));
            (state.term, state.log.len())
        };
        loop {
            {
                let state = self.state();
                if state.term != term || !state.servers[index].is_running {
                    return None;
                }
                let mut others = state.servers.iter().enumerate();
                if others.any(|(other, server)| other != index && server.received >= number) {
                    return Some(());
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
    }
}
