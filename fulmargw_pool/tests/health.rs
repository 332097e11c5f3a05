//! Health of a backend server as its responses show it.

use fulmargw_pool::health::{COMMIT_TIMEOUT, DROP_TIMEOUT, Health, SILENCE_TIMEOUT, Trouble};
use std::time::Duration;
use tokio::time::Instant;

/// Guards against statements that are still sent to a server which no longer responds.
#[tokio::test(start_paused = true)]
async fn a_server_without_any_response_is_unresponsive() {
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

/// Guards against one slow statement that makes a working server count as unresponsive.
#[tokio::test(start_paused = true)]
async fn a_response_to_another_statement_shows_that_a_server_works() {
    let base = Instant::now();
    let mut health = Health::new();
    health.record_sent(false, base);
    let other = health.record_sent(false, base);
    health.record_response(other, base + SILENCE_TIMEOUT / 2);

    assert_eq!(health.trouble(base + SILENCE_TIMEOUT), None);
}

/// Guards against keeping a primary that lost its replicas: it runs reads but acknowledges no
/// commit.
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

/// Guards against reconnecting without a delay after a failure, and against never trying again.
#[tokio::test(start_paused = true)]
async fn a_failed_server_is_paused_until_it_responds() {
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

/// Guards against a promotion because a primary at its connection limit rejects new connections.
#[tokio::test(start_paused = true)]
async fn a_server_at_its_connection_limit_has_not_failed() {
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

/// Guards against a crashed primary that is never replaced, because a proxy in front of it still
/// accepts connections and closes them; and against replacing a primary that is at its connection
/// limit for a time.
#[tokio::test(start_paused = true)]
async fn a_server_that_drops_all_connections_becomes_unreachable() {
    let base = Instant::now();
    let mut health = Health::new();
    health.record_drop(base);
    let almost = base + DROP_TIMEOUT - Duration::from_millis(1);
    health.record_drop(almost);

    assert_eq!(health.trouble(almost), None);
    let trouble = health.trouble(base + DROP_TIMEOUT);
    assert_eq!(trouble, Some((Trouble::Unreachable, DROP_TIMEOUT)));
}

/// Guards against a promotion because a server drops some connections and responds to others.
#[tokio::test(start_paused = true)]
async fn a_server_that_responds_between_drops_is_reachable() {
    let base = Instant::now();
    let rejection: fn(&mut Health, Instant) = Health::record_connection_limit;
    let response: fn(&mut Health, Instant) = |health, now| {
        let ticket = health.record_sent(false, now);
        health.record_response(ticket, now);
    };

    for record in [rejection, response] {
        let mut health = Health::new();
        health.record_drop(base);
        record(&mut health, base + DROP_TIMEOUT / 2);
        health.record_drop(base + DROP_TIMEOUT / 2);
        assert_eq!(health.trouble(base + DROP_TIMEOUT), None);
    }
}

/// Guards against hosts that load a full server with statements that it rejects.
#[tokio::test(start_paused = true)]
async fn each_rejection_in_a_row_lengthens_the_delay() {
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

/// Guards against a commit barrier that reports to be settled while a commit has no response, and against
/// one that waits for statements that commit nothing.
#[tokio::test(start_paused = true)]
async fn only_commits_without_a_response_are_outstanding() {
    let base = Instant::now();
    let mut health = Health::new();
    health.record_sent(false, base);
    assert!(!health.has_outstanding_commit());

    let answered = health.record_sent(true, base);
    let given_up = health.record_sent(true, base);
    health.record_response(answered, base);
    assert!(health.has_outstanding_commit());
    health.forget(given_up);

    assert!(!health.has_outstanding_commit());
}
