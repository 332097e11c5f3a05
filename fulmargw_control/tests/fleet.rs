//! Membership and leases, on an in-memory platform and network.

mod fixture;

use fixture::{Cluster, account, admit, put, wait_until};
use fulmargw_peer::{message::RemovalRequest, service::Handler};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Guards against joining hosts that use a share before the others have reduced theirs.
#[tokio::test(start_paused = true)]
async fn joining_hosts_get_a_share_each() {
    let cluster = Cluster::default();

    let agents = cluster.start_fleet(4).await;

    let now = Instant::now();
    assert!(agents.iter().all(|agent| agent.has_valid_lease(now)));
    assert!(agents.iter().all(|agent| agent.share_divisor() == Some(4)));
}

/// Guards against a lease that depends on the store alone.
#[tokio::test(start_paused = true)]
async fn hosts_keep_their_leases_during_a_store_outage() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;

    cluster.set_store_down(true);
    for _ in 0..200 {
        sleep(Duration::from_millis(50)).await;
        let now = Instant::now();
        assert!(agents.iter().all(|agent| agent.has_valid_lease(now)));
    }
}

/// Guards against lease requests that wait for slow calls to the store.
#[tokio::test(start_paused = true)]
async fn hosts_keep_their_leases_while_the_store_is_slow() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;

    cluster.set_store_delay(Duration::from_secs(30));
    for _ in 0..200 {
        sleep(Duration::from_millis(50)).await;
        let now = Instant::now();
        assert!(agents.iter().all(|agent| agent.has_valid_lease(now)));
    }
}

/// Guards against a joining host that uses a share before an unreachable member has reduced its
/// own.
#[tokio::test(start_paused = true)]
async fn a_joining_host_waits_for_every_member() {
    let cluster = Cluster::default();
    cluster.start_fleet(3).await;

    cluster.set_partitioned("a", "d", true);
    let agent = cluster.start("d", 4);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(agent.share_divisor(), None);

    cluster.set_partitioned("a", "d", false);
    wait_until("it has a share", || agent.share_divisor() == Some(4)).await;
}

/// Guards against a share that is used while grants and connections from the older, larger
/// shares are still in use.
#[tokio::test(start_paused = true)]
async fn a_joining_host_waits_until_older_shares_expire() {
    let cluster = Cluster::default();
    cluster.start_fleet(3).await;

    let agent = cluster.start("d", 4);
    let waited = wait_until("it has a share", || agent.share_divisor() == Some(4)).await;

    assert!(waited >= Duration::from_millis(1_500), "{waited:?}");
}

/// Guards against a witness that confirms the lease of an instance to whose removal it has
/// consented.
#[tokio::test(start_paused = true)]
async fn a_revoked_instance_gets_no_lease_until_the_host_joins_again() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;
    let before = agents[3].dump();
    let request = RemovalRequest {
        generation: before.fleet.expect("it is a member").generation,
        instance: before.own.expect("it is a member"),
    };

    cluster.set_store_down(true);
    cluster.set_isolated("d", true);
    sleep(Duration::from_secs(2)).await;
    let consents = [&agents[0], &agents[1]].map(|agent| agent.consent(&request));
    assert_eq!(consents, [true, true]);
    cluster.set_isolated("d", false);
    for _ in 0..100 {
        sleep(Duration::from_millis(50)).await;
        assert!(
            !agents[3].has_valid_lease(Instant::now()),
            "{:#?}",
            agents[3].dump()
        );
    }

    cluster.set_store_down(false);
    wait_until("it joins again", || agents[3].share_divisor() == Some(4)).await;
}

/// Guards against a consent to the removal of a host whose lease was just confirmed.
#[tokio::test(start_paused = true)]
async fn no_member_consents_to_the_removal_of_a_responsive_host() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;
    let before = agents[3].dump();
    let request = RemovalRequest {
        generation: before.fleet.expect("it is a member").generation,
        instance: before.own.expect("it is a member"),
    };

    assert!(!agents[0].consent(&request));
}

/// Guards against a host that serves although it reaches neither peers nor the store.
#[tokio::test(start_paused = true)]
async fn an_isolated_host_loses_its_lease_in_time() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;

    cluster.set_isolated("d", true);
    let lost = wait_until("the lease ends", || {
        !agents[3].has_valid_lease(Instant::now())
    })
    .await;

    assert!(lost <= Duration::from_millis(1_500), "lost after {lost:?}");
    assert_eq!(agents[3].share_divisor(), None);
}

/// Guards against the share of a crashed host that is never freed, or freed while its lease may
/// be valid.
#[tokio::test(start_paused = true)]
async fn the_share_of_a_crashed_host_is_freed() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;

    cluster.crash(&agents[3]);
    let freed_after = wait_until("the share is freed", || {
        agents[..3]
            .iter()
            .all(|agent| agent.share_divisor() == Some(3))
    })
    .await;

    assert!(freed_after >= Duration::from_secs(3), "{freed_after:?}");
    assert!(freed_after <= Duration::from_secs(5), "{freed_after:?}");
}

/// Guards against admissions by a host that the others removed while it was isolated.
#[tokio::test(start_paused = true)]
async fn a_removed_host_admits_nothing_until_it_joins_again() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;
    let accepted = agents[0]
        .patch(put(0, "p1", account("shop", 40.0, 40.0, &[])))
        .await;
    accepted.expect("the patch is valid");
    sleep(Duration::from_secs(2)).await;

    cluster.set_isolated("d", true);
    wait_until("the others use the share", || {
        agents[0].share_divisor() == Some(3)
    })
    .await;
    let admitted = admit(&agents[3], "shop").await;

    assert!(!admitted, "a removed host admitted a request");
    cluster.set_isolated("d", false);
    wait_until("it joins again", || agents[3].share_divisor() == Some(4)).await;
    let at_once = agents[3].admit(&"shop".into(), Instant::now()).await;
    assert!(at_once.is_err(), "the new instance started with tokens");
    assert!(admit(&agents[3], "shop").await);
}

/// Guards against a resumed process whose lease becomes valid through late responses.
#[tokio::test(start_paused = true)]
async fn a_resumed_host_admits_nothing_until_it_joins_again() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;
    let patch = put(0, "p1", account("shop", 40.0, 40.0, &[]));
    agents[0].patch(patch).await.expect("the patch is valid");

    cluster.set_paused("d", true);
    wait_until("the others use the share", || {
        agents[0].share_divisor() == Some(3)
    })
    .await;
    cluster.set_paused("d", false);
    for _ in 0..50 {
        let now = Instant::now();
        let joined_again = agents[0].share_divisor() == Some(4);
        assert!(joined_again || !agents[3].has_valid_lease(now));
        assert!(joined_again || !admit(&agents[3], "shop").await);
        sleep(Duration::from_millis(2)).await;
    }

    wait_until("it joins again", || agents[3].share_divisor() == Some(4)).await;
}

/// Guards against a removal that is written twice or abandoned because the response of the store
/// is lost.
#[tokio::test(start_paused = true)]
async fn a_lost_commit_response_does_not_prevent_a_removal() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;

    cluster.crash(&agents[3]);
    cluster.lose_responses(1);

    wait_until("the share is freed", || {
        agents[..3]
            .iter()
            .all(|agent| agent.share_divisor() == Some(3))
    })
    .await;
    let generations = agents[..3].iter().map(|agent| agent.dump().fleet);
    let members = generations.map(|fleet| fleet.map(|fleet| fleet.members.len()));
    assert!(members.into_iter().all(|count| count == Some(3)));
}

/// Guards against a restarted host that waits for the removal of its own old instance.
#[tokio::test(start_paused = true)]
async fn a_restarted_host_replaces_its_old_instance() {
    let cluster = Cluster::default();
    let mut agents = cluster.start_fleet(4).await;

    cluster.crash(&agents[1]);
    agents[1] = cluster.start("b", 2);
    let active = wait_until("it has a share", || agents[1].share_divisor() == Some(4)).await;

    assert!(active <= Duration::from_secs(3), "{active:?}");
}

/// Guards against a graceful stop that frees the share only when the others remove the host.
#[tokio::test(start_paused = true)]
async fn a_leaving_host_frees_its_share() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;

    agents[3].drain().await.expect("the store is up");
    agents[3].leave().await.expect("the store is up");
    let freed_after = wait_until("the share is freed", || {
        agents[..3]
            .iter()
            .all(|agent| agent.share_divisor() == Some(3))
    })
    .await;

    assert!(
        freed_after <= Duration::from_millis(2_100),
        "{freed_after:?}"
    );
}

/// Guards against a host without peers that joins again and again, which changes the fleet record
/// for all others.
#[tokio::test(start_paused = true)]
async fn a_host_without_peers_rarely_changes_the_fleet_record() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;

    let before = cluster.commits();
    for other in ["a", "b", "c"] {
        cluster.set_partitioned(other, "d", true);
    }
    for _ in 0..600 {
        sleep(Duration::from_millis(100)).await;
        let now = Instant::now();
        assert!(agents[..3].iter().all(|agent| agent.has_valid_lease(now)));
    }

    let commits = cluster.commits() - before;
    assert!(commits <= 30, "{commits} commits in a minute");
    for other in ["a", "b", "c"] {
        cluster.set_partitioned(other, "d", false);
    }
    wait_until("it has a share again", || {
        agents[3].share_divisor() == Some(4)
    })
    .await;
}

/// Guards against the removal of a host that only one other host fails to reach.
#[tokio::test(start_paused = true)]
async fn a_partition_between_two_hosts_removes_no_member() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;

    cluster.set_partitioned("a", "b", true);
    for _ in 0..100 {
        sleep(Duration::from_millis(100)).await;
        let now = Instant::now();
        assert!(agents.iter().all(|agent| agent.has_valid_lease(now)));
        assert!(agents.iter().all(|agent| agent.share_divisor() == Some(4)));
    }
}
