//! Patches and the spread of configurations over an in-memory platform and network.

mod fixture;

use fixture::{World, account, patch, put, until, version};
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

/// Guards against an empty store that leaves hosts without any document.
#[tokio::test(start_paused = true)]
async fn the_first_configuration_is_empty() {
    let world = World::default();

    let nodes = world.start_fleet(2).await;

    until("the document is known", || version(&nodes[1]) == Some(0)).await;
    assert!(nodes[0].configuration().borrow().accounts.is_empty());
}

/// Guards against a patch that reports success before it is in force.
#[tokio::test(start_paused = true)]
async fn an_accepted_patch_names_the_hosts_that_have_it() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;

    let patch = put(0, "p1", account("shop", 10.0, 10.0, &["secret"]));
    let accepted = nodes[0].patch(patch).await.expect("the patch is valid");

    assert_eq!(accepted.version, Version(1));
    assert_eq!(accepted.in_force.len(), 4);
    assert!(nodes.iter().all(|node| version(node) == Some(1)));
}

/// Guards against a merged or applied patch that was made for an older version.
#[tokio::test(start_paused = true)]
async fn a_stale_patch_is_refused_with_the_current_version() {
    let world = World::default();
    let nodes = world.start_fleet(2).await;
    let first = put(0, "p1", account("shop", 10.0, 10.0, &[]));
    nodes[0].patch(first).await.expect("the patch is valid");

    let stale = nodes[1]
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
async fn one_of_two_racing_patches_wins() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;

    let (left, right) = tokio::join!(
        nodes[0].patch(put(0, "left", account("shop", 1.0, 1.0, &[]))),
        nodes[1].patch(put(0, "right", account("shop", 2.0, 1.0, &[]))),
    );

    assert!(left.is_ok() != right.is_ok(), "{left:?} {right:?}");
    let winner = if left.is_ok() { "left" } else { "right" };
    let all = || {
        nodes
            .iter()
            .all(|node| node.configuration().borrow().patch == winner)
    };
    until("the winner is in force", all).await;
}

/// Guards against a patch that is refused or applied twice when the answer is lost.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_resolved_by_the_patch_id() {
    let world = World::default();
    let nodes = world.start_fleet(2).await;

    world.lose_answers(1);
    let patch = put(0, "p1", account("shop", 10.0, 10.0, &[]));
    let first = nodes[0].patch(patch.clone()).await;
    let again = nodes[1].patch(patch).await;

    assert_eq!(first.expect("it was stored").version, Version(1));
    assert_eq!(again.expect("it was stored before").version, Version(1));
}

/// Guards against a withdrawn key that still works seconds later on some host.
#[tokio::test(start_paused = true)]
async fn a_withdrawn_key_reaches_every_host_in_time() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;
    let first = put(0, "p1", account("shop", 10.0, 10.0, &["secret"]));
    nodes[0].patch(first).await.expect("the patch is valid");

    // Host d gets no push: it has to hear of the version from another host or the store.
    world.cut("a", "d", true);
    world.cut_store("d", true);
    let start = Instant::now();
    let accepted = nodes[0].patch(withdrawal(1, "p2")).await;
    accepted.expect("the patch is valid");
    let all = || {
        let accepts = |node: &fixture::Node| {
            node.configuration().borrow().accounts["shop"].accepts(b"secret")
        };
        !nodes.iter().any(accepts)
    };
    until("no host accepts the key", all).await;

    assert!(start.elapsed() <= Duration::from_secs(2));
}

/// Guards against a host that serves although it knows of a version that it cannot get.
#[tokio::test(start_paused = true)]
async fn a_noted_version_that_nobody_has_stops_keyed_routes_for_a_while() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;
    until("documents are known", || {
        nodes.iter().all(|node| version(node) == Some(0))
    })
    .await;

    // The note arrives, then the accepting host and the store are gone.
    let patch = tokio::spawn({
        let node = nodes[0].clone();
        async move {
            node.patch(put(0, "p1", account("shop", 1.0, 1.0, &[])))
                .await
        }
    });
    until("the note arrived", || !nodes[1].dump().notes_ms.is_empty()).await;
    world.set_store_down(true);
    world.kill(&nodes[0]);
    patch.abort();
    let stopped = until("keyed routes stop", || {
        !nodes[1].has_valid_lease(Instant::now())
    })
    .await;
    let resumed = until("the note expires", || {
        nodes[1].has_valid_lease(Instant::now())
    })
    .await;

    assert!(stopped <= Duration::from_millis(2_100), "{stopped:?}");
    assert!(resumed <= Duration::from_millis(8_100), "{resumed:?}");
    assert!(resumed >= Duration::from_millis(7_500), "{resumed:?}");
}

/// Guards against a note that stops hosts which can read the store.
#[tokio::test(start_paused = true)]
async fn a_readable_store_keeps_keyed_routes_open() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;

    let node = nodes[0].clone();
    let patch = tokio::spawn(async move {
        node.patch(put(0, "p1", account("shop", 1.0, 1.0, &[])))
            .await
    });
    until("the note arrived", || !nodes[1].dump().notes_ms.is_empty()).await;
    patch.abort();
    world.kill(&nodes[0]);

    for _ in 0..120 {
        sleep(Duration::from_millis(100)).await;
        assert!(nodes[1].has_valid_lease(Instant::now()));
    }
}

/// Guards against a restarted host that brings back an older configuration.
#[tokio::test(start_paused = true)]
async fn a_restart_with_the_store_down_never_goes_back() {
    let world = World::default();
    let mut nodes = world.start_fleet(4).await;
    let first = put(0, "p1", account("shop", 10.0, 10.0, &["secret"]));
    nodes[0].patch(first).await.expect("the patch is valid");
    let second = nodes[0].patch(withdrawal(1, "p2")).await;
    second.expect("the patch is valid");

    world.set_store_down(true);
    world.kill(&nodes[3]);
    nodes[3] = world.start("d", 4);
    until("a document is known", || version(&nodes[3]).is_some()).await;

    assert_eq!(version(&nodes[3]), Some(2));
    assert!(!nodes[3].has_valid_lease(Instant::now()));
    world.set_store_down(false);
    until("it has a share", || nodes[3].share_divisor() == Some(4)).await;
    assert_eq!(version(&nodes[3]), Some(2));
}

/// Guards against a start-up that trusts fewer hosts than a consent set.
#[tokio::test(start_paused = true)]
async fn a_restart_that_reaches_one_host_serves_nothing() {
    let world = World::default();
    let mut nodes = world.start_fleet(4).await;
    let first = put(0, "p1", account("shop", 10.0, 10.0, &["secret"]));
    nodes[0].patch(first).await.expect("the patch is valid");

    world.set_store_down(true);
    world.kill(&nodes[3]);
    world.cut("a", "d", true);
    world.cut("b", "d", true);
    nodes[3] = world.start("d", 4);
    sleep(Duration::from_secs(10)).await;

    assert_eq!(version(&nodes[3]), None);
    assert!(!nodes[3].has_valid_lease(Instant::now()));
}

/// Guards against a patch that is stored although too few members heard of it.
#[tokio::test(start_paused = true)]
async fn a_patch_without_enough_notes_is_not_stored() {
    let world = World::default();
    let nodes = world.start_fleet(4).await;

    world.cut("a", "b", true);
    world.cut("a", "c", true);
    let refused = nodes[0]
        .patch(put(0, "p1", account("shop", 1.0, 1.0, &[])))
        .await;

    assert!(
        matches!(refused, Err(Error::TooFewNotified { .. })),
        "{refused:?}"
    );
    sleep(Duration::from_secs(5)).await;
    assert!(nodes.iter().all(|node| version(node) == Some(0)));
}
