//! Measures the time until a configuration is in force on every host, while patches with the same
//! base version race.

use super::{
    operator,
    report::{Goal, Report, float},
    testbed::{Settings, Testbed},
};
use fulmargw_model::configuration::{Change, Patch, Version};
use rand::{SeedableRng as _, rngs::StdRng, seq::SliceRandom as _};
use reqwest::StatusCode;
use std::{io, time::Duration};
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

/// Number of races in each run.
const RACES: u64 = 6;
/// Number of patches in a race, each submitted to another host.
const PATCHES: usize = 3;
/// Timeout of one race.
const RACE_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay between two races.
const RACE_DELAY: Duration = Duration::from_millis(100);

/// Runs several races in each run, on one fleet for all.
pub async fn run(settings: &Settings, report: &mut Report) -> io::Result<()> {
    report.note(format!(
        "{PATCHES} patches with the same base race through different hosts, {RACES} races a run; \
         times count from when the patches are sent"
    ));
    let testbed = settings.fleet().await?;
    for seed in settings.seeds() {
        for number in 0..RACES {
            race(&testbed, seed, number, report).await?;
            time::sleep(RACE_DELAY).await;
        }
    }
    testbed.end()
}

async fn race(testbed: &Testbed, seed: u64, number: u64, report: &mut Report) -> io::Result<()> {
    let hosts = testbed.layout().hosts.len();
    let mut order: Vec<usize> = (0..hosts).collect();
    order.shuffle(&mut StdRng::seed_from_u64(seed << 16 | number));
    let base = testbed.operator.version(0).await?;
    let begin = Instant::now();
    let mut submissions = JoinSet::new();
    for host in order.into_iter().take(PATCHES) {
        let patch = patch(base, &format!("race-{seed}-{number}-{host}"), host);
        let operator = testbed.operator.clone();
        submissions.spawn(async move { operator.submit(host, &patch).await });
    }
    let worst = time_until_in_force(testbed, Version(base.0 + 1), begin).await?;
    report.add_with_goal(
        "time until in force on the last host",
        "s",
        Goal::AtMost(2.0),
        worst,
    );
    let mut statuses = Vec::new();
    while let Some(response) = submissions.join_next().await {
        statuses.push(response.map_err(io::Error::other)??.status);
    }
    let count = |wanted| float(statuses.iter().filter(|status| **status == wanted).count());
    let winners = count(StatusCode::OK);
    report.add_with_goal(
        "winners of a race, at least",
        "count",
        Goal::AtLeast(1.0),
        winners,
    );
    report.add_with_goal(
        "winners of a race, at most",
        "count",
        Goal::AtMost(1.0),
        winners,
    );
    report.add(
        "patches refused as stale",
        "count",
        count(StatusCode::CONFLICT),
    );
    let responded = begin.elapsed().as_secs_f64();
    report.add("time until all patches were answered", "s", responded);
    let after = testbed.operator.version(0).await?;
    let has_extra_version = float(usize::from(after != Version(base.0 + 1)));
    report.add_with_goal(
        "races that made more than one version",
        "count",
        Goal::AtMost(0.0),
        has_extra_version,
    );
    Ok(())
}

fn patch(base: Version, id: &str, host: usize) -> Patch {
    let rate = 10.0 + float(host);
    let account = operator::account("race", "race-key", rate, rate);
    Patch {
        base,
        id: id.to_owned(),
        changes: vec![Change::PutAccount(account)],
    }
}

/// Returns the time from `begin` until a version is in force on the last host, in seconds.
async fn time_until_in_force(
    testbed: &Testbed,
    version: Version,
    begin: Instant,
) -> io::Result<f64> {
    let mut hosts = JoinSet::new();
    for host in 0..testbed.layout().hosts.len() {
        let operator = testbed.operator.clone();
        hosts.spawn(async move {
            operator
                .await_version(host, version, begin + RACE_TIMEOUT)
                .await?;
            Ok::<_, io::Error>(begin.elapsed().as_secs_f64())
        });
    }
    let mut worst: f64 = 0.0;
    while let Some(time) = hosts.join_next().await {
        worst = worst.max(time.map_err(io::Error::other)??);
    }
    Ok(worst)
}
