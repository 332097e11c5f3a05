//! An attempt to replace a primary, with other events between and during its steps.

use fulmargw_model::{
    name::Name,
    position::{Position, Term},
};
use fulmargw_pool::{
    backend::{Role, Status},
    promotion::{
        Evidence, Gap, Replica,
        attempt::{Attempt, Call, Completeness, End, Look, Step, Survey},
    },
    replica_set::{Member, Record},
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::Instant;

/// Number of random orders of events.
const ORDERS: u64 = 20_000;
/// Term of the old primary.
const TERM: Term = Term(1);
/// Term of the pauses.
const PAUSE_TERM: Term = Term(2);
/// Index of the old primary.
const PRIMARY: usize = 0;
/// Most events between two commands of the attempt.
const MAX_EVENTS: u32 = 6;

/// What may go wrong beside the servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Replicas restart, join, and are resumed at any time.
    Replicas,
    /// The same, and the hosts have just started and forgotten what was acknowledged.
    Hosts,
    /// A host that accepts commits does not confirm the barrier.
    SilentHost,
}

/// A backend server. Its log is a prefix of the primary's log.
#[derive(Debug, Clone)]
struct Server {
    name: Name,
    /// Number of commits in its log.
    length: u64,
    is_paused: bool,
    is_running: bool,
    /// Start of its process.
    born: u64,
    /// Start of the process that answers on the connection of the attempt.
    connected_to: Option<u64>,
}

/// A host that accepts commits.
#[derive(Debug, Clone, Default)]
struct Host {
    /// Whether it sends no commits.
    is_holding: bool,
    /// Whether it passes no responses to commits on.
    is_sealed: bool,
    /// Greatest index that it knows to be acknowledged.
    acknowledged: u64,
}

/// A commit that was sent and has no response yet.
#[derive(Debug, Clone, Copy)]
struct Sent {
    index: u64,
    host: usize,
}

#[derive(Debug)]
struct World {
    rng: StdRng,
    fault: Fault,
    servers: Vec<Server>,
    hosts: [Host; 2],
    sent: Vec<Sent>,
    /// Greatest index that a caller was told of.
    acknowledged: u64,
    /// Replicas to which a `RESUME` of an earlier attempt is still on its way.
    late_resumes: Vec<usize>,
    /// Candidates of promotion calls that may take effect.
    orders: Vec<Name>,
    /// Candidate whose log has been looked at for the last time before a call.
    verified: Option<Name>,
    /// Length of the log that was promoted.
    promoted: Option<u64>,
}

fn server(index: u64) -> Server {
    Server {
        name: format!("server-{index}").as_str().into(),
        length: 0,
        is_paused: false,
        is_running: true,
        born: index,
        connected_to: Some(index),
    }
}

impl World {
    fn new(seed: u64, fault: Fault) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            fault,
            servers: (0..3).map(server).collect(),
            hosts: Default::default(),
            sent: Vec::new(),
            acknowledged: 0,
            late_resumes: Vec::new(),
            orders: Vec::new(),
            verified: None,
            promoted: None,
        };
        if fault != Fault::SilentHost {
            world.late_resumes = vec![1, 2];
        }
        for _ in 0..8 {
            world.happen();
        }
        if fault == Fault::Hosts {
            world.hosts = Default::default();
        }
        world
    }

    /// Lets some events happen.
    fn happen(&mut self) {
        for _ in 0..self.rng.random_range(0..=MAX_EVENTS) {
            match self.rng.random_range(0..10) {
                0..=2 => self.send_commit(),
                3..=5 => self.deliver(),
                6 => self.acknowledge(),
                7 => self.toggle_primary(),
                8 if self.fault != Fault::SilentHost => self.change_replica(),
                _ => self.take_effect(),
            }
            self.acknowledge();
        }
    }

    fn send_commit(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        if self.hosts[host].is_holding || !self.servers[PRIMARY].is_running {
            return;
        }
        self.servers[PRIMARY].length += 1;
        let index = self.servers[PRIMARY].length;
        self.sent.push(Sent { index, host });
    }

    fn deliver(&mut self) {
        let length = self.servers[PRIMARY].length;
        let replica = self.rng.random_range(1..self.servers.len());
        let is_connected = self.servers[PRIMARY].is_running;
        let count = self.rng.random_range(1..=3);
        let replica = &mut self.servers[replica];
        if is_connected && replica.is_running && !replica.is_paused {
            replica.length = length.min(replica.length + count);
        }
    }

    /// The primary acknowledges the commits that a replica has received.
    fn acknowledge(&mut self) {
        if !self.servers[PRIMARY].is_running || self.promoted.is_some() {
            return;
        }
        let replicas = self.servers[1..].iter().filter(|it| it.is_running);
        let received = replicas.map(|it| it.length).max().unwrap_or_default();
        let (answered, open) = self.sent.iter().partition(|it| it.index <= received);
        self.sent = open;
        let answered: Vec<Sent> = answered;
        for Sent { index, host } in answered {
            let host = &mut self.hosts[host];
            if !host.is_sealed {
                host.acknowledged = index.max(host.acknowledged);
                self.acknowledged = index.max(self.acknowledged);
            }
        }
    }

    /// The primary crashes, or comes back with its log. What it had not acknowledged stays open.
    fn toggle_primary(&mut self) {
        let is_running = self.rng.random_bool(0.5);
        self.servers[PRIMARY].is_running = is_running;
        if !is_running {
            self.sent.clear();
        }
    }

    /// A replica restarts without its log, one joins, or a late `RESUME` arrives.
    fn change_replica(&mut self) {
        match self.rng.random_range(0..3) {
            0 => {
                let index = self.rng.random_range(1..self.servers.len());
                // A candidate that loses its log after the last look at it cannot be helped.
                let name = &self.servers[index].name;
                if self.verified.as_ref() == Some(name) || self.orders.contains(name) {
                    return;
                }
                let replica = &mut self.servers[index];
                replica.length = 0;
                replica.is_paused = false;
                replica.born += 100;
                replica.connected_to = None;
            }
            1 if self.servers.len() < 5 => {
                let joined = server(self.servers.len() as u64);
                self.servers.push(joined);
            }
            _ => {
                if let Some(index) = self.late_resumes.choose(&mut self.rng) {
                    self.servers[*index].is_paused = false;
                }
            }
        }
    }

    /// A promotion call takes effect.
    fn take_effect(&mut self) {
        let Some(candidate) = self.orders.choose(&mut self.rng).cloned() else {
            return;
        };
        let promoted = self.find(&candidate).length;
        self.promoted.get_or_insert(promoted);
    }

    fn find(&mut self, name: &Name) -> &mut Server {
        let found = self.servers.iter_mut().find(|it| it.name == *name);
        found.expect("a server")
    }

    /// Returns the status that a server reports on the connection of the attempt.
    fn look(&mut self, name: &Name) -> Option<Status> {
        self.happen();
        let server = self.find(name);
        (server.connected_to == Some(server.born)).then(|| status(server))
    }

    fn survey(&mut self) -> Survey {
        // The registry has a server as soon as it joins, but shows the first process of each.
        let registered = self.servers.len() as u64;
        let record = Record {
            primary: Some(self.servers[PRIMARY].name.clone()),
            members: (0..registered).map(|it| member(&server(it))).collect(),
        };
        let mut asked = BTreeSet::new();
        let mut replicas = Vec::new();
        for index in 1..3 {
            self.happen();
            let server = &mut self.servers[index];
            if server.connected_to.is_some() {
                asked.insert(member(server));
            }
            // A process that is not known answers as well, on a new connection.
            server.connected_to = Some(server.born);
            replicas.push(Replica {
                server: server.name.clone(),
                is_draining: false,
                status: Some(status(server)),
            });
        }
        let is_exact = self.fault == Fault::Replicas;
        let hosts = self.hosts.iter().filter(|_| is_exact);
        let acknowledged = hosts.map(|host| host.acknowledged).max();
        let gap = record.gap(&asked).cloned().map(Gap::Unidentified);
        Survey {
            replicas,
            evidence: Evidence {
                acknowledged: acknowledged.map(position),
                is_exact,
                gap,
            },
        }
    }

    fn pause(&mut self, name: &Name) -> Option<Status> {
        self.look(name)?;
        let server = self.find(name);
        server.is_paused = true;
        Some(status(server))
    }

    /// Raises the barrier on the hosts that respond, and returns what they know.
    fn raise_barrier(&mut self) -> Position {
        let responding = if self.fault == Fault::SilentHost {
            1
        } else {
            2
        };
        let mut known = 0;
        for index in 0..responding {
            self.happen();
            self.hosts[index].is_holding = true;
            self.happen();
            self.hosts[index].is_sealed = true;
            known = self.hosts[index].acknowledged.max(known);
        }
        position(known)
    }

    fn call(&mut self, candidate: &Name) -> Call {
        self.happen();
        let call = *[Call::Accepted, Call::Lost, Call::NoEffect, Call::Refused]
            .choose(&mut self.rng)
            .expect("a result");
        if matches!(call, Call::Accepted | Call::Lost) {
            self.orders.push(candidate.clone());
        }
        self.verified = None;
        call
    }

    /// Carries out an attempt and what follows it.
    fn run(&mut self) -> End {
        let mut attempt = Attempt::new(Completeness::AllAcknowledged, None);
        let mut now = Instant::now();
        let mut candidate = None;
        let mut step = Step::Survey;
        let end = loop {
            self.happen();
            now += Duration::from_millis(50);
            step = match step {
                Step::Survey => {
                    let survey = self.survey();
                    attempt.surveyed(survey)
                }
                Step::Pause(servers, term) => {
                    assert_eq!(term, PAUSE_TERM);
                    let looks = servers.into_iter().map(|it| (it.clone(), self.pause(&it)));
                    let looks = looks.collect();
                    attempt.paused(looks, now)
                }
                Step::Query(server) => {
                    let status = self.look(&server);
                    attempt.queried(status, now)
                }
                Step::Secure(server) => {
                    candidate = Some(server);
                    let acknowledged = self.raise_barrier();
                    attempt.secured(Some(acknowledged))
                }
                Step::Verify => {
                    let names: Vec<Name> = self.servers[1..3]
                        .iter()
                        .map(|it| it.name.clone())
                        .collect();
                    let looks: Vec<Look> = names
                        .into_iter()
                        .map(|it| {
                            let status = self.look(&it);
                            if candidate.as_ref() == Some(&it) {
                                self.verified.clone_from(&candidate);
                            }
                            (it, status)
                        })
                        .collect();
                    attempt.verified(&looks)
                }
                Step::Call(candidate) => {
                    let call = self.call(&candidate);
                    attempt.called(call)
                }
                Step::End(end) => break end,
            };
        };
        for _ in 0..10 {
            self.happen();
            self.take_effect();
        }
        end
    }
}

fn position(index: u64) -> Position {
    Position { term: TERM, index }
}

fn status(server: &Server) -> Status {
    Status {
        role: Role::Replica,
        term: TERM,
        received: position(server.length),
        held: server.is_paused.then_some(PAUSE_TERM),
    }
}

fn member(server: &Server) -> Member {
    Member {
        server: server.name.clone(),
        born_unix_ms: server.born,
    }
}

/// Plays random orders of events, and returns how many ended with a promotion.
fn play(fault: Fault) -> u64 {
    let mut promotions = 0;
    for seed in 0..ORDERS {
        let mut world = World::new(seed, fault);
        let end = world.run();
        if let Some(promoted) = world.promoted {
            promotions += 1;
            assert!(
                promoted >= world.acknowledged,
                "{fault:?}, seed {seed}: {promoted} commits were promoted, {} acknowledged: {end:?} {world:?}",
                world.acknowledged
            );
        }
    }
    promotions
}

/// Guards against an acknowledged commit that the promoted server lacks, whatever replicas restart,
/// join or are resumed by a late command before the promotion takes effect.
#[test]
fn no_acknowledged_commit_is_lost_if_replicas_restart_join_or_resume() {
    let promotions = play(Fault::Replicas);

    assert!(promotions > ORDERS / 10, "{promotions} promotions");
}

/// Guards against an acknowledged commit that the promoted server lacks because a replica that has
/// restarted without its log counts as asked, and no host remembers what was acknowledged.
#[test]
fn no_acknowledged_commit_is_lost_if_hosts_forget_it_and_replicas_restart() {
    let promotions = play(Fault::Hosts);

    assert!(promotions > ORDERS / 100, "{promotions} promotions");
}

/// Guards against an acknowledged commit that the promoted server lacks because a host that did not
/// respond went on to accept commits.
#[test]
fn no_acknowledged_commit_is_lost_if_a_host_does_not_confirm_the_barrier() {
    let promotions = play(Fault::SilentHost);

    assert!(promotions > ORDERS / 10, "{promotions} promotions");
}
