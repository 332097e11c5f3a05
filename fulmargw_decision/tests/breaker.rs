//! Circuit breaker under load: a primary that is away, and callers that keep coming.

use fulmargw_decision::breaker::{self, PROBES, REPLACEMENT_TIME};
use std::time::Duration;

/// Time between two statements: 400 a second.
const ARRIVAL_INTERVAL: Duration = Duration::from_micros(2_500);
/// Time for which a statement waits if it is admitted: the latency objective of a route.
const WAIT: Duration = Duration::from_millis(250);

/// Returns how long each statement waits that arrives while the primary is away for `outage`.
fn waits_during(outage: Duration) -> Vec<(Duration, Duration)> {
    let mut leaves_at: Vec<Duration> = Vec::new();
    let mut waits = Vec::new();
    let mut now = Duration::ZERO;
    while now < outage {
        leaves_at.retain(|at| *at > now);
        let wait = if breaker::admits(now, leaves_at.len()) {
            let wait = WAIT.min(outage.saturating_sub(now));
            leaves_at.push(now + wait);
            wait
        } else {
            Duration::ZERO
        };
        waits.push((now, wait));
        now += ARRIVAL_INTERVAL;
    }
    waits
}

/// Guards against refusals during a normal replacement of a primary, for which statements should
/// wait.
#[test]
fn statements_wait_for_a_primary_that_is_being_replaced() {
    let waits = waits_during(REPLACEMENT_TIME);

    assert!(waits.iter().all(|(_, wait)| !wait.is_zero()));
}

/// Guards against callers that wait in vain for a primary that this host has not reached for long,
/// and against a host that no longer notices when the primary is back.
#[test]
fn few_statements_wait_for_a_primary_that_stays_away() {
    let waits = waits_during(REPLACEMENT_TIME + Duration::from_secs(10));

    let later = waits.iter().filter(|(at, _)| *at >= REPLACEMENT_TIME);
    let waiting: Vec<_> = later.clone().filter(|(_, wait)| !wait.is_zero()).collect();
    let refused_at_once = later.count() - waiting.len();
    // Two probes at a time, each for 250 ms: 8 a second of 400.
    assert!(refused_at_once * 100 >= waits.len() * 75);
    let gaps = waiting
        .windows(2)
        .map(|pair| pair[1].0.saturating_sub(pair[0].0));
    assert!(gaps.max().expect("probes") <= WAIT + ARRIVAL_INTERVAL);
    assert_eq!(PROBES, 2);
}
