//! Bound of the age of a replica's data.

use fulmargw_decision::staleness::History;
use fulmargw_model::position::{Position, Term};
use quickcheck::quickcheck;
use std::time::Duration;
use tokio::time::Instant;

fn at(term: u64, index: u64) -> Position {
    Position {
        term: Term(term),
        index,
    }
}

fn after(began: Instant, ms: u64) -> Instant {
    began + Duration::from_millis(ms)
}

quickcheck! {
    /// Guards against data that is older than its bound. The primary writes one entry after
    /// each pause, and a replica has applied some of them.
    fn the_bound_is_never_less_than_the_age(pauses: Vec<u8>, applied: u8) -> bool {
        let began = Instant::now();
        let mut history = History::new(2);
        let mut now = began;
        let mut written = vec![began];
        for pause in &pauses {
            let index = written.len() as u64 - 1;
            history.record_sample(now, now, at(1, index));
            history.record_confirmation(1, now, Term(1));
            now += Duration::from_millis(u64::from(*pause) + 1);
            written.push(now);
        }
        let applied = usize::from(applied) % written.len();

        let bound = history.max_staleness(at(1, applied as u64), now);

        // The data is current until the first write that the replica lacks.
        let age = written.get(applied + 1).map_or(Duration::ZERO, |lacking| now - *lacking);
        bound.is_none_or(|bound| bound >= age)
    }
}

/// Guards against fresh-looking data of a primary that was replaced.
#[test]
fn an_unconfirmed_sample_does_not_count() {
    let began = Instant::now();
    let mut history = History::new(2);
    history.record_sample(began, after(began, 2), at(1, 5));
    let unconfirmed = history.max_staleness(at(1, 5), after(began, 10));
    history.record_confirmation(1, after(began, 1), Term(1));
    let too_early = history.max_staleness(at(1, 5), after(began, 10));
    history.record_confirmation(1, after(began, 3), Term(2));
    let promised_later = history.max_staleness(at(1, 5), after(began, 10));
    history.record_confirmation(1, after(began, 3), Term(1));
    let confirmed = history.max_staleness(at(1, 5), after(began, 10));

    assert_eq!((unconfirmed, too_early, promised_later), (None, None, None));
    assert_eq!(confirmed, Some(Duration::from_millis(10)));
}

/// Guards against an estimate that keeps a replica from use although it has everything.
#[test]
fn the_lag_counts_from_the_first_lacking_sample() {
    let began = Instant::now();
    let mut history = History::new(1);
    for (ms, index) in [(0, 1), (100, 2), (200, 3)] {
        let time = after(began, ms);
        history.record_sample(time, time, at(1, index));
    }

    let complete = history.lag(at(1, 3), after(began, 250));
    let behind = history.lag(at(1, 1), after(began, 250));

    assert_eq!(complete, Duration::ZERO);
    assert_eq!(behind, Duration::from_millis(150));
}

/// Guards against a replica whose tail of an earlier term looks complete.
#[test]
fn an_earlier_term_does_not_satisfy_a_sample() {
    let began = Instant::now();
    let mut history = History::new(1);
    history.record_sample(began, began, at(2, 5));

    let bound = history.max_staleness(at(1, 9), after(began, 10));

    assert_eq!(bound, None);
}
