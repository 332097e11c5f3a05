//! Stand-in of the platform's store: rows with versions, transactions and the feed of changes.

use crate::{
    http::{self, Request, Response},
    json::Json,
    record,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time of a transaction.
const TRANSACTION_TIME: Duration = Duration::from_millis(3);

#[derive(Debug, Default)]
struct Rows {
    version: u64,
    /// Version and content in base64, by table and key; `None` for a row that was removed.
    by_key: BTreeMap<(String, String), (u64, Option<String>)>,
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    /// Number of outages that have begun.
    outages: AtomicU64,
    is_away: AtomicBool,
}

impl Store {
    /// Starts the store at an address.
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self::default());
        let served = Arc::clone(&store);
        http::serve(address, "Store-Era: 1\r\n", move |request| {
            served.handle(&request)
        });
        store
    }

    /// Writes the configuration. The time of the return is that of the acknowledgement.
    pub fn configure(&self, configuration: &Json) {
        let version = configuration.get("version").as_int();
        self.write("op", "config", Some(&configuration.encode()));
        record::show(&format!(
            "operator: configuration {version} acknowledged by the store"
        ));
    }

    /// Writes or removes a row.
    pub fn write(&self, table: &str, key: &str, content: Option<&str>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let row = (rows.version, content.map(|text| base64(text.as_bytes())));
        rows.by_key.insert((table.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
    }

    /// Starts or ends an outage. Calls that it meets never get a response, and do nothing.
    pub fn set_away(&self, is_away: bool) {
        if is_away {
            self.outages.fetch_add(1, Ordering::SeqCst);
        }
        self.is_away.store(is_away, Ordering::SeqCst);
        record::show(if is_away {
            "the store is silent"
        } else {
            "the store is back"
        });
    }

    fn handle(&self, request: &Request) -> Response {
        let outages = self.outages.load(Ordering::SeqCst);
        if self.is_away.load(Ordering::SeqCst) {
            never_respond();
        }
        let response = self.respond(request);
        if self.outages.load(Ordering::SeqCst) != outages {
            never_respond();
        }
        response
    }

    fn respond(&self, request: &Request) -> Response {
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        match request.path.as_str() {
            "/api/rows-get" => (200, self.list(&query("table"), &query("from"), None)),
            "/api/rows-feed" => {
                let after = query("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(query("waitMs").parse().unwrap_or(0));
                self.wait_for_change(&query("table"), after, wait);
                (200, self.list(&query("table"), "", Some(after)))
            }
            "/api/rows-tx" => {
                thread::sleep(TRANSACTION_TIME);
                self.transact(&request.body)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn wait_for_change(&self, table: &str, after: u64, wait: Duration) {
        let deadline = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let is_changed = |rows: &Rows| {
                let mut rows = rows.by_key.iter();
                rows.any(|((of, _), (version, _))| of == table && *version > after)
            };
            let left = deadline.saturating_duration_since(Instant::now());
            if is_changed(&rows) || left.is_zero() {
                return;
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    /// Lists the rows of a table, or with `after` those that were changed or removed after it.
    fn list(&self, table: &str, from: &str, after: Option<u64>) -> String {
        let rows = self.rows.lock().unwrap();
        let mut listed: Vec<(u64, Json)> = Vec::new();
        for ((of, key), (version, content)) in &rows.by_key {
            let is_listed = match after {
                None => content.is_some() && key.as_str() >= from,
                Some(after) => *version > after,
            };
            if of != table || !is_listed {
                continue;
            }
            let value = content.clone().map_or(Json::Null, Json::Text);
            let row = Json::object([
                ("table", Json::text(table)),
                ("part", Json::text("")),
                ("key", Json::text(key)),
                ("value", value),
                ("rowVersion", Json::Int(*version)),
                ("tombstone", Json::Bool(content.is_none())),
            ]);
            listed.push((*version, row));
        }
        if after.is_some() {
            listed.sort_by_key(|(version, _)| *version);
        }
        let listed = listed.into_iter().map(|(_, row)| row).collect();
        let now_ms = u64::try_from(record::elapsed().as_millis()).unwrap();
        Json::object([
            ("rows", Json::List(listed)),
            ("morePages", Json::Bool(false)),
            ("rowVersion", Json::Int(rows.version)),
            ("nowMs", Json::Int(now_ms)),
        ])
        .encode()
    }

    fn transact(&self, body: &str) -> Response {
        let Some(body) = Json::decode(body) else {
            return (400, "{}".to_owned());
        };
        let key = |entry: &Json| {
            let text = |name: &str| entry.get(name).as_text().to_owned();
            (text("table"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let holds = body.get("expected").items().iter().all(|expected| {
            let current = match rows.by_key.get(&key(expected)) {
                Some((version, Some(_))) => *version,
                _ => 0,
            };
            expected.get("rowVersion").as_int() == current
        });
        if !holds {
            return (412, "{\"rows\":[]}".to_owned());
        }
        rows.version += 1;
        let version = rows.version;
        for entry in body.get("setKeys").items() {
            let value = entry.get("value").as_text().to_owned();
            rows.by_key.insert(key(entry), (version, Some(value)));
        }
        for entry in body.get("remove").items() {
            rows.by_key.insert(key(entry), (version, None));
        }
        self.changed.notify_all();
        (200, format!("{{\"rowVersion\":{version},\"nowMs\":0}}"))
    }
}

fn never_respond() -> ! {
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for index in 0..4 {
            if index > chunk.len() {
                text.push('=');
            } else {
                let digit = bits >> (18 - 6 * index) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            }
        }
    }
    text
}
