//! Rate limits of an account that several hosts share, on an in-memory platform and network.

#[path = "fixture/admission.rs"]
mod admission;
mod fixture;

use admission::{Log, max_excess};
use fixture::{Cluster, TestAgent, account, admit, put, wait_until};
use std::time::Duration;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

async fn start_with_account(cluster: &Cluster, rate: f64, burst: f64) -> Vec<TestAgent> {
    let agents = cluster.start_fleet(4).await;
    let patch = put(0, "p1", account("shop", rate, burst, &[]));
    agents[0].patch(patch).await.expect("the patch is valid");
    sleep(Duration::from_secs(3)).await;
    agents
}

/// Sends requests to a host at a constant rate until `end`.
fn load(tasks: &mut JoinSet<()>, agent: &TestAgent, per_second: f64, end: Instant, log: &Log) {
    let (agent, log) = (agent.clone(), log.clone());
    tasks.spawn(async move {
        let mut requests = JoinSet::new();
        while Instant::now() < end {
            let (agent, log) = (agent.clone(), log.clone());
            requests.spawn(async move { log.admit(&agent, "shop").await });
            sleep(Duration::from_secs_f64(1.0 / per_second)).await;
        }
        requests.join_all().await;
    });
}

/// Guards against admissions above the rate when all hosts are overloaded.
#[tokio::test(start_paused = true)]
async fn overload_on_all_hosts_does_not_exceed_the_rate() {
    let cluster = Cluster::default();
    let agents = start_with_account(&cluster, 100.0, 20.0).await;
    let (log, mut tasks) = (Log::default(), JoinSet::new());

    let end = Instant::now() + Duration::from_secs(10);
    for agent in &agents {
        load(&mut tasks, agent, 100.0, end, &log);
    }
    tasks.join_all().await;

    let times = log.times();
    assert!(max_excess(&times, 100.0, 20.0) <= 0.0);
    assert!(times.len() >= 950, "{} admissions", times.len());
}

/// Guards against tokens of idle hosts that the only busy host cannot use.
#[tokio::test(start_paused = true)]
async fn one_busy_host_reaches_the_rate() {
    for (rate, burst) in [(100.0, 100.0), (400.0, 40.0), (50.0, 3.0)] {
        let cluster = Cluster::default();
        let agents = start_with_account(&cluster, rate, burst).await;
        let (log, mut tasks) = (Log::default(), JoinSet::new());

        let start = Instant::now();
        let end = start + Duration::from_secs(10);
        load(&mut tasks, &agents[2], rate * 2.0, end, &log);
        tasks.join_all().await;

        let times = log.times();
        let reached = times.iter().filter(|time| **time < end).count();
        let reached = f64::from(u32::try_from(reached).expect("few admissions"));
        let wanted = rate * 10.0 * 0.95;
        assert!(reached >= wanted, "{reached} of {rate} x 10 s");
        assert!(max_excess(&times, rate, burst) <= 0.0);
    }
}

/// Guards against refusals while the offered load of an account is within its rate.
#[tokio::test(start_paused = true)]
async fn requests_within_the_rate_are_not_refused() {
    let cluster = Cluster::default();
    let agents = start_with_account(&cluster, 100.0, 50.0).await;
    let (log, mut tasks) = (Log::default(), JoinSet::new());

    let end = Instant::now() + Duration::from_secs(10);
    load(&mut tasks, &agents[1], 95.0, end, &log);
    let mut sent = 0;
    while Instant::now() < end {
        sleep(Duration::from_secs_f64(1.0 / 95.0)).await;
        sent += 1;
    }
    tasks.join_all().await;

    let admitted = log.times().len();
    assert!(admitted + 2 >= sent, "{admitted} of {sent}");
}

/// Guards against an account that is never admitted because its burst is less than one token per
/// host.
#[tokio::test(start_paused = true)]
async fn requests_are_admitted_with_a_burst_below_one_token_per_host() {
    let cluster = Cluster::default();
    let agents = start_with_account(&cluster, 4.0, 1.0).await;
    let (log, mut tasks) = (Log::default(), JoinSet::new());

    let end = Instant::now() + Duration::from_secs(10);
    load(&mut tasks, &agents[0], 2.0, end, &log);
    tasks.join_all().await;

    let times = log.times();
    assert!(times.len() >= 18, "{} admissions", times.len());
    assert!(max_excess(&times, 4.0, 1.0) <= 0.0);
}

/// Guards against tokens that two hosts use at once because of network partitions, store outages,
/// crashes or restarts.
#[tokio::test(start_paused = true)]
async fn faults_do_not_raise_the_rate() {
    let cluster = Cluster::default();
    let mut agents = start_with_account(&cluster, 200.0, 40.0).await;
    let (log, mut tasks) = (Log::default(), JoinSet::new());

    let end = Instant::now() + Duration::from_secs(30);
    for agent in &agents {
        load(&mut tasks, agent, 200.0, end, &log);
    }
    sleep(Duration::from_secs(2)).await;
    cluster.set_partitioned("a", "b", true);
    sleep(Duration::from_secs(2)).await;
    cluster.set_store_down(true);
    sleep(Duration::from_secs(2)).await;
    cluster.set_store_down(false);
    cluster.set_partitioned("a", "b", false);
    cluster.set_isolated("c", true);
    sleep(Duration::from_secs(6)).await;
    cluster.set_isolated("c", false);
    sleep(Duration::from_secs(4)).await;
    cluster.crash(&agents[3]);
    sleep(Duration::from_secs(1)).await;
    agents[3] = cluster.start("d", 4);
    wait_until("it has a share", || agents[3].share_divisor() == Some(4)).await;
    load(&mut tasks, &agents[3], 200.0, end, &log);
    tasks.join_all().await;

    let times = log.times();
    let worst = max_excess(&times, 200.0, 40.0);
    assert!(worst <= 0.0, "{worst} above the rate limit");
    assert!(times.len() > 4_000, "{} admissions", times.len());
}

/// Guards against a lowered rate that takes effect late or not at all.
#[tokio::test(start_paused = true)]
async fn a_patched_rate_takes_effect() {
    let cluster = Cluster::default();
    let agents = start_with_account(&cluster, 200.0, 20.0).await;
    let (log, mut tasks) = (Log::default(), JoinSet::new());

    let end = Instant::now() + Duration::from_secs(8);
    for agent in &agents {
        load(&mut tasks, agent, 100.0, end, &log);
    }
    sleep(Duration::from_secs(3)).await;
    let lower = put(1, "p2", account("shop", 40.0, 10.0, &[]));
    agents[1].patch(lower).await.expect("the patch is valid");
    let changed = Instant::now();
    tasks.join_all().await;

    let late: Vec<_> = log
        .times()
        .into_iter()
        .filter(|time| *time > changed)
        .collect();
    assert!(max_excess(&late, 40.0, 20.0) <= 0.0);
    assert!(late.len() >= 190, "{}", late.len());
}

/// Guards against refusals that come later than the longest wait for a token.
#[tokio::test(start_paused = true)]
async fn a_refusal_comes_in_time() {
    let cluster = Cluster::default();
    let agents = start_with_account(&cluster, 1.0, 1.0).await;
    let mut requests = JoinSet::new();

    let start = Instant::now();
    for _ in 0..20 {
        let agent = agents[0].clone();
        requests.spawn(async move { admit(&agent, "shop").await });
    }
    let admitted = requests
        .join_all()
        .await
        .into_iter()
        .filter(|ok| *ok)
        .count();

    assert!(start.elapsed() <= Duration::from_millis(1_050));
    assert!((1..=2).contains(&admitted), "{admitted}");
}
