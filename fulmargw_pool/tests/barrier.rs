//! The commit barrier of a service.

use fulmargw_pool::table::barrier::{Barrier, Ended, State};
use std::time::Duration;
use tokio::time::{Instant, advance};

const PERIOD: Duration = Duration::from_secs(4);

fn raised(token: u64, now: Instant) -> Barrier {
    let mut barrier = Barrier::default();
    assert!(barrier.raise(token, PERIOD, now));
    barrier
}

/// Guards against commits that are released between two promotion calls of one attempt, the first of
/// which may still take effect.
#[tokio::test(start_paused = true)]
async fn renewal_by_a_greater_token_keeps_what_waits() {
    let now = Instant::now();
    let mut barrier = raised(5, now);
    let wait = barrier.wait(now).expect("the barrier is up");
    let later = now + PERIOD / 2;

    assert!(barrier.raise(6, PERIOD, later));

    assert!(!wait.has_ended());
    let expected = State {
        token: 6,
        remaining: PERIOD,
        is_sealed: false,
    };
    assert_eq!(barrier.state(later), Some(expected));
}

/// Guards against a response that is passed on while the barrier is renewed.
#[tokio::test(start_paused = true)]
async fn a_sealed_barrier_stays_sealed_when_it_is_renewed() {
    let now = Instant::now();
    let mut barrier = raised(5, now);
    assert!(barrier.seal(5, now));

    assert!(barrier.raise(6, PERIOD, now));

    assert!(barrier.wait_sealed(now).is_some());
}

/// Guards against a late call of an earlier attempt that ends the barrier of the present one.
#[tokio::test(start_paused = true)]
async fn an_older_token_is_refused_and_lifts_nothing() {
    let now = Instant::now();
    let mut barrier = raised(5, now);
    let wait = barrier.wait(now).expect("the barrier is up");

    assert!(!barrier.raise(4, PERIOD * 2, now));
    assert_eq!(barrier.lift(4), None);
    assert!(!barrier.seal(4, now));

    assert!(!wait.has_ended());
    let state = barrier.state(now).expect("the barrier is up");
    assert_eq!((state.token, state.remaining), (5, PERIOD));
}

/// Guards against an older attempt that seals, and reports for, a barrier that a later one has taken
/// over.
#[tokio::test(start_paused = true)]
async fn a_barrier_is_sealed_only_with_its_own_token() {
    let now = Instant::now();
    let mut barrier = raised(5, now);
    assert!(barrier.raise(6, PERIOD, now));

    assert!(!barrier.seal(5, now));
    assert!(barrier.wait_sealed(now).is_none());
    assert!(barrier.seal(6, now));

    assert!(barrier.wait_sealed(now).is_some());
}

/// Guards against a barrier that a host raises again because a peer, which has not heard that it was lifted,
/// says that it is up.
#[tokio::test(start_paused = true)]
async fn a_lifted_token_is_remembered() {
    let mut barrier = raised(5, Instant::now());

    barrier.lift(5);

    assert!(barrier.was_lifted(4) && barrier.was_lifted(5));
    assert!(!barrier.was_lifted(6));
    assert!(!Barrier::default().was_lifted(0));
}

/// Guards against writes that stay held after the barrier is lifted.
#[tokio::test(start_paused = true)]
async fn lifting_wakes_what_waits() {
    let now = Instant::now();
    let mut barrier = raised(5, now);
    barrier.record_held();
    let wait = barrier.wait(now).expect("the barrier is up");
    let deadline = now + PERIOD * 2;
    let waiting = tokio::spawn(async move { (wait.wait(deadline).await, Instant::now()) });
    tokio::task::yield_now().await;
    advance(PERIOD / 4).await;

    assert_eq!(barrier.lift(7), Some(Ended { token: 5, held: 1 }));

    let (is_in_time, woken_at) = waiting.await.expect("the task ends");
    assert!(is_in_time);
    assert!(woken_at < now + PERIOD / 2);
    assert!(!barrier.is_up(now));
    assert_eq!(barrier.lift(7), None);
}

/// Guards against writes that are held for good after the host that raised the barrier has failed.
#[tokio::test(start_paused = true)]
async fn a_barrier_ends_after_its_period() {
    let now = Instant::now();
    let mut barrier = raised(5, now);
    assert!(barrier.seal(5, now));
    let wait = barrier.wait(now).expect("the barrier is up");
    assert_eq!(barrier.expire(now), None);
    let end = now + PERIOD;

    assert!(wait.wait(end + PERIOD).await);

    assert_eq!(Instant::now(), end);
    assert!(barrier.wait(end).is_none());
    assert!(!barrier.seal(5, end));
    assert_eq!(barrier.expire(end), Some(Ended { token: 5, held: 0 }));
}

/// Guards against a barrier of the past that refuses or seals the next one.
#[tokio::test(start_paused = true)]
async fn a_barrier_that_has_expired_does_not_matter_to_the_next_one() {
    let now = Instant::now();
    let mut barrier = raised(5, now);
    assert!(barrier.seal(5, now));
    let wait = barrier.wait(now).expect("the barrier is up");
    let end = now + PERIOD;

    assert!(barrier.raise(4, PERIOD, end));

    assert!(wait.has_ended());
    assert!(barrier.is_up(end));
    assert!(barrier.wait_sealed(end).is_none());
}

/// Guards against a caller that waits longer than the deadline of its statement.
#[tokio::test(start_paused = true)]
async fn waiting_ends_at_the_deadline() {
    let now = Instant::now();
    let barrier = raised(5, now);
    let wait = barrier.wait(now).expect("the barrier is up");
    let deadline = now + PERIOD / 4;

    assert!(!wait.wait(deadline).await);

    assert_eq!(Instant::now(), deadline);
}

/// Guards against a commit without a response at the seal, which the old primary acknowledges after
/// the barrier has ended.
#[tokio::test(start_paused = true)]
async fn a_commit_that_was_outstanding_at_the_seal_is_known_after_the_end() {
    let now = Instant::now();
    let sealed_at = now + PERIOD / 8;
    let mut barrier = raised(5, now);
    assert!(!barrier.was_sealed_since(now));
    assert!(barrier.seal(5, sealed_at));

    assert!(barrier.lift(5).is_some());

    assert!(barrier.was_sealed_since(now));
    assert!(!barrier.was_sealed_since(sealed_at + Duration::from_millis(1)));
}

/// Guards against a response to a commit that is passed on because the barrier that kept it has expired,
/// although the promotion for which it was raised has taken effect without the commit.
#[test]
fn only_a_barrier_that_was_lifted_releases_what_it_kept() {
    let start = Instant::now();
    let later = start + PERIOD;
    let (mut expired, mut lifted) = (Barrier::default(), Barrier::default());
    for barrier in [&mut expired, &mut lifted] {
        assert!(barrier.raise(7, PERIOD, start));
        assert!(barrier.seal(7, start));
        assert!(barrier.has_unlifted_seal());
    }

    assert!(expired.expire(later).is_some());
    assert!(lifted.lift(7).is_some());

    assert!(expired.has_unlifted_seal());
    assert!(!lifted.has_unlifted_seal());
}
