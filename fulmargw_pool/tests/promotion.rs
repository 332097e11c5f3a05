//! Choice of the replica that takes over.

use fulmargw_model::position::{Position, Term};
use fulmargw_pool::{
    backend::{Role, Status},
    promotion::{self, Obstacle, Replica},
};
use quickcheck::QuickCheck;

fn position(term: u64, index: u64) -> Position {
    Position {
        term: Term(term),
        index,
    }
}

fn voter(server: &str, received: u64) -> Replica {
    Replica {
        server: server.into(),
        is_draining: false,
        status: Some(Status {
            role: Role::Replica,
            term: Term(3),
            received: position(3, received),
        }),
    }
}

/// Guards against the loss of a commit that only the silent replica holds.
#[test]
fn all_replicas_have_to_answer() {
    let silent = Replica {
        status: None,
        ..voter("b", 0)
    };

    let result = promotion::choose_candidate(&[voter("a", 10), silent], Term(0), None);

    assert_eq!(result, Err(Obstacle::Unanswered("b".into())));
}

/// Guards against a replica that lags taking over.
#[test]
fn the_longest_log_takes_over() {
    let voters = [voter("a", 10), voter("b", 12), voter("c", 11)];

    let candidate = promotion::choose_candidate(&voters, Term(0), None).expect("a candidate");

    assert_eq!(candidate.server, "b".into());
    assert_eq!(candidate.pause_term, Term(4));
}

/// Guards against a promotion of a server that is about to leave.
#[test]
fn a_leaving_replica_does_not_take_over() {
    let leaving = Replica {
        is_draining: true,
        ..voter("b", 12)
    };

    let candidate = promotion::choose_candidate(&[voter("a", 10), leaving], Term(0), None);

    assert_eq!(candidate.expect("a candidate").server, "a".into());
}

/// Guards against the replacement of a primary that another host has promoted meanwhile.
#[test]
fn a_server_that_leads_is_not_replaced() {
    let mut leads = voter("b", 12);
    leads.status = Some(Status {
        role: Role::Primary,
        term: Term(4),
        received: position(4, 12),
    });

    let result = promotion::choose_candidate(&[voter("a", 10), leads], Term(0), None);

    assert_eq!(result, Err(Obstacle::AlreadyPrimary("b".into(), Term(4))));
}

/// Guards against the loss of an acknowledged commit: whatever the replicas held when they
/// stopped receiving, a log that includes all of them includes each commit that one held.
#[test]
fn a_log_that_includes_all_includes_each() {
    fn property(candidate: (u8, u8), others: Vec<(u8, u8)>) -> bool {
        let own = position(candidate.0.into(), candidate.1.into());
        let others: Vec<Position> = others
            .into_iter()
            .map(|(term, index)| position(term.into(), index.into()))
            .collect();
        !promotion::includes_all(own, &others)
            || others
                .iter()
                .all(|other| own.term >= other.term && own.index >= other.index)
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(property as fn((u8, u8), Vec<(u8, u8)>) -> bool);
}

/// Guards against the loss of a commit that only a replica held which has left.
#[test]
fn a_candidate_needs_what_is_known_to_be_acknowledged() {
    let candidate =
        promotion::choose_candidate(&[voter("a", 10)], Term(0), None).expect("a candidate");

    let unknown = promotion::check_complete(&candidate, None);
    let held = promotion::check_complete(&candidate, Some(position(3, 10)));
    let lacking = promotion::check_complete(&candidate, Some(position(3, 11)));

    assert_eq!(unknown, Ok(()));
    assert_eq!(held, Ok(()));
    let behind = Obstacle::MissingCommits("a".into(), position(3, 10), position(3, 11));
    assert_eq!(lacking, Err(behind));
}

/// Guards against a second candidate while an order for the first one may still be carried out:
/// commits that only the second one receives would be lost then.
#[test]
fn the_candidate_of_an_open_order_is_chosen_again() {
    let voters = [voter("a", 10), voter("b", 12)];
    let ordered = "a".into();

    let candidate = promotion::choose_candidate(&voters, Term(0), Some(&ordered));

    let candidate = candidate.expect("a candidate");
    assert_eq!(candidate.server, ordered);
}

/// Guards against a promotion that waits for the candidate of an order that has left the group.
#[test]
fn an_order_for_a_server_that_left_does_not_count() {
    let voters = [voter("a", 10), voter("b", 12)];
    let ordered = "gone".into();

    let candidate = promotion::choose_candidate(&voters, Term(0), Some(&ordered));

    assert_eq!(candidate.expect("a candidate").server, "b".into());
}
