//! What answers say of a backend server.

use fulmargw_pool::belief::{Belief, DROPPED, SILENCE, STUCK, Trouble};
use std::time::Duration;
use tokio::time::Instant;

/// Guards against a dark server that keeps getting work.
#[tokio::test(start_paused = true)]
async fn a_server_without_any_answer_is_silent() {
    let base = Instant::now();
    let mut belief = Belief::new();
    belief.sent(false, base);

    assert!(belief.is_usable(base + SILENCE / 2));
    let later = base + SILENCE;
    assert!(!belief.is_usable(later));
    assert_eq!(belief.trouble(later), Some((Trouble::Silent, SILENCE)));
}

/// Guards against one slow statement that makes a server look dark.
#[tokio::test(start_paused = true)]
async fn answers_to_others_show_that_a_server_is_alive() {
    let base = Instant::now();
    let mut belief = Belief::new();
    belief.sent(false, base);
    let other = belief.sent(false, base);
    belief.answered(other, base + SILENCE / 2);

    assert_eq!(belief.trouble(base + SILENCE), None);
}

/// Guards against a primary without replicas, which answers reads but acknowledges nothing.
#[tokio::test(start_paused = true)]
async fn a_primary_that_acknowledges_no_commit_is_stuck() {
    let base = Instant::now();
    let mut belief = Belief::new();
    belief.sent(true, base);
    let read = belief.sent(false, base + STUCK / 2);
    belief.answered(read, base + STUCK * 9 / 10);

    let trouble = belief.trouble(base + STUCK);

    assert_eq!(trouble.map(|(kind, _)| kind), Some(Trouble::Stuck));
}

/// Guards against a server that is tried without pause, and against one that never is again.
#[tokio::test(start_paused = true)]
async fn failures_pause_a_server_until_it_answers() {
    let base = Instant::now();
    let mut belief = Belief::new();
    belief.failed(base);

    assert!(!belief.is_usable(base));
    let second = base + Duration::from_secs(1);
    assert!(belief.is_usable(second));
    let age = Duration::from_secs(1);
    assert_eq!(belief.trouble(second), Some((Trouble::Unreachable, age)));
    let ticket = belief.sent(false, second);
    belief.answered(ticket, second);
    assert_eq!(belief.trouble(second), None);
}

/// Guards against a promotion because a server with too many connections drops new ones.
#[tokio::test(start_paused = true)]
async fn a_server_that_turns_connections_away_is_not_in_trouble() {
    let base = Instant::now();
    let mut belief = Belief::new();
    belief.turned_away(base);
    belief.turned_away(base);

    let later = base + Duration::from_secs(5);
    assert_eq!(belief.trouble(later), None);
    assert!(belief.is_usable(base));
    assert!(!belief.may_open(base + Duration::from_millis(99)));
    assert!(belief.may_open(base + Duration::from_millis(100)));
}

/// Guards against a crashed primary that is never replaced, because something before it accepts
/// connections and drops them; and against one replaced because it is full for a time.
#[tokio::test(start_paused = true)]
async fn a_server_that_only_drops_connections_is_unreachable_in_the_end() {
    let base = Instant::now();
    let mut belief = Belief::new();
    belief.dropped(base);
    let almost = base + DROPPED - Duration::from_millis(1);
    belief.dropped(almost);

    assert_eq!(belief.trouble(almost), None);
    let trouble = belief.trouble(base + DROPPED);
    assert_eq!(trouble, Some((Trouble::Unreachable, DROPPED)));
}

/// Guards against a promotion because a server drops some connections and answers others.
#[tokio::test(start_paused = true)]
async fn a_server_that_answers_between_drops_is_reachable() {
    let base = Instant::now();
    let refusal: fn(&mut Belief, Instant) = Belief::turned_away;
    let answer: fn(&mut Belief, Instant) = |belief, now| {
        let ticket = belief.sent(false, now);
        belief.answered(ticket, now);
    };

    for says in [refusal, answer] {
        let mut belief = Belief::new();
        belief.dropped(base);
        says(&mut belief, base + DROPPED / 2);
        belief.dropped(base + DROPPED / 2);
        assert_eq!(belief.trouble(base + DROPPED), None);
    }
}

/// Guards against hosts that keep a full server busy with statements that it refuses.
#[tokio::test(start_paused = true)]
async fn each_refusal_in_a_row_makes_the_pause_longer() {
    let base = Instant::now();
    let mut belief = Belief::new();
    for _ in 0..4 {
        belief.was_busy(base);
    }

    assert!(!belief.is_usable(base + Duration::from_millis(59)));
    assert!(belief.is_usable(base + Duration::from_millis(60)));
    belief.was_free();
    let later = base + Duration::from_secs(1);
    belief.was_busy(later);
    assert!(belief.is_usable(later + Duration::from_millis(15)));
}
