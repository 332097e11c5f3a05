//! Membership and leases over an in-memory platform and network.

mod fixture;

use fixture::{World, account, admit, put, until};
use fulmargw_peer::{message::RemovalRequest, service::Handler};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Guards against hosts that use a share before the others reduced theirs.
#[tokio::test(start_paused = true)]
async fn joining_hosts_get_a_share_each() {
    let world = World::default();

    let nodes = world.start_fleet(4).await;

    let now = Instant::now();
    assert!(nodes.iter().all(|node| node.has_valid_lease(now)));
    assert!(nodes.iter().all(|node| node.share_divisor() == Some(4)));
}

/// Guards against a lease that depends on the store alone.
#[tokio::test(start_paused = true)]
async fn peers_keep_the_lease_through_a_store_outage() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;

    world.set_store_down(true);
    for _ in 0..200 {
        sleep(Duration::from_millis(50)).await;
        let now = Instant::now();
        assert!(nodes.iter().all(|node| node.has_valid_lease(now)));
    }
}

/// Guards against confirmations that wait behind slow calls to the store.
#[tokio::test(start_paused = true)]
async fn peers_keep_the_lease_while_the_store_is_slow() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;

    world.set_store_delay(Duration::from_secs(30));
    for _ in 0..200 {
        sleep(Duration::from_millis(50)).await;
        let now = Instant::now();
        assert!(nodes.iter().all(|node| node.has_valid_lease(now)));
    }
}

/// Guards against a joining host that uses a share which another one has not reduced.
#[tokio::test(start_paused = true)]
async fn a_joining_host_waits_for_every_member() {
    let world = World::default();
    world.start_fleet(3).await;

    world.cut("a", "d", true);
    let node = world.start("d", 4);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(node.share_divisor(), None);

    world.cut("a", "d", false);
    until("it has a share", || node.share_divisor() == Some(4)).await;
}

/// Guards against a share that is used while grants and connections from larger shares last.
#[tokio::test(start_paused = true)]
async fn a_joining_host_waits_for_older_shares() {
    let world = World::default();
    world.start_fleet(3).await;

    let node = world.start("d", 4);
    let waited = until("it has a share", || node.share_divisor() == Some(4)).await;

    assert!(waited >= Duration::from_millis(1_500), "{waited:?}");
}

/// Guards against a consenting member that confirms the lease of the host to be removed.
#[tokio::test(start_paused = true)]
async fn a_refused_host_gets_no_lease_until_it_joins_again() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;
    let before = nodes[3].dump();
    let removal = RemovalRequest {
        generation: before.fleet.expect("it is a member").generation,
        life: before.own.expect("it is a member"),
    };

    world.set_store_down(true);
    world.isolate("d", true);
    sleep(Duration::from_secs(2)).await;
    let consents = [&nodes[0], &nodes[1]].map(|node| node.consent(&removal));
    assert_eq!(consents, [true, true]);
    world.isolate("d", false);
    for _ in 0..100 {
        sleep(Duration::from_millis(50)).await;
        assert!(
            !nodes[3].has_valid_lease(Instant::now()),
            "{:#?}",
            nodes[3].dump()
        );
    }

    world.set_store_down(false);
    until("it joins again", || nodes[3].share_divisor() == Some(4)).await;
}

/// Guards against a consent to the removal of a host that was just confirmed.
#[tokio::test(start_paused = true)]
async fn no_member_consents_to_the_removal_of_a_live_host() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;
    let before = nodes[3].dump();
    let removal = RemovalRequest {
        generation: before.fleet.expect("it is a member").generation,
        life: before.own.expect("it is a member"),
    };

    assert!(!nodes[0].consent(&removal));
}

/// Guards against a host that serves after it has lost all contact.
#[tokio::test(start_paused = true)]
async fn a_cut_off_host_loses_its_lease_in_time() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;

    world.isolate("d", true);
    let lost = until("the lease ends", || {
        !nodes[3].has_valid_lease(Instant::now())
    })
    .await;

    assert!(lost <= Duration::from_millis(1_500), "lost after {lost:?}");
    assert_eq!(nodes[3].share_divisor(), None);
}

/// Guards against shares of dead hosts that never return, or return too early.
#[tokio::test(start_paused = true)]
async fn the_share_of_a_dead_host_returns() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;

    world.kill(&nodes[3]);
    let returned = until("the share returns", || {
        nodes[..3]
            .iter()
            .all(|node| node.share_divisor() == Some(3))
    })
    .await;

    assert!(returned >= Duration::from_secs(3), "{returned:?}");
    assert!(returned <= Duration::from_secs(5), "{returned:?}");
}

/// Guards against an admission by a host that others have removed while it could not run.
#[tokio::test(start_paused = true)]
async fn a_removed_host_uses_nothing_until_it_joins_again() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;
    let accepted = nodes[0]
        .patch(put(0, "p1", account("shop", 40.0, 40.0, &[])))
        .await;
    accepted.expect("the patch is valid");
    sleep(Duration::from_secs(2)).await;

    world.isolate("d", true);
    until("the others use the share", || {
        nodes[0].share_divisor() == Some(3)
    })
    .await;
    let admitted = admit(&nodes[3], "shop").await;

    assert!(!admitted, "a removed host admitted a request");
    world.isolate("d", false);
    until("it joins again", || nodes[3].share_divisor() == Some(4)).await;
    let at_once = nodes[3].admit(&"shop".into(), Instant::now()).await;
    assert!(at_once.is_err(), "the new life started with tokens");
    assert!(admit(&nodes[3], "shop").await);
}

/// Guards against a paused process that takes late answers for a valid lease.
#[tokio::test(start_paused = true)]
async fn a_paused_host_uses_nothing_when_it_resumes() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;
    let patch = put(0, "p1", account("shop", 40.0, 40.0, &[]));
    nodes[0].patch(patch).await.expect("the patch is valid");

    world.freeze("d", true);
    until("the others use the share", || {
        nodes[0].share_divisor() == Some(3)
    })
    .await;
    world.freeze("d", false);
    for _ in 0..50 {
        let now = Instant::now();
        let joined_again = nodes[0].share_divisor() == Some(4);
        assert!(joined_again || !nodes[3].has_valid_lease(now));
        assert!(joined_again || !admit(&nodes[3], "shop").await);
        sleep(Duration::from_millis(2)).await;
    }

    until("it joins again", || nodes[3].share_divisor() == Some(4)).await;
}

/// Guards against a removal that is written twice or given up when its answer is lost.
#[tokio::test(start_paused = true)]
async fn lost_answers_of_the_store_do_not_stop_a_removal() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;

    world.kill(&nodes[3]);
    world.lose_answers(1);

    until("the share returns", || {
        nodes[..3]
            .iter()
            .all(|node| node.share_divisor() == Some(3))
    })
    .await;
    let generations = nodes[..3].iter().map(|node| node.dump().fleet);
    let members = generations.map(|fleet| fleet.map(|fleet| fleet.members.len()));
    assert!(members.into_iter().all(|count| count == Some(3)));
}

/// Guards against a restarted host that waits for the removal of its own old life.
#[tokio::test(start_paused = true)]
async fn a_restarted_host_replaces_its_old_life() {
    let world = World::default();
    let mut nodes = world.start_fleet(4).await;

    world.kill(&nodes[1]);
    nodes[1] = world.start("b", 2);
    let active = until("it has a share", || nodes[1].share_divisor() == Some(4)).await;

    assert!(active <= Duration::from_secs(3), "{active:?}");
}

/// Guards against a graceful stop that leaves the share to the removal by others.
#[tokio::test(start_paused = true)]
async fn a_leaving_host_returns_its_share() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;

    nodes[3].drain().await.expect("the store is up");
    nodes[3].leave().await.expect("the store is up");
    let returned = until("the share returns", || {
        nodes[..3]
            .iter()
            .all(|node| node.share_divisor() == Some(3))
    })
    .await;

    assert!(returned <= Duration::from_millis(2_100), "{returned:?}");
}

/// Guards against a host without peers that keeps changing the record for all others.
#[tokio::test(start_paused = true)]
async fn a_host_that_reaches_only_the_store_does_not_disturb() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;

    let before = world.commits();
    for other in ["a", "b", "c"] {
        world.cut(other, "d", true);
    }
    for _ in 0..600 {
        sleep(Duration::from_millis(100)).await;
        let now = Instant::now();
        assert!(nodes[..3].iter().all(|node| node.has_valid_lease(now)));
    }

    let changes = world.commits() - before;
    assert!(changes <= 30, "{changes} changes in a minute");
    for other in ["a", "b", "c"] {
        world.cut(other, "d", false);
    }
    until("it has a share again", || {
        nodes[3].share_divisor() == Some(4)
    })
    .await;
}

/// Guards against the removal of a host that only one other host cannot reach.
#[tokio::test(start_paused = true)]
async fn a_single_broken_way_removes_nobody() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;

    world.cut("a", "b", true);
    for _ in 0..100 {
        sleep(Duration::from_millis(100)).await;
        let now = Instant::now();
        assert!(nodes.iter().all(|node| node.has_valid_lease(now)));
        assert!(nodes.iter().all(|node| node.share_divisor() == Some(4)));
    }
}
