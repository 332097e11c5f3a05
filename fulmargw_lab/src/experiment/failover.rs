//! Time from the failure of a primary to the next acknowledged write.

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

/// Time between two writes, over all hosts.
const PERIOD: Duration = Duration::from_millis(5);
/// Load before the failure.
const BEFORE: Duration = Duration::from_millis(800);
/// Greatest random time that is added to [`BEFORE`], two probe intervals.
const JITTER_MS: u64 = 200;
/// Load after the failure; a gap as long as this counts as no failover.
const AFTER: Duration = Duration::from_millis(2500);
/// Longest wait for one write.
const TIMEOUT: Duration = Duration::from_secs(6);

/// How the primary fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    Kill,
    Cut,
}

/// One failure of a primary.
#[derive(Debug, Clone, Copy)]
struct Run {
    seed: u64,
    failure: Failure,
    store_down: bool,
}

/// Measures the gap for each seed.
pub async fn run(settings: &Settings, report: &mut Report) -> io::Result<()> {
    let goal = Goal::AtMost(if settings.store_down { 2.0 } else { 1.0 });
    for seed in settings.seeds() {
        let failure = choose(seed);
        let run = Run {
            seed,
            failure,
            store_down: settings.store_down,
        };
        let testbed = settings.fleet().await?;
        let gap = run.measure(testbed, report).await?;
        let name = match failure {
            Failure::Kill => "gap after a kill",
            Failure::Cut => "gap after a cut",
        };
        report.add_with_goal("gap", "s", goal, gap);
        report.add(name, "s", gap);
    }
    report.note(
        "baseline with a fixed timeout not run: the replicas' reports lead to a promotion \
         after 450 ms whatever the probe timeout is, and no setting changes that time"
            .to_owned(),
    );
    Ok(())
}

fn choose(seed: u64) -> Failure {
    if seed.is_multiple_of(2) {
        Failure::Kill
    } else {
        Failure::Cut
    }
}

impl Run {
    async fn measure(self, mut testbed: Testbed, report: &mut Report) -> io::Result<f64> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let pause = BEFORE + Duration::from_millis(random.random_range(0..JITTER_MS));
        let epoch = Instant::now();
        let load = tokio::spawn(stream::run(
            writers(&testbed),
            epoch + pause + AFTER,
            self.seed,
        ));
        if self.store_down {
            let down = Fault {
                down: true,
                ..Fault::default()
            };
            testbed.set_platform_fault(&down).await?;
        }
        time::sleep_until(epoch + pause).await;
        let (before, after) = self.fail(&mut testbed).await?;
        let records = load.await.map_err(io::Error::other)?;
        self.check(&testbed, &records, epoch, report).await?;
        let gap = gap(&records, before, after);
        if gap.is_none() {
            let seed = self.seed;
            report.note(format!(
                "seed {seed}: no write was acknowledged after the failure"
            ));
            report.note(format!("logs are in {}", testbed.directory().display()));
        }
        let gap = gap.unwrap_or(AFTER).as_secs_f64();
        parts(&testbed, gap, report).await?;
        testbed.end()?;
        Ok(gap)
    }

    /// Makes the primary fail; returns the times before and after.
    async fn fail(self, testbed: &mut Testbed) -> io::Result<(Instant, Instant)> {
        let primary = testbed.primary().await?;
        let rules = testbed.partition_rules(&primary)?;
        let before = Instant::now();
        match self.failure {
            Failure::Kill => testbed.kill(&primary)?,
            Failure::Cut => testbed.set_link_rules(&rules).await?,
        }
        Ok((before, Instant::now()))
    }

    /// Counts what the history checker finds.
    async fn check(
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

fn writers(testbed: &Testbed) -> Vec<Stream> {
    let account = lab_account();
    vec![Stream {
        account: account.name,
        key: account.key,
        hosts: testbed.frontend_addresses(),
        rate: 1.0 / PERIOD.as_secs_f64(),
        kind: Kind::Append,
        timeout: TIMEOUT,
    }]
}

/// Returns the time from the failure to the first acknowledgement of a write that began after
/// it. The beginning of the failure counts for the gap and its end for the writes, so that the
/// time that the failure itself takes makes the gap longer.
fn gap(records: &[Record], before: Instant, after: Instant) -> Option<Duration> {
    let later = records.iter().filter(|record| record.begin >= after);
    let ends = later
        .filter(|record| record.has_succeeded())
        .map(|it| it.end);
    ends.min().map(|end| end.saturating_duration_since(before))
}

/// Adds the parts of the gap from the metrics of the host that promoted.
async fn parts(testbed: &Testbed, gap: f64, report: &mut Report) -> io::Result<()> {
    let mut known = 0.0;
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
        known += longest;
        report.add(&format!("part: {step}"), "s", longest);
    }
    let rest = (gap - known).max(0.0);
    report.add("part: rest, with the first write", "s", rest);
    report.add("promotions", "count", promotions);
    Ok(())
}
