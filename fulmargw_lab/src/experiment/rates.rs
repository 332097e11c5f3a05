//! Measures which share of its rate a client account reaches, and whether it can exceed its rate.

use super::{
    operator,
    report::{Goal, Report, float},
    stream::{self, Kind, Record, Stream},
    testbed::{Settings, Testbed},
    window::{self, Span},
};
use std::{io, net::SocketAddr, time::Duration};
use tokio::time::{self, Instant};

/// Rates of the client accounts, in requests per second. As in the deployments that are
/// in use today, a few are large.
const RATES: [f64; 5] = [10.0, 40.0, 100.0, 250.0, 600.0];
/// Offered load as a multiple of the rate.
const OFFERED_FACTOR: f64 = 1.5;
/// Burst, in seconds of the rate, unless the case says otherwise.
const BURST_SECONDS: f64 = 0.5;
/// Burst of the case with a large burst, in seconds of the rate.
const LARGE_BURST_SECONDS: f64 = 2.0;
/// Duration of the load before the measured time, in which the initial burst is used up.
const WARM_UP_DURATION: Duration = Duration::from_secs(1);
/// Duration of the measurement.
const MEASURED_DURATION: Duration = Duration::from_secs(4);
/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Conditions of a load, displayed as the first part of the names of its figures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
enum Case {
    /// callers on one host
    OneHost,
    /// callers on one host, burst 2 s
    LargeBurst,
    /// callers on all hosts
    AllHosts,
    /// callers on all hosts, one killed
    HostKilled,
}

impl Case {
    const ALL: [Self; 4] = [
        Self::OneHost,
        Self::LargeBurst,
        Self::AllHosts,
        Self::HostKilled,
    ];

    const fn is_on_one_host(self) -> bool {
        matches!(self, Self::OneHost | Self::LargeBurst)
    }

    fn burst(self, rate: f64) -> f64 {
        let seconds = match self {
            Self::LargeBurst => LARGE_BURST_SECONDS,
            _ => BURST_SECONDS,
        };
        rate * seconds
    }
}

/// Measures each case in each run, each on a new fleet.
pub async fn run(settings: &Settings, report: &mut Report) -> io::Result<()> {
    report.note(format!(
        "aged reads of {} accounts at once with rates of {RATES:?} requests/s, each offering \
         {OFFERED_FACTOR} times its rate, burst {BURST_SECONDS} s of the rate unless stated",
        RATES.len()
    ));
    for seed in settings.seeds() {
        for case in Case::ALL {
            let mut testbed = settings.fleet().await?;
            measure(&mut testbed, case, seed, report).await?;
            testbed.end()?;
        }
    }
    Ok(())
}

fn account(rate: f64) -> (String, String) {
    (format!("rate-{rate}"), format!("key-{rate}"))
}

async fn measure(
    testbed: &mut Testbed,
    case: Case,
    seed: u64,
    report: &mut Report,
) -> io::Result<()> {
    let accounts = RATES.map(|rate| {
        let (name, key) = account(rate);
        operator::account(&name, &key, rate, case.burst(rate))
    });
    testbed.add_accounts(accounts.to_vec()).await?;
    let mut hosts = testbed.frontend_addresses();
    if case.is_on_one_host() {
        hosts.truncate(1);
    }
    let streams = RATES.iter().map(|rate| stream_of(*rate, &hosts)).collect();
    let start = Instant::now() + WARM_UP_DURATION;
    let end = start + MEASURED_DURATION;
    let load = tokio::spawn(stream::run(streams, end, seed));
    if case == Case::HostKilled {
        time::sleep_until(start + MEASURED_DURATION / 4).await;
        testbed.kill("h3")?;
    }
    let records = load.await.map_err(io::Error::other)?;
    for (number, rate) in RATES.into_iter().enumerate() {
        let account_records = records.iter().filter(|record| record.stream == number);
        let account_records: Vec<&Record> = account_records.collect();
        add_figures(case, rate, &account_records, start, end, report);
    }
    Ok(())
}

fn stream_of(rate: f64, hosts: &[SocketAddr]) -> Stream {
    let (account, key) = account(rate);
    Stream {
        account,
        key,
        hosts: hosts.to_vec(),
        rate: rate * OFFERED_FACTOR,
        kind: Kind::Aged,
        timeout: REQUEST_TIMEOUT,
    }
}

fn add_figures(
    case: Case,
    rate: f64,
    records: &[&Record],
    start: Instant,
    end: Instant,
    report: &mut Report,
) {
    let successes = records.iter().filter(|record| record.has_succeeded());
    let spans: Vec<Span> = successes
        .map(|record| Span {
            begin: record.begin,
            end: record.end,
        })
        .collect();
    let reached = spans
        .iter()
        .filter(|span| span.end >= start && span.end < end);
    let reached = float(reached.count()) / (rate * MEASURED_DURATION.as_secs_f64());
    let name = format!("{case}: share of {rate}/s reached");
    if case.is_on_one_host() {
        report.add_with_goal(&name, "fraction", Goal::AtLeast(0.95), reached);
    } else {
        report.add(&name, "fraction", reached);
    }
    if reached < 0.95 {
        let rejected = stream::count_rejected(records.iter().copied());
        report.note(format!(
            "{case}, rate {rate}/s, rejections by SQLSTATE: {rejected:?}"
        ));
    }
    let peak = window::peak_ratio(&spans, rate, case.burst(rate));
    let name = format!("{case}: greatest admitted in any window over rate x window + burst");
    report.add_with_goal(&name, "fraction", Goal::AtMost(1.0), peak);
    let other_failures = stream::count_other_failures(records.iter().copied());
    if !other_failures.is_empty() {
        report.note(format!(
            "{case}, rate {rate}/s, other failures: {other_failures:?}"
        ));
    }
    let name = format!("{case}: requests without an answer or a refusal");
    report.add(&name, "count", float(other_failures.values().sum()));
}
