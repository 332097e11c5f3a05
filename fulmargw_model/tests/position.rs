//! Log positions: comparison across terms, and the text form that callers present.

use fulmargw_model::{
    name::Name,
    position::{Error, Position, Positions, Term},
};
use quickcheck::{QuickCheck, TestResult};

fn position(term: u64, index: u64) -> Position {
    Position {
        term: Term(term),
        index,
    }
}

fn session(entries: &[(&str, Position)]) -> Positions {
    let mut session = Positions::default();
    for (service, position) in entries {
        session.advance(&Name::new(service), *position);
    }
    session
}

/// Guards against a stale read from a replaced primary, whose log can be longer but contains
/// entries that were never acknowledged.
#[test]
fn earlier_term_never_satisfies_a_later_one() {
    let replaced_primary = position(3, 900);
    let acknowledged_write = position(4, 10);

    let satisfied = replaced_primary.satisfies(acknowledged_write);

    assert!(!satisfied);
}

/// Guards against a lexicographic comparison, which would accept a log that is too short.
#[test]
fn later_term_with_smaller_index_does_not_satisfy() {
    let short_replica = position(5, 7);
    let acknowledged_write = position(4, 10);

    let satisfied = short_replica.satisfies(acknowledged_write);

    assert!(!satisfied);
}

/// Guards against a read that misses one of a session's two writes after their positions were
/// joined.
#[test]
fn joined_position_requires_both_parts() {
    fn property(first: (u8, u8), second: (u8, u8), server: (u8, u8)) -> TestResult {
        let first = position(first.0.into(), first.1.into());
        let second = position(second.0.into(), second.1.into());
        let server = position(server.0.into(), server.1.into());

        let joined = server.satisfies(first.join(second));

        TestResult::from_bool(joined == (server.satisfies(first) && server.satisfies(second)))
    }
    QuickCheck::new().quickcheck(property as fn((u8, u8), (u8, u8), (u8, u8)) -> TestResult);
}

/// Guards against a position that changes when a caller presents it to another host as text.
#[test]
fn text_form_round_trips() {
    let before = session(&[("ledger", position(4, 19)), ("voice-packs", position(1, 2))]);

    let after: Positions = before.to_string().parse().expect("the text form is valid");

    assert_eq!(after, before);
}

/// Guards against a malformed position that is parsed as "no requirement", which allows stale
/// reads.
#[test]
fn malformed_positions_are_rejected() {
    for text in [
        "ledger",
        "ledger/1",
        "ledger/x/2",
        "ledger/1/-2",
        "ledger/1/2/3",
        "/1/2",
    ] {
        let result = text.parse::<Positions>();

        assert!(
            matches!(result, Err(Error::Malformed(_))),
            "{text} was accepted"
        );
    }
}

/// Guards against a caller that makes a host store an unbounded number of positions.
#[test]
fn session_with_more_than_sixteen_services_is_rejected() {
    let text = (0..17)
        .map(|n| format!("service{n}/1/1"))
        .collect::<Vec<_>>()
        .join(",");

    let result = text.parse::<Positions>();

    assert_eq!(result, Err(Error::TooMany));
}
