//! Choice of the replica that is promoted to primary.

use fulmargw_model::{
    name::Name,
    position::{Position, Term},
};
use fulmargw_pool::{
    backend::{Role, Status},
    promotion::{self, Evidence, Gap, Obstacle, Replica, Unresolved, Waits, attempt::Completeness},
};
use quickcheck::QuickCheck;
use std::time::Duration;
use tokio::time::Instant;

fn position(term: u64, index: u64) -> Position {
    Position {
        term: Term(term),
        index,
    }
}

fn replica(server: &str, received: u64) -> Replica {
    Replica {
        server: server.into(),
        is_draining: false,
        status: Some(Status {
            role: Role::Replica,
            term: Term(3),
            received: position(3, received),
            held: None,
        }),
    }
}

/// Returns what is known if the replicas together have every acknowledged commit.
fn evidence(acknowledged: Option<Position>) -> Evidence {
    Evidence {
        acknowledged,
        ..Evidence::default()
    }
}

/// Guards against the loss of a commit that only an unresponsive replica has received.
#[test]
fn all_replicas_have_to_respond() {
    let unresponsive = Replica {
        status: None,
        ..replica("b", 0)
    };

    let result = promotion::choose_candidate(&[replica("a", 10), unresponsive], Term(0), None);

    assert_eq!(result, Err(Obstacle::NoResponse("b".into())));
}

/// Guards against the promotion of a replica whose log is behind that of another one.
#[test]
fn the_replica_with_the_longest_log_is_promoted() {
    let replicas = [replica("a", 10), replica("b", 12), replica("c", 11)];

    let candidate = promotion::choose_candidate(&replicas, Term(0), None).expect("a candidate");

    assert_eq!(candidate.server, "b".into());
    assert_eq!(candidate.pause_term, Term(4));
}

/// Guards against the promotion of a server that is draining.
#[test]
fn a_draining_replica_is_not_promoted() {
    let draining = Replica {
        is_draining: true,
        ..replica("b", 12)
    };

    let candidate = promotion::choose_candidate(&[replica("a", 10), draining], Term(0), None);

    assert_eq!(candidate.expect("a candidate").server, "a".into());
}

/// Guards against the replacement of a primary that another host has promoted meanwhile.
#[test]
fn a_current_primary_is_not_replaced() {
    let mut primary = replica("b", 12);
    primary.status = Some(Status {
        role: Role::Primary,
        term: Term(4),
        received: position(4, 12),
        held: None,
    });

    let result = promotion::choose_candidate(&[replica("a", 10), primary], Term(0), None);

    assert_eq!(result, Err(Obstacle::AlreadyPrimary("b".into(), Term(4))));
}

/// Guards against the loss of an acknowledged commit: whatever the replicas had received when they
/// were paused, a log that includes all of their positions has every commit of each replica.
#[test]
fn a_log_that_includes_all_positions_includes_each_one() {
    fn property(candidate: (u8, u8), others: Vec<(u8, u8)>) -> bool {
        let own = position(candidate.0.into(), candidate.1.into());
        let others: Vec<Position> = others
            .into_iter()
            .map(|(term, index)| position(term.into(), index.into()))
            .collect();
        !promotion::includes_all(own, &others)
            || others
                .iter()
                .all(|other| own.term >= other.term && own.index >= other.index)
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(property as fn((u8, u8), Vec<(u8, u8)>) -> bool);
}

/// Guards against the loss of a commit that only a removed replica had received.
#[test]
fn a_candidate_needs_every_commit_known_to_be_acknowledged() {
    let candidate =
        promotion::choose_candidate(&[replica("a", 10)], Term(0), None).expect("a candidate");

    let unknown = promotion::check_complete(&candidate, &evidence(None));
    let complete = promotion::check_complete(&candidate, &evidence(Some(position(3, 10))));
    let lacking = promotion::check_complete(&candidate, &evidence(Some(position(3, 11))));

    assert_eq!(unknown, Ok(()));
    assert_eq!(complete, Ok(()));
    let behind = Obstacle::MissingCommits("a".into(), position(3, 10), position(3, 11));
    assert_eq!(lacking, Err(behind));
}

/// Guards against the loss of a commit that only a removed replica had received, if no host remembers
/// the position that was acknowledged, or if one that may know a greater one does not respond.
#[test]
fn a_removed_replica_is_made_up_for_only_by_the_knowledge_of_all_hosts() {
    let candidate =
        promotion::choose_candidate(&[replica("a", 10)], Term(0), None).expect("a candidate");
    let gap = Gap::Absent("b".into());
    let known = |acknowledged, is_exact| Evidence {
        acknowledged,
        is_exact,
        gap: Some(gap.clone()),
    };

    let forgotten = promotion::check_complete(&candidate, &known(None, false));
    let partly_known = promotion::check_complete(&candidate, &known(Some(position(3, 10)), false));
    let known = promotion::check_complete(&candidate, &known(Some(position(3, 10)), true));

    let obstacle = Obstacle::UnknownCommits("a".into(), gap);
    assert!(obstacle.awaits_primary());
    assert_eq!(forgotten, Err(obstacle.clone()));
    assert_eq!(partly_known, Err(obstacle));
    assert_eq!(known, Ok(()));
}

/// Guards against a promotion that waits for commits which an earlier promotion has lost: the log of
/// the later term is shorter, but has everything that is still acknowledged.
#[test]
fn commits_that_an_earlier_promotion_lost_are_not_awaited() {
    let candidate =
        promotion::choose_candidate(&[replica("a", 10)], Term(0), None).expect("a candidate");
    let lost = position(2, 12);
    let acknowledged = position(3, 9);

    let known = [lost.later(acknowledged), acknowledged.later(lost)];

    assert_eq!(known, [acknowledged; 2]);
    let checked = promotion::check_complete(&candidate, &evidence(Some(known[0])));
    assert_eq!(checked, Ok(()));
}

/// Guards against a second candidate while a promotion call for the first one may still take
/// effect: commits that only the second one receives would then be lost.
#[test]
fn the_candidate_of_an_unresolved_promotion_call_is_chosen_again() {
    let replicas = [replica("a", 10), replica("b", 12)];
    let earlier = "a".into();

    let candidate = promotion::choose_candidate(&replicas, Term(0), Some(&earlier));

    let candidate = candidate.expect("a candidate");
    assert_eq!(candidate.server, earlier);
}

/// Guards against a promotion that waits for an earlier candidate which was removed from the group.
#[test]
fn an_earlier_candidate_that_was_removed_is_ignored() {
    let replicas = [replica("a", 10), replica("b", 12)];
    let earlier = "removed".into();

    let candidate = promotion::choose_candidate(&replicas, Term(0), Some(&earlier));

    assert_eq!(candidate.expect("a candidate").server, "b".into());
}

/// Guards against replicas that are resumed while a call may take effect, because an earlier one of the same
/// service has been open for long.
#[test]
fn a_call_counts_as_over_some_time_after_it_was_last_sent() {
    let (service, server) = ("ledger".into(), "a".into());
    let start = Instant::now();
    let after = |seconds| start + Duration::from_secs(seconds);
    let mut unresolved = Unresolved::default();
    assert!(!unresolved.may_abandon(&service, start));
    unresolved.record(&service, &server, 5, start);
    unresolved.record_sent(&service, after(14));
    unresolved.record(&service, &server, 6, after(20));

    assert!(!unresolved.may_hold(&service, after(15)));
    assert!(!unresolved.may_abandon(&service, after(28)));
    assert!(unresolved.may_abandon(&service, after(29)));
}

/// Guards against attempts without end for a call that counts as over, each of which pauses the replicas.
#[test]
fn an_abandoned_call_is_forgotten() {
    let (service, server) = ("ledger".into(), "a".into());
    let now = Instant::now();
    let mut unresolved = Unresolved::default();
    unresolved.record(&service, &server, 5, now);

    unresolved.abandon(&service);

    assert!(!unresolved.contains(&service));
    assert!(unresolved.may_hold(&service, now));
}

/// Guards against the replacement of a working primary: a promotion call of this host without a response
/// stayed unresolved after another host had promoted a server with a greater token.
#[test]
fn an_accepted_call_of_another_host_settles_calls_with_smaller_tokens() {
    let (service, other) = ("s".into(), "other".into());
    let mut unresolved = Unresolved::default();
    let now = Instant::now();
    unresolved.record(&service, &"a".into(), 7, now);
    unresolved.record(&service, &"a".into(), 5, now);

    let by_older = unresolved.settle(&service, 6);
    let by_same = unresolved.settle(&service, 7);
    let of_other_service = unresolved.settle(&other, 8);
    assert!(!by_older && !by_same && !of_other_service);
    assert!(unresolved.contains(&service));

    assert!(unresolved.settle(&service, 8));
    assert!(!unresolved.contains(&service));
}

/// Guards against writes that are held although the promoted server leads, because nobody who knows of the
/// promotion is left, and against commits that pass while a call for another server may take effect.
#[test]
fn calls_are_settled_once_the_only_server_that_they_name_leads() {
    let (service, first, second) = ("s".into(), "first".into(), "second".into());
    let mut unresolved = Unresolved::default();
    let now = Instant::now();
    unresolved.record(&service, &first, 7, now);
    unresolved.record(&service, &second, 9, now);

    let by_other = unresolved.settle_leading(&service, &"other".into());
    let by_one = unresolved.settle_leading(&service, &first);
    assert_eq!((by_other, by_one), (None, None));
    assert!(unresolved.contains(&service));

    assert_eq!(unresolved.settle_leading(&service, &second), Some(9));
    assert!(!unresolved.contains(&service));
}

/// Guards against the loss of acknowledged commits because a call is taken for settled while the server that it
/// replaces still leads: the barriers are lifted, and the call takes effect a moment later.
#[test]
fn only_the_server_of_a_call_settles_it_by_leading() {
    let (candidate, replaced) = ("candidate".into(), "replaced".into());
    let leads = |server: &Name| Obstacle::AlreadyPrimary(server.clone(), Term(1));

    assert!(leads(&candidate).settles_call_for(&candidate));
    assert!(!leads(&replaced).settles_call_for(&candidate));
    assert!(!Obstacle::NoCandidate.settles_call_for(&candidate));
}

/// Guards against a commit that is acknowledged while a promotion call without a response may take effect,
/// and against writes that are held for ever because the platform is away.
#[test]
fn commits_are_held_for_some_time_while_a_promotion_call_is_open() {
    let service = "s".into();
    let start = Instant::now();
    let after = |seconds| start + Duration::from_secs(seconds);
    let mut unresolved = Unresolved::default();
    unresolved.record(&service, &"a".into(), 7, start);
    unresolved.record(&service, &"a".into(), 9, after(14));

    let at_once = unresolved.due_barriers(start);
    let later = unresolved.due_barriers(after(2));
    let again = unresolved.due_barriers(after(2));
    let last = unresolved.due_barriers(after(16));

    assert_eq!(at_once, []);
    assert_eq!(later, [(service, 9)]);
    assert_eq!(again, []);
    assert_eq!(last, []);
}

/// Guards against the promotion of an incomplete replica without a wait: the service had failed for another
/// reason before, and the time since then counted as the wait for the present primary.
#[test]
fn the_wait_for_one_primary_does_not_count_for_another() {
    let (service, first, second) = ("s".into(), "first".into(), "second".into());
    let start = Instant::now();
    let after = |seconds| start + Duration::from_secs(seconds);
    let mut waits = Waits::default();
    waits.begin(&service, Some(&first), start);
    waits.begin(&service, None, after(5));

    let lapsed = waits.completeness(&service, None, after(20));
    let of_other = waits.completeness(&service, Some(&second), after(20));
    waits.begin(&service, Some(&second), after(20));
    let too_early = waits.completeness(&service, Some(&second), after(39));
    let in_time = waits.completeness(&service, Some(&second), after(40));

    assert_eq!(lapsed, Completeness::LongestLog);
    assert_eq!(of_other, Completeness::AllAcknowledged);
    assert_eq!(too_early, Completeness::AllAcknowledged);
    assert_eq!(in_time, Completeness::LongestLog);
}
