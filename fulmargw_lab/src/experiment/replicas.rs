//! Share of the reads that replicas serve while they lag.

use {
    super::{
        bench::{Bench, Settings, lab},
        report::{Goal, Report, float, quantile},
    },
    crate::{
        database::fault::Change,
        history::{
            check,
            event::{Event, Operation, Outcome},
        },
        load::plan::{self, Account, Mix, Plan},
    },
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    std::{io, time::Duration},
    tokio::time::{self, Instant},
};

/// Greatest delay with which a replica applies the log, in milliseconds.
const GREATEST_LAG_MS: u64 = 500;
/// Time between two changes of the delays.
const LAG_CHANGE: Duration = Duration::from_millis(250);
/// Delay that keeps every read away from the replicas, in milliseconds.
const BASELINE_LAG_MS: u64 = 60_000;
/// Time of one load.
const LOAD: Duration = Duration::from_millis(2500);
/// Sessions of one load.
const SESSIONS: usize = 16;
/// Operations per second of one load.
const RATE: f64 = 800.0;
/// One of this many operations is a write, the others are reads.
const WRITE_ONE_OF: u32 = 10;

/// A kind of read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
enum Read {
    /// aged
    Aged,
    /// current
    Current,
}

/// Measures both kinds of read in each run, with lagging replicas and without replicas.
pub async fn run(settings: &Settings, report: &mut Report) -> io::Result<()> {
    report.note(format!(
        "{SESSIONS} sessions, {RATE} operations/s, one of {WRITE_ONE_OF} a write; apply delay \
         of each replica random from 0 to {GREATEST_LAG_MS} ms, changed every {LAG_CHANGE:?}; \
         baseline: replicas too late for any read"
    ));
    for seed in settings.seeds() {
        let bench = settings.fleet().await?;
        let mut all = Counts::default();
        for read in [Read::Aged, Read::Current] {
            let lag = lag(&bench, seed);
            let load = load(&bench, read, seed, read.to_string(), report);
            let counts = tokio::select! {
                counts = load => counts?,
                failed = lag => return failed,
            };
            all.add(&counts);
            let name = format!("{read} reads: share served by replicas");
            report.judge(&name, "fraction", Goal::AtLeast(0.95), counts.share());
        }
        let name = "all reads: share served by replicas";
        report.judge(name, "fraction", Goal::AtLeast(0.95), all.share());
        set_lag(&bench, || BASELINE_LAG_MS).await?;
        for read in [Read::Aged, Read::Current] {
            let label = format!("baseline {read}");
            let counts = load(&bench, read, seed + 1000, label, report).await?;
            let name = format!("baseline {read} reads: share served by replicas");
            report.add(&name, "fraction", counts.share());
        }
        bench.end()?;
    }
    Ok(())
}

/// Reads by the role of the server that answered.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    primary: f64,
    replica: f64,
}

impl Counts {
    async fn of(bench: &Bench) -> io::Result<Self> {
        let mut counts = Self::default();
        for host in 0..bench.layout().hosts.len() {
            let metrics = bench.operator.metrics(host).await?;
            let sum = |by| metrics.sum("fulmargw_reads_total", &[by, "accepts_replica=\"true\""]);
            counts.primary += sum("by=\"primary\"");
            counts.replica += sum("by=\"replica\"");
        }
        Ok(counts)
    }

    fn add(&mut self, other: &Self) {
        self.primary += other.primary;
        self.replica += other.replica;
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            primary: self.primary - earlier.primary,
            replica: self.replica - earlier.replica,
        }
    }

    fn share(&self) -> f64 {
        self.replica / (self.primary + self.replica)
    }
}

/// Changes the lag of the replicas until it is cancelled.
async fn lag(bench: &Bench, seed: u64) -> io::Result<()> {
    let mut random = StdRng::seed_from_u64(seed);
    loop {
        set_lag(bench, || random.random_range(0..=GREATEST_LAG_MS)).await?;
        time::sleep(LAG_CHANGE).await;
    }
}

/// Sets the delays of the servers after the first, which is the primary.
async fn set_lag(bench: &Bench, mut choose: impl FnMut() -> u64) -> io::Result<()> {
    for server in bench.layout().servers.iter().skip(1) {
        let change = Change {
            apply_delay_ms: Some(choose()),
            ..Change::default()
        };
        bench.set_server_fault(&server.name, &change).await?;
    }
    Ok(())
}

async fn load(
    bench: &Bench,
    read: Read,
    seed: u64,
    label: String,
    report: &mut Report,
) -> io::Result<Counts> {
    let before = Counts::of(bench).await?;
    let (aged, current) = match read {
        Read::Aged => (WRITE_ONE_OF - 1, 0),
        Read::Current => (0, WRITE_ONE_OF - 1),
    };
    let plan = Plan {
        hosts: bench.frontends(),
        accounts: vec![Account {
            sessions: SESSIONS,
            rate: RATE,
            ..lab()
        }],
        keys: 64,
        mix: Mix {
            write: 1,
            transaction: 0,
            current,
            aged,
            ..Mix::default()
        },
        roam: 0.02,
        request_ids: false,
        timeout: Duration::from_secs(5),
        duration: LOAD,
        max_operations: 100_000,
        // Values of different loads on one fleet must differ.
        seed,
    };
    let known = bench.read(bench.frontends()[0]).await?;
    let events = plan::run(plan, Instant::now()).await;
    let counts = Counts::of(bench).await?.since(&before);
    note(&label, &events, report);
    check(bench, &known, &label, &events, report).await?;
    Ok(counts)
}

fn note(label: &str, events: &[Event], report: &mut Report) {
    let is_read = |event: &&Event| !matches!(event.operation, Operation::Append(_));
    let answered = |event: &&Event| matches!(event.outcome, Outcome::Values(_));
    let reads: Vec<&Event> = events.iter().filter(is_read).collect();
    let mut latencies: Vec<f64> = Vec::new();
    for event in reads.iter().copied().filter(answered) {
        let micros = u32::try_from(event.end_us - event.begin_us).unwrap_or(u32::MAX);
        latencies.push(f64::from(micros) / 1e3);
    }
    latencies.sort_by(f64::total_cmp);
    for (rank, name) in [(0.5, "median"), (0.99, "p99")] {
        let value = quantile(&latencies, rank).unwrap_or(f64::NAN);
        report.add(&format!("{label} reads: {name} latency"), "ms", value);
    }
    let failed = reads.len() - latencies.len();
    report.add(
        &format!("{label} reads: not answered"),
        "count",
        float(failed),
    );
}

/// Counts what the history checker finds. Values of earlier loads on the fleet are left out.
async fn check(
    bench: &Bench,
    known: &check::Data,
    label: &str,
    events: &[Event],
    report: &mut Report,
) -> io::Result<()> {
    let strip = |key: &str, values: &mut Vec<String>| {
        if let Some(old) = known.get(key) {
            values.retain(|value| !old.contains(value));
        }
    };
    let mut data = bench.read(bench.frontends()[0]).await?;
    for (key, values) in &mut data {
        strip(key, values);
    }
    let mut events = events.to_vec();
    for event in &mut events {
        if let (Operation::Aged(key) | Operation::Current(key), Outcome::Values(values)) =
            (&event.operation, &mut event.outcome)
        {
            strip(key, values);
        }
    }
    let violations = check::check(&events, &data);
    for violation in violations.iter().take(3) {
        report.note(format!("{label}: {violation}"));
    }
    let name = "stale or wrong answers in the history";
    report.judge(name, "count", Goal::AtMost(0.0), float(violations.len()));
    Ok(())
}
