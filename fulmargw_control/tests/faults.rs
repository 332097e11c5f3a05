//! Random faults on four agents, with checks of the shares and rates at every step.

#[path = "fixture/bound.rs"]
mod bound;
mod fixture;

use bound::Log;
use fixture::{Node, World, account, put, until, version};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{collections::BTreeMap, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const SEEDS: std::ops::Range<u64> = 4..8;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

const RATE: f64 = 100.0;

const BURST: f64 = 20.0;

/// The hosts of one run and what was seen of them.
struct Run {
    world: World,
    random: StdRng,
    nodes: Vec<Node>,
    log: Log,
    load: JoinSet<()>,
    /// Greatest version that each host had in force while it served.
    served: BTreeMap<usize, u64>,
    patches: u64,
}

impl Run {
    async fn start(seed: u64) -> Self {
        let world = World::default();
        let nodes = world.start_fleet(4).await;
        let first = put(0, "p1", account("shop", RATE, BURST, &[]));
        nodes[0].patch(first).await.expect("the patch is valid");
        let mut run = Self {
            world,
            random: StdRng::seed_from_u64(seed),
            nodes,
            log: Log::default(),
            load: JoinSet::new(),
            served: BTreeMap::new(),
            patches: 1,
        };
        for index in 0..NAMES.len() {
            run.load(index);
        }
        run
    }

    /// Sends requests to a host until its tasks end.
    fn load(&mut self, index: usize) {
        let pace = self.random.random_range(5..40);
        let (node, log) = (self.nodes[index].clone(), self.log.clone());
        self.load.spawn(async move {
            let mut requests = JoinSet::new();
            loop {
                sleep(Duration::from_millis(1_000 / pace)).await;
                let (node, log) = (node.clone(), log.clone());
                requests.spawn(async move { log.admit(&node, "shop").await });
                while requests.try_join_next().is_some() {}
            }
        });
    }

    fn fault(&mut self) {
        let index = self.random.random_range(0..NAMES.len());
        let other = self.random.random_range(0..NAMES.len());
        let on = self.random.random_bool(0.5);
        match self.random.random_range(0..10) {
            0 | 1 => self.world.cut(NAMES[index], NAMES[other], on),
            2 => self.world.isolate(NAMES[index], on),
            3 => self.world.cut_store(NAMES[index], on),
            4 => self.world.set_store_down(on),
            5 => self
                .world
                .set_store_delay(Duration::from_millis(if on { 700 } else { 0 })),
            6 => self.world.lose_answers(2),
            7 | 8 => self.world.freeze(NAMES[index], on),
            _ => self.restart(index),
        }
    }

    fn restart(&mut self, index: usize) {
        self.world.freeze(NAMES[index], false);
        self.world.kill(&self.nodes[index]);
        let port = u16::try_from(index).expect("few hosts") + 1;
        self.nodes[index] = self.world.start(NAMES[index], port);
        self.load(index);
    }

    /// Submits a patch that changes nothing but the version.
    fn patch(&mut self) {
        let index = self.random.random_range(0..NAMES.len());
        self.patches += 1;
        let id = format!("p{}", self.patches);
        let node = self.nodes[index].clone();
        self.load.spawn(async move {
            let base = version(&node).unwrap_or_default();
            let patch = put(base, &id, account("shop", RATE, BURST, &[]));
            // Conflicts and outages are part of the run.
            let _ = node.patch(patch).await;
        });
    }

    fn check(&mut self) {
        let divisors = self.nodes.iter().filter_map(Node::share_divisor);
        let shares: f64 = divisors.map(|divisor| 1.0 / f64::from(divisor)).sum();
        assert!(shares <= 1.0 + 1e-9, "shares add up to {shares}");
        let now = Instant::now();
        for (index, node) in self.nodes.iter().enumerate() {
            if node.has_valid_lease(now) {
                let current = node.configuration().borrow().version.0;
                let before = self.served.insert(index, current).unwrap_or_default();
                assert!(current >= before, "{} went back", NAMES[index]);
            }
        }
    }

    async fn step(&mut self) {
        if self.random.random_bool(0.3) {
            self.patch();
        } else {
            self.fault();
        }
        for _ in 0..self.random.random_range(1..60) {
            self.check();
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn heal(&mut self) {
        self.world.set_store_down(false);
        self.world.set_store_delay(Duration::ZERO);
        self.world.lose_answers(0);
        for name in NAMES {
            self.world.isolate(name, false);
            self.world.freeze(name, false);
        }
        let start = Instant::now();
        while self
            .nodes
            .iter()
            .any(|node| node.share_divisor() != Some(4))
        {
            self.check();
            assert!(
                start.elapsed() < Duration::from_secs(40),
                "a host has no share"
            );
            sleep(Duration::from_millis(20)).await;
        }
        until("all hosts have one version", || {
            let newest = self.nodes.iter().map(version).max();
            self.nodes.iter().all(|node| Some(version(node)) == newest)
        })
        .await;
    }
}

/// Guards against orders of faults that the single tests do not have.
#[tokio::test(start_paused = true)]
async fn shares_rates_and_versions_hold_under_random_faults() {
    for seed in SEEDS {
        println!("seed {seed}");
        let mut run = Run::start(seed).await;

        for _ in 0..40 {
            run.step().await;
        }
        run.heal().await;

        run.load.shutdown().await;
        let excess = run.log.excess(RATE, BURST);
        assert!(excess <= 0.0, "{excess} above the bound");
        assert!(run.log.count() > 0);
        for node in &run.nodes {
            node.stop();
        }
    }
}
