//! Configuration patches and their distribution, on an in-memory platform and network.

mod fixture;

use fixture::{Cluster, account, patch, put, version, wait_until};
use fulmargw_control::configuration::Error;
use fulmargw_decision::patch;
use fulmargw_model::{
    client_account::Digest,
    configuration::{Change, Patch, Version},
    name::Name,
};
use std::time::Duration;
use tokio::time::{Instant, sleep};

fn withdrawal(base: u64, id: &str) -> Patch {
    let change = Change::WithdrawKey {
        account: Name::new("shop"),
        digest: Digest::of(b"secret"),
    };
    patch(base, id, change)
}

/// Guards against hosts that have no configuration document while the store is empty.
#[tokio::test(start_paused = true)]
async fn the_first_configuration_is_empty() {
    let cluster = Cluster::default();

    let agents = cluster.start_fleet(2).await;

    wait_until("the document is known", || version(&agents[1]) == Some(0)).await;
    assert!(agents[0].configuration().borrow().accounts.is_empty());
}

/// Guards against a patch that reports success before it is in force.
#[tokio::test(start_paused = true)]
async fn an_accepted_patch_names_the_hosts_that_have_it() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;

    let patch = put(0, "p1", account("shop", 10.0, 10.0, &["secret"]));
    let accepted = agents[0].patch(patch).await.expect("the patch is valid");

    assert_eq!(accepted.version, Version(1));
    assert_eq!(accepted.in_force.len(), 4);
    assert!(agents.iter().all(|agent| version(agent) == Some(1)));
}

/// Guards against a patch for an older version that is applied to the current one.
#[tokio::test(start_paused = true)]
async fn a_stale_patch_is_refused_with_the_current_version() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(2).await;
    let first = put(0, "p1", account("shop", 10.0, 10.0, &[]));
    agents[0].patch(first).await.expect("the patch is valid");

    let stale = agents[1]
        .patch(put(0, "p2", account("shop", 20.0, 10.0, &[])))
        .await;

    let expected = patch::Error::Stale {
        base: Version(0),
        current: Version(1),
    };
    assert_eq!(stale, Err(Error::Refused(expected)));
}

/// Guards against two accepted patches for one base version.
#[tokio::test(start_paused = true)]
async fn only_one_of_two_concurrent_patches_is_accepted() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;

    let (left, right) = tokio::join!(
        agents[0].patch(put(0, "left", account("shop", 1.0, 1.0, &[]))),
        agents[1].patch(put(0, "right", account("shop", 2.0, 1.0, &[]))),
    );

    assert!(left.is_ok() != right.is_ok(), "{left:?} {right:?}");
    let accepted = if left.is_ok() { "left" } else { "right" };
    let all = || {
        agents
            .iter()
            .all(|agent| agent.configuration().borrow().patch == accepted)
    };
    wait_until("the accepted patch is in force", all).await;
}

/// Guards against a patch that is refused or applied twice because the response of the store to
/// its commit is lost.
#[tokio::test(start_paused = true)]
async fn a_lost_commit_response_is_resolved_by_the_patch_id() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(2).await;

    cluster.lose_responses(1);
    let patch = put(0, "p1", account("shop", 10.0, 10.0, &[]));
    let first = agents[0].patch(patch.clone()).await;
    let again = agents[1].patch(patch).await;

    assert_eq!(first.expect("it was stored").version, Version(1));
    assert_eq!(again.expect("it was stored before").version, Version(1));
}

/// Guards against a withdrawn API key that some host still accepts seconds later.
#[tokio::test(start_paused = true)]
async fn the_withdrawal_of_a_key_reaches_every_host_in_time() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;
    let first = put(0, "p1", account("shop", 10.0, 10.0, &["secret"]));
    agents[0].patch(first).await.expect("the patch is valid");

    // Host d cannot be sent the document. It has to learn of the version from another host.
    cluster.set_partitioned("a", "d", true);
    cluster.set_store_partitioned("d", true);
    let start = Instant::now();
    let accepted = agents[0].patch(withdrawal(1, "p2")).await;
    accepted.expect("the patch is valid");
    let all = || {
        let accepts = |agent: &fixture::TestAgent| {
            agent.configuration().borrow().accounts["shop"].accepts(b"secret")
        };
        !agents.iter().any(accepts)
    };
    wait_until("no host accepts the key", all).await;

    assert!(start.elapsed() <= Duration::from_secs(2));
}

/// Guards against a host that serves keyed routes although it knows of a newer version that it
/// cannot obtain.
#[tokio::test(start_paused = true)]
async fn an_unobtainable_version_disables_keyed_routes_until_its_notice_expires() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;
    wait_until("documents are known", || {
        agents.iter().all(|agent| version(agent) == Some(0))
    })
    .await;

    // The advance notice arrives, then the sending host crashes and the store is unreachable.
    let patch = tokio::spawn({
        let agent = agents[0].clone();
        async move {
            agent
                .patch(put(0, "p1", account("shop", 1.0, 1.0, &[])))
                .await
        }
    });
    wait_until("the advance notice arrived", || {
        !agents[1].dump().newer_versions_ms.is_empty()
    })
    .await;
    cluster.set_store_down(true);
    cluster.crash(&agents[0]);
    patch.abort();
    let stopped = wait_until("keyed routes are disabled", || {
        !agents[1].has_valid_lease(Instant::now())
    })
    .await;
    let resumed = wait_until("the advance notice expires", || {
        agents[1].has_valid_lease(Instant::now())
    })
    .await;

    assert!(stopped <= Duration::from_millis(2_100), "{stopped:?}");
    assert!(resumed <= Duration::from_millis(8_100), "{resumed:?}");
    assert!(resumed >= Duration::from_millis(7_500), "{resumed:?}");
}

/// Guards against an advance notice that disables keyed routes on hosts that can read the store.
#[tokio::test(start_paused = true)]
async fn a_readable_store_keeps_keyed_routes_enabled() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;

    let agent = agents[0].clone();
    let patch = tokio::spawn(async move {
        agent
            .patch(put(0, "p1", account("shop", 1.0, 1.0, &[])))
            .await
    });
    wait_until("the advance notice arrived", || {
        !agents[1].dump().newer_versions_ms.is_empty()
    })
    .await;
    patch.abort();
    cluster.crash(&agents[0]);

    for _ in 0..120 {
        sleep(Duration::from_millis(100)).await;
        assert!(agents[1].has_valid_lease(Instant::now()));
    }
}

/// Guards against a restarted host that obtains an older configuration from its peers.
#[tokio::test(start_paused = true)]
async fn a_restart_during_a_store_outage_keeps_the_newest_configuration() {
    let cluster = Cluster::default();
    let mut agents = cluster.start_fleet(4).await;
    let first = put(0, "p1", account("shop", 10.0, 10.0, &["secret"]));
    agents[0].patch(first).await.expect("the patch is valid");
    let second = agents[0].patch(withdrawal(1, "p2")).await;
    second.expect("the patch is valid");

    cluster.set_store_down(true);
    cluster.crash(&agents[3]);
    agents[3] = cluster.start("d", 4);
    wait_until("a document is known", || version(&agents[3]).is_some()).await;

    assert_eq!(version(&agents[3]), Some(2));
    assert!(!agents[3].has_valid_lease(Instant::now()));
    cluster.set_store_down(false);
    wait_until("it has a share", || agents[3].share_divisor() == Some(4)).await;
    assert_eq!(version(&agents[3]), Some(2));
}

/// Guards against a restarted host that takes a configuration from fewer members than the
/// removal quorum.
#[tokio::test(start_paused = true)]
async fn a_restarted_host_that_reaches_one_member_serves_nothing() {
    let cluster = Cluster::default();
    let mut agents = cluster.start_fleet(4).await;
    let first = put(0, "p1", account("shop", 10.0, 10.0, &["secret"]));
    agents[0].patch(first).await.expect("the patch is valid");

    cluster.set_store_down(true);
    cluster.crash(&agents[3]);
    cluster.set_partitioned("a", "d", true);
    cluster.set_partitioned("b", "d", true);
    agents[3] = cluster.start("d", 4);
    sleep(Duration::from_secs(10)).await;

    assert_eq!(version(&agents[3]), None);
    assert!(!agents[3].has_valid_lease(Instant::now()));
}

/// Guards against a patch that is stored although too few members got advance notice of it.
#[tokio::test(start_paused = true)]
async fn a_patch_without_enough_advance_notices_is_not_stored() {
    let cluster = Cluster::default();
    let agents = cluster.start_fleet(4).await;

    cluster.set_partitioned("a", "b", true);
    cluster.set_partitioned("a", "c", true);
    let refused = agents[0]
        .patch(put(0, "p1", account("shop", 1.0, 1.0, &[])))
        .await;

    assert!(
        matches!(refused, Err(Error::TooFewNotified { .. })),
        "{refused:?}"
    );
    sleep(Duration::from_secs(5)).await;
    assert!(agents.iter().all(|agent| version(agent) == Some(0)));
}
