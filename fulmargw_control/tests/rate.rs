//! Rates over several hosts.

#[path = "fixture/bound.rs"]
mod bound;
mod fixture;

use bound::{Log, excess};
use fixture::{Node, World, account, admit, put, until};
use std::time::Duration;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

async fn configured(world: &World, rate: f64, burst: f64) -> Vec<Node> {
    let nodes = world.start_fleet(4).await;
    let patch = put(0, "p1", account("shop", rate, burst, &[]));
    nodes[0].patch(patch).await.expect("the patch is valid");
    sleep(Duration::from_secs(3)).await;
    nodes
}

/// Sends requests to a host at a steady pace until `end`.
fn load(tasks: &mut JoinSet<()>, node: &Node, per_second: f64, end: Instant, log: &Log) {
    let (node, log) = (node.clone(), log.clone());
    tasks.spawn(async move {
        let mut requests = JoinSet::new();
        while Instant::now() < end {
            let (node, log) = (node.clone(), log.clone());
            requests.spawn(async move { log.admit(&node, "shop").await });
            sleep(Duration::from_secs_f64(1.0 / per_second)).await;
        }
        requests.join_all().await;
    });
}

/// Guards against admissions above the rate when all hosts are overloaded.
#[tokio::test(start_paused = true)]
async fn overload_on_all_hosts_stays_within_the_bound() {
    let world = World::default();
    let nodes = configured(&world, 100.0, 20.0).await;
    let (log, mut tasks) = (Log::default(), JoinSet::new());

    let end = Instant::now() + Duration::from_secs(10);
    for node in &nodes {
        load(&mut tasks, node, 100.0, end, &log);
    }
    tasks.join_all().await;

    let times = log.times();
    assert!(excess(&times, 100.0, 20.0) <= 0.0);
    assert!(times.len() >= 950, "{} admissions", times.len());
}

/// Guards against a share of idle hosts that the busy one cannot use.
#[tokio::test(start_paused = true)]
async fn one_busy_host_reaches_the_rate() {
    for (rate, burst) in [(100.0, 100.0), (400.0, 40.0), (50.0, 3.0)] {
        let world = World::default();
        let nodes = configured(&world, rate, burst).await;
        let (log, mut tasks) = (Log::default(), JoinSet::new());

        let start = Instant::now();
        let end = start + Duration::from_secs(10);
        load(&mut tasks, &nodes[2], rate * 2.0, end, &log);
        tasks.join_all().await;

        let times = log.times();
        let reached = times.iter().filter(|time| **time < end).count();
        let reached = f64::from(u32::try_from(reached).expect("few admissions"));
        let wanted = rate * 10.0 * 0.95;
        assert!(reached >= wanted, "{reached} of {rate} x 10 s");
        assert!(excess(&times, rate, burst) <= 0.0);
    }
}

/// Guards against refusals of an account that stays within its rate.
#[tokio::test(start_paused = true)]
async fn requests_within_the_rate_are_not_refused() {
    let world = World::default();
    let nodes = configured(&world, 100.0, 50.0).await;
    let (log, mut tasks) = (Log::default(), JoinSet::new());

    let end = Instant::now() + Duration::from_secs(10);
    load(&mut tasks, &nodes[1], 95.0, end, &log);
    let mut sent = 0;
    while Instant::now() < end {
        sleep(Duration::from_secs_f64(1.0 / 95.0)).await;
        sent += 1;
    }
    tasks.join_all().await;

    let admitted = log.times().len();
    assert!(admitted + 2 >= sent, "{admitted} of {sent}");
}

/// Guards against an account whose burst is less than one token per host.
#[tokio::test(start_paused = true)]
async fn a_burst_below_one_per_host_still_admits() {
    let world = World::default();
    let nodes = configured(&world, 4.0, 1.0).await;
    let (log, mut tasks) = (Log::default(), JoinSet::new());

    let end = Instant::now() + Duration::from_secs(10);
    load(&mut tasks, &nodes[0], 2.0, end, &log);
    tasks.join_all().await;

    let times = log.times();
    assert!(times.len() >= 18, "{} admissions", times.len());
    assert!(excess(&times, 4.0, 1.0) <= 0.0);
}

/// Guards against tokens that are doubled by cuts, outages, deaths and restarts.
#[tokio::test(start_paused = true)]
async fn faults_do_not_raise_the_bound() {
    let world = World::default();
    let mut nodes = configured(&world, 200.0, 40.0).await;
    let (log, mut tasks) = (Log::default(), JoinSet::new());

    let end = Instant::now() + Duration::from_secs(30);
    for node in &nodes {
        load(&mut tasks, node, 200.0, end, &log);
    }
    sleep(Duration::from_secs(2)).await;
    world.cut("a", "b", true);
    sleep(Duration::from_secs(2)).await;
    world.set_store_down(true);
    sleep(Duration::from_secs(2)).await;
    world.set_store_down(false);
    world.cut("a", "b", false);
    world.isolate("c", true);
    sleep(Duration::from_secs(6)).await;
    world.isolate("c", false);
    sleep(Duration::from_secs(4)).await;
    world.kill(&nodes[3]);
    sleep(Duration::from_secs(1)).await;
    nodes[3] = world.start("d", 4);
    until("it has a share", || nodes[3].share_divisor() == Some(4)).await;
    load(&mut tasks, &nodes[3], 200.0, end, &log);
    tasks.join_all().await;

    let times = log.times();
    let worst = excess(&times, 200.0, 40.0);
    assert!(worst <= 0.0, "{worst} above the bound");
    assert!(times.len() > 4_000, "{} admissions", times.len());
}

/// Guards against a lowered rate that takes effect late or not at all.
#[tokio::test(start_paused = true)]
async fn a_patched_rate_takes_effect() {
    let world = World::default();
    let nodes = configured(&world, 200.0, 20.0).await;
    let (log, mut tasks) = (Log::default(), JoinSet::new());

    let end = Instant::now() + Duration::from_secs(8);
    for node in &nodes {
        load(&mut tasks, node, 100.0, end, &log);
    }
    sleep(Duration::from_secs(3)).await;
    let lower = put(1, "p2", account("shop", 40.0, 10.0, &[]));
    nodes[1].patch(lower).await.expect("the patch is valid");
    let changed = Instant::now();
    tasks.join_all().await;

    let late: Vec<_> = log
        .times()
        .into_iter()
        .filter(|time| *time > changed)
        .collect();
    assert!(excess(&late, 40.0, 20.0) <= 0.0);
    assert!(late.len() >= 190, "{}", late.len());
}

/// Guards against a refusal that tells nothing, or comes later than the bound.
#[tokio::test(start_paused = true)]
async fn a_refusal_comes_in_time() {
    let world = World::default();
    let nodes = configured(&world, 1.0, 1.0).await;
    let mut requests = JoinSet::new();

    let start = Instant::now();
    for _ in 0..20 {
        let node = nodes[0].clone();
        requests.spawn(async move { admit(&node, "shop").await });
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
