//! Pauses of replicas after an attempt to replace a primary, whatever an earlier claim names.

use fulmargw_model::{
    name::Name,
    position::{Position, Term},
};
use fulmargw_pool::{
    backend::{Role, Status},
    promotion::{
        Evidence, Replica,
        attempt::{Attempt, Call, Completeness, End, Look, NamedCall, Step, Survey},
    },
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _};
use std::time::Duration;
use tokio::time::Instant;

/// Number of random groups and claims.
const GROUPS: u64 = 20_000;
/// Number of replicas.
const REPLICAS: u64 = 3;
/// Greatest term that a replica knows.
const NEWEST: u64 = 4;
/// Greatest log index.
const MAX_INDEX: u64 = 5;

/// Replicas whose logs don't change. Some don't respond.
struct Group {
    rng: StdRng,
    replicas: Vec<Replica>,
}

fn name(index: u64) -> Name {
    format!("server-{index}").as_str().into()
}

impl Group {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let replicas = (0..REPLICAS).map(|index| {
            let term = Term(rng.random_range(NEWEST - 1..=NEWEST));
            let status = Status {
                role: Role::Replica,
                term,
                received: Position {
                    term,
                    index: rng.random_range(0..=MAX_INDEX),
                },
                held: rng.random_bool(0.5).then_some(Term(NEWEST + 1)),
            };
            Replica {
                server: name(index),
                is_draining: false,
                status: rng.random_bool(0.9).then_some(status),
            }
        });
        let replicas = replicas.collect();
        Self { rng, replicas }
    }

    /// Returns what a claim names: a server and, unless a host of an earlier version wrote it, a term.
    fn earlier_call(&mut self) -> Option<NamedCall> {
        let term = self.rng.random_range(1..=NEWEST + 1);
        let call = NamedCall {
            server: name(self.rng.random_range(0..REPLICAS)),
            term: self.rng.random_bool(0.7).then_some(Term(term)),
        };
        self.rng.random_bool(0.8).then_some(call)
    }

    fn survey(&mut self) -> Survey {
        let acknowledged = Position {
            term: Term(NEWEST),
            index: self.rng.random_range(0..=MAX_INDEX + 1),
        };
        Survey {
            replicas: self.replicas.clone(),
            evidence: Evidence {
                acknowledged: Some(acknowledged),
                is_exact: true,
                gap: None,
            },
        }
    }

    fn look(&self, server: &Name) -> Look {
        let replica = self.replicas.iter().find(|it| it.server == *server);
        (server.clone(), replica.and_then(|it| it.status))
    }

    fn pause(&mut self, server: &Name, term: Term) -> Look {
        let mut replicas = self.replicas.iter_mut();
        let replica = replicas.find(|it| it.server == *server);
        if let Some(status) = replica.and_then(|it| it.status.as_mut()) {
            status.held = Some(term);
        }
        self.look(server)
    }

    /// Carries out an attempt until it ends.
    fn run(&mut self, attempt: &mut Attempt) -> End {
        let mut now = Instant::now();
        let mut step = Step::Survey;
        loop {
            now += Duration::from_millis(50);
            step = match step {
                Step::Survey => attempt.surveyed(self.survey()),
                Step::Pause(servers, term) => {
                    let looks = servers.iter().map(|it| self.pause(it, term));
                    let looks = looks.collect();
                    attempt.paused(looks, now)
                }
                Step::Query(server) => attempt.queried(self.look(&server).1, now),
                Step::Secure(_) => attempt.secured(None),
                Step::Verify => {
                    let replicas = self.replicas.iter();
                    let looks: Vec<Look> = replicas.map(|it| self.look(&it.server)).collect();
                    attempt.verified(&looks)
                }
                Step::Call(_) => {
                    let results = [Call::Refused, Call::Lost, Call::NoEffect];
                    attempt.called(*results.choose(&mut self.rng).expect("a result"))
                }
                Step::End(end) => return end,
            };
        }
    }

    /// Returns the newest term that a replica knows.
    fn newest(&self) -> Option<Term> {
        let statuses = self.replicas.iter().filter_map(|it| it.status);
        statuses.map(|it| it.term).max()
    }

    /// Returns the servers that respond and are paused.
    fn paused(&self) -> Vec<Name> {
        let paused = self.replicas.iter().filter(|replica| {
            let held = replica.status.and_then(|status| status.held);
            held.is_some()
        });
        paused.map(|replica| replica.server.clone()).collect()
    }
}

/// What an attempt found and left behind, and how it ended.
struct Played {
    group: Group,
    earlier: Option<NamedCall>,
    attempt: Attempt,
    end: End,
}

/// Carries out an attempt in a random group, with a random earlier claim.
fn play(seed: u64) -> Played {
    let mut group = Group::new(seed);
    let earlier = group.earlier_call();
    let mut attempt = Attempt::new(Completeness::AllAcknowledged, earlier.clone());
    let end = group.run(&mut attempt);
    Played {
        group,
        earlier,
        attempt,
        end,
    }
}

/// Guards against replicas that stay paused for good, so that the writes of a primary that works hang: once no
/// call is open, or it counts as over, every paused server is resumed. While one is open its server is, so that
/// commits can be acknowledged.
#[test]
fn pauses_end_whatever_a_claim_names() {
    for seed in 0..GROUPS {
        let Played {
            group,
            attempt,
            end,
            ..
        } = play(seed);

        let paused = group.paused();
        let ended = attempt.servers_to_resume(None);
        assert!(
            paused.iter().all(|it| ended.contains(it)),
            "seed {seed}, {end:?}: {paused:?} paused, {ended:?} resumed"
        );
        for open in (0..REPLICAS).map(name) {
            let resumed = attempt.servers_to_resume(Some(&open));
            assert!(resumed.iter().all(|it| *it == open), "seed {seed}, {end:?}");
            let has_open = resumed.contains(&open);
            assert!(!paused.contains(&open) || has_open, "seed {seed}, {end:?}");
        }
    }
}

/// Guards against a claim that is taken for an open call although its promotion has taken effect, as one that a
/// restoration of the store brought back; and against an open call that is taken for settled.
#[test]
fn a_call_is_settled_once_a_server_knows_its_term() {
    for seed in 0..GROUPS {
        let Played {
            group,
            earlier,
            attempt,
            ..
        } = play(seed);

        let newest = group.newest();
        let open = earlier.filter(|call| call.term.is_none_or(|term| newest < Some(term)));
        assert_eq!(attempt.earlier_call(), open.as_ref(), "seed {seed}");
    }
}

/// Guards against a claim that counts as settled before its promotion has taken effect, because the survey had not
/// asked the primary for its term.
#[test]
fn the_term_of_a_call_is_later_than_every_known_one() {
    for seed in 0..GROUPS {
        let mut group = Group::new(seed);
        let mut attempt = Attempt::new(Completeness::AllAcknowledged, None);
        let survey = group.survey();
        let newest = group.newest();
        let acknowledged = survey.evidence.acknowledged.map(|it| it.term);

        attempt.surveyed(survey);

        let term = attempt.term();
        assert!(
            term.is_none() || term > newest.max(acknowledged),
            "seed {seed}"
        );
    }
}
