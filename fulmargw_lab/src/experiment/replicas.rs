//! Measures the share of reads that replicas serve while they lag.

use super::{
    report::{Goal, Report, float, quantile},
    testbed::{Settings, Testbed, lab_account},
};
use crate::{
    database::fault::Change,
    history::{
        check,
        event::{Event, Operation, Outcome},
    },
    load::plan::{self, Account, Mix, Plan},
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use std::{io, time::Duration};
use tokio::time::{self, Instant};

/// Greatest delay with which a replica applies log entries, in milliseconds.
const MAX_APPLY_DELAY_MS: u64 = 500;
/// Interval between two changes of the delays.
const DELAY_CHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Delay in milliseconds with which no replica can serve a read.
const BASELINE_APPLY_DELAY_MS: u64 = 60_000;
/// Duration of one load.
const LOAD_DURATION: Duration = Duration::from_millis(2500);
/// Number of sessions of one load.
const SESSIONS: usize = 16;
/// Operations per second of one load.
const RATE: f64 = 800.0;
/// Number of operations for each write; the others are reads.
const OPERATIONS_PER_WRITE: u32 = 10;

/// Kind of a load, displayed as the first part of the names of its figures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
enum Case {
    /// aged reads, other sessions write
    Aged,
    /// aged reads, the same sessions write
    AgedWriting,
    /// current reads, other sessions write
    Current,
    /// current reads, the same sessions write
    CurrentWriting,
}

impl Case {
    const ALL: [Self; 4] = [
        Self::Aged,
        Self::AgedWriting,
        Self::Current,
        Self::CurrentWriting,
    ];

    /// Returns the weights of writes, current reads and aged reads.
    const fn weights(self) -> (u32, u32, u32) {
        let reads = OPERATIONS_PER_WRITE - 1;
        match self {
            Self::Aged => (0, 0, reads),
            Self::AgedWriting => (1, 0, reads),
            Self::Current => (0, reads, 0),
            Self::CurrentWriting => (1, reads, 0),
        }
    }
}

/// Measures each kind of load in each run with lagging replicas, and then two baselines in which no
/// replica can serve reads.
pub async fn run(settings: &Settings, report: &mut Report) -> io::Result<()> {
    report.note(format!(
        "{SESSIONS} sessions, {RATE} operations/s, one of {OPERATIONS_PER_WRITE} a write; apply \
         delay of each replica random from 0 to {MAX_APPLY_DELAY_MS} ms, changed every \
         {DELAY_CHANGE_INTERVAL:?}; baseline: replicas lag too far to serve reads"
    ));
    for seed in settings.seeds() {
        for case in Case::ALL {
            let testbed = settings.fleet().await?;
            let label = case.to_string();
            let delays = vary_apply_delays(&testbed, seed);
            let counts = tokio::select! {
                counts = load(&testbed, case, seed, &label, report) => counts?,
                result = delays => return result,
            };
            let name = format!("{label}: share served by replicas");
            report.add_with_goal(
                &name,
                "fraction",
                Goal::AtLeast(0.95),
                counts.replica_share(),
            );
            testbed.end()?;
        }
    }
    let seed = settings.seed;
    for case in [Case::AgedWriting, Case::CurrentWriting] {
        let testbed = settings.fleet().await?;
        set_apply_delays(&testbed, || BASELINE_APPLY_DELAY_MS).await?;
        let label = format!("baseline, {case}");
        let counts = load(&testbed, case, seed, &label, report).await?;
        let name = format!("{label}: share served by replicas");
        report.add(&name, "fraction", counts.replica_share());
        testbed.end()?;
    }
    Ok(())
}

/// Number of reads by the role of the server that ran them.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    primary: f64,
    replica: f64,
}

impl Counts {
    async fn of(testbed: &Testbed) -> io::Result<Self> {
        let mut counts = Self::default();
        for host in 0..testbed.layout().hosts.len() {
            let metrics = testbed.operator.metrics(host).await?;
            let sum = |by| metrics.sum("fulmargw_reads_total", &[by, "accepts_replica=\"true\""]);
            counts.primary += sum("by=\"primary\"");
            counts.replica += sum("by=\"replica\"");
        }
        Ok(counts)
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            primary: self.primary - earlier.primary,
            replica: self.replica - earlier.replica,
        }
    }

    fn replica_share(&self) -> f64 {
        self.replica / (self.primary + self.replica)
    }
}

/// Changes the apply delays of the replicas at intervals, until the future is dropped.
async fn vary_apply_delays(testbed: &Testbed, seed: u64) -> io::Result<()> {
    let mut random = StdRng::seed_from_u64(seed);
    loop {
        set_apply_delays(testbed, || random.random_range(0..=MAX_APPLY_DELAY_MS)).await?;
        time::sleep(DELAY_CHANGE_INTERVAL).await;
    }
}

/// Sets the apply delays of all servers but the first, which is the primary.
async fn set_apply_delays(testbed: &Testbed, mut choose: impl FnMut() -> u64) -> io::Result<()> {
    for server in testbed.layout().servers.iter().skip(1) {
        let change = Change {
            apply_delay_ms: Some(choose()),
            ..Change::default()
        };
        testbed.set_server_fault(&server.name, &change).await?;
    }
    Ok(())
}

/// Runs a load, adds its figures and returns the numbers of its reads.
async fn load(
    testbed: &Testbed,
    case: Case,
    seed: u64,
    label: &str,
    report: &mut Report,
) -> io::Result<Counts> {
    let (write, current, aged) = case.weights();
    let mix = Mix {
        write,
        transaction: 0,
        current,
        aged,
        ..Mix::default()
    };
    let mut accounts = vec![Account {
        sessions: SESSIONS,
        rate: RATE,
        ..lab_account()
    }];
    let before = Counts::of(testbed).await?;
    let epoch = Instant::now();
    let events = if write > 0 {
        plan::run(plan(testbed, mix, accounts, seed), epoch).await
    } else {
        let readers = plan::run(plan(testbed, mix, accounts.clone(), seed), epoch);
        accounts[0].rate /= f64::from(OPERATIONS_PER_WRITE);
        let write_mix = Mix {
            write: 1,
            current: 0,
            aged: 0,
            transaction: 0,
            ..Mix::default()
        };
        let writers = plan::run(plan(testbed, write_mix, accounts, seed), epoch);
        let (readers, writers) = tokio::join!(readers, writers);
        merge(readers, writers)
    };
    let counts = Counts::of(testbed).await?.since(&before);
    add_read_figures(label, &events, report);
    check_history(testbed, label, &events, report).await?;
    Ok(counts)
}

/// Merges two histories and renumbers the sessions of the second one.
fn merge(mut first: Vec<Event>, second: Vec<Event>) -> Vec<Event> {
    first.extend(second.into_iter().map(|event| Event {
        session: event.session + SESSIONS,
        ..event
    }));
    first.sort_by_key(|event| event.end_us);
    first
}

fn plan(testbed: &Testbed, mix: Mix, accounts: Vec<Account>, seed: u64) -> Plan {
    Plan {
        hosts: testbed.frontend_addresses(),
        accounts,
        keys: 64,
        mix,
        host_change_probability: 0.02,
        request_ids: false,
        timeout: Duration::from_secs(5),
        duration: LOAD_DURATION,
        max_operations: 100_000,
        seed,
    }
}

fn add_read_figures(label: &str, events: &[Event], report: &mut Report) {
    let is_read = |event: &&Event| !matches!(event.operation, Operation::Append(_));
    let is_success = |event: &&Event| matches!(event.outcome, Outcome::Values(_));
    let reads: Vec<&Event> = events.iter().filter(is_read).collect();
    let mut latencies: Vec<f64> = Vec::new();
    for event in reads.iter().copied().filter(is_success) {
        let micros = u32::try_from(event.end_us - event.begin_us).unwrap_or(u32::MAX);
        latencies.push(f64::from(micros) / 1e3);
    }
    latencies.sort_by(f64::total_cmp);
    for (rank, name) in [(0.5, "median"), (0.99, "p99")] {
        let value = quantile(&latencies, rank).unwrap_or(f64::NAN);
        report.add(&format!("{label}: {name} read latency"), "ms", value);
    }
    let failed = reads.len() - latencies.len();
    report.add(
        &format!("{label}: reads not answered"),
        "count",
        float(failed),
    );
}

/// Checks a history and adds the number of violations.
async fn check_history(
    testbed: &Testbed,
    label: &str,
    events: &[Event],
    report: &mut Report,
) -> io::Result<()> {
    let data = testbed.read_all(testbed.frontend_addresses()[0]).await?;
    let violations = check::check(events, &data);
    for violation in violations.iter().take(3) {
        report.note(format!("{label}: {violation}"));
    }
    let name = "stale or wrong answers in the history";
    report.add_with_goal(name, "count", Goal::AtMost(0.0), float(violations.len()));
    Ok(())
}
