//! Age of changes by the store's clock.

use fulmargw_decision::store_clock::{Call, Response, StoreClock};
use std::time::Duration;

/// Time of the store's clock at which that of the host shows zero.
const OFFSET: Duration = Duration::from_secs(100);

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Returns a response that was sent and received at times of the host's clock, in milliseconds.
fn response(sent: u64, received: u64) -> Response {
    Response {
        era: 1,
        sent: OFFSET + ms(sent),
        received: ms(received),
    }
}

fn call(sent: u64, waits: bool) -> Call {
    Call {
        sent: ms(sent),
        waits,
    }
}

/// Returns the clock after a response that arrived at once.
fn clock() -> StoreClock {
    let mut clock = StoreClock::default();
    assert_eq!(clock.record(call(0, false), response(1_000, 1_000)), None);
    clock
}

/// Guards against a change that is taken for old because the call that delivered it waited for long.
#[test]
fn a_change_during_a_waiting_call_is_new() {
    let mut clock = clock();

    let age = clock.record(call(1_005, true), response(9_000, 9_002));

    assert_eq!(age, Some(ms(7)));
}

/// Guards against a change that is taken for new although the store was away: it may have been made
/// right after the last response.
#[test]
fn a_change_after_a_lost_call_is_as_old_as_the_last_response() {
    let mut clock = clock();

    let age = clock.record(call(5_700, false), response(5_700, 5_700));

    assert_eq!(age, Some(ms(4_700)));
}

/// Guards against a late delivery that does not show, as of a host that is busy or was frozen.
#[test]
fn a_late_delivery_counts() {
    let mut clock = clock();

    let age = clock.record(call(1_000, true), response(2_000, 6_500));

    assert_eq!(age, Some(ms(4_500)));
}

/// Guards against ages by the clock of a store that was restored, which starts anew.
#[test]
fn a_new_era_has_no_age() {
    let mut clock = clock();
    let restored = Response {
        era: 2,
        sent: ms(5),
        received: ms(2_000),
    };

    let age = clock.record(call(1_990, false), restored);

    assert_eq!(age, None);
    assert_eq!(clock.silence(ms(2_500)), Some(ms(500)));
}

/// Guards against an age that grows for ever because the clocks run at different speeds.
#[test]
fn drifting_clocks_are_compared_anew() {
    let mut clock = clock();
    let mut age = None;

    // The store's clock loses 1 ms in each of 1,000 seconds.
    for second in 2..1_000 {
        let sent = second * 1_000;
        age = clock.record(call(sent - 1_000, true), response(sent - second, sent));
    }

    assert!(age <= Some(ms(120)), "{age:?}");
}
