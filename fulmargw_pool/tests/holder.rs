//! Choice of the holder: the host that runs the statements of a service.

use fulmargw_model::name::Name;
use fulmargw_pool::holder::Holders;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

const EXCLUSION: Duration = Duration::from_secs(1);

fn hosts(count: usize) -> Vec<Name> {
    (0..count)
        .map(|number| Name::new(&format!("host-{number}")))
        .collect()
}

fn service(number: usize) -> Name {
    Name::new(&format!("service-{number}"))
}

fn choose(holders: &mut Holders, service: &Name, hosts: &[Name], now: Instant) -> Option<Name> {
    holders.choose(service, hosts, |_| true, now)
}

/// Guards against hosts that choose different holders for a service.
#[tokio::test(start_paused = true)]
async fn hosts_agree_whatever_the_order_of_their_lists() {
    let now = Instant::now();
    let listed = hosts(8);
    let reversed: Vec<Name> = listed.iter().rev().cloned().collect();
    let (mut one, mut other) = (Holders::new(), Holders::new());

    for number in 0..32 {
        let service = service(number);
        assert_eq!(
            choose(&mut one, &service, &listed, now),
            choose(&mut other, &service, &reversed, now)
        );
    }
}

/// Guards against one host that is the holder of most services.
#[tokio::test(start_paused = true)]
async fn services_are_distributed_over_hosts() {
    let now = Instant::now();
    let listed = hosts(8);
    let mut holders = Holders::new();
    let mut held: BTreeMap<Name, usize> = BTreeMap::new();

    for number in 0..400 {
        let host = choose(&mut holders, &service(number), &listed, now).expect("a host");
        *held.entry(host).or_default() += 1;
    }

    assert_eq!(held.len(), 8);
    assert!(
        held.values().all(|count| (25..=75).contains(count)),
        "{held:?}"
    );
}

/// Guards against statements that wait for a host which does not respond.
#[tokio::test(start_paused = true)]
async fn an_unresponsive_host_is_excluded_until_it_responds() {
    let now = Instant::now();
    let listed = hosts(4);
    let mut holders = Holders::new();
    let first = choose(&mut holders, &service(0), &listed, now).expect("a host");

    assert!(holders.mark_unresponsive(&first));
    assert!(!holders.mark_unresponsive(&first));
    let second = choose(&mut holders, &service(0), &listed, now);
    holders.record_response(&first);
    let recovered = choose(&mut holders, &service(0), &listed, now);

    assert_ne!(second.as_ref(), Some(&first));
    assert_eq!(recovered, Some(first));
}

/// Guards against a host that loses all its services because it cannot reach one primary.
#[tokio::test(start_paused = true)]
async fn a_host_is_excluded_for_one_service_and_a_time() {
    let now = Instant::now();
    let listed = hosts(1);
    let mut holders = Holders::new();

    holders.exclude(&service(0), &listed[0], now + EXCLUSION);

    assert_eq!(choose(&mut holders, &service(0), &listed, now), None);
    assert!(holders.is_excluded(&service(0), &listed[0], now));
    assert!(choose(&mut holders, &service(1), &listed, now).is_some());
    assert!(choose(&mut holders, &service(0), &listed, now + EXCLUSION).is_some());
}
