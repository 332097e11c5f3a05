//! The platform's store and its promotion call, over HTTP/1.1.

use crate::{
    group::Group,
    json::{self, Value, quote},
    record::Record,
};
use std::{
    collections::BTreeMap,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, Weak},
    thread,
    time::{Duration, Instant},
};

/// Time that an answer and a transaction take, as on the sheets.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const TRANSACTION_TIME: Duration = Duration::from_millis(3);

/// Row: its version, and its value in base64; `None` if it was removed.
type Row = (u64, Option<String>);

#[derive(Debug, Default)]
struct Rows {
    version: u64,
    by_key: BTreeMap<(String, String, String), Row>,
}

#[derive(Debug)]
pub struct Store {
    pub address: SocketAddr,
    started: Instant,
    rows: Mutex<Rows>,
    changed: Condvar,
    group: Mutex<Weak<Group>>,
    /// Largest fencing token seen, by service.
    tokens: Mutex<BTreeMap<String, u64>>,
    /// Host that sent the last promotion call.
    last_promoter: Mutex<String>,
    record: Arc<Record>,
}

struct Request {
    method: String,
    path: String,
    query: BTreeMap<String, String>,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

impl Store {
    pub fn start(record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("address"),
            started: Instant::now(),
            rows: Mutex::default(),
            changed: Condvar::new(),
            group: Mutex::new(Weak::new()),
            tokens: Mutex::default(),
            last_promoter: Mutex::default(),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = Arc::clone(&served);
                thread::spawn(move || served.serve(stream));
            }
        });
        store
    }

    pub fn last_promoter(&self) -> String {
        self.last_promoter.lock().unwrap().clone()
    }

    pub fn set_group(&self, group: &Arc<Group>) {
        *self.group.lock().unwrap() = Arc::downgrade(group);
    }

    /// Writes or removes a row with JSON content.
    pub fn write(&self, table: &str, key: &str, content: Option<&str>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = content.map(|content| encode_base64(content.as_bytes()));
        rows.by_key
            .insert((table.into(), String::new(), key.into()), (version, value));
        drop(rows);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        while let Some(request) = read_request(&mut input) {
            let (status, body) = self.respond(&request);
            let head = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let sent = output.write_all(head.as_bytes());
            if sent
                .and_then(|()| output.write_all(body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn respond(&self, request: &Request) -> (u16, String) {
        let parameter = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/rows-get") => {
                thread::sleep(ANSWER_TIME);
                let to = request.query.get("to").cloned();
                (200, self.list(&parameter("table"), &parameter("from"), to))
            }
            ("GET", "/api/rows-feed") => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = parameter("waitMs").parse().unwrap_or(0);
                let wait = Duration::from_millis(u64::min(wait, 30_000));
                (200, self.feed(&parameter("table"), after, wait))
            }
            ("POST", "/api/rows-tx") => self.commit(&request.body),
            ("POST", "/promotion") => self.promote(request),
            _ => (404, "{}".into()),
        }
    }

    fn render(&self, rows: &Rows, listed: Vec<(&(String, String, String), &Row)>) -> String {
        let listed: Vec<String> = listed
            .into_iter()
            .map(|((table, part, key), (version, value))| {
                let value = value.as_ref().map_or("null".into(), |value| quote(value));
                let tombstone = value == "null";
                format!(
                    "{{\"table\":{},\"part\":{},\"key\":{},\"value\":{value},\"rowVersion\":{version},\"tombstone\":{tombstone}}}",
                    quote(table), quote(part), quote(key)
                )
            })
            .collect();
        format!(
            "{{\"rows\":[{}],\"morePages\":false,\"rowVersion\":{},\"nowMs\":{}}}",
            listed.join(","),
            rows.version,
            self.started.elapsed().as_millis()
        )
    }

    fn list(&self, table: &str, from: &str, to: Option<String>) -> String {
        let rows = self.rows.lock().unwrap();
        let is_listed = |entry: &(&(String, String, String), &Row)| {
            let ((of, _, key), (_, value)) = entry;
            let is_before = to.as_ref().is_none_or(|to| key < to);
            of == table && value.is_some() && key.as_str() >= from && is_before
        };
        let listed = rows.by_key.iter().filter(is_listed).collect();
        self.render(&rows, listed)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let deadline = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let is_listed = |entry: &(&(String, String, String), &Row)| {
                let ((of, _, _), (version, _)) = entry;
                of == table && *version > after
            };
            let listed: Vec<_> = rows.by_key.iter().filter(is_listed).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !listed.is_empty() || left.is_zero() {
                return self.render(&rows, listed);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn commit(&self, body: &[u8]) -> (u16, String) {
        thread::sleep(TRANSACTION_TIME);
        let Some(body) = json::parse(body) else {
            return (400, "{}".into());
        };
        let key = |entry: &Value| {
            let text = |field: &str| entry.get(field).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let holds = body.get("expected").list().iter().all(|expected| {
            let current = rows.by_key.get(&key(expected));
            let present = current.filter(|(_, value)| value.is_some());
            let version = present.map_or(0, |(version, _)| *version);
            expected.get("rowVersion").number() == version
        });
        if !holds {
            return (412, "{\"rows\":[]}".into());
        }
        rows.version += 1;
        let version = rows.version;
        for entry in body.get("setKeys").list() {
            let value = entry.get("value").text().to_owned();
            rows.by_key.insert(key(entry), (version, Some(value)));
        }
        for entry in body.get("remove").list() {
            rows.by_key.insert(key(entry), (version, None));
        }
        drop(rows);
        self.changed.notify_all();
        (
            200,
            format!(
                "{{\"rowVersion\":{version},\"nowMs\":{}}}",
                self.started.elapsed().as_millis()
            ),
        )
    }

    fn promote(&self, request: &Request) -> (u16, String) {
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let token: u64 = header("x-fulmargw-fencing-token").parse().unwrap_or(0);
        let body = json::parse(&request.body).unwrap_or(Value::Null);
        let (service, id) = (body.get("service").text(), body.get("id").text());
        {
            let mut tokens = self.tokens.lock().unwrap();
            let seen = tokens.entry(service.to_owned()).or_default();
            if token < *seen {
                return (409, "{}".into());
            }
            *seen = token;
        }
        let holder = header("x-fulmargw-duty-holder");
        self.last_promoter.lock().unwrap().clone_from(&holder);
        self.record.line(&format!(
            "promotion of {id} asked by {holder} with token {token}"
        ));
        let group = self.group.lock().unwrap().upgrade();
        let is_accepted = group.is_some_and(|group| group.promote(id));
        (if is_accepted { 200 } else { 409 }, "{}".into())
    }
}

fn read_request(input: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if input.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers
        .get("content-length")
        .and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    input.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (decode_percent(name), decode_percent(value)));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    })
}

fn decode_percent(text: &str) -> String {
    let mut decoded = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => {
                let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                decoded.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            b'+' => decoded.push(b' '),
            other => decoded.push(other),
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut number = 0_u32;
        for position in 0..3 {
            number = number << 8 | u32::from(chunk.get(position).copied().unwrap_or(0));
        }
        for position in 0..4 {
            if position <= chunk.len() {
                let digit = (number >> (18 - 6 * position)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
