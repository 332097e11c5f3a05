//! Removal of members that the platform has taken away, with its host list as evidence.

mod fixture;

use fixture::{Node, World, until};
use std::time::Duration;
use tokio::time::sleep;

const DEAD: [&str; 4] = ["a", "b", "c", "d"];

/// A host that the list shows and that is no member. The list must not be empty.
const OTHER: &str = "x";

/// Starts a fleet of four, ends the first `count` of them and starts two hosts at new
/// addresses. The list shows the four hosts for the next 20 s.
async fn replace(world: &World, count: usize) -> (Vec<Node>, [Node; 2]) {
    world.list(&DEAD);
    let old = world.start_fleet(4).await;
    for node in &old[..count] {
        world.kill(node);
    }
    let new = [world.start("e", 5), world.start("f", 6)];
    sleep(Duration::from_secs(20)).await;
    (old, new)
}

fn has_member(node: &Node, name: &str) -> bool {
    let record = node.dump().fleet.expect("the record is known");
    let mut names = record.members.iter().map(|member| &member.host.name);
    names.any(|listed| listed.as_str() == name)
}

fn has_all(node: &Node) -> bool {
    DEAD.iter().all(|name| has_member(node, name))
}

async fn until_shared_by(count: u32, nodes: &[&Node]) {
    until("the hosts have the full share", || {
        nodes.iter().all(|node| node.share_divisor() == Some(count))
    })
    .await;
}

/// Guards against replacements that stay joining for ever after all members died at once,
/// and against a removal before the evidence is complete.
#[tokio::test(start_paused = true)]
async fn replacements_of_a_vanished_fleet_get_the_full_share() {
    let world = World::default();
    let (_, [e, f]) = replace(&world, 4).await;

    world.list(&[OTHER]);
    sleep(Duration::from_secs(29)).await;
    let early = !has_all(&e) || !has_all(&f);

    assert!(!early, "removed before the evidence was complete");
    until_shared_by(2, &[&e, &f]).await;
    assert!(DEAD.iter().all(|name| !has_member(&e, name)));
}

/// Guards against replacements that wait for ever because the list dropped the dead hosts
/// before they started.
#[tokio::test(start_paused = true)]
async fn members_that_the_list_never_showed_vanish_after_a_longer_time() {
    let world = World::default();
    world.list(&[OTHER]);
    for node in world.start_fleet(4).await {
        world.kill(&node);
    }

    let (e, f) = (world.start("e", 5), world.start("f", 6));
    sleep(Duration::from_secs(89)).await;
    let early = !has_all(&e) || !has_all(&f);

    assert!(!early, "a host may be too new for the list");
    until_shared_by(2, &[&e, &f]).await;
}

/// Guards against the removal of hosts that are only unreachable.
#[tokio::test(start_paused = true)]
async fn nobody_is_removed_while_the_list_shows_the_hosts() {
    let world = World::default();

    let (_, [e, f]) = replace(&world, 4).await;
    sleep(Duration::from_mins(5)).await;

    assert!(has_all(&e) && has_all(&f));
    assert_eq!((e.share_divisor(), f.share_divisor()), (None, None));
}

/// Guards against evidence from a list without any host, which says nothing.
#[tokio::test(start_paused = true)]
async fn an_empty_list_removes_nobody() {
    let world = World::default();
    let (_, [e, f]) = replace(&world, 4).await;

    world.list(&[]);
    sleep(Duration::from_mins(5)).await;

    assert!(has_all(&e) && has_all(&f));
    assert_eq!((e.share_divisor(), f.share_divisor()), (None, None));
}

/// Guards against the sum of short absences from the list being taken for a long one.
#[tokio::test(start_paused = true)]
async fn a_flapping_list_removes_nobody() {
    let world = World::default();
    let (_, [e, f]) = replace(&world, 4).await;

    for _ in 0..10 {
        world.list(&[OTHER]);
        sleep(Duration::from_secs(25)).await;
        world.list(&DEAD);
        sleep(Duration::from_secs(10)).await;
    }

    assert!(has_all(&e) && has_all(&f));
    assert_eq!((e.share_divisor(), f.share_divisor()), (None, None));
}

/// Guards against the removal of a live member that the list lacks, and against joining
/// hosts that act while an active member answers. That member removes the others when it
/// reaches the store.
#[tokio::test(start_paused = true)]
async fn a_member_that_answers_stays_and_removes_the_others() {
    let world = World::default();
    let (old, [e, f]) = replace(&world, 3).await;
    world.cut_store("d", true);

    world.list(&[OTHER]);
    sleep(Duration::from_mins(3)).await;
    let untouched = has_all(&e) && has_all(&f);
    world.cut_store("d", false);
    // Only now can it read the list, whose evidence takes 30 s.
    sleep(Duration::from_secs(30)).await;

    assert!(untouched, "a joining host removed a member");
    until_shared_by(3, &[&old[3], &e, &f]).await;
    assert!(has_member(&e, "d") && !has_member(&e, "a"));
}
