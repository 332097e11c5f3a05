//! Choice of the backend servers for a request.

use fulmargw_decision::routing::{self, Candidate, Rationale, Requirements, ServedBy};
use fulmargw_model::{
    availability_zone::Zone,
    backend_server::{Role, Status},
    position::{Position, Term},
    request::Class,
};
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::time::Duration;

const AGED_ONE_SECOND: Class = Class::Aged(Duration::from_secs(1));

fn at(term: u64, index: u64) -> Position {
    Position {
        term: Term(term),
        index,
    }
}

fn zones() -> [Zone; 3] {
    ["a", "b", "c"].map(|name| Zone(name.into()))
}

fn candidate(zone: &Zone, role: Role) -> Candidate<'_> {
    Candidate {
        zone,
        draining: false,
        responsive: true,
        status: Some(Status {
            role,
            term: Term(1),
            promised: Term(1),
            received: at(1, 10),
            applied: at(1, 10),
            silence: Duration::ZERO,
        }),
        status_age: Duration::ZERO,
        staleness: Some(Duration::from_millis(100)),
        expected_lag: Duration::ZERO,
        running: 0,
        free_slots: 2,
    }
}

/// A database group whose first server is the primary.
fn group(zones: &[Zone; 3]) -> Vec<Candidate<'_>> {
    let roles = [Role::Primary, Role::Replica, Role::Replica];
    zones
        .iter()
        .zip(roles)
        .map(|(zone, role)| candidate(zone, role))
        .collect()
}

fn requirements(class: Class, zone: &Zone) -> Requirements<'_> {
    Requirements {
        class,
        required: at(1, 10),
        zone,
        max_wait: Duration::from_millis(50),
        waited: Duration::ZERO,
    }
}

fn set_applied(candidate: &mut Candidate<'_>, position: Position) {
    candidate.status.as_mut().unwrap().applied = position;
}

/// Guards against writes that are sent to a replica or a fenced primary.
#[test]
fn write_is_routed_only_to_an_unfenced_primary() {
    let zones = zones();
    let mut candidates = group(&zones);
    let healthy = routing::choose(&requirements(Class::Write, &zones[1]), &candidates);
    candidates[0].status.as_mut().unwrap().promised = Term(2);
    let fenced = routing::choose(&requirements(Class::Write, &zones[1]), &candidates);

    assert_eq!(
        (healthy[0].server, healthy[0].rationale),
        (0, Rationale::Write)
    );
    assert_eq!(fenced, []);
}

/// Guards against reads that cross zones or overload one replica unnecessarily.
#[test]
fn read_prefers_the_same_zone_and_then_the_least_load() {
    let zones = zones();
    let mut candidates = group(&zones);
    let same_zone = routing::choose(&requirements(AGED_ONE_SECOND, &zones[2]), &candidates);
    candidates[1].running = 1;
    let least_loaded = routing::choose(&requirements(AGED_ONE_SECOND, &zones[0]), &candidates);

    assert_eq!(
        (same_zone[0].server, same_zone[0].rationale),
        (2, Rationale::Applied)
    );
    assert_eq!(least_loaded[0].server, 2);
}

/// Guards against reads that wait for the replica in the same zone while another one has a free
/// slot.
#[test]
fn replica_with_a_free_slot_precedes_one_in_the_same_zone() {
    let zones = zones();
    let mut candidates = group(&zones);
    candidates[1].free_slots = 0;

    let choices = routing::choose(&requirements(AGED_ONE_SECOND, &zones[1]), &candidates);

    assert_eq!(choices[0].server, 2);
}

/// Guards against reads that are never executed because the replicas are busy or lag behind.
#[test]
fn primary_serves_reads_when_no_replica_can_in_time() {
    let zones = zones();
    let mut candidates = group(&zones);
    let mut waiting = requirements(AGED_ONE_SECOND, &zones[1]);
    waiting.waited = Duration::from_millis(60);
    let busy = routing::choose(&waiting, &candidates);
    for candidate in &mut candidates[1..] {
        set_applied(candidate, at(1, 9));
        candidate.expected_lag = Duration::from_millis(51);
    }
    let behind = routing::choose(&requirements(AGED_ONE_SECOND, &zones[1]), &candidates);

    assert_eq!(
        busy.last().map(|choice| choice.rationale),
        Some(Rationale::Busy)
    );
    assert_eq!(
        (behind[0].served_by, behind[0].rationale),
        (ServedBy::Primary, Rationale::NoReplica)
    );
}

/// A backend server in a random state.
#[derive(Debug, Clone)]
struct RandomServer {
    replica: bool,
    applied: (u8, u8),
    promised: u8,
    status_age: u16,
    staleness: Option<u16>,
    expected_lag: u8,
    draining: bool,
    responsive: bool,
}

impl Arbitrary for RandomServer {
    fn arbitrary(generator: &mut Gen) -> Self {
        Self {
            replica: bool::arbitrary(generator),
            applied: (u8::arbitrary(generator) % 4, u8::arbitrary(generator) % 20),
            promised: u8::arbitrary(generator) % 4,
            status_age: u16::arbitrary(generator) % 1_000,
            staleness: Option::<u16>::arbitrary(generator).map(|bound| bound % 2_000),
            expected_lag: u8::arbitrary(generator),
            draining: bool::arbitrary(generator),
            responsive: bool::arbitrary(generator),
        }
    }
}

impl RandomServer {
    fn candidate<'a>(&self, zone: &'a Zone) -> Candidate<'a> {
        let role = if self.replica {
            Role::Replica
        } else {
            Role::Primary
        };
        let mut candidate = candidate(zone, role);
        set_applied(
            &mut candidate,
            at(u64::from(self.applied.0), u64::from(self.applied.1)),
        );
        candidate.status.as_mut().unwrap().promised = Term(u64::from(self.promised));
        candidate.status_age = Duration::from_millis(u64::from(self.status_age));
        candidate.staleness = self
            .staleness
            .map(|bound| Duration::from_millis(u64::from(bound)));
        candidate.expected_lag = Duration::from_millis(u64::from(self.expected_lag));
        candidate.draining = self.draining;
        candidate.responsive = self.responsive;
        candidate
    }
}

quickcheck! {
    /// Guards against a replica that lacks a write which the session or the consistency class
    /// requires.
    fn chosen_servers_meet_all_requirements(servers: Vec<RandomServer>, current: bool) -> bool {
        let zone = Zone("a".into());
        let candidates: Vec<_> = servers.iter().map(|server| server.candidate(&zone)).collect();
        let class = if current { Class::Current } else { AGED_ONE_SECOND };
        let requirements = requirements(class, &zone);

        let choices = routing::choose(&requirements, &candidates);

        choices.iter().all(|choice| {
            let candidate = &candidates[choice.server];
            let applied = candidate.status.unwrap().applied;
            let fresh =
                current || candidate.staleness.is_some_and(|bound| bound.as_millis() <= 1_000);
            let reaches = applied.satisfies(requirements.required)
                || choice.rationale == Rationale::Approaching;
            let usable = candidate.responsive && candidate.status_age.as_millis() <= 500;
            !candidate.draining
                && fresh
                && (choice.served_by == ServedBy::Primary || (reaches && usable))
        })
    }

    /// Guards against a wait on a replica that would refuse to wait for the position because it has
    /// promised a later term.
    fn approaching_replica_has_promised_no_later_term(servers: Vec<RandomServer>) -> bool {
        let zone = Zone("a".into());
        let candidates: Vec<_> = servers.iter().map(|server| server.candidate(&zone)).collect();
        let requirements = requirements(AGED_ONE_SECOND, &zone);

        let choices = routing::choose(&requirements, &candidates);

        choices.iter().filter(|choice| choice.rationale == Rationale::Approaching).all(|choice| {
            let candidate = &candidates[choice.server];
            candidate.status.unwrap().promised <= requirements.required.term
                && candidate.expected_lag <= requirements.max_wait
        })
    }
}
