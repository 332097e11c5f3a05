//! Random faults under load from two hosts, checked against the outcomes.

mod common;

use common::{Bench, Body, SERVERS, bench_on, group::World};
use fulmargw_engine::submit::Submit;
use fulmargw_model::{outcome::Outcome, position::Position, request::Class};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Seeds of a usual run, which takes about 3 s for each; `CHAOS_SEEDS` sets another number.
const SEEDS: u64 = 4;
const CALLERS: u64 = 4;
const FAULTS: usize = 4;

/// What the callers learned.
#[derive(Debug, Default)]
struct History {
    next: Cell<u64>,
    /// Times for which each value may be in the log at the end.
    allowed: RefCell<BTreeMap<u64, &'static [usize]>>,
    /// Values that were acknowledged, for current reads.
    acknowledged: RefCell<BTreeSet<u64>>,
    done: Cell<bool>,
    answered: Cell<u32>,
}

fn seeds() -> u64 {
    let set = std::env::var("CHAOS_SEEDS").ok();
    set.and_then(|set| set.parse().ok()).unwrap_or(SEEDS)
}

/// One caller that writes, reads its own write, and reads the current data.
async fn call(bench: &Bench, history: &History) {
    let caller = bench.engine.open_caller();
    let mut session = Position::default();
    let mut own = BTreeSet::new();
    while !history.done.get() {
        let value = history.next.replace(history.next.get() + 1);
        let outcome = submit(bench, caller, Class::Write, Body::Put(value), session).await;
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
        history.allowed.borrow_mut().insert(value, allowed);
        if allowed == [1] {
            own.insert(value);
            history.acknowledged.borrow_mut().insert(value);
        }
        let aged = Class::Aged(Duration::from_secs(1));
        read(bench, caller, aged, session, &own).await;
        let acknowledged = history.acknowledged.borrow().clone();
        read(
            bench,
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
    bench: &Bench,
    caller: u64,
    class: Class,
    body: Body,
    required: Position,
) -> Outcome<Vec<u64>> {
    let mut request = bench.request(class, body);
    request.caller = caller;
    request.required = required;
    bench.engine.submit(request).await
}

async fn read(
    bench: &Bench,
    caller: u64,
    class: Class,
    required: Position,
    expected: &BTreeSet<u64>,
) {
    let outcome = submit(bench, caller, class, Body::Get, required).await;
    if let Outcome::Answered(answer) = outcome {
        let seen: BTreeSet<_> = answer.body.into_iter().collect();
        let lacking: Vec<_> = expected.difference(&seen).collect();
        assert!(lacking.is_empty(), "a {class:?} read lacks {lacking:?}");
    }
}

/// Brings random faults, each for some time, and heals them.
async fn break_things(world: &World, random: &mut StdRng, history: &History) {
    for _ in 0..FAULTS {
        sleep(Duration::from_millis(random.random_range(20..800))).await;
        let server = SERVERS[random.random_range(0..SERVERS.len())];
        let primary = world.primary();
        let target = if random.random() {
            server
        } else {
            primary.as_str()
        };
        match random.random_range(0..7) {
            0 => world.kill(target),
            1 => world.partition(target),
            2 => world.change(target, |node| node.linked = false),
            3 => world.change(target, |node| node.reachable = false),
            4 => world.change(target, |node| node.lag = Duration::from_millis(400)),
            5 => world.lock().lost_answers = 3,
            _ => {
                let mut group = world.lock();
                let opened = group.next;
                group.silent.extend(0..opened);
            }
        }
        sleep(Duration::from_millis(random.random_range(20..1_500))).await;
        world.heal();
    }
    sleep(Duration::from_secs(2)).await;
    history.done.set(true);
}

/// Guards against lost, doubled and unread writes under random faults.
#[tokio::test(start_paused = true)]
async fn outcomes_stay_true_under_random_faults() {
    for seed in 0..seeds() {
        let mut random = StdRng::seed_from_u64(seed);
        let world = World::new(&SERVERS);
        let hosts = [
            bench_on(world.clone(), 0).await,
            bench_on(world.clone(), 1).await,
        ];
        world.lock().promotion_entry = random.random();
        let history = History::default();

        let callers =
            (0..CALLERS).map(|caller| call(&hosts[usize::from(caller % 2 == 1)], &history));
        let load = futures::future::join_all(callers);
        futures::future::join(load, break_things(&world, &mut random, &history)).await;

        let values = world.values();
        for (value, allowed) in &*history.allowed.borrow() {
            let kept = values.iter().filter(|kept| *kept == value).count();
            assert!(
                allowed.contains(&kept),
                "seed {seed}: {value} is kept {kept} times"
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
