//! For how long the process of a backend server is known to run.

use fulmargw_pool::process::{Proof, Tenure};
use std::time::Duration;
use tokio::time::Instant;

/// A point in time, in seconds after an arbitrary start.
struct Clock(Instant);

impl Clock {
    fn at(&self, seconds: u64) -> Instant {
        self.0 + Duration::from_secs(seconds)
    }
}

fn clock() -> Clock {
    Clock(Instant::now())
}

/// Guards against a promotion that waits although the process is known: connections are replaced, and none
/// of them gets old.
#[test]
fn a_new_connection_takes_over_what_an_older_one_shows() {
    let clock = clock();
    let mut proof = Proof::default();
    let (mut old, mut new) = (Tenure::new(clock.at(0)), Tenure::new(clock.at(5)));

    old.record_response(clock.at(6));
    proof.compare(&mut old);
    new.record_response(clock.at(7));
    proof.compare(&mut new);

    assert_eq!(new.since(), clock.at(0));
}

/// Guards against a replica that has restarted without its log and counts as the process that had it:
/// the last response of that process came before the new connection was open.
#[test]
fn a_connection_to_a_restarted_process_takes_over_nothing() {
    let clock = clock();
    let mut proof = Proof::default();
    let (mut old, mut new) = (Tenure::new(clock.at(0)), Tenure::new(clock.at(5)));

    old.record_response(clock.at(4));
    proof.compare(&mut old);
    new.record_response(clock.at(7));
    proof.compare(&mut new);
    let mut newest = Tenure::new(clock.at(6));
    newest.record_response(clock.at(8));
    proof.compare(&mut newest);

    assert_eq!(new.since(), clock.at(5));
    assert_eq!(newest.since(), clock.at(5));
}

/// Guards against a response that was sent before a restart and read after it: it shows that the process
/// ran when the request was sent, and not later.
#[test]
fn a_response_counts_from_the_time_of_its_request() {
    let clock = clock();
    let mut proof = Proof::default();
    let (mut old, mut new) = (Tenure::new(clock.at(0)), Tenure::new(clock.at(5)));

    new.record_response(clock.at(6));
    proof.compare(&mut new);
    old.record_response(clock.at(4));
    proof.compare(&mut old);
    new.record_response(clock.at(8));
    proof.compare(&mut new);

    assert_eq!(new.since(), clock.at(5));
}
