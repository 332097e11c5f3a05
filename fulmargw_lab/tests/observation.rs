//! Tests of the counts of connections that a server records.

use fulmargw_lab::database::observation::Observation;

const LIMIT: usize = 16;

fn observation_with(connections: usize) -> Observation {
    Observation {
        connections,
        ..Observation::default()
    }
}

/// Guards against two new connections that both take the place of one closed connection, which
/// counted hosts as exceeding a limit that they kept.
#[test]
fn one_free_place_admits_one_connection() {
    let mut observation = observation_with(LIMIT - 1);

    let admitted = [(); 2].map(|()| observation.admit(LIMIT));

    assert_eq!(admitted, [true, false]);
    assert_eq!(observation.connections, LIMIT);
    assert_eq!(observation.violations, 0);
}

/// Guards against a connection beyond the limit that is not counted as a violation.
#[test]
fn a_connection_beyond_the_limit_is_a_violation() {
    let mut observation = observation_with(LIMIT);

    let is_admitted = observation.admit(LIMIT);
    observation.record_violation();

    assert!(!is_admitted);
    assert_eq!(observation.violations, 1);
    assert_eq!(observation.peak_connections, LIMIT + 1);
}
