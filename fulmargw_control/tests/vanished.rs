//! Removal of vanished members, which the platform has removed, on the evidence of its host list.

mod fixture;

use fixture::{Cluster, TestAgent, wait_until};
use std::time::Duration;
use tokio::time::sleep;

const OLD_HOSTS: [&str; 4] = ["a", "b", "c", "d"];

/// A host on the list that is no member. Only a list that is not empty counts as evidence.
const UNRELATED_HOST: &str = "x";

/// Starts a fleet of four, crashes the first `count` of them and starts two hosts at new
/// addresses. The host list shows the four hosts for the next 20 s.
async fn replace_hosts(cluster: &Cluster, count: usize) -> (Vec<TestAgent>, [TestAgent; 2]) {
    cluster.set_listed_hosts(&OLD_HOSTS);
    let old = cluster.start_fleet(4).await;
    for agent in &old[..count] {
        cluster.crash(agent);
    }
    let new = [cluster.start("e", 5), cluster.start("f", 6)];
    sleep(Duration::from_secs(20)).await;
    (old, new)
}

fn has_member(agent: &TestAgent, name: &str) -> bool {
    let record = agent.dump().fleet.expect("the record is known");
    let mut names = record.members.iter().map(|member| &member.host.name);
    names.any(|listed| listed.as_str() == name)
}

fn has_all_old_hosts(agent: &TestAgent) -> bool {
    OLD_HOSTS.iter().all(|name| has_member(agent, name))
}

async fn wait_until_shared_by(count: u32, agents: &[&TestAgent]) {
    wait_until("the hosts have the full share", || {
        agents
            .iter()
            .all(|agent| agent.share_divisor() == Some(count))
    })
    .await;
}

/// Guards against replacements that cannot join because all members crashed at once, and against
/// a removal before the members have been absent from the list for long enough.
#[tokio::test(start_paused = true)]
async fn replacements_of_a_vanished_fleet_get_the_full_share() {
    let cluster = Cluster::default();
    let (_, [e, f]) = replace_hosts(&cluster, 4).await;

    cluster.set_listed_hosts(&[UNRELATED_HOST]);
    sleep(Duration::from_secs(29)).await;
    let early = !has_all_old_hosts(&e) || !has_all_old_hosts(&f);

    assert!(!early, "removed before the absence was long enough");
    wait_until_shared_by(2, &[&e, &f]).await;
    assert!(OLD_HOSTS.iter().all(|name| !has_member(&e, name)));
}

/// Guards against replacements that cannot join because the list no longer showed the crashed
/// hosts when they started.
#[tokio::test(start_paused = true)]
async fn members_that_the_list_never_showed_vanish_after_a_longer_time() {
    let cluster = Cluster::default();
    cluster.set_listed_hosts(&[UNRELATED_HOST]);
    for agent in cluster.start_fleet(4).await {
        cluster.crash(&agent);
    }

    let (e, f) = (cluster.start("e", 5), cluster.start("f", 6));
    sleep(Duration::from_secs(89)).await;
    let early = !has_all_old_hosts(&e) || !has_all_old_hosts(&f);

    assert!(!early, "a host may be too new for the list");
    wait_until_shared_by(2, &[&e, &f]).await;
}

/// Guards against the removal of hosts that are only unreachable.
#[tokio::test(start_paused = true)]
async fn no_member_is_removed_while_the_host_list_shows_it() {
    let cluster = Cluster::default();

    let (_, [e, f]) = replace_hosts(&cluster, 4).await;
    sleep(Duration::from_mins(5)).await;

    assert!(has_all_old_hosts(&e) && has_all_old_hosts(&f));
    assert_eq!((e.share_divisor(), f.share_divisor()), (None, None));
}

/// Guards against an empty host list that counts as evidence of absence.
#[tokio::test(start_paused = true)]
async fn an_empty_host_list_removes_no_member() {
    let cluster = Cluster::default();
    let (_, [e, f]) = replace_hosts(&cluster, 4).await;

    cluster.set_listed_hosts(&[]);
    sleep(Duration::from_mins(5)).await;

    assert!(has_all_old_hosts(&e) && has_all_old_hosts(&f));
    assert_eq!((e.share_divisor(), f.share_divisor()), (None, None));
}

/// Guards against several short absences from the list that count as one long absence.
#[tokio::test(start_paused = true)]
async fn a_flapping_host_list_removes_no_member() {
    let cluster = Cluster::default();
    let (_, [e, f]) = replace_hosts(&cluster, 4).await;

    for _ in 0..10 {
        cluster.set_listed_hosts(&[UNRELATED_HOST]);
        sleep(Duration::from_secs(25)).await;
        cluster.set_listed_hosts(&OLD_HOSTS);
        sleep(Duration::from_secs(10)).await;
    }

    assert!(has_all_old_hosts(&e) && has_all_old_hosts(&f));
    assert_eq!((e.share_divisor(), f.share_divisor()), (None, None));
}

/// Guards against the removal of a responsive member that the list does not show, and against
/// joining hosts that remove members while an active member responds. That member removes the
/// others once it reaches the store.
#[tokio::test(start_paused = true)]
async fn a_responsive_member_stays_and_removes_the_others() {
    let cluster = Cluster::default();
    let (old, [e, f]) = replace_hosts(&cluster, 3).await;
    cluster.set_store_partitioned("d", true);

    cluster.set_listed_hosts(&[UNRELATED_HOST]);
    sleep(Duration::from_mins(3)).await;
    let untouched = has_all_old_hosts(&e) && has_all_old_hosts(&f);
    cluster.set_store_partitioned("d", false);
    // It can read the list only now. A member has to be absent from it for 30 s.
    sleep(Duration::from_secs(30)).await;

    assert!(untouched, "a joining host removed a member");
    wait_until_shared_by(3, &[&old[3], &e, &f]).await;
    assert!(has_member(&e, "d") && !has_member(&e, "a"));
}
