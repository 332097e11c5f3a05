//! Check of what a promoted server has of the commits that were acknowledged before.

use fulmargw_model::position::{Position, Term};
use fulmargw_pool::table::Succession;
use std::time::Duration;
use tokio::time::Instant;

fn position(term: u64, index: u64) -> Position {
    Position {
        term: Term(term),
        index,
    }
}

fn succession(acknowledged: Option<Position>) -> Succession {
    Succession::new("promoted".into(), acknowledged, Instant::now())
}

/// Guards against a lost commit that no line and no counter shows: one that the old primary
/// acknowledged after this host had learned of the promotion.
#[test]
fn a_commit_that_the_promoted_server_lacks_is_reported() {
    let mut succession = succession(Some(position(1, 10)));
    succession.acknowledge(position(1, 12));
    let later = Instant::now() + Duration::from_secs(1);

    let lacking = succession.effect(position(2, 11), later);
    let complete = succession.effect(position(2, 12), later);

    assert_eq!(lacking.missing, Some(position(1, 12)));
    assert_eq!(complete.missing, None);
    assert!(complete.elapsed >= Duration::from_secs(1));
}

/// Guards against a false alarm: commits of the new term are not compared with its first proof, and
/// do not hide an earlier one that is missing.
#[test]
fn commits_of_the_new_term_are_told_apart_from_earlier_ones() {
    let mut complete = succession(None);
    complete.acknowledge(position(2, 14));
    let mut lacking = succession(Some(position(1, 13)));
    lacking.acknowledge(position(2, 14));

    let now = Instant::now();

    assert_eq!(complete.effect(position(2, 12), now).missing, None);
    let missing = lacking.effect(position(2, 12), now).missing;
    assert_eq!(missing, Some(position(1, 13)));
}

/// Guards against a lost commit that is not reported because the promoted server has no commit of its own
/// term yet, and reports the term of its last one.
#[test]
fn a_server_without_a_commit_of_its_own_term_is_compared_as_well() {
    let succession = succession(Some(position(1, 13)));
    let now = Instant::now();

    let lacking = succession.effect(position(1, 12), now);
    let complete = succession.effect(position(1, 13), now);

    assert_eq!(lacking.missing, Some(position(1, 13)));
    assert_eq!(complete.missing, None);
}
