//! Session positions: comparison over terms, and the text form that callers present.

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

/// Guards against a stale read from the tail of a replaced primary.
#[test]
fn an_earlier_term_never_satisfies_a_later_one() {
    let tail_of_old_primary = position(3, 900);
    let acknowledged_write = position(4, 10);

    let satisfied = tail_of_old_primary.satisfies(acknowledged_write);

    assert!(!satisfied);
}

/// Guards against lexicographic comparison, which would accept a log that is too short.
#[test]
fn a_later_term_with_a_smaller_index_does_not_satisfy() {
    let fresh_replica = position(5, 7);
    let acknowledged_write = position(4, 10);

    let satisfied = fresh_replica.satisfies(acknowledged_write);

    assert!(!satisfied);
}

/// Guards against a session that loses one of two writes when positions are merged.
#[test]
fn a_joined_position_requires_both_parts() {
    fn property(first: (u8, u8), second: (u8, u8), server: (u8, u8)) -> TestResult {
        let first = position(first.0.into(), first.1.into());
        let second = position(second.0.into(), second.1.into());
        let server = position(server.0.into(), server.1.into());

        let joined = server.satisfies(first.join(second));

        TestResult::from_bool(joined == (server.satisfies(first) && server.satisfies(second)))
    }
    QuickCheck::new().quickcheck(property as fn((u8, u8), (u8, u8), (u8, u8)) -> TestResult);
}

/// Guards against a position that is lost when a caller presents it at another host.
#[test]
fn the_text_form_is_read_back_unchanged() {
    let before = session(&[("ledger", position(4, 19)), ("voice-packs", position(1, 2))]);

    let after: Positions = before.to_string().parse().expect("the text form is valid");

    assert_eq!(after, before);
}

/// Guards against malformed positions being read as "no condition", which allows stale reads.
#[test]
fn malformed_positions_are_refused() {
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

/// Guards against a caller that makes a host keep an unbounded number of positions.
#[test]
fn a_session_names_at_most_sixteen_services() {
    let text = (0..17)
        .map(|n| format!("service{n}/1/1"))
        .collect::<Vec<_>>()
        .join(",");

    let result = text.parse::<Positions>();

    assert_eq!(result, Err(Error::TooMany));
}
