//! Retry budget and backoff.

use fulmargw_decision::retry::{self, Budget};
use quickcheck::quickcheck;
use std::time::Duration;
use tokio::time::Instant;

quickcheck! {
    /// Guards against retries that amplify an overload.
    fn retries_stay_within_the_budget(steps: Vec<(bool, u8)>) -> bool {
        let mut now = Instant::now();
        let mut budget = Budget::new(now);
        let (mut requests, mut retries) = (0_u64, 0_u64);

        for (is_retry, pause) in steps {
            // All steps stay within one interval, so that no count is discarded.
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

    /// Guards against a delay above its upper bound.
    fn delays_stay_below_their_upper_bound(retry: u32, random: f64) -> bool {
        let delay = retry::delay(retry, random);

        delay <= retry::max_delay(retry) && retry::max_delay(retry) <= Duration::from_millis(200)
    }
}

/// Guards against an exhausted budget that never recovers.
#[test]
fn exhausted_budget_recovers() {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    while budget.try_retry(now) {}

    let later = budget.try_retry(now + Duration::from_secs(30));

    assert!(later);
}

/// Guards against upper bounds that do not double from one retry to the next until the maximum.
#[test]
fn upper_bounds_double_until_the_maximum() {
    let bounds: Vec<_> = (0..6)
        .map(|retry| retry::max_delay(retry).as_millis())
        .collect();

    assert_eq!(bounds, [10, 20, 40, 80, 160, 200]);
}
