//! What answers say of a backend server.

use fulmargw_pool::health::{COMMIT_TIMEOUT, DROP_TIMEOUT, Health, SILENCE_TIMEOUT, Trouble};
use std::time::Duration;
use tokio::time::Instant;

/// Guards against a dark server that keeps getting work.
#[tokio::test(start_paused = true)]
async fn a_server_without_any_answer_is_silent() {
    let base = Instant::now();
    let mut health = Health::new();
    health.record_sent(false, base);

    assert!(health.is_usable(base + SILENCE_TIMEOUT / 2));
    let later = base + SILENCE_TIMEOUT;
    assert!(!health.is_usable(later));
    assert_eq!(
        health.trouble(later),
        Some((Trouble::Silent, SILENCE_TIMEOUT))
    );
}

/// Guards against one slow statement that makes a server look dark.
#[tokio::test(start_paused = true)]
async fn answers_to_others_show_that_a_server_is_alive() {
    let base = Instant::now();
    let mut health = Health::new();
    health.record_sent(false, base);
    let other = health.record_sent(false, base);
    health.record_response(other, base + SILENCE_TIMEOUT / 2);

    assert_eq!(health.trouble(base + SILENCE_TIMEOUT), None);
}

/// Guards against a primary without replicas, which answers reads but acknowledges nothing.
#[tokio::test(start_paused = true)]
async fn a_primary_that_acknowledges_no_commit_is_stuck() {
    let base = Instant::now();
    let mut health = Health::new();
    health.record_sent(true, base);
    let read = health.record_sent(false, base + COMMIT_TIMEOUT / 2);
    health.record_response(read, base + COMMIT_TIMEOUT * 9 / 10);

    let trouble = health.trouble(base + COMMIT_TIMEOUT);

    assert_eq!(trouble.map(|(kind, _)| kind), Some(Trouble::Stuck));
}

/// Guards against a server that is tried without pause, and against one that never is again.
#[tokio::test(start_paused = true)]
async fn failures_pause_a_server_until_it_answers() {
    let base = Instant::now();
    let mut health = Health::new();
    health.record_failure(base);

    assert!(!health.is_usable(base));
    let second = base + Duration::from_secs(1);
    assert!(health.is_usable(second));
    let age = Duration::from_secs(1);
    assert_eq!(health.trouble(second), Some((Trouble::Unreachable, age)));
    let ticket = health.record_sent(false, second);
    health.record_response(ticket, second);
    assert_eq!(health.trouble(second), None);
}

/// Guards against a promotion because a server with too many connections drops new ones.
#[tokio::test(start_paused = true)]
async fn a_server_that_turns_connections_away_is_not_in_trouble() {
    let base = Instant::now();
    let mut health = Health::new();
    health.record_connection_limit(base);
    health.record_connection_limit(base);

    let later = base + Duration::from_secs(5);
    assert_eq!(health.trouble(later), None);
    assert!(health.is_usable(base));
    assert!(!health.can_open(base + Duration::from_millis(99)));
    assert!(health.can_open(base + Duration::from_millis(100)));
}

/// Guards against a crashed primary that is never replaced, because something before it accepts
/// connections and drops them; and against one replaced because it is full for a time.
#[tokio::test(start_paused = true)]
async fn a_server_that_only_drops_connections_is_unreachable_in_the_end() {
    let base = Instant::now();
    let mut health = Health::new();
    health.record_drop(base);
    let almost = base + DROP_TIMEOUT - Duration::from_millis(1);
    health.record_drop(almost);

    assert_eq!(health.trouble(almost), None);
    let trouble = health.trouble(base + DROP_TIMEOUT);
    assert_eq!(trouble, Some((Trouble::Unreachable, DROP_TIMEOUT)));
}

/// Guards against a promotion because a server drops some connections and answers others.
#[tokio::test(start_paused = true)]
async fn a_server_that_answers_between_drops_is_reachable() {
    let base = Instant::now();
    let refusal: fn(&mut Health, Instant) = Health::record_connection_limit;
    let answer: fn(&mut Health, Instant) = |health, now| {
        let ticket = health.record_sent(false, now);
        health.record_response(ticket, now);
    };

    for says in [refusal, answer] {
        let mut health = Health::new();
        health.record_drop(base);
        says(&mut health, base + DROP_TIMEOUT / 2);
        health.record_drop(base + DROP_TIMEOUT / 2);
        assert_eq!(health.trouble(base + DROP_TIMEOUT), None);
    }
}

/// Guards against hosts that keep a full server busy with statements that it refuses.
#[tokio::test(start_paused = true)]
async fn each_refusal_in_a_row_makes_the_pause_longer() {
    let base = Instant::now();
    let mut health = Health::new();
    for _ in 0..4 {
        health.record_busy(base);
    }

    assert!(!health.is_usable(base + Duration::from_millis(59)));
    assert!(health.is_usable(base + Duration::from_millis(60)));
    health.record_free_slot();
    let later = base + Duration::from_secs(1);
    health.record_busy(later);
    assert!(health.is_usable(later + Duration::from_millis(15)));
}
