//! Open-loop load: requests start at fixed times, whether or not earlier ones have ended.

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

/// Number of keys that the requests of one stream use.
const KEYS: u64 = 16;
/// Number of connections to each host that are opened before the first request.
const INITIAL_CONNECTIONS: usize = 4;

/// Kind of the requests of a stream.
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

/// Requests of one client account at a constant rate.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Name of the client account.
    pub account: String,
    /// API key of the account.
    pub key: String,
    /// Addresses of the hosts, which receive requests in turn.
    pub hosts: Vec<SocketAddr>,
    /// Requests per second.
    pub rate: f64,
    /// Kind of the requests.
    pub kind: Kind,
    /// Timeout of a request, from the time at which it was due.
    pub timeout: Duration,
}

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded and returned these values; a write returns none.
    Succeeded(Vec<String>),
    /// It was rejected with this SQLSTATE and certainly did not run.
    Rejected(String),
    /// No connection could be opened, so that nothing was sent.
    Unreachable,
    /// It is unknown whether it ran; the text is an SQLSTATE or describes the error.
    Unknown(String),
}

/// One request and its outcome.
#[derive(Debug, Clone)]
pub struct Record {
    /// Index of the stream.
    pub stream: usize,
    /// Host to which the request was sent last.
    pub host: SocketAddr,
    /// The operation that was requested.
    pub operation: Operation,
    /// Time at which the request was due.
    pub begin: Instant,
    /// Time of the outcome.
    pub end: Instant,
    /// Outcome of the request.
    pub outcome: Outcome,
}

impl Record {
    /// Returns whether the request succeeded.
    #[must_use]
    pub const fn has_succeeded(&self) -> bool {
        matches!(self.outcome, Outcome::Succeeded(_))
    }

    /// Returns the time from the due time to the outcome, in milliseconds.
    #[must_use]
    pub fn latency_ms(&self) -> f64 {
        let latency = self.end.saturating_duration_since(self.begin);
        latency.as_secs_f64() * 1e3
    }

    /// Converts the record to an event of a history. Its times count from `epoch`.
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

/// Counts rejected requests by SQLSTATE.
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

/// Counts requests that neither succeeded nor were rejected, by their error.
#[must_use]
pub fn count_other_failures<'a>(
    records: impl IntoIterator<Item = &'a Record>,
) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for record in records {
        let cause = match &record.outcome {
            Outcome::Succeeded(_) | Outcome::Rejected(_) => continue,
            Outcome::Unreachable => "unreachable",
            Outcome::Unknown(error) => error.as_str(),
        };
        *counts.entry(cause.to_owned()).or_default() += 1;
    }
    counts
}

/// Idle connections of a stream, by host.
type Pool = Mutex<HashMap<SocketAddr, Vec<Client>>>;

/// Runs streams until `end`, and returns the records of their requests, ordered by the time of the
/// outcome.
pub async fn run(streams: Vec<Stream>, end: Instant, seed: u64) -> Vec<Record> {
    let mut tasks = JoinSet::new();
    for (number, stream) in streams.into_iter().enumerate() {
        tasks.spawn(run_stream(number, Arc::new(stream), end, seed));
    }
    let mut records: Vec<Record> = tasks.join_all().await.into_iter().flatten().collect();
    records.sort_by_key(|record| record.end);
    records
}

async fn run_stream(number: usize, stream: Arc<Stream>, end: Instant, seed: u64) -> Vec<Record> {
    let mut random = StdRng::seed_from_u64(seed ^ (number as u64) << 32);
    let pool = Arc::new(open_connections(&stream).await);
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

async fn open_connections(stream: &Stream) -> Pool {
    let mut pool: HashMap<_, Vec<_>> = HashMap::new();
    for host in &stream.hosts {
        for _ in 0..INITIAL_CONNECTIONS {
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
        // As a load balancer does, sends the request to the next host if a host cannot be reached.
        // Reads are also retried after an unknown outcome.
        for next in 0..hosts.len() {
            host = hosts[(first + next) % hosts.len()];
            let exchange = time::timeout_at(end, self.exchange(host, &query)).await;
            outcome = exchange.unwrap_or_else(|_| Outcome::Unknown("timeout".to_owned()));
            let is_read = !matches!(operation, Operation::Append(_));
            let is_retryable = matches!(outcome, Outcome::Unknown(_)) && is_read;
            if outcome != Outcome::Unreachable && !is_retryable {
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
                Err(error) => return error_outcome(&error).unwrap_or(Outcome::Unreachable),
            },
        };
        match client.query(query).await {
            Ok(rows) => {
                self.lock().entry(host).or_default().push(client);
                Outcome::Succeeded(event::split_values(&rows.concat().concat()))
            }
            Err(error) if is_closed(&error) => {
                // The other idle connections to the host are assumed to be closed too.
                self.lock().remove(&host);
                error_outcome(&error).unwrap_or_else(|| Outcome::Unknown(error.to_string()))
            }
            Err(error) => {
                let outcome = error_outcome(&error);
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

/// Returns the error that the host sent, if it sent one.
#[must_use]
pub fn server_error(error: &Error) -> Option<&DbError> {
    match error {
        Error::Database(error) => error.as_db_error(),
        Error::Closed => None,
    }
}

/// Returns whether an error has closed the connection.
#[must_use]
pub fn is_closed(error: &Error) -> bool {
    match error {
        Error::Database(error) => error.is_closed(),
        Error::Closed => true,
    }
}

/// Returns the outcome of a request to which the host responded with an error, or `None` if the host
/// did not respond.
fn error_outcome(error: &Error) -> Option<Outcome> {
    let database_error = server_error(error)?;
    let code = database_error.code().code().to_owned();
    let detail = database_error.detail().unwrap_or_default();
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
