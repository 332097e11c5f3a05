//! Choice of backend servers.

use fulmargw_decision::routing::{self, Candidate, Rationale, Requirements, ServedBy};
use fulmargw_model::{
    availability_zone::Zone,
    backend_server::{Role, Status},
    position::{Position, Term},
    request::Class,
};
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::time::Duration;

const SECOND: Class = Class::Aged(Duration::from_secs(1));

fn at(term: u64, index: u64) -> Position {
    Position {
        term: Term(term),
        index,
    }
}

fn zones() -> [Zone; 3] {
    ["a", "b", "c"].map(|name| Zone(name.into()))
}

fn view(zone: &Zone, role: Role) -> Candidate<'_> {
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

/// A group whose first server is the primary.
fn group(zones: &[Zone; 3]) -> Vec<Candidate<'_>> {
    let roles = [Role::Primary, Role::Replica, Role::Replica];
    zones
        .iter()
        .zip(roles)
        .map(|(zone, role)| view(zone, role))
        .collect()
}

fn need(class: Class, zone: &Zone) -> Requirements<'_> {
    Requirements {
        class,
        required: at(1, 10),
        zone,
        max_wait: Duration::from_millis(50),
        waited: Duration::ZERO,
    }
}

fn apply(view: &mut Candidate<'_>, position: Position) {
    view.status.as_mut().unwrap().applied = position;
}

/// Guards against writes at a replica or at a primary that was fenced.
#[test]
fn a_write_goes_to_the_primary_that_is_not_fenced() {
    let zones = zones();
    let mut views = group(&zones);
    let healthy = routing::choose(&need(Class::Write, &zones[1]), &views);
    views[0].status.as_mut().unwrap().promised = Term(2);
    let fenced = routing::choose(&need(Class::Write, &zones[1]), &views);

    assert_eq!(
        (healthy[0].server, healthy[0].rationale),
        (0, Rationale::Write)
    );
    assert_eq!(fenced, []);
}

/// Guards against reads that cross zones or pile up on one replica without need.
#[test]
fn a_read_prefers_its_zone_and_then_the_least_load() {
    let zones = zones();
    let mut views = group(&zones);
    let near = routing::choose(&need(SECOND, &zones[2]), &views);
    views[1].running = 1;
    let idle = routing::choose(&need(SECOND, &zones[0]), &views);

    assert_eq!((near[0].server, near[0].rationale), (2, Rationale::Applied));
    assert_eq!(idle[0].server, 2);
}

/// Guards against reads that wait for the replica of the zone while another one is free.
#[test]
fn a_free_replica_goes_before_a_near_one() {
    let zones = zones();
    let mut views = group(&zones);
    views[1].free_slots = 0;

    let choices = routing::choose(&need(SECOND, &zones[1]), &views);

    assert_eq!(choices[0].server, 2);
}

/// Guards against reads that never run because replicas are busy or behind.
#[test]
fn the_primary_reads_when_no_replica_can_in_time() {
    let zones = zones();
    let mut views = group(&zones);
    let mut waiting = need(SECOND, &zones[1]);
    waiting.waited = Duration::from_millis(60);
    let busy = routing::choose(&waiting, &views);
    for view in &mut views[1..] {
        apply(view, at(1, 9));
        view.expected_lag = Duration::from_millis(51);
    }
    let behind = routing::choose(&need(SECOND, &zones[1]), &views);

    assert_eq!(
        busy.last().map(|choice| choice.rationale),
        Some(Rationale::Busy)
    );
    assert_eq!(
        (behind[0].served_by, behind[0].rationale),
        (ServedBy::Primary, Rationale::NoReplica)
    );
}

/// A server in a random state.
#[derive(Debug, Clone)]
struct Random {
    replica: bool,
    applied: (u8, u8),
    promised: u8,
    age: u16,
    bound: Option<u16>,
    wait: u8,
    leaving: bool,
    answering: bool,
}

impl Arbitrary for Random {
    fn arbitrary(generator: &mut Gen) -> Self {
        Self {
            replica: bool::arbitrary(generator),
            applied: (u8::arbitrary(generator) % 4, u8::arbitrary(generator) % 20),
            promised: u8::arbitrary(generator) % 4,
            age: u16::arbitrary(generator) % 1_000,
            bound: Option::<u16>::arbitrary(generator).map(|bound| bound % 2_000),
            wait: u8::arbitrary(generator),
            leaving: bool::arbitrary(generator),
            answering: bool::arbitrary(generator),
        }
    }
}

impl Random {
    fn view<'a>(&self, zone: &'a Zone) -> Candidate<'a> {
        let role = if self.replica {
            Role::Replica
        } else {
            Role::Primary
        };
        let mut view = view(zone, role);
        apply(
            &mut view,
            at(u64::from(self.applied.0), u64::from(self.applied.1)),
        );
        view.status.as_mut().unwrap().promised = Term(u64::from(self.promised));
        view.status_age = Duration::from_millis(u64::from(self.age));
        view.staleness = self
            .bound
            .map(|bound| Duration::from_millis(u64::from(bound)));
        view.expected_lag = Duration::from_millis(u64::from(self.wait));
        view.draining = self.leaving;
        view.responsive = self.answering;
        view
    }
}

quickcheck! {
    /// Guards against a replica that may lack what the session or the class requires.
    fn a_chosen_replica_meets_every_condition(servers: Vec<Random>, current: bool) -> bool {
        let zone = Zone("a".into());
        let views: Vec<_> = servers.iter().map(|server| server.view(&zone)).collect();
        let class = if current { Class::Current } else { SECOND };
        let need = need(class, &zone);

        let choices = routing::choose(&need, &views);

        choices.iter().all(|choice| {
            let view = &views[choice.server];
            let applied = view.status.unwrap().applied;
            let fresh = current || view.staleness.is_some_and(|bound| bound.as_millis() <= 1_000);
            let reaches = applied.satisfies(need.required) || choice.rationale == Rationale::Approaching;
            let usable = view.responsive && view.status_age.as_millis() <= 500;
            !view.draining && fresh && (choice.served_by == ServedBy::Primary || (reaches && usable))
        })
    }

    /// Guards against a wait for a position on a server that would refuse the wait.
    fn an_approaching_replica_promised_no_later_term(servers: Vec<Random>) -> bool {
        let zone = Zone("a".into());
        let views: Vec<_> = servers.iter().map(|server| server.view(&zone)).collect();
        let need = need(SECOND, &zone);

        let choices = routing::choose(&need, &views);

        choices.iter().filter(|choice| choice.rationale == Rationale::Approaching).all(|choice| {
            let view = &views[choice.server];
            view.status.unwrap().promised <= need.required.term && view.expected_lag <= need.max_wait
        })
    }
}
