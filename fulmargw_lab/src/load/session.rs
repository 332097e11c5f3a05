//! One session of a load: operations that are sent one after the other, possibly to several hosts.

use super::{
    client::{Caller, Client, Error},
    plan::{Account, Plan},
};
use crate::history::event::{Event, Operation, Outcome, Write, split_values, unique_value};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use std::{collections::HashMap, sync::Arc, time::Duration};
use tokio::time::{self, Instant, MissedTickBehavior};

/// Delay before the next attempt after a failure, as client libraries have it.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Greatest number of attempts of a write with a request id.
const MAX_ATTEMPTS: u32 = 20;

/// State of a session.
pub struct Session {
    plan: Arc<Plan>,
    account: Account,
    number: usize,
    epoch: Instant,
    random: StdRng,
    /// Index of the current host in the plan.
    host: usize,
    /// Open connections by the index of their host and their route.
    clients: HashMap<(usize, String), Client>,
    /// Log positions that a host reported last for this session.
    position: String,
    /// Number of appended values so far.
    writes: u64,
    events: Vec<Event>,
}

/// Failure of an operation.
struct Failure {
    outcome: Outcome,
    error: String,
    /// Whether the connection is unusable.
    broken: bool,
}

impl Failure {
    fn unknown(error: &str) -> Self {
        Self {
            outcome: Outcome::Unknown,
            error: error.to_owned(),
            broken: true,
        }
    }

    /// Turns an unknown outcome into `NotRun`, for a failure before the operation could take effect.
    fn before_effect(mut self) -> Self {
        if self.outcome == Outcome::Unknown {
            self.outcome = Outcome::NotRun;
        }
        self
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        let Error::Database(error) = error else {
            return Self::unknown("connection ended");
        };
        let Some(report) = error.as_db_error() else {
            return Self::unknown(&error.to_string());
        };
        let detail = report.detail().unwrap_or_default();
        let outcome = match report.code().code() {
            // An earlier attempt with the same request id has committed.
            "FG001" => Outcome::Acknowledged,
            // The transaction was rolled back after a serialization failure.
            "40001" => Outcome::NotRun,
            _ if detail.starts_with("not run") => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        Self {
            outcome,
            error: report.code().code().to_owned(),
            broken: error.is_closed(),
        }
    }
}

impl Session {
    /// Creates a session.
    pub fn new(plan: Arc<Plan>, account: Account, number: usize, epoch: Instant) -> Self {
        let random = StdRng::seed_from_u64(plan.seed ^ (number as u64) << 32);
        Self {
            host: number % plan.hosts.len(),
            plan,
            account,
            number,
            epoch,
            random,
            clients: HashMap::new(),
            position: String::new(),
            writes: 0,
            events: Vec::new(),
        }
    }

    /// Runs operations until the time or the number of operations of the plan is reached, and
    /// returns their history.
    pub async fn run(mut self) -> Vec<Event> {
        let sessions = u32::try_from(self.account.sessions).unwrap_or(u32::MAX);
        let period = Duration::from_secs_f64(f64::from(sessions) / self.account.rate);
        time::sleep(period.mul_f64(self.random.random())).await;
        let mut ticks = time::interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let end = self.epoch + self.plan.duration;
        for _ in 0..self.plan.max_operations {
            ticks.tick().await;
            if Instant::now() >= end {
                break;
            }
            if self.random.random_bool(self.plan.host_change_probability) {
                self.change_host();
            }
            let operation = self.choose_operation();
            self.perform(operation).await;
        }
        self.events
    }

    /// Changes to another host, if there is one.
    fn change_host(&mut self) {
        let others = self.plan.hosts.len().max(2) - 1;
        self.host = (self.host + self.random.random_range(1..=others)) % self.plan.hosts.len();
    }

    fn choose_operation(&mut self) -> Operation {
        let mix = &self.plan.mix;
        let total = mix.write + mix.transaction + mix.current + mix.aged;
        let pick = self.random.random_range(0..total);
        if pick < mix.write {
            return Operation::Append(vec![self.next_write()]);
        }
        if pick < mix.write + mix.transaction {
            return Operation::Append(vec![self.next_write(), self.next_write()]);
        }
        let is_current = pick < mix.write + mix.transaction + mix.current;
        let key = self.choose_key();
        if is_current {
            Operation::Current(key)
        } else {
            Operation::Aged(key)
        }
    }

    fn choose_key(&mut self) -> String {
        format!("k{}", self.random.random_range(0..self.plan.keys))
    }

    fn next_write(&mut self) -> Write {
        self.writes += 1;
        let key = self.choose_key();
        let value = unique_value(&key, self.number, self.writes);
        Write { key, value }
    }

    async fn perform(&mut self, operation: Operation) {
        let begin = Instant::now();
        let host = self.plan.hosts[self.host].to_string();
        let (outcome, error) = match &operation {
            Operation::Append(writes) => self.append(writes).await,
            Operation::Current(key) => {
                let route = self.plan.mix.current_route.clone();
                self.read(&route, key).await
            }
            Operation::Aged(key) => {
                let route = self.plan.mix.aged_route.clone();
                self.read(&route, key).await
            }
        };
        self.events.push(Event {
            session: self.number,
            account: self.account.name.clone(),
            host,
            operation,
            begin_us: self.micros(begin),
            end_us: self.micros(Instant::now()),
            outcome,
            error,
        });
    }

    fn micros(&self, at: Instant) -> u64 {
        let elapsed = at.duration_since(self.epoch).as_micros();
        u64::try_from(elapsed).unwrap_or(u64::MAX)
    }

    async fn read(&mut self, route: &str, key: &str) -> (Outcome, String) {
        let query = format!("SELECT value FROM kv WHERE key = '{key}'");
        let result = self.exchange(route, None, &[query]).await;
        match result {
            Ok(rows) => {
                let text = rows.concat().concat();
                (Outcome::Values(split_values(&text)), String::new())
            }
            Err(failure) => (failure.outcome, failure.error),
        }
    }

    /// Sends a write. With a request id it is retried while its outcome is unknown; a later
    /// rejection then does not tell whether an earlier attempt ran.
    async fn append(&mut self, writes: &[Write]) -> (Outcome, String) {
        let route = self.plan.mix.write_route.clone();
        let queries = queries(writes);
        let id = format!("load-{}-{}-{}", self.plan.seed, self.number, self.writes);
        let id = self.plan.request_ids.then_some(id);
        let mut unknown = None;
        for _ in 0..MAX_ATTEMPTS {
            match self.exchange(&route, id.as_deref(), &queries).await {
                Ok(_) => return (Outcome::Acknowledged, String::new()),
                Err(failure) => match (&failure.outcome, &unknown) {
                    (Outcome::Unknown, _) => unknown = Some(failure.error),
                    (Outcome::NotRun, Some(_)) => {}
                    _ => return (failure.outcome, failure.error),
                },
            }
            let end = self.epoch + self.plan.duration + self.plan.timeout;
            if id.is_none() || Instant::now() >= end {
                break;
            }
        }
        (Outcome::Unknown, unknown.unwrap_or_default())
    }

    /// Runs queries on the current host, and changes the host after a failure of the connection.
    async fn exchange(
        &mut self,
        route: &str,
        id: Option<&str>,
        queries: &[String],
    ) -> Result<Vec<Vec<String>>, Failure> {
        let slot = (self.host, route.to_owned());
        let idle = self.clients.remove(&slot);
        let timeout = self.plan.timeout;
        let attempt = self.attempt(idle, route, id, queries);
        let attempt = time::timeout(timeout, attempt).await;
        let (client, result) = attempt.unwrap_or_else(|_| (None, Err(Failure::unknown("timeout"))));
        match (client, &result) {
            (Some(client), Err(failure)) if failure.broken => drop(client),
            (Some(client), _) => {
                client.position().clone_into(&mut self.position);
                self.clients.insert(slot, client);
            }
            (None, _) => {}
        }
        if let Err(failure) = &result {
            // A load balancer directs callers away from a host that rejects connections with 57P03
            // (cannot connect now).
            if failure.broken || failure.error == "57P03" {
                self.change_host();
            }
            time::sleep(RETRY_DELAY).await;
        }
        result
    }

    async fn attempt(
        &mut self,
        idle: Option<Client>,
        route: &str,
        id: Option<&str>,
        queries: &[String],
    ) -> (Option<Client>, Result<Vec<Vec<String>>, Failure>) {
        let client = match idle {
            Some(client) => Ok(client),
            None => self.connect(route).await,
        };
        match client {
            Ok(mut client) => {
                let result = run(&mut client, &self.position, id, queries).await;
                (Some(client), result)
            }
            Err(failure) => (None, Err(failure)),
        }
    }

    async fn connect(&mut self, route: &str) -> Result<Client, Failure> {
        let caller = Caller {
            account: &self.account.name,
            key: &self.account.key,
            route,
        };
        let connecting = Client::connect(self.plan.hosts[self.host], caller).await;
        connecting.map_err(|error| Failure {
            broken: true,
            ..Failure::from(error).before_effect()
        })
    }
}

async fn run(
    client: &mut Client,
    position: &str,
    id: Option<&str>,
    queries: &[String],
) -> Result<Vec<Vec<String>>, Failure> {
    let set = client.set_position(position).await;
    set.map_err(|error| Failure::from(error).before_effect())?;
    if let Some(id) = id {
        let set = format!("SET fulmar.request_id = '{id}'");
        let set = client.query(&set).await;
        set.map_err(|error| Failure::from(error).before_effect())?;
    }
    let mut rows = Vec::new();
    for (number, query) in queries.iter().enumerate() {
        match client.query(query).await {
            Ok(response) => rows = response,
            Err(error) => return Err(classify(client, error, number, queries.len()).await),
        }
    }
    Ok(rows)
}

/// Classifies the failure of query `number` of `count` and ends an open transaction. A transaction
/// did not run if its `COMMIT` was not sent.
async fn classify(client: &mut Client, error: Error, number: usize, count: usize) -> Failure {
    let mut failure = Failure::from(error);
    if number + 1 < count {
        failure = failure.before_effect();
    }
    if count > 1 && !failure.broken {
        failure.broken = client.query("ROLLBACK").await.is_err();
    }
    failure
}

fn queries(writes: &[Write]) -> Vec<String> {
    let update = |write: &Write| {
        let Write { key, value } = write;
        format!("UPDATE kv SET value = value || '{value},' WHERE key = '{key}'")
    };
    let updates = writes.iter().map(update);
    if writes.len() == 1 {
        return updates.collect();
    }
    let begin = std::iter::once("BEGIN".to_owned());
    let commit = std::iter::once("COMMIT".to_owned());
    begin.chain(updates).chain(commit).collect()
}
