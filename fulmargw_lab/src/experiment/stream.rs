//! Open-loop load: requests begin at fixed times, whether or not earlier ones have ended.

use crate::{
    history::event::{self, Event, Operation, Write},
    load::client::{Caller, Client, Error},
    timer,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};
use tokio_postgres::error::DbError;

/// Keys of one stream.
const KEYS: u64 = 16;
/// Connections per host that are open before the first request.
const PREPARED: usize = 4;

/// What the requests of a stream do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Appends to a key.
    Append,
    /// Reads a key with a current read.
    Current,
    /// Reads a key with an aged read.
    Aged,
}

impl Kind {
    /// Returns the route of the requests.
    #[must_use]
    pub const fn route(self) -> &'static str {
        match self {
            Self::Append => "write",
            Self::Current => "current",
            Self::Aged => "aged",
        }
    }
}

/// Requests of one client account.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Client account.
    pub account: String,
    /// Key of the account.
    pub key: String,
    /// Hosts, which are asked in turn.
    pub hosts: Vec<SocketAddr>,
    /// Requests per second.
    pub rate: f64,
    /// What the requests do.
    pub kind: Kind,
    /// Longest time to wait for an answer.
    pub timeout: Duration,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered with these values; a write has none.
    Succeeded(Vec<String>),
    /// It was refused as not run, with this SQLSTATE.
    Rejected(String),
    /// The host could not be reached before anything was sent.
    Unreachable,
    /// It is not known whether it ran.
    Unknown(String),
}

/// One request and its outcome.
#[derive(Debug, Clone)]
pub struct Record {
    /// Number of the stream.
    pub stream: usize,
    /// Host that was asked last.
    pub host: SocketAddr,
    /// What was asked.
    pub operation: Operation,
    /// Time at which the request was due.
    pub begin: Instant,
    /// Time of the outcome.
    pub end: Instant,
    /// What became of it.
    pub outcome: Outcome,
}

impl Record {
    /// Reports whether the request was answered.
    #[must_use]
    pub const fn has_succeeded(&self) -> bool {
        matches!(self.outcome, Outcome::Succeeded(_))
    }

    /// Returns the time to the outcome, in milliseconds.
    #[must_use]
    pub fn latency_ms(&self) -> f64 {
        let latency = self.end.saturating_duration_since(self.begin);
        latency.as_secs_f64() * 1e3
    }

    /// Converts the record for the history checker.
    #[must_use]
    pub fn event(&self, epoch: Instant) -> Event {
        let micros = |at: Instant| {
            let elapsed = at.saturating_duration_since(epoch).as_micros();
            u64::try_from(elapsed).unwrap_or(u64::MAX)
        };
        let (outcome, error) = match (&self.outcome, &self.operation) {
            (Outcome::Succeeded(_), Operation::Append(_)) => (event::Outcome::Acknowledged, ""),
            (Outcome::Succeeded(values), _) => (event::Outcome::Values(values.clone()), ""),
            (Outcome::Rejected(code), _) => (event::Outcome::NotRun, code.as_str()),
            (Outcome::Unreachable, _) => (event::Outcome::NotRun, "unreachable"),
            (Outcome::Unknown(error), _) => (event::Outcome::Unknown, error.as_str()),
        };
        Event {
            session: self.stream,
            account: String::new(),
            host: self.host.to_string(),
            operation: self.operation.clone(),
            begin_us: micros(self.begin),
            end_us: micros(self.end),
            outcome,
            error: error.to_owned(),
        }
    }
}

/// Counts refused records by SQLSTATE.
#[must_use]
pub fn count_rejected<'a>(
    records: impl IntoIterator<Item = &'a Record>,
) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for record in records {
        if let Outcome::Rejected(code) = &record.outcome {
            *counts.entry(code.clone()).or_default() += 1;
        }
    }
    counts
}

/// Counts the records that are neither answered nor refused, by what happened.
#[must_use]
pub fn count_without_response<'a>(
    records: impl IntoIterator<Item = &'a Record>,
) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for record in records {
        let what = match &record.outcome {
            Outcome::Succeeded(_) | Outcome::Rejected(_) => continue,
            Outcome::Unreachable => "unreachable",
            Outcome::Unknown(error) => error.as_str(),
        };
        *counts.entry(what.to_owned()).or_default() += 1;
    }
    counts
}

/// Idle connections of a stream by host.
type Pool = Mutex<HashMap<SocketAddr, Vec<Client>>>;

/// Runs streams until `end`, and returns their records in the order of their outcomes.
pub async fn run(streams: Vec<Stream>, end: Instant, seed: u64) -> Vec<Record> {
    let mut tasks = JoinSet::new();
    for (number, stream) in streams.into_iter().enumerate() {
        tasks.spawn(run_one(number, Arc::new(stream), end, seed));
    }
    let mut records: Vec<Record> = tasks.join_all().await.into_iter().flatten().collect();
    records.sort_by_key(|record| record.end);
    records
}

async fn run_one(number: usize, stream: Arc<Stream>, end: Instant, seed: u64) -> Vec<Record> {
    let mut random = StdRng::seed_from_u64(seed ^ (number as u64) << 32);
    let pool = Arc::new(prepare(&stream).await);
    let period = Duration::from_secs_f64(1.0 / stream.rate);
    let mut due = Instant::now() + period.mul_f64(random.random());
    let mut requests = JoinSet::new();
    let mut records = Vec::new();
    let mut sequence = 0;
    while due < end {
        timer::sleep_until(due).await;
        sequence += 1;
        let request = Request {
            stream: Arc::clone(&stream),
            pool: Arc::clone(&pool),
            number,
            sequence,
            due,
        };
        requests.spawn(request.run());
        while let Some(ended) = requests.try_join_next() {
            records.extend(ended);
        }
        due += period;
    }
    records.extend(requests.join_all().await);
    records
}

async fn prepare(stream: &Stream) -> Pool {
    let mut pool: HashMap<_, Vec<_>> = HashMap::new();
    for host in &stream.hosts {
        for _ in 0..PREPARED {
            if let Ok(Ok(client)) = time::timeout(stream.timeout, stream.connect(*host)).await {
                pool.entry(*host).or_default().push(client);
            }
        }
    }
    Mutex::new(pool)
}

impl Stream {
    async fn connect(&self, host: SocketAddr) -> Result<Client, Error> {
        let caller = Caller {
            account: &self.account,
            key: &self.key,
            route: self.kind.route(),
        };
        Client::connect(host, caller).await
    }
}

/// One request of a stream.
struct Request {
    stream: Arc<Stream>,
    pool: Arc<Pool>,
    number: usize,
    sequence: u64,
    due: Instant,
}

impl Request {
    async fn run(self) -> Record {
        let operation = self.operation();
        let query = query(&operation);
        let hosts = &self.stream.hosts;
        let first = usize::try_from(self.sequence).unwrap_or_default() % hosts.len();
        let mut host = hosts[first];
        let mut outcome = Outcome::Unreachable;
        let end = self.due + self.stream.timeout;
        // A balancer leads a caller whose host cannot be reached to the next one.
        for next in 0..hosts.len() {
            host = hosts[(first + next) % hosts.len()];
            let exchange = time::timeout_at(end, self.exchange(host, &query)).await;
            outcome = exchange.unwrap_or_else(|_| Outcome::Unknown("timeout".to_owned()));
            let is_read = !matches!(operation, Operation::Append(_));
            let is_lost = matches!(outcome, Outcome::Unknown(_)) && is_read;
            if outcome != Outcome::Unreachable && !is_lost {
                break;
            }
        }
        Record {
            stream: self.number,
            host,
            operation,
            begin: self.due,
            end: Instant::now(),
            outcome,
        }
    }

    fn operation(&self) -> Operation {
        let key = format!("k{}-{}", self.number, self.sequence % KEYS);
        match self.stream.kind {
            Kind::Append => {
                let value = event::unique_value(&key, self.number, self.sequence);
                Operation::Append(vec![Write { key, value }])
            }
            Kind::Current => Operation::Current(key),
            Kind::Aged => Operation::Aged(key),
        }
    }

    async fn exchange(&self, host: SocketAddr, query: &str) -> Outcome {
        let idle = self.lock().get_mut(&host).and_then(Vec::pop);
        let mut client = match idle {
            Some(client) => client,
            None => match self.stream.connect(host).await {
                Ok(client) => client,
                Err(error) => return refusal(&error).unwrap_or(Outcome::Unreachable),
            },
        };
        match client.query(query).await {
            Ok(rows) => {
                self.lock().entry(host).or_default().push(client);
                Outcome::Succeeded(event::split_values(&rows.concat().concat()))
            }
            Err(error) if is_closed(&error) => {
                // The other idle connections to the host broke with this one.
                self.lock().remove(&host);
                refusal(&error).unwrap_or_else(|| Outcome::Unknown(error.to_string()))
            }
            Err(error) => {
                let outcome = refusal(&error);
                if server_error(&error).is_some() {
                    self.lock().entry(host).or_default().push(client);
                }
                outcome.unwrap_or_else(|| Outcome::Unknown(error.to_string()))
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Client>>> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the error that the host sent.
#[must_use]
pub fn server_error(error: &Error) -> Option<&DbError> {
    match error {
        Error::Database(error) => error.as_db_error(),
        Error::Closed => None,
    }
}

/// Reports whether a connection cannot be used after an error.
#[must_use]
pub fn is_closed(error: &Error) -> bool {
    match error {
        Error::Database(error) => error.is_closed(),
        Error::Closed => true,
    }
}

/// Returns the outcome of a request that the host answered with an error.
fn refusal(error: &Error) -> Option<Outcome> {
    let report = server_error(error)?;
    let code = report.code().code().to_owned();
    let detail = report.detail().unwrap_or_default();
    Some(if detail.starts_with("not run") || code == "40001" {
        Outcome::Rejected(code)
    } else {
        Outcome::Unknown(code)
    })
}

fn query(operation: &Operation) -> String {
    match operation {
        Operation::Append(writes) => {
            let Write { key, value } = &writes[0];
            format!("UPDATE kv SET value = value || '{value},' WHERE key = '{key}'")
        }
        Operation::Current(key) | Operation::Aged(key) => {
            format!("SELECT value FROM kv WHERE key = '{key}'")
        }
    }
}
