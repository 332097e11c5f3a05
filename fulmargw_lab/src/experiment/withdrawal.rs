//! Measures the time from an accepted withdrawal of an API key until every host rejects the key.

use super::{
    operator,
    report::{Goal, Report, float},
    stream,
    testbed::{Settings, Testbed},
};
use crate::{
    link::rule::{Action, Rule, Table},
    load::client::{Caller, Client, Error},
};
use fulmargw_model::{
    client_account::Digest,
    configuration::{Change, Patch, Version},
    name::Name,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use reqwest::StatusCode;
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

/// Client account whose API keys are withdrawn.
const ACCOUNT: &str = "callers";
/// Rate of the account in requests per second, which the callers do not reach.
const RATE: f64 = 5_000.0;
/// Time for which callers use the key before the patch.
const USE_BEFORE: Duration = Duration::from_millis(500);
/// Time for which callers use the key after the patch.
const USE_AFTER: Duration = Duration::from_secs(3);
/// Time for which callers use the key after the patch if a host is paused.
const USE_AFTER_WITH_PAUSE: Duration = Duration::from_millis(4500);
/// Time from the patch until a paused host resumes. It is longer than the goal and the lease time.
const PAUSE_DURATION: Duration = Duration::from_secs(3);
/// Interval between two uses of the key by one caller.
const USE_INTERVAL: Duration = Duration::from_millis(20);

/// Fault of one host during the withdrawal, displayed as a part of the names of its figures.
///
/// The names of the variants are also part of the API keys and patch ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
enum Case {
    /// undisturbed
    Plain,
    /// one host frozen
    Frozen,
    /// one host cut off from the store
    Cut,
}

/// The way in which a caller uses the key, displayed as a part of the names of its figures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
enum Usage {
    /// connected callers
    Connected,
    /// new callers
    New,
}

/// Withdraws a key for each case in each run, on one fleet for all.
pub async fn run(settings: &Settings, report: &mut Report) -> io::Result<()> {
    report.note(
        "time from the last moment at which the accepting host did not yet have the version to \
         the end of the last use of the key, on the worst host; later uses count \
         until the end of the load"
            .to_owned(),
    );
    let mut testbed = settings.fleet().await?;
    let mut account = operator::account(ACCOUNT, "", RATE, RATE);
    let cases = [Case::Plain, Case::Frozen, Case::Cut];
    let keys = settings
        .seeds()
        .flat_map(|seed| cases.map(|case| key(case, seed)));
    account.keys = keys.map(|key| Digest::of(key.as_bytes())).collect();
    testbed.add_accounts(vec![account]).await?;
    for seed in settings.seeds() {
        for case in cases {
            let run = Run::new(&testbed, case, seed);
            run.measure(&mut testbed, report).await?;
        }
    }
    testbed.end()
}

fn key(case: Case, seed: u64) -> String {
    format!("key-{case:?}-{seed}")
}

/// One withdrawal of a key.
#[derive(Debug, Clone)]
struct Run {
    case: Case,
    key: String,
    /// Index of the host that receives the patch.
    accepting_host: usize,
    /// Index of the host with the fault.
    faulty_host: usize,
}

impl Run {
    fn new(testbed: &Testbed, case: Case, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let hosts = testbed.layout().hosts.len();
        let accepting_host = random.random_range(0..hosts);
        Self {
            case,
            key: key(case, seed),
            accepting_host,
            faulty_host: (accepting_host + random.random_range(1..hosts)) % hosts,
        }
    }

    async fn measure(&self, testbed: &mut Testbed, report: &mut Report) -> io::Result<()> {
        for host in 0..testbed.layout().hosts.len() {
            testbed.operator.await_health(host).await?;
        }
        let base = testbed.operator.version(self.accepting_host).await?;
        let patch_at = Instant::now() + USE_BEFORE;
        let after = match self.case {
            Case::Frozen => USE_AFTER_WITH_PAUSE,
            Case::Plain | Case::Cut => USE_AFTER,
        };
        let mut callers = self.callers(testbed, patch_at + after);
        time::sleep_until(patch_at).await;
        self.inject_fault(testbed).await?;
        let accepted_at = self.withdraw(testbed, base).await?;
        self.end_fault(testbed, patch_at).await?;
        while let Some(result) = callers.join_next().await {
            let (usage, observation) = result.map_err(io::Error::other)?;
            self.add_figures(usage, &observation, accepted_at, report);
        }
        Ok(())
    }

    fn callers(&self, testbed: &Testbed, end: Instant) -> JoinSet<(Usage, Observation)> {
        let mut callers = JoinSet::new();
        for host in testbed.frontend_addresses() {
            let key = self.key.clone();
            callers.spawn(
                async move { (Usage::Connected, use_one_connection(host, &key, end).await) },
            );
            let key = self.key.clone();
            callers.spawn(async move { (Usage::New, use_new_connections(host, &key, end).await) });
        }
        callers
    }

    async fn inject_fault(&self, testbed: &mut Testbed) -> io::Result<()> {
        let host = testbed.layout().hosts[self.faulty_host].clone();
        match self.case {
            Case::Plain => Ok(()),
            Case::Frozen => testbed.pause(&host.name),
            Case::Cut => {
                let rule = Rule {
                    mapping: Some("platform".to_owned()),
                    source: Some(host.peer.ip()),
                    direction: None,
                    action: Action::Drop,
                };
                testbed.set_link_rules(&Table(vec![rule])).await
            }
        }
    }

    /// Withdraws the key. Returns the last time at which the accepting host did not yet have the new
    /// version.
    async fn withdraw(&self, testbed: &Testbed, base: Version) -> io::Result<Instant> {
        let patch = Patch {
            base,
            id: format!("withdraw-{}", self.key),
            changes: vec![Change::WithdrawKey {
                account: Name::new(ACCOUNT),
                digest: Digest::of(self.key.as_bytes()),
            }],
        };
        let operator = testbed.operator.clone();
        let host = self.accepting_host;
        let submission = tokio::spawn(async move { operator.submit(host, &patch).await });
        let end = Instant::now() + USE_AFTER;
        let new_version = Version(base.0 + 1);
        let accepted_at = testbed.operator.await_version(host, new_version, end).await;
        if accepted_at.is_err() {
            submission.abort();
            return accepted_at;
        }
        let response = submission.await.map_err(io::Error::other)??;
        if response.status != StatusCode::OK {
            return Err(io::Error::other(format!(
                "patch was rejected: {}",
                response.body
            )));
        }
        accepted_at
    }

    async fn end_fault(&self, testbed: &mut Testbed, patch_at: Instant) -> io::Result<()> {
        let host = testbed.layout().hosts[self.faulty_host].name.clone();
        match self.case {
            Case::Plain => Ok(()),
            Case::Frozen => {
                time::sleep_until(patch_at + PAUSE_DURATION).await;
                testbed.resume(&host)
            }
            Case::Cut => {
                time::sleep_until(patch_at + USE_AFTER).await;
                testbed.set_link_rules(&Table::default()).await
            }
        }
    }

    fn add_figures(
        &self,
        usage: Usage,
        observation: &Observation,
        accepted_at: Instant,
        report: &mut Report,
    ) {
        let case = self.case;
        let Some(last) = observation.last_use else {
            report.note(format!("{case}, {usage}: the key was never accepted"));
            return;
        };
        let delay = last.saturating_duration_since(accepted_at).as_secs_f64();
        report.add_with_goal(&format!("{case}, {usage}"), "s", Goal::AtMost(2.0), delay);
        let not_rejected = float(usize::from(!observation.is_rejected));
        let name = format!("{case}: callers not refused at the end for their key");
        report.add(&name, "count", not_rejected);
    }
}

/// Results of one caller's uses of the key.
#[derive(Debug, Default)]
struct Observation {
    /// End of the last successful use.
    last_use: Option<Instant>,
    /// Whether the key was rejected, and not accepted afterwards.
    is_rejected: bool,
}

impl Observation {
    fn record_result<T>(&mut self, result: &Result<T, Error>) {
        match result {
            Ok(_) => {
                self.last_use = Some(Instant::now());
                self.is_rejected = false;
            }
            Err(error) => {
                let code = stream::server_error(error).map(|error| error.code().code());
                self.is_rejected |= code == Some("28P01");
            }
        }
    }
}

fn caller(key: &str) -> Caller<'_> {
    Caller {
        account: ACCOUNT,
        key,
        route: "aged",
    }
}

const QUERY: &str = "SELECT value FROM kv WHERE key = 'k'";

/// Sends queries on one connection, and opens a new one when it is closed.
async fn use_one_connection(host: SocketAddr, key: &str, end: Instant) -> Observation {
    let mut observation = Observation::default();
    let uses = async {
        while Instant::now() < end && !observation.is_rejected {
            match Client::connect(host, caller(key)).await {
                Err(error) => observation.record_result::<()>(&Err(error)),
                Ok(mut client) => loop {
                    let result = client.query(QUERY).await;
                    observation.record_result(&result);
                    if result.is_err_and(|error| stream::is_closed(&error))
                        || observation.is_rejected
                    {
                        break;
                    }
                    time::sleep(USE_INTERVAL).await;
                },
            }
            time::sleep(USE_INTERVAL).await;
        }
    };
    let _ = time::timeout_at(end, uses).await;
    observation
}

/// Opens a new connection for each query.
async fn use_new_connections(host: SocketAddr, key: &str, end: Instant) -> Observation {
    let mut observation = Observation::default();
    let uses = async {
        loop {
            match Client::connect(host, caller(key)).await {
                Ok(mut client) => observation.record_result(&client.query(QUERY).await),
                Err(error) => observation.record_result::<()>(&Err(error)),
            }
            time::sleep(USE_INTERVAL).await;
        }
    };
    let _ = time::timeout_at(end, uses).await;
    observation
}
