//! Terms, promised terms and logs of backend servers, without I/O.

use fulmargw_lab::database::{
    entry::{Body, Effect, Entry, Record},
    state::{Append, Promise, Start, State},
    transaction::Transaction,
};
use fulmargw_model::{
    backend_server::Role,
    position::{Position, Term},
};
use tokio::time::Instant;

fn position(term: u64, index: u64) -> Position {
    let term = Term(term);
    Position { term, index }
}

fn state(start: Start) -> State {
    State::new(start, Instant::now())
}

fn put(key: &str, value: &str) -> Transaction {
    let mut transaction = Transaction::new(Term(1));
    let effect = Effect::Put(key.to_owned(), value.to_owned());
    transaction.effects.push(effect);
    transaction
}

fn recorded_put(id: &str, attempt: u64) -> Transaction {
    let mut transaction = put("k", id);
    transaction.record = Some(record(id, attempt));
    transaction
}

fn record(id: &str, attempt: u64) -> Record {
    let id = id.to_owned();
    Record { id, attempt }
}

/// Sends the entries of `from` after `index` to `to`, as the primary of `term`, and returns whether
/// they are accepted.
fn replicate(from: &State, to: &mut State, term: u64, index: u64) -> bool {
    let last = from.log().last().index;
    let entries = (index + 1..=last).filter_map(|index| from.log().get(index));
    let append = Append {
        sequence: 0,
        term: Term(term),
        previous: from.log().position(index),
        entries: entries.map(|(entry, _)| entry.clone()).collect(),
        last,
    };
    let accepted = to.append(append, Instant::now()).accepted;
    to.apply_up_to(last, Instant::now());
    accepted
}

/// Returns a primary of term 1 and a replica with the same log.
fn group() -> (State, State) {
    let primary = state(Start::Primary);
    let mut replica = state(Start::Replica);
    replicate(&primary, &mut replica, 1, 0);
    (primary, replica)
}

/// Guards against a second promise of the same term, which would let two candidates reach a
/// majority.
#[test]
fn fence_accepts_only_greater_terms() {
    let mut replica = group().1;
    let now = Instant::now();

    replica.fence(Term(3), now).expect("first promise");
    let equal = replica.fence(Term(3), now).expect_err("equal term");
    let lower = replica.fence(Term(2), now).expect_err("lower term");

    assert_eq!((equal.code, equal.detail.as_str()), ("GR002", "3"));
    assert_eq!(lower.code, "GR002");
}

/// Guards against a replaced primary that still commits or replicates.
#[test]
fn promised_term_stops_older_primary() {
    let (mut primary, mut replica) = group();
    let now = Instant::now();
    primary.commit(put("k", "v"), Term(1), now).expect("commit");

    replica.fence(Term(2), now).expect("fence replica");
    let replicated = replicate(&primary, &mut replica, 1, 1);
    primary.fence(Term(2), now).expect("fence primary");
    let commit = primary.commit(put("k", "w"), Term(1), now);

    assert!(!replicated);
    assert_eq!(commit.expect_err("old term").code, "GR001");
    assert_eq!(primary.status(now).role, Role::Replica);
}

/// Guards against a promotion for a term after another host had a greater one promised.
#[test]
fn promotion_requires_the_promised_term() {
    let mut replica = group().1;
    let now = Instant::now();
    replica.fence(Term(2), now).expect("fence 2");
    replica.fence(Term(3), now).expect("fence 3");

    let stale = replica.promote(Term(2), now);
    let current = replica.promote(Term(3), now);

    assert_eq!(stale.expect_err("stale promotion").code, "GR002");
    assert!(current.is_ok());
    assert_eq!(replica.primary_term(), Some(Term(3)));
    assert_eq!(replica.log().last(), position(3, 2));
}

/// Guards against entries that only a former primary has and that stay visible there.
#[test]
fn divergent_tail_is_truncated_and_undone() {
    let (mut old, mut new) = group();
    let now = Instant::now();
    old.commit(put("lost", "1"), Term(1), now).expect("commit");
    old.commit(put("lost", "2"), Term(1), now).expect("commit");
    new.fence(Term(2), now).expect("fence");
    new.promote(Term(2), now).expect("promote");
    new.commit(put("kept", "3"), Term(2), now).expect("commit");

    let mismatch = replicate(&new, &mut old, 2, 2);
    let matched = replicate(&new, &mut old, 2, 1);

    assert!(!mismatch, "the entry at index 2 has another term");
    assert!(matched);
    assert_eq!(old.log().last(), new.log().last());
    assert_eq!(old.table().get("lost"), None);
    assert_eq!(old.table().get("kept"), Some("3"));
}

/// Guards against a position that counts as received because the log is long enough, although its
/// last entries belong to an older term.
#[test]
fn longer_log_of_older_term_does_not_satisfy() {
    let (mut old, mut new) = group();
    let now = Instant::now();
    old.commit(put("k", "1"), Term(1), now).expect("commit");
    new.fence(Term(2), now).expect("fence");
    new.promote(Term(2), now).expect("promote");

    let reached = old.has_reached(true, position(2, 2));

    assert_eq!(reached, Ok(false));
}

/// Guards against a server that confirms a position of a term after it promised a greater term.
#[test]
fn wait_is_refused_after_promise_of_greater_term() {
    let mut replica = group().1;
    assert_eq!(replica.has_reached(true, position(1, 1)), Ok(true));

    replica.fence(Term(2), Instant::now()).expect("fence");

    let refused = replica.has_reached(true, position(1, 1));
    assert_eq!(refused.expect_err("promised").code, "GR002");
}

/// Guards against a cancelled attempt that commits later, and a request that commits twice.
#[test]
fn cancelled_attempt_never_commits_and_the_next_one_commits_once() {
    let mut primary = group().0;
    let now = Instant::now();

    let cancelled = primary.cancel(record("r", 1), Term(0), now);
    let late = primary.commit(recorded_put("r", 1), Term(1), now);
    let next = primary.commit(recorded_put("r", 2), Term(1), now);
    let again = primary.commit(recorded_put("r", 3), Term(1), now);
    let resolved = primary.cancel(record("r", 2), Term(0), now);

    assert_eq!(cancelled, Ok((false, position(1, 2))));
    assert_eq!(late.expect_err("cancelled").code, "GR005");
    assert_eq!(next, Ok(Some(position(1, 3))));
    let again = again.expect_err("duplicate");
    assert_eq!((again.code, again.detail.as_str()), ("GR004", "1/3"));
    assert_eq!(resolved, Ok((true, position(1, 3))));
}

/// Guards against a lost update between two transactions that read the same key.
#[test]
fn conflicting_update_is_refused() {
    let mut primary = group().0;
    let now = Instant::now();
    primary.commit(put("k", "0"), Term(1), now).expect("commit");
    let mut slow = Transaction::new(Term(1));
    slow.get(primary.table(), "k");
    slow.effects = put("k", "slow").effects;
    primary.commit(put("k", "1"), Term(1), now).expect("commit");

    let conflict = primary.commit(slow, Term(1), now);

    assert_eq!(conflict.expect_err("conflict").code, "40001");
}

/// Guards against a restarted server that counts towards a majority before it holds its former log.
#[test]
fn restarted_server_refuses_to_fence_until_it_has_caught_up() {
    let (primary, replica) = group();
    let mut restarted = state(Start::Restarted(3));
    let now = Instant::now();

    let empty = restarted.fence(Term(9), now);
    let connection = restarted.check_connect(Term(0));
    replicate(&primary, &mut restarted, 1, 0);
    let unknown_promises = restarted.is_recovering();
    restarted.record_promise("s1", primary.promise());
    let one_promise = restarted.fence(Term(9), now);
    restarted.record_promise("s2", replica.promise());
    replicate(&primary, &mut restarted, 1, 1);

    assert_eq!(empty.expect_err("empty").code, "GR002");
    assert_eq!(connection.expect_err("starting").code, "57P03");
    assert!(unknown_promises);
    assert!(one_promise.is_err());
    assert!(restarted.check_connect(Term(0)).is_ok());
    assert!(restarted.fence(Term(9), now).is_ok());
}

/// Guards against recovery from a primary that a greater term replaced.
#[test]
fn restarted_server_does_not_recover_from_a_replaced_primary() {
    let (primary, _) = group();
    let mut restarted = state(Start::Restarted(3));
    let newer = Promise {
        promised: Term(2),
        recovering: false,
    };
    restarted.record_promise("s1", primary.promise());
    restarted.record_promise("s2", newer);

    replicate(&primary, &mut restarted, 1, 0);

    assert!(restarted.is_recovering());
}

/// Guards against a replica that appends entries after a gap.
#[test]
fn append_after_a_gap_is_refused_with_the_end_of_the_log() {
    let mut replica = group().1;
    let append = Append {
        sequence: 7,
        term: Term(1),
        previous: position(1, 5),
        entries: vec![Entry {
            term: Term(1),
            body: Body::Start,
        }],
        last: 6,
    };

    let acknowledgement = replica.append(append, Instant::now());

    assert!(!acknowledgement.accepted);
    assert_eq!((acknowledgement.sequence, acknowledgement.index), (7, 1));
}
