//! The worst-served client account while another one floods or a host dies.

use super::{
    operator,
    report::{Goal, Report, float, quantile},
    stream::{self, Kind, Outcome, Record, Stream},
    testbed::{Settings, Testbed},
};
use std::{collections::BTreeMap, io, time::Duration};
use tokio::time::{self, Instant};

/// Rates of the accounts, in requests per second. The first one floods.
const RATES: [f64; 8] = [200.0, 200.0, 50.0, 50.0, 50.0, 50.0, 50.0, 50.0];
/// Load of the flooding account as a multiple of its rate.
const FLOOD: f64 = 5.0;
/// Load of the other accounts as a fraction of their rates.
const WITHIN: f64 = 0.8;
/// Burst, in seconds of the rate.
const BURST_SECONDS: f64 = 0.5;
/// Time of one load. An account of 50 requests/s sends 280 in it; with half of that, its p99
/// was its second slowest request and varied by a factor of 6 between runs.
const LOAD: Duration = Duration::from_secs(7);
/// Longest wait for one request, the deadline of a host with some time for the network.
const TIMEOUT: Duration = Duration::from_secs(6);

/// One load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Case {
    floods: bool,
    kills: bool,
}

/// Measures the load alone and with the flood, first undisturbed and then with a killed host.
pub async fn run(settings: &Settings, report: &mut Report) -> io::Result<()> {
    report.note(format!(
        "8 accounts with rates of {RATES:?} requests/s on 4 hosts; the first one sends {FLOOD} \
         times its rate, the others {WITHIN} of theirs; half of each load is writes, half aged \
         reads; burst {BURST_SECONDS} s of the rate"
    ));
    for seed in settings.seeds() {
        for kills in [false, true] {
            let suffix = if kills { ", host killed" } else { "" };
            let alone = measure(
                settings,
                Case {
                    floods: false,
                    kills,
                },
                seed,
            )
            .await?;
            let flooded = measure(
                settings,
                Case {
                    floods: true,
                    kills,
                },
                seed,
            )
            .await?;
            alone.report(&format!("alone{suffix}"), report);
            flooded.report(&format!("flood{suffix}"), report);
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

/// What the accounts within their rates saw.
#[derive(Debug, Default)]
struct Service {
    /// Greatest p99 of an account, in milliseconds.
    p99: f64,
    /// The p99 of the requests of all these accounts, in milliseconds.
    pooled_p99: f64,
    refused: BTreeMap<String, usize>,
    lost: usize,
}

impl Service {
    fn report(&self, name: &str, report: &mut Report) {
        report.add(&format!("{name}: worst p99 of an account"), "ms", self.p99);
        let figure = format!("{name}: p99 of all these accounts");
        report.add(&figure, "ms", self.pooled_p99);
        let refused: usize = self.refused.values().sum();
        if refused > 0 {
            report.note(format!("{name}: refusals by SQLSTATE: {:?}", self.refused));
        }
        let figure = format!("{name}: refusals inside the rate");
        report.add_with_goal(&figure, "count", Goal::AtMost(0.0), float(refused));
        let figure = format!("{name}: requests without an answer or a refusal");
        report.add(&figure, "count", float(self.lost));
    }
}

async fn measure(settings: &Settings, case: Case, seed: u64) -> io::Result<Service> {
    let mut testbed = settings.fleet().await?;
    let accounts = RATES.iter().enumerate().map(|(number, rate)| {
        let (name, key) = account(number);
        operator::account(&name, &key, *rate, rate * BURST_SECONDS)
    });
    testbed.add_accounts(accounts.collect()).await?;
    // The buckets of a new host are empty; they fill within the burst time.
    time::sleep(Duration::from_secs_f64(BURST_SECONDS)).await;
    let end = Instant::now() + LOAD;
    let load = tokio::spawn(stream::run(streams(&testbed, case), end, seed));
    if case.kills {
        time::sleep(LOAD / 3).await;
        testbed.kill("h3")?;
    }
    let records = load.await.map_err(io::Error::other)?;
    testbed.end()?;
    Ok(service(&records))
}

fn account(number: usize) -> (String, String) {
    (format!("account-{number}"), format!("key-{number}"))
}

/// Makes two streams for each account, one of writes and one of reads.
fn streams(testbed: &Testbed, case: Case) -> Vec<Stream> {
    let mut streams = Vec::new();
    for (number, rate) in RATES.into_iter().enumerate() {
        let factor = match (number, case.floods) {
            (0, true) => FLOOD,
            _ => WITHIN,
        };
        let (account, key) = account(number);
        for kind in [Kind::Append, Kind::Aged] {
            streams.push(Stream {
                account: account.clone(),
                key: key.clone(),
                hosts: testbed.frontend_addresses(),
                rate: rate * factor / 2.0,
                kind,
                timeout: TIMEOUT,
            });
        }
    }
    streams
}

/// Sums up what the accounts after the first one saw.
fn service(records: &[Record]) -> Service {
    let mut service = Service::default();
    let mut pooled = Vec::new();
    for number in 1..RATES.len() {
        let own = records.iter().filter(|record| record.stream / 2 == number);
        let mut latencies = Vec::new();
        for record in own {
            match &record.outcome {
                Outcome::Succeeded(_) => latencies.push(record.latency_ms()),
                Outcome::Rejected(code) => {
                    *service.refused.entry(code.clone()).or_default() += 1;
                }
                Outcome::Unreachable | Outcome::Unknown(_) => service.lost += 1,
            }
        }
        latencies.sort_by(f64::total_cmp);
        let p99 = quantile(&latencies, 0.99).unwrap_or(f64::INFINITY);
        service.p99 = service.p99.max(p99);
        pooled.extend(latencies);
    }
    pooled.sort_by(f64::total_cmp);
    service.pooled_p99 = quantile(&pooled, 0.99).unwrap_or(f64::INFINITY);
    service
}
