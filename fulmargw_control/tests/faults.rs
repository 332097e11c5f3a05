//! Random faults on four agents, with checks of shares, rates and versions at every step.

#[path = "fixture/admission.rs"]
mod admission;
mod fixture;

use admission::Log;
use fixture::{Cluster, TestAgent, account, put, version, wait_until};
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

/// The agents of one run and what was observed of them.
struct Run {
    cluster: Cluster,
    random: StdRng,
    agents: Vec<TestAgent>,
    log: Log,
    load: JoinSet<()>,
    /// Greatest version that each host had in force while its lease was valid.
    served: BTreeMap<usize, u64>,
    patches: u64,
}

impl Run {
    async fn start(seed: u64) -> Self {
        let cluster = Cluster::default();
        let agents = cluster.start_fleet(4).await;
        let first = put(0, "p1", account("shop", RATE, BURST, &[]));
        agents[0].patch(first).await.expect("the patch is valid");
        let mut run = Self {
            cluster,
            random: StdRng::seed_from_u64(seed),
            agents,
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

    /// Sends requests to a host until the run ends.
    fn load(&mut self, index: usize) {
        let per_second = self.random.random_range(5..40);
        let (agent, log) = (self.agents[index].clone(), self.log.clone());
        self.load.spawn(async move {
            let mut requests = JoinSet::new();
            loop {
                sleep(Duration::from_millis(1_000 / per_second)).await;
                let (agent, log) = (agent.clone(), log.clone());
                requests.spawn(async move { log.admit(&agent, "shop").await });
                while requests.try_join_next().is_some() {}
            }
        });
    }

    fn fault(&mut self) {
        let index = self.random.random_range(0..NAMES.len());
        let other = self.random.random_range(0..NAMES.len());
        let active = self.random.random_bool(0.5);
        match self.random.random_range(0..10) {
            0 | 1 => self
                .cluster
                .set_partitioned(NAMES[index], NAMES[other], active),
            2 => self.cluster.set_isolated(NAMES[index], active),
            3 => self.cluster.set_store_partitioned(NAMES[index], active),
            4 => self.cluster.set_store_down(active),
            5 => self
                .cluster
                .set_store_delay(Duration::from_millis(if active { 700 } else { 0 })),
            6 => self.cluster.lose_responses(2),
            7 | 8 => self.cluster.set_paused(NAMES[index], active),
            _ => self.restart(index),
        }
    }

    fn restart(&mut self, index: usize) {
        self.cluster.set_paused(NAMES[index], false);
        self.cluster.crash(&self.agents[index]);
        let port = u16::try_from(index).expect("few hosts") + 1;
        self.agents[index] = self.cluster.start(NAMES[index], port);
        self.load(index);
    }

    /// Submits a patch that changes nothing but the version.
    fn patch(&mut self) {
        let index = self.random.random_range(0..NAMES.len());
        self.patches += 1;
        let id = format!("p{}", self.patches);
        let agent = self.agents[index].clone();
        self.load.spawn(async move {
            let base = version(&agent).unwrap_or_default();
            let patch = put(base, &id, account("shop", RATE, BURST, &[]));
            // The faults of the run may cause conflicts and outages.
            let _ = agent.patch(patch).await;
        });
    }

    fn check(&mut self) {
        let divisors = self.agents.iter().filter_map(TestAgent::share_divisor);
        let shares: f64 = divisors.map(|divisor| 1.0 / f64::from(divisor)).sum();
        assert!(shares <= 1.0 + 1e-9, "shares add up to {shares}");
        let now = Instant::now();
        for (index, agent) in self.agents.iter().enumerate() {
            if agent.has_valid_lease(now) {
                let current = agent.configuration().borrow().version.0;
                let before = self.served.insert(index, current).unwrap_or_default();
                assert!(
                    current >= before,
                    "{} returned to an older version",
                    NAMES[index]
                );
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
        self.cluster.set_store_down(false);
        self.cluster.set_store_delay(Duration::ZERO);
        self.cluster.lose_responses(0);
        for name in NAMES {
            self.cluster.set_isolated(name, false);
            self.cluster.set_paused(name, false);
        }
        let start = Instant::now();
        while self
            .agents
            .iter()
            .any(|agent| agent.share_divisor() != Some(4))
        {
            self.check();
            assert!(
                start.elapsed() < Duration::from_secs(40),
                "a host has no share"
            );
            sleep(Duration::from_millis(20)).await;
        }
        wait_until("all hosts have one version", || {
            let newest = self.agents.iter().map(version).max();
            self.agents
                .iter()
                .all(|agent| Some(version(agent)) == newest)
        })
        .await;
    }
}

/// Guards against sequences of faults that the other tests do not cover.
#[tokio::test(start_paused = true)]
async fn shares_rates_and_versions_stay_correct_under_random_faults() {
    for seed in SEEDS {
        println!("seed {seed}");
        let mut run = Run::start(seed).await;

        for _ in 0..40 {
            run.step().await;
        }
        run.heal().await;

        run.load.shutdown().await;
        let max_excess = run.log.max_excess(RATE, BURST);
        assert!(max_excess <= 0.0, "{max_excess} above the rate limit");
        assert!(run.log.count() > 0);
        for agent in &run.agents {
            agent.stop();
        }
    }
}
