//! A database group: one primary and its replicas, which speak the line protocol.
//!
//! The servers share one state. A replica has a commit as soon as the primary has it, and so every
//! commit is on a replica before it is acknowledged.

use crate::{record::Record, store::Store};
use std::{
    collections::BTreeMap,
    io::{BufRead as _, BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

pub const SERVICE: &str = "ledger";
/// Interval at which a server writes its registry entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time from the acceptance of a promotion until it takes effect.
const PROMOTION_TIME: Duration = Duration::from_millis(600);
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
    pub text: String,
    /// Number of the transaction in which it ran; `None` if it ran outside of one.
    pub transaction: Option<u64>,
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
    held_term: u64,
}

#[derive(Debug)]
struct State {
    term: u64,
    primary: usize,
    servers: Vec<Server>,
    /// Commits: each has the writes of one transaction.
    log: Vec<Vec<Entry>>,
    runs: Vec<Run>,
    sequence: u64,
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

#[derive(Default)]
struct Session {
    transaction: Option<Transaction>,
    prepared: BTreeMap<String, (bool, String)>,
    values: BTreeMap<String, String>,
}

/// Rows, and a signature or an error code.
type Answer = (Vec<String>, Result<String, &'static str>);

impl Group {
    pub fn start(store: &Arc<Store>, record: &Arc<Record>, behaviour: Behaviour) -> Arc<Self> {
        let listeners: Vec<TcpListener> = ZONES
            .iter()
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("bind a server"))
            .collect();
        let servers = listeners.iter().zip(ZONES).enumerate();
        let servers = servers.map(|(index, (listener, zone))| Server {
            id: format!("i-{index}"),
            zone,
            address: listener.local_addr().expect("address"),
            held_term: 0,
        });
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
            }),
            next: AtomicU64::new(1),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let group = Arc::clone(&group);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = Arc::clone(&group);
                    thread::spawn(move || group.serve(index, stream));
                }
            });
        }
        let beating = Arc::clone(&group);
        thread::spawn(move || {
            loop {
                beating.register_all();
                thread::sleep(HEARTBEAT);
            }
        });
        store.set_group(&group);
        group
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    pub fn log(&self) -> Vec<Vec<Entry>> {
        self.state.lock().unwrap().log.clone()
    }

    fn register_all(&self) {
        let mut state = self.state.lock().unwrap();
        state.sequence += 1;
        for (index, server) in state.servers.iter().enumerate() {
            let role = if state.primary == index { "primary" } else { "replica" };
            let entry = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"coldRemainingMs\":0,\"databaseRole\":\"{role}\",\"sequence\":{},\"born\":1780000000000}}",
                server.address, server.zone, state.sequence
            );
            self.store.write("servers", &server.id, Some(&entry));
        }
    }

    /// Accepts a promotion, which takes effect some hundred milliseconds later.
    pub fn promote(self: &Arc<Self>, id: &str) -> bool {
        let state = self.state.lock().unwrap();
        let Some(index) = state.servers.iter().position(|server| server.id == id) else {
            return false;
        };
        if state.primary == index {
            return true;
        }
        drop(state);
        let group = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(PROMOTION_TIME);
            {
                let mut state = group.state.lock().unwrap();
                state.term += 1;
                state.primary = index;
                for server in &mut state.servers {
                    server.held_term = 0;
                }
                group.record.line(&format!("server i-{index} leads term {}", state.term));
            }
            group.register_all();
        });
        true
    }

    fn serve(&self, index: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        let mut session = Session::default();
        let mut has_started = false;
        let mut line = Vec::new();
        loop {
            line.clear();
            if input.read_until(b'\n', &mut line).unwrap_or(0) == 0 {
                return;
            }
            let text = String::from_utf8_lossy(&line).trim_end_matches(['\r', '\n']).to_owned();
            let (word, rest) = text.split_once(' ').unwrap_or((&text, ""));
            let response = match word {
                "START" => {
                    has_started = self.accepts(index, rest);
                    if has_started {
                        format!("READY I {}\r\n", self.position())
                    } else {
                        "ERROR MISROUTED\r\n".to_owned()
                    }
                }
                "QUERY" if has_started => {
                    let (id, query) = rest.split_once(' ').unwrap_or((rest, ""));
                    let (rows, result) = self.run(index, &mut session, id, query);
                    let mut response = String::new();
                    for row in rows {
                        response.extend(["ROW ", &row, "\r\n"]);
                    }
                    match result {
                        Ok(signature) => response.extend(["COMPLETE ", &signature, "\r\n"]),
                        Err(code) => response.extend(["ERROR ", code, "\r\n"]),
                    }
                    let state = match &session.transaction {
                        None => "I",
                        Some(transaction) if transaction.has_failed => "E",
                        Some(_) => "T",
                    };
                    response.push_str(&format!("READY {state} {}\r\n", self.position()));
                    response
                }
                _ => return,
            };
            if output.write_all(response.as_bytes()).is_err() || !has_started {
                return;
            }
        }
    }

    fn accepts(&self, index: usize, fields: &str) -> bool {
        let mut fields = fields.split(' ');
        let service = fields.next();
        let id = fields.nth(1);
        let state = self.state.lock().unwrap();
        service == Some(SERVICE) && id.is_none_or(|id| id == state.servers[index].id)
    }

    fn position(&self) -> String {
        let state = self.state.lock().unwrap();
        format!("{}.{}", state.term, state.log.len())
    }

    fn run(&self, index: usize, session: &mut Session, id: &str, query: &str) -> Answer {
        let mut query = query.to_owned();
        if let Some(rest) = query.strip_prefix("AFTER ") {
            let (position, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            let (term, number) = position.split_once('.').unwrap_or(("0", "0"));
            let state = self.state.lock().unwrap();
            let has_term = term.parse().is_ok_and(|term: u64| term <= state.term);
            let has_number = number.parse().is_ok_and(|number: usize| number <= state.log.len());
            if !has_term || !has_number {
                return (Vec::new(), Err("LAGGING"));
            }
            let rest = rest.to_owned();
            drop(state);
            query = rest;
        }
        let (word, rest) = query.split_once(' ').unwrap_or((&query, ""));
        let failed = session.transaction.as_ref().is_some_and(|it| it.has_failed);
        if failed && !matches!(word, "COMMIT" | "ROLLBACK") {
            return (Vec::new(), Err("MALFORMED"));
        }
        let done = || (Vec::new(), Ok("-".to_owned()));
        match word {
            "STATUS" => self.status(index),
            "PAUSE" => {
                let term = rest.parse().unwrap_or(0);
                {
                    let mut state = self.state.lock().unwrap();
                    if term > state.term && state.primary != index {
                        state.servers[index].held_term = term;
                    }
                }
                self.status(index)
            }
            "RESUME" => {
                self.state.lock().unwrap().servers[index].held_term = 0;
                self.status(index)
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
                let writes = fields.next() == Some("WRITE");
                let shape = fields.next().unwrap_or_default().to_owned();
                session.prepared.insert(name, (writes, shape));
                done()
            }
            "DEALLOCATE" => {
                session.prepared.remove(rest);
                done()
            }
            "BEGIN" => self.begin(index, session, rest == "READ"),
            "COMMIT" => self.commit(session, id),
            "ROLLBACK" => {
                session.transaction = None;
                done()
            }
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                match session.prepared.get(name) {
                    None => (Vec::new(), Err("NOSUCHNAME")),
                    Some((true, _)) => self.write(index, session, id, &query, arguments),
                    Some((false, _)) => self.read(session, id, &query, arguments),
                }
            }
            "READ" => self.read(session, id, &query, rest),
            "WRITE" => self.write(index, session, id, &query, rest),
            _ => (Vec::new(), Err("MALFORMED")),
        }
    }

    fn status(&self, index: usize) -> Answer {
        let state = self.state.lock().unwrap();
        let role = if state.primary == index { "primary" } else { "replica" };
        let held = state.servers[index].held_term;
        let row = format!("{role} {} {}.{} {held} 0 1 1", state.term, state.term, state.log.len());
        (vec![row], Ok("-".to_owned()))
    }

    fn begin(&self, index: usize, session: &mut Session, is_read_only: bool) -> Answer {
        let state = self.state.lock().unwrap();
        if !is_read_only && state.primary != index {
            return (Vec::new(), Err("READONLY"));
        }
        session.transaction = Some(Transaction {
            number: self.next.fetch_add(1, Ordering::Relaxed),
            is_read_only,
            has_failed: false,
            term: state.term,
            writes: Vec::new(),
        });
        (Vec::new(), Ok("-".to_owned()))
    }

    fn signature(&self) -> String {
        format!("7.{:x}.c.2b", self.next.fetch_add(1, Ordering::Relaxed))
    }

    fn record_run(&self, session: &Session, id: &str, text: &str) {
        let transaction = session.transaction.as_ref().map(|it| it.number);
        let place = transaction.map_or("outside a transaction".into(), |it| format!("in transaction {it}"));
        self.record.line(&format!("server runs {id} {text} {place}"));
        self.state.lock().unwrap().runs.push(Run {
            id: id.to_owned(),
            text: text.to_owned(),
            transaction,
        });
    }

    /// Reports whether the open plain transaction belongs to an earlier term.
    fn has_lost_lead(&self, session: &Session) -> bool {
        let term = self.state.lock().unwrap().term;
        let transaction = session.transaction.as_ref();
        transaction.is_some_and(|it| !it.is_read_only && it.term != term)
    }

    fn refuse(session: &mut Session) -> Answer {
        if let Some(transaction) = &mut session.transaction {
            transaction.has_failed = true;
        }
        (Vec::new(), Err("READONLY"))
    }

    fn read(&self, session: &mut Session, id: &str, text: &str, item: &str) -> Answer {
        if self.has_lost_lead(session) {
            return Self::refuse(session);
        }
        thread::sleep(self.behaviour.work);
        self.record_run(session, id, text);
        if item == "report" {
            let row = "x".repeat(self.behaviour.row_bytes);
            return (vec![row; self.behaviour.report_rows], Ok(self.signature()));
        }
        let own = session.transaction.iter().flat_map(|it| &it.writes);
        let state = self.state.lock().unwrap();
        let entries = state.log.iter().flatten().chain(own);
        let found = entries.filter(|entry| entry.item == item).last();
        let rows = found.map(|entry| entry.data.clone()).into_iter().collect();
        (rows, Ok(self.signature()))
    }

    fn write(&self, index: usize, session: &mut Session, id: &str, text: &str, fields: &str) -> Answer {
        if self.has_lost_lead(session) || self.state.lock().unwrap().primary != index {
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
            None => self.state.lock().unwrap().log.push(vec![entry]),
        }
        (Vec::new(), Ok(self.signature()))
    }

    fn commit(&self, session: &mut Session, id: &str) -> Answer {
        let has_lost_lead = self.has_lost_lead(session);
        let Some(transaction) = session.transaction.as_ref() else {
            return (Vec::new(), Err("MALFORMED"));
        };
        if transaction.has_failed || (has_lost_lead && !transaction.writes.is_empty()) {
            session.transaction = None;
            return (Vec::new(), Err("READONLY"));
        }
        self.record_run(session, id, "COMMIT");
        let writes = session.transaction.take().map(|it| it.writes).unwrap_or_default();
        if !writes.is_empty() {
            self.state.lock().unwrap().log.push(writes);
        }
        (Vec::new(), Ok(self.signature()))
    }
}
