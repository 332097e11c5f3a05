//! Time from an accepted withdrawal of a key until every host refuses it.

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

/// Account whose keys are withdrawn.
const ACCOUNT: &str = "callers";
/// Rate of the account, which the callers do not reach.
const RATE: f64 = 5_000.0;
/// Time for which callers use the key before the patch.
const BEFORE: Duration = Duration::from_millis(500);
/// Time for which callers use the key after the patch.
const AFTER: Duration = Duration::from_secs(3);
/// The same with a frozen host.
const AFTER_FREEZE: Duration = Duration::from_millis(4500);
/// Time from the patch until a frozen host continues, above the goal and the lease time.
const FREEZE: Duration = Duration::from_secs(3);
/// Pause between two uses of the key by one caller.
const PAUSE: Duration = Duration::from_millis(20);

/// What is wrong with one host during the withdrawal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
enum Case {
    /// undisturbed
    Plain,
    /// one host frozen
    Frozen,
    /// one host cut off from the store
    Cut,
}

/// How a caller uses the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
enum Usage {
    /// connected callers
    Connected,
    /// new callers
    New,
}

/// Withdraws a key for each case in each run, all on one fleet.
pub async fn run(settings: &Settings, report: &mut Report) -> io::Result<()> {
    report.note(
        "time from the last moment at which the accepting host was seen without the version to \
         the end of the last use of the key, on the worst host; later uses count until the end \
         of the observation"
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

/// One withdrawal.
#[derive(Debug, Clone)]
struct Run {
    case: Case,
    key: String,
    /// Number of the host that takes the patch.
    accepting: usize,
    /// Number of the host with the fault.
    faulty: usize,
}

impl Run {
    fn new(testbed: &Testbed, case: Case, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let hosts = testbed.layout().hosts.len();
        let accepting = random.random_range(0..hosts);
        Self {
            case,
            key: key(case, seed),
            accepting,
            faulty: (accepting + random.random_range(1..hosts)) % hosts,
        }
    }

    async fn measure(&self, testbed: &mut Testbed, report: &mut Report) -> io::Result<()> {
        for host in 0..testbed.layout().hosts.len() {
            testbed.operator.await_health(host).await?;
        }
        let base = testbed.operator.version(self.accepting).await?;
        let patch_at = Instant::now() + BEFORE;
        let after = match self.case {
            Case::Frozen => AFTER_FREEZE,
            Case::Plain | Case::Cut => AFTER,
        };
        let mut callers = self.callers(testbed, patch_at + after);
        time::sleep_until(patch_at).await;
        self.disturb(testbed).await?;
        let accepted = self.withdraw(testbed, base).await?;
        self.repair(testbed, patch_at).await?;
        while let Some(seen) = callers.join_next().await {
            let (usage, seen) = seen.map_err(io::Error::other)?;
            self.judge(usage, &seen, accepted, report);
        }
        Ok(())
    }

    fn callers(&self, testbed: &Testbed, end: Instant) -> JoinSet<(Usage, Seen)> {
        let mut callers = JoinSet::new();
        for host in testbed.frontend_addresses() {
            let key = self.key.clone();
            callers.spawn(async move { (Usage::Connected, connected(host, &key, end).await) });
            let key = self.key.clone();
            callers.spawn(async move { (Usage::New, new(host, &key, end).await) });
        }
        callers
    }

    async fn disturb(&self, testbed: &mut Testbed) -> io::Result<()> {
        let host = testbed.layout().hosts[self.faulty].clone();
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

    /// Withdraws the key and returns the last time at which it was not yet withdrawn.
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
        let host = self.accepting;
        let submission = tokio::spawn(async move { operator.submit(host, &patch).await });
        let end = Instant::now() + AFTER;
        let next = Version(base.0 + 1);
        let accepted = testbed.operator.await_version(host, next, end).await;
        if accepted.is_err() {
            submission.abort();
            return accepted;
        }
        let answer = submission.await.map_err(io::Error::other)??;
        if answer.status != StatusCode::OK {
            return Err(io::Error::other(format!("patch: {}", answer.body)));
        }
        accepted
    }

    async fn repair(&self, testbed: &mut Testbed, patch_at: Instant) -> io::Result<()> {
        let host = testbed.layout().hosts[self.faulty].name.clone();
        match self.case {
            Case::Plain => Ok(()),
            Case::Frozen => {
                time::sleep_until(patch_at + FREEZE).await;
                testbed.resume(&host)
            }
            Case::Cut => {
                time::sleep_until(patch_at + AFTER).await;
                testbed.set_link_rules(&Table::default()).await
            }
        }
    }

    fn judge(&self, usage: Usage, seen: &Seen, accepted: Instant, report: &mut Report) {
        let case = self.case;
        let Some(last) = seen.last else {
            report.note(format!("{case}, {usage}: the key was never accepted"));
            return;
        };
        let late = last.saturating_duration_since(accepted).as_secs_f64();
        report.add_with_goal(&format!("{case}, {usage}"), "s", Goal::AtMost(2.0), late);
        let open = float(usize::from(!seen.refused));
        let name = format!("{case}: callers not refused at the end for their key");
        report.add(&name, "count", open);
    }
}

/// What a caller saw.
#[derive(Debug, Default)]
struct Seen {
    /// End of the last use of the key that succeeded.
    last: Option<Instant>,
    /// Whether the key was refused at the end.
    refused: bool,
}

impl Seen {
    fn note<T>(&mut self, result: &Result<T, Error>) {
        match result {
            Ok(_) => {
                self.last = Some(Instant::now());
                self.refused = false;
            }
            Err(error) => {
                let code = stream::server_error(error).map(|report| report.code().code());
                self.refused |= code == Some("28P01");
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

/// Uses one connection until it is closed; the caller then uses new ones.
async fn connected(host: SocketAddr, key: &str, end: Instant) -> Seen {
    let mut seen = Seen::default();
    let uses = async {
        while Instant::now() < end && !seen.refused {
            match Client::connect(host, caller(key)).await {
                Err(error) => seen.note::<()>(&Err(error)),
                Ok(mut client) => loop {
                    let result = client.query(QUERY).await;
                    seen.note(&result);
                    if result.is_err_and(|error| stream::is_closed(&error)) || seen.refused {
                        break;
                    }
                    time::sleep(PAUSE).await;
                },
            }
            time::sleep(PAUSE).await;
        }
    };
    let _ = time::timeout_at(end, uses).await;
    seen
}

/// Opens a connection for each use.
async fn new(host: SocketAddr, key: &str, end: Instant) -> Seen {
    let mut seen = Seen::default();
    let uses = async {
        loop {
            match Client::connect(host, caller(key)).await {
                Ok(mut client) => seen.note(&client.query(QUERY).await),
                Err(error) => seen.note::<()>(&Err(error)),
            }
            time::sleep(PAUSE).await;
        }
    };
    let _ = time::timeout_at(end, uses).await;
    seen
}
