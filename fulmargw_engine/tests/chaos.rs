//! Random faults under load from two hosts; the final log must match the outcomes.

mod common;

use common::{Body, Fixture, SERVERS, cluster::Cluster, fixture_on};
use fulmargw_engine::submit::Submit;
use fulmargw_model::{outcome::Outcome, position::Position, request::Class};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Default number of seeds, each of which takes about 3 s; `CHAOS_SEEDS` sets another number.
const SEEDS: u64 = 4;
/// Callers of both hosts together.
const CALLERS: u64 = 4;
/// Faults for each seed.
const FAULTS: usize = 4;

/// Outcomes that the callers have received so far.
#[derive(Debug, Default)]
struct History {
    next_value: Cell<u64>,
    /// How often each value may be in the log at the end.
    allowed_counts: RefCell<BTreeMap<u64, &'static [usize]>>,
    /// Values that were acknowledged, which current reads must include.
    acknowledged: RefCell<BTreeSet<u64>>,
    stopped: Cell<bool>,
    answered: Cell<u32>,
}

fn seeds() -> u64 {
    let set = std::env::var("CHAOS_SEEDS").ok();
    set.and_then(|set| set.parse().ok()).unwrap_or(SEEDS)
}

/// Runs one caller, which alternates writes, reads of its own writes, and current reads.
async fn run_caller(fixture: &Fixture, history: &History) {
    let caller = fixture.engine.open_caller();
    let mut session = Position::default();
    let mut own = BTreeSet::new();
    while !history.stopped.get() {
        let value = history.next_value.replace(history.next_value.get() + 1);
        let outcome = submit(fixture, caller, Class::Write, Body::Put(value), session).await;
        let allowed: &[usize] = match outcome {
            Outcome::Answered(answer) => {
                session = answer.position;
                history.answered.set(history.answered.get() + 1);
                &[1]
            }
            Outcome::AlreadyRan(position) => {
                session = position;
                &[1]
            }
            Outcome::Refused(_) => &[0],
            Outcome::Unknown(_) => &[0, 1],
        };
        history.allowed_counts.borrow_mut().insert(value, allowed);
        if allowed == [1] {
            own.insert(value);
            history.acknowledged.borrow_mut().insert(value);
        }
        let aged = Class::Aged(Duration::from_secs(1));
        read(fixture, caller, aged, session, &own).await;
        let acknowledged = history.acknowledged.borrow().clone();
        read(
            fixture,
            caller,
            Class::Current,
            Position::default(),
            &acknowledged,
        )
        .await;
        sleep(Duration::from_millis(10)).await;
    }
}

async fn submit(
    fixture: &Fixture,
    caller: u64,
    class: Class,
    body: Body,
    required: Position,
) -> Outcome<Vec<u64>> {
    let mut request = fixture.request(class, body);
    request.caller = caller;
    request.required = required;
    fixture.engine.submit(request).await
}

async fn read(
    fixture: &Fixture,
    caller: u64,
    class: Class,
    required: Position,
    expected: &BTreeSet<u64>,
) {
    let outcome = submit(fixture, caller, class, Body::Get, required).await;
    if let Outcome::Answered(answer) = outcome {
        let seen: BTreeSet<_> = answer.body.into_iter().collect();
        let missing: Vec<_> = expected.difference(&seen).collect();
        assert!(missing.is_empty(), "a {class:?} read lacks {missing:?}");
    }
}

/// Injects random faults one after another, and heals each after some time.
async fn inject_faults(cluster: &Cluster, random: &mut StdRng, history: &History) {
    for _ in 0..FAULTS {
        sleep(Duration::from_millis(random.random_range(20..800))).await;
        let server = SERVERS[random.random_range(0..SERVERS.len())];
        let primary = cluster.primary();
        let target = if random.random() {
            server
        } else {
            primary.as_str()
        };
        match random.random_range(0..7) {
            0 => cluster.kill(target),
            1 => cluster.partition(target),
            2 => cluster.change(target, |node| node.reachable_by_nodes = false),
            3 => cluster.change(target, |node| node.reachable_by_hosts = false),
            4 => cluster.change(target, |node| node.lag = Duration::from_millis(400)),
            5 => cluster.lock().responses_to_drop = 3,
            _ => {
                let mut state = cluster.lock();
                let opened = state.next_connection;
                state.unresponsive_connections.extend(0..opened);
            }
        }
        sleep(Duration::from_millis(random.random_range(20..1_500))).await;
        cluster.heal();
    }
    sleep(Duration::from_secs(2)).await;
    history.stopped.set(true);
}

/// Guards against acknowledged writes that are lost, committed twice or missing in a read, and
/// refused writes that commit, under random faults.
#[tokio::test(start_paused = true)]
async fn outcomes_match_the_log_under_random_faults() {
    for seed in 0..seeds() {
        let mut random = StdRng::seed_from_u64(seed);
        let cluster = Cluster::new(&SERVERS);
        let hosts = [
            fixture_on(cluster.clone(), 0).await,
            fixture_on(cluster.clone(), 1).await,
        ];
        cluster.lock().logs_promotions = random.random();
        let history = History::default();

        let callers =
            (0..CALLERS).map(|caller| run_caller(&hosts[usize::from(caller % 2 == 1)], &history));
        let load = futures::future::join_all(callers);
        futures::future::join(load, inject_faults(&cluster, &mut random, &history)).await;

        let values = cluster.values();
        for (value, allowed) in &*history.allowed_counts.borrow() {
            let count = values.iter().filter(|found| *found == value).count();
            assert!(
                allowed.contains(&count),
                "seed {seed}: the log has {value} {count} times"
            );
        }
        assert!(
            history.answered.get() > 100,
            "seed {seed}: {}",
            history.answered.get()
        );
        for host in &hosts {
            host.engine
                .drain(Instant::now() + Duration::from_secs(5))
                .await;
        }
    }
}
