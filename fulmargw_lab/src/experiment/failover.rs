//! Measures the time from the failure of a primary to the next acknowledged write.

use super::{
    report::{Goal, Report, float},
    stream::{self, Kind, Record, Stream},
    testbed::{Settings, Testbed, lab_account},
};
use crate::{
    history::{check, event::Event},
    platform::fault::Fault,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use std::{io, time::Duration};
use tokio::time::{self, Instant};

/// Interval between two writes, over all hosts.
const WRITE_INTERVAL: Duration = Duration::from_millis(5);
/// Shortest duration of the load before the failure.
const LOAD_BEFORE: Duration = Duration::from_millis(800);
/// Greatest random time that is added to [`LOAD_BEFORE`]: two probe intervals.
const MAX_JITTER_MS: u64 = 200;
/// Duration of the load after the failure. A gap of this length is reported if no write was
/// acknowledged, which means that there was no failover.
const LOAD_AFTER: Duration = Duration::from_millis(2500);
/// Timeout of one write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(6);

/// The way in which the primary fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    Kill,
    Partition,
}

/// One failure of a primary.
#[derive(Debug, Clone, Copy)]
struct Run {
    seed: u64,
    failure: Failure,
    store_down: bool,
}

/// Measures the gap once for each seed.
pub async fn run(settings: &Settings, report: &mut Report) -> io::Result<()> {
    let goal = Goal::AtMost(if settings.store_down { 2.0 } else { 1.0 });
    for seed in settings.seeds() {
        let failure = choose_failure(seed);
        let run = Run {
            seed,
            failure,
            store_down: settings.store_down,
        };
        let testbed = settings.fleet().await?;
        let gap = run.measure(testbed, report).await?;
        let name = match failure {
            Failure::Kill => "gap after a kill",
            Failure::Partition => "gap after a cut",
        };
        report.add_with_goal("gap", "s", goal, gap);
        report.add(name, "s", gap);
    }
    report.note(
        "baseline with a fixed probe timeout not run: the reports of the replicas cause a \
         promotion after 450 ms whatever the probe timeout is, and no setting changes that time"
            .to_owned(),
    );
    Ok(())
}

fn choose_failure(seed: u64) -> Failure {
    if seed.is_multiple_of(2) {
        Failure::Kill
    } else {
        Failure::Partition
    }
}

impl Run {
    async fn measure(self, mut testbed: Testbed, report: &mut Report) -> io::Result<f64> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let failure_delay =
            LOAD_BEFORE + Duration::from_millis(random.random_range(0..MAX_JITTER_MS));
        let epoch = Instant::now();
        let load = tokio::spawn(stream::run(
            write_streams(&testbed),
            epoch + failure_delay + LOAD_AFTER,
            self.seed,
        ));
        if self.store_down {
            let down = Fault {
                down: true,
                ..Fault::default()
            };
            testbed.set_platform_fault(&down).await?;
        }
        time::sleep_until(epoch + failure_delay).await;
        let (before, after) = self.inject_failure(&mut testbed).await?;
        let records = load.await.map_err(io::Error::other)?;
        self.check_history(&testbed, &records, epoch, report)
            .await?;
        let gap = measure_gap(&records, before, after);
        if gap.is_none() {
            let seed = self.seed;
            report.note(format!(
                "seed {seed}: no write was acknowledged after the failure"
            ));
            report.note(format!("logs are in {}", testbed.directory().display()));
        }
        let gap = gap.unwrap_or(LOAD_AFTER).as_secs_f64();
        add_phases(&testbed, gap, report).await?;
        testbed.end()?;
        Ok(gap)
    }

    /// Makes the primary fail. Returns the times before and after the failure.
    async fn inject_failure(self, testbed: &mut Testbed) -> io::Result<(Instant, Instant)> {
        let primary = testbed.primary().await?;
        let rules = testbed.partition_rules(&primary)?;
        let before = Instant::now();
        match self.failure {
            Failure::Kill => testbed.kill(&primary)?,
            Failure::Partition => testbed.set_link_rules(&rules).await?,
        }
        Ok((before, Instant::now()))
    }

    /// Checks the history of the writes and adds the number of violations.
    async fn check_history(
        self,
        testbed: &Testbed,
        records: &[Record],
        epoch: Instant,
        report: &mut Report,
    ) -> io::Result<()> {
        let data = testbed.read_all(testbed.frontend_addresses()[0]).await?;
        let events: Vec<Event> = records.iter().map(|record| record.event(epoch)).collect();
        let violations = check::check(&events, &data);
        for violation in violations.iter().take(3) {
            report.note(format!("seed {}: {violation}", self.seed));
        }
        report.add_with_goal(
            "violations in the history",
            "count",
            Goal::AtMost(0.0),
            float(violations.len()),
        );
        Ok(())
    }
}

fn write_streams(testbed: &Testbed) -> Vec<Stream> {
    let account = lab_account();
    vec![Stream {
        account: account.name,
        key: account.key,
        hosts: testbed.frontend_addresses(),
        rate: 1.0 / WRITE_INTERVAL.as_secs_f64(),
        kind: Kind::Append,
        timeout: WRITE_TIMEOUT,
    }]
}

/// Returns the time from `before` to the first acknowledgement of a write that began after `after`.
/// The time that the failure itself takes is therefore part of the gap.
fn measure_gap(records: &[Record], before: Instant, after: Instant) -> Option<Duration> {
    let later = records.iter().filter(|record| record.begin >= after);
    let ends = later
        .filter(|record| record.has_succeeded())
        .map(|it| it.end);
    ends.min().map(|end| end.saturating_duration_since(before))
}

/// Adds the phases of the failover, from the metrics of the host that promoted a replica, and the
/// rest of the gap.
async fn add_phases(testbed: &Testbed, gap: f64, report: &mut Report) -> io::Result<()> {
    let mut measured = 0.0;
    let mut promotions = 0.0;
    for step in ["detection", "fence", "promote"] {
        let label = format!("step=\"{step}\"");
        let mut longest: f64 = 0.0;
        for host in 0..testbed.layout().hosts.len() {
            let metrics = testbed.operator.metrics(host).await?;
            let count = |step: &str| {
                metrics.sum(
                    "fulmargw_failover_seconds_count",
                    &[&format!("step=\"{step}\"")],
                )
            };
            if count("promote") > 0.0 {
                let sum = metrics.sum("fulmargw_failover_seconds_sum", &[&label]);
                longest = longest.max(sum / count(step).max(1.0));
            }
            if step == "promote" {
                promotions += count(step);
            }
        }
        measured += longest;
        report.add(&format!("part: {step}"), "s", longest);
    }
    let rest = (gap - measured).max(0.0);
    report.add("part: rest, with the first write", "s", rest);
    report.add("promotions", "count", promotions);
    Ok(())
}
