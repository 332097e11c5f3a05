//! Measures how client accounts within their rates are served while another account exceeds its rate
//! or a host crashes.

use super::{
    operator,
    report::{Goal, Report, float, quantile},
    stream::{self, Kind, Outcome, Record, Stream},
    testbed::{Settings, Testbed},
};
use std::{collections::BTreeMap, io, time::Duration};
use tokio::time::{self, Instant};

/// Rates of the client accounts, in requests per second. The first account sends the flood.
const RATES: [f64; 8] = [200.0, 200.0, 50.0, 50.0, 50.0, 50.0, 50.0, 50.0];
/// Offered load of the flooding account, as a multiple of its rate.
const FLOOD_FACTOR: f64 = 5.0;
/// Offered load of the other accounts, as a fraction of their rates.
const REGULAR_FACTOR: f64 = 0.8;
/// Burst, in seconds of the rate.
const BURST_SECONDS: f64 = 0.5;
/// Duration of one load. An account with a rate of 50 requests/s sends 280 in it. With half of that
/// time, its p99 was its second slowest request and varied by a factor of 6 between runs.
const LOAD_DURATION: Duration = Duration::from_secs(7);
/// Timeout of one request: the request timeout of a host, and some time for the network.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

/// Conditions of one load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Case {
    has_flood: bool,
    kills_host: bool,
}

/// Measures the load without and with the flood, first with all hosts and then with a killed host.
pub async fn run(settings: &Settings, report: &mut Report) -> io::Result<()> {
    report.note(format!(
        "8 accounts with rates of {RATES:?} requests/s on 4 hosts; the first one sends {FLOOD_FACTOR} \
         times its rate, the others {REGULAR_FACTOR} of theirs; half of each load is writes, half aged \
         reads; burst {BURST_SECONDS} s of the rate"
    ));
    for seed in settings.seeds() {
        for kills_host in [false, true] {
            let suffix = if kills_host { ", host killed" } else { "" };
            let alone = measure(
                settings,
                Case {
                    has_flood: false,
                    kills_host,
                },
                seed,
            )
            .await?;
            let flooded = measure(
                settings,
                Case {
                    has_flood: true,
                    kills_host,
                },
                seed,
            )
            .await?;
            alone.add_to(&format!("alone{suffix}"), report);
            flooded.add_to(&format!("flood{suffix}"), report);
            let ratio = flooded.p99 / alone.p99;
            let name = format!("worst p99 with the flood over alone{suffix}");
            report.add_with_goal(&name, "ratio", Goal::AtMost(1.5), ratio);
            let ratio = flooded.pooled_p99 / alone.pooled_p99;
            let name = format!("p99 of all these accounts, with the flood over alone{suffix}");
            report.add(&name, "ratio", ratio);
        }
    }
    Ok(())
}

/// Results of the accounts within their rates.
#[derive(Debug, Default)]
struct Summary {
    /// Greatest p99 of an account, in milliseconds.
    p99: f64,
    /// The p99 of the requests of all these accounts, in milliseconds.
    pooled_p99: f64,
    /// Number of rejected requests by SQLSTATE.
    rejected: BTreeMap<String, usize>,
    /// Number of requests that neither succeeded nor were rejected.
    other_failures: usize,
}

impl Summary {
    fn add_to(&self, name: &str, report: &mut Report) {
        report.add(&format!("{name}: worst p99 of an account"), "ms", self.p99);
        let figure = format!("{name}: p99 of all these accounts");
        report.add(&figure, "ms", self.pooled_p99);
        let rejected: usize = self.rejected.values().sum();
        if rejected > 0 {
            report.note(format!(
                "{name}: rejections by SQLSTATE: {:?}",
                self.rejected
            ));
        }
        let figure = format!("{name}: refusals inside the rate");
        report.add_with_goal(&figure, "count", Goal::AtMost(0.0), float(rejected));
        let figure = format!("{name}: requests without an answer or a refusal");
        report.add(&figure, "count", float(self.other_failures));
    }
}

async fn measure(settings: &Settings, case: Case, seed: u64) -> io::Result<Summary> {
    let mut testbed = settings.fleet().await?;
    let accounts = RATES.iter().enumerate().map(|(number, rate)| {
        let (name, key) = account(number);
        operator::account(&name, &key, *rate, rate * BURST_SECONDS)
    });
    testbed.add_accounts(accounts.collect()).await?;
    // The token buckets are empty at first, and are full after the time that a burst takes.
    time::sleep(Duration::from_secs_f64(BURST_SECONDS)).await;
    let end = Instant::now() + LOAD_DURATION;
    let load = tokio::spawn(stream::run(streams(&testbed, case), end, seed));
    if case.kills_host {
        time::sleep(LOAD_DURATION / 3).await;
        testbed.kill("h3")?;
    }
    let records = load.await.map_err(io::Error::other)?;
    testbed.end()?;
    Ok(summarize(&records))
}

fn account(number: usize) -> (String, String) {
    (format!("account-{number}"), format!("key-{number}"))
}

/// Returns two streams for each account, first one of writes and then one of reads.
fn streams(testbed: &Testbed, case: Case) -> Vec<Stream> {
    let mut streams = Vec::new();
    for (number, rate) in RATES.into_iter().enumerate() {
        let factor = match (number, case.has_flood) {
            (0, true) => FLOOD_FACTOR,
            _ => REGULAR_FACTOR,
        };
        let (account, key) = account(number);
        for kind in [Kind::Append, Kind::Aged] {
            streams.push(Stream {
                account: account.clone(),
                key: key.clone(),
                hosts: testbed.frontend_addresses(),
                rate: rate * factor / 2.0,
                kind,
                timeout: REQUEST_TIMEOUT,
            });
        }
    }
    streams
}

/// Summarizes the requests of all accounts but the first one, which sends the flood.
fn summarize(records: &[Record]) -> Summary {
    let mut summary = Summary::default();
    let mut pooled = Vec::new();
    for number in 1..RATES.len() {
        let account_records = records.iter().filter(|record| record.stream / 2 == number);
        let mut latencies = Vec::new();
        for record in account_records {
            match &record.outcome {
                Outcome::Succeeded(_) => latencies.push(record.latency_ms()),
                Outcome::Rejected(code) => {
                    *summary.rejected.entry(code.clone()).or_default() += 1;
                }
                Outcome::Unreachable | Outcome::Unknown(_) => summary.other_failures += 1,
            }
        }
        latencies.sort_by(f64::total_cmp);
        let p99 = quantile(&latencies, 0.99).unwrap_or(f64::INFINITY);
        summary.p99 = summary.p99.max(p99);
        pooled.extend(latencies);
    }
    pooled.sort_by(f64::total_cmp);
    summary.pooled_p99 = quantile(&pooled, 0.99).unwrap_or(f64::INFINITY);
    summary
}
