//! A stand-in of the platform: its store, as PROTOCOL.md describes it, and its promotion call.

use super::{
    group::Group,
    json::{Json, quote},
    listen, record,
};
use std::{
    collections::BTreeMap,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Condvar, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time of a transaction.
const TRANSACTION: Duration = Duration::from_millis(3);

/// The content of the store, which can be copied and restored.
#[derive(Default, Clone)]
pub struct Rows {
    version: u64,
    /// Version and content, in base64, by table and key; no content for a row that was dropped.
    by_key: BTreeMap<(String, String), (u64, Option<String>)>,
}

#[derive(Default)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    /// Greatest fencing token so far, by service.
    tokens: Mutex<BTreeMap<String, u64>>,
    groups: OnceLock<Vec<Arc<Group>>>,
    /// Number of restorations.
    restorations: AtomicU64,
    /// Whether all calls get 503.
    is_away: AtomicBool,
}

impl Store {
    /// Starts the store. Returns its address and that of the promotion call.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let listener = listen();
        let address = listener.local_addr().expect("address");
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(&stream));
            }
        });
        (store, address)
    }

    pub fn set_groups(&self, groups: Vec<Arc<Group>>) {
        assert!(self.groups.set(groups).is_ok());
    }

    /// Writes a row, or drops it, as the operator and the backends do.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().expect("rows");
        rows.version += 1;
        let version = rows.version;
        let content = value.map(|it| base64(it.as_bytes()));
        rows.by_key
            .insert((table.to_owned(), key.to_owned()), (version, content));
        drop(rows);
        self.changed.notify_all();
    }

    pub fn copy(&self) -> Rows {
        self.rows.lock().expect("rows").clone()
    }

    /// Lets all calls get 503 from now on.
    pub fn go_away(&self) {
        record::say("the store is away");
        self.is_away.store(true, Ordering::Relaxed);
        self.changed.notify_all();
    }

    /// Comes back from a copy. What was written since is lost, and versions are given out again.
    pub fn come_back_from(&self, copy: Rows) {
        let mut rows = self.rows.lock().expect("rows");
        record::say(&format!(
            "the store is back from a copy: version {} instead of {}",
            copy.version, rows.version
        ));
        *rows = copy;
        self.restorations.fetch_add(1, Ordering::Relaxed);
        self.is_away.store(false, Ordering::Relaxed);
        drop(rows);
        self.changed.notify_all();
    }

    /// Returns the version of a row.
    pub fn version(&self, table: &str, key: &str) -> u64 {
        let rows = self.rows.lock().expect("rows");
        rows.by_key
            .get(&(table.to_owned(), key.to_owned()))
            .map_or(0, |it| it.0)
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = Request::read(&mut reader) {
            let (status, body) = self.respond(&request);
            let response = format!(
                "HTTP/1.1 {status} status\r\nContent-Type: application/json\r\nStore-Era: {}\r\nContent-Length: {}\r\n\r\n{body}",
                self.restorations.load(Ordering::Relaxed) + 1,
                body.len()
            );
            let mut writer = stream;
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Request) -> (u16, String) {
        let is_away = self.is_away.load(Ordering::Relaxed);
        match request.path.as_str() {
            path if is_away && path != "/promotion" => (503, "{}".to_owned()),
            "/api/rows-get" => {
                thread::sleep(Duration::from_millis(1));
                let rows = self.rows.lock().expect("rows");
                (200, listing(&rows, request, None))
            }
            "/api/rows-feed" => match self.feed(request) {
                Some(listing) => (200, listing),
                None => (410, "{}".to_owned()),
            },
            "/api/rows-tx" => self.transaction(request),
            "/promotion" => self.promotion(request),
            _ => (404, "{}".to_owned()),
        }
    }

    /// Returns the changes; `None` if the store does not have the version from which to watch.
    fn feed(&self, request: &Request) -> Option<String> {
        let number = |name: &str| request.query.get(name).and_then(|it| it.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let table = request.query.get("table").cloned().unwrap_or_default();
        let mut rows = self.rows.lock().expect("rows");
        loop {
            let has_changes = rows
                .by_key
                .iter()
                .any(|((of, _), (version, _))| *of == table && *version > after);
            let left = until.saturating_duration_since(Instant::now());
            if after > rows.version {
                return None;
            }
            if has_changes || left.is_zero() {
                return Some(listing(&rows, request, Some(after)));
            }
            rows = self.changed.wait_timeout(rows, left).expect("rows").0;
        }
    }

    fn transaction(&self, request: &Request) -> (u16, String) {
        thread::sleep(TRANSACTION);
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let key = |entry: &Json| {
            let field = |name: &str| entry.text(name).unwrap_or_default().to_owned();
            (field("table"), field("key"))
        };
        let mut rows = self.rows.lock().expect("rows");
        let holds = body.list("expected").iter().all(|expected| {
            let current = rows.by_key.get(&key(expected));
            let version = current.filter(|it| it.1.is_some()).map_or(0, |it| it.0);
            expected.number("rowVersion") == Some(version)
        });
        if !holds {
            return (412, "{\"rows\":[]}".to_owned());
        }
        rows.version += 1;
        let version = rows.version;
        for entry in body.list("setKeys") {
            let content = entry.text("value").unwrap_or_default().to_owned();
            record::line(&format!(
                "store: {:?} is written, version {version}",
                key(entry)
            ));
            rows.by_key.insert(key(entry), (version, Some(content)));
        }
        for entry in body.list("remove") {
            record::line(&format!(
                "store: {:?} is removed, version {version}",
                key(entry)
            ));
            rows.by_key.insert(key(entry), (version, None));
        }
        drop(rows);
        self.changed.notify_all();
        (
            200,
            format!(
                "{{\"rowVersion\":{version},\"nowMs\":{}}}",
                record::now().as_millis()
            ),
        )
    }

    fn promotion(&self, request: &Request) -> (u16, String) {
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let token: u64 = header("x-fulmargw-fencing-token").parse().unwrap_or(0);
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let service = body.text("service").unwrap_or_default().to_owned();
        let id = body.text("id").unwrap_or_default();
        record::say(&format!(
            "promotion call: service {service}, backend {id}, holder {}, token {token}",
            header("x-fulmargw-duty-holder")
        ));
        let mut tokens = self.tokens.lock().expect("tokens");
        let newest = tokens.entry(service.clone()).or_default();
        if token < *newest {
            return (409, "{}".to_owned());
        }
        *newest = token;
        drop(tokens);
        let groups = self.groups.get().map_or(&[][..], Vec::as_slice);
        let is_accepted = groups
            .iter()
            .any(|it| it.service == service && it.promote(id));
        (if is_accepted { 200 } else { 409 }, "{}".to_owned())
    }
}

fn listing(rows: &Rows, request: &Request, after: Option<u64>) -> String {
    let field = |name: &str| request.query.get(name).cloned();
    let table = field("table").unwrap_or_default();
    let (from, to) = (field("from").unwrap_or_default(), field("to"));
    let listed = rows
        .by_key
        .iter()
        .filter(|((of, key), (version, content))| {
            let is_chosen = match after {
                Some(after) => *version > after,
                None => content.is_some() && *key >= from && to.as_ref().is_none_or(|to| key < to),
            };
            *of == table && is_chosen
        });
    let mut listed: Vec<_> = listed.collect();
    if after.is_some() {
        listed.sort_by_key(|(_, (version, _))| *version);
    }
    let listed: Vec<String> = listed
        .into_iter()
        .map(|((of, key), (version, content))| {
            let value = content.as_ref().map_or("null".to_owned(), |it| quote(it));
            format!(
                "{{\"table\":{},\"part\":\"\",\"key\":{},\"value\":{value},\"rowVersion\":{version},\"tombstone\":{}}}",
                quote(of),
                quote(key),
                content.is_none()
            )
        })
        .collect();
    format!(
        "{{\"rows\":[{}],\"morePages\":false,\"rowVersion\":{},\"nowMs\":{}}}",
        listed.join(","),
        rows.version,
        record::now().as_millis()
    )
}

struct Request {
    path: String,
    query: BTreeMap<String, String>,
    headers: BTreeMap<String, String>,
    body: String,
}

impl Request {
    fn read(reader: &mut BufReader<&TcpStream>) -> Option<Self> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let target = line.split(' ').nth(1)?.to_owned();
        let mut headers = BTreeMap::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            headers.insert(name.to_lowercase(), value.trim().to_owned());
        }
        let length = headers.get("content-length").and_then(|it| it.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body).ok()?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(name, value)| (name.to_owned(), decode(value)));
        Some(Self {
            path: path.to_owned(),
            query: query.collect(),
            headers,
            body: String::from_utf8(body).ok()?,
        })
    }
}

/// Decodes a value of a query.
fn decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes
            .get(at + 1..at + 3)
            .and_then(|it| std::str::from_utf8(it).ok());
        let code = code.and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (b'+', _) => {
                decoded.push(b' ');
                at += 1;
            }
            (other, _) => {
                decoded.push(other);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
