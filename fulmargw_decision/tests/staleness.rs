//! Upper bound of the age of a replica's data.

use fulmargw_decision::staleness::History;
use fulmargw_model::position::{Position, Term};
use quickcheck::quickcheck;
use std::time::Duration;
use tokio::time::Instant;

fn log_position(term: u64, index: u64) -> Position {
    Position {
        term: Term(term),
        index,
    }
}

fn millis_after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

quickcheck! {
    /// Guards against data that is older than the computed upper bound. The primary writes one
    /// entry after each pause, and a replica has applied some of them.
    fn max_staleness_is_never_less_than_the_age(pauses: Vec<u8>, applied: u8) -> bool {
        let start = Instant::now();
        let mut history = History::new(2);
        let mut now = start;
        let mut written = vec![start];
        for pause in &pauses {
            let index = written.len() as u64 - 1;
            history.record_sample(now, now, log_position(1, index));
            history.record_confirmation(1, now, Term(1));
            now += Duration::from_millis(u64::from(*pause) + 1);
            written.push(now);
        }
        let applied = usize::from(applied) % written.len();

        let staleness = history.max_staleness(log_position(1, applied as u64), now);

        // The data is current until the first write that the replica has not applied.
        let age = written.get(applied + 1).map_or(Duration::ZERO, |missing| now - *missing);
        staleness.is_none_or(|staleness| staleness >= age)
    }
}

/// Guards against data that counts as fresh because of a sample from a replaced primary.
#[test]
fn unconfirmed_sample_does_not_count() {
    let start = Instant::now();
    let mut history = History::new(2);
    history.record_sample(start, millis_after(start, 2), log_position(1, 5));
    let unconfirmed = history.max_staleness(log_position(1, 5), millis_after(start, 10));
    history.record_confirmation(1, millis_after(start, 1), Term(1));
    let too_early = history.max_staleness(log_position(1, 5), millis_after(start, 10));
    history.record_confirmation(1, millis_after(start, 3), Term(2));
    let promised_later = history.max_staleness(log_position(1, 5), millis_after(start, 10));
    history.record_confirmation(1, millis_after(start, 3), Term(1));
    let confirmed = history.max_staleness(log_position(1, 5), millis_after(start, 10));

    assert_eq!((unconfirmed, too_early, promised_later), (None, None, None));
    assert_eq!(confirmed, Some(Duration::from_millis(10)));
}

/// Guards against a lag estimate that excludes a replica although it has applied everything.
#[test]
fn lag_is_measured_from_the_first_missing_sample() {
    let start = Instant::now();
    let mut history = History::new(1);
    for (ms, index) in [(0, 1), (100, 2), (200, 3)] {
        let time = millis_after(start, ms);
        history.record_sample(time, time, log_position(1, index));
    }

    let complete = history.lag(log_position(1, 3), millis_after(start, 250));
    let lagging = history.lag(log_position(1, 1), millis_after(start, 250));

    assert_eq!(complete, Duration::ZERO);
    assert_eq!(lagging, Duration::from_millis(150));
}

/// Guards against a replica that counts as up to date because of unacknowledged entries of an
/// earlier term.
#[test]
fn earlier_term_does_not_satisfy_a_sample() {
    let start = Instant::now();
    let mut history = History::new(1);
    history.record_sample(start, start, log_position(2, 5));

    let staleness = history.max_staleness(log_position(1, 9), millis_after(start, 10));

    assert_eq!(staleness, None);
}
