//! Retry budget and backoff.

use fulmargw_decision::retry::{self, Budget};
use quickcheck::quickcheck;
use std::time::Duration;
use tokio::time::Instant;

quickcheck! {
    /// Guards against retries that multiply an overload.
    fn retries_stay_within_the_budget(steps: Vec<(bool, u8)>) -> bool {
        let mut now = Instant::now();
        let mut budget = Budget::new(now);
        let (mut requests, mut retries) = (0_u64, 0_u64);

        for (is_retry, pause) in steps {
            // Within one span, so that nothing is forgotten.
            now += Duration::from_micros(u64::from(pause));
            if is_retry {
                retries += u64::from(budget.try_retry(now));
            } else {
                budget.record_request(now);
                requests += 1;
            }
        }

        retries <= requests / 10 + 10
    }

    /// Guards against a delay outside of the bounds.
    fn delays_are_within_their_bounds(retry: u32, random: f64) -> bool {
        let delay = retry::delay(retry, random);

        delay <= retry::max_delay(retry) && retry::max_delay(retry) <= Duration::from_millis(200)
    }
}

/// Guards against a budget that never recovers.
#[test]
fn a_spent_budget_recovers() {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    while budget.try_retry(now) {}

    let later = budget.try_retry(now + Duration::from_secs(30));

    assert!(later);
}

/// Guards against bounds that do not double up to the greatest one.
#[test]
fn bounds_double() {
    let bounds: Vec<_> = (0..6)
        .map(|retry| retry::max_delay(retry).as_millis())
        .collect();

    assert_eq!(bounds, [10, 20, 40, 80, 160, 200]);
}
