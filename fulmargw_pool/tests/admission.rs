//! Admission by the rates of client accounts over all hosts.

use fulmargw_model::{client_account::Account, name::Name};
use fulmargw_pool::{
    admission::{Admission, Attempt},
    borrow,
    catalog::Catalog,
    settings::Limits,
};
use quickcheck::QuickCheck;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

const RATE: f64 = 20.0;
const WINDOW: Duration = Duration::from_secs(5);

fn limits() -> Limits {
    Limits {
        memory_mb: 256,
        file_descriptors: 4_096,
        cores: 1,
        cpu_share: None,
        configuration_apply_ms: None,
        heartbeat_interval_ms: None,
        grace_s: 6.0,
        drain_timeout_ms: 7_000,
        quota_overage: 0.1,
        quota_slack: 20.0,
    }
}

fn catalog() -> Catalog {
    let account = Account {
        name: "account".into(),
        rate: RATE,
        burst: RATE,
        keys: Vec::new(),
    };
    Catalog {
        version: 1,
        routes: BTreeMap::new(),
        services: BTreeMap::new(),
        accounts: BTreeMap::from([("account".into(), account)]),
        transaction_idle: Duration::from_secs(3),
        account_regions: BTreeMap::new(),
    }
}

fn hosts(count: usize, now: Instant) -> Vec<Admission> {
    let names: Vec<Name> = (0..count)
        .map(|index| Name::new(&format!("host-{index}")))
        .collect();
    names
        .iter()
        .map(|name| {
            let mut admission = Admission::new(name.clone(), 1, limits());
            admission.configure(&catalog(), now);
            admission.set_hosts(names.clone());
            admission
        })
        .collect()
}

/// Lets one host borrow from the lender that it chooses.
fn borrow(hosts: &mut [Admission], borrower: usize, now: Instant) {
    let account = Name::new("account");
    hosts[borrower].add_waiter(&account);
    if let Some(plan) = hosts[borrower].plan_loan(&account, true, now) {
        let number = plan.lender.as_str().rsplit('-').next();
        let lender: usize = number.and_then(|it| it.parse().ok()).expect("a host");
        let lent = hosts[lender].lend(&account, plan.tokens, &plan.settled, true, now);
        hosts[borrower].record_loan(&account, &plan.lender, Some(lent), now, now);
    }
    hosts[borrower].remove_waiter(&account);
}

fn admit(hosts: &mut [Admission], host: usize, now: Instant) -> bool {
    let account = Name::new("account");
    if hosts[host]
        .take(&account, Attempt::First, true, now)
        .is_ok()
    {
        return true;
    }
    borrow(hosts, host, now);
    hosts[host]
        .take(&account, Attempt::Retry, true, now)
        .is_ok()
}

/// Guards against an account that exceeds its rate and burst over all hosts when its operations
/// are distributed unevenly and tokens are lent between hosts.
#[test]
fn all_hosts_together_stay_within_the_rate() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "the signature that quickcheck asks for"
    )]
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let start = Instant::now();
        let mut hosts = hosts(6, start);
        let mut now = start;
        let mut admitted = Vec::new();
        for (host, pause) in steps.iter().cycle().take(2_000) {
            now += Duration::from_millis(u64::from(pause % 20));
            if admit(&mut hosts, usize::from(*host) % 6, now) {
                admitted.push(now);
            }
        }
        let allowed = (RATE * WINDOW.as_secs_f64() + RATE) * 1.1 + 20.0;
        admitted.iter().all(|from| {
            let inside = admitted
                .iter()
                .filter(|at| **at >= *from && **at < *from + WINDOW);
            u32::try_from(inside.count()).is_ok_and(|count| f64::from(count) <= allowed)
        })
    }
    QuickCheck::new()
        .tests(60)
        .quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against refusing operations within the rate because they all arrive at one host, or
/// because that host is not a home host of the account.
#[tokio::test(start_paused = true)]
async fn one_host_can_use_most_of_the_rate() {
    let start = Instant::now();
    let mut hosts = hosts(31, start);
    let mut admitted = 0;
    for step in 0..1_000_u64 {
        let now = start + Duration::from_millis(step * 10);
        admitted += u32::from(admit(&mut hosts, 17, now));
    }

    assert!(
        f64::from(admitted) >= RATE * 10.0 * 0.9,
        "{admitted} in 10 s"
    );
}

/// Guards against a host that admits operations or lends tokens without a share of the rate.
#[tokio::test(start_paused = true)]
async fn host_without_share_neither_admits_nor_lends() {
    let start = Instant::now();
    let mut hosts = hosts(1, start);
    let account = Name::new("account");
    let later = start + Duration::from_secs(10);

    let taken = hosts[0].take(&account, Attempt::First, false, later);
    let lent = hosts[0].lend(&account, 1.0, &[], false, later);

    assert!(taken.is_err());
    assert_eq!(lent.0, None);
}

/// Guards against charging an account for operations that were refused because no backend server
/// was free.
#[tokio::test(start_paused = true)]
async fn refund_restores_the_token_of_an_operation_that_did_not_run() {
    let start = Instant::now();
    let mut hosts = hosts(1, start);
    let account = "account".into();
    let now = start + WINDOW;
    let take = |host: &mut Admission| host.take(&account, Attempt::First, true, now).is_ok();
    while take(&mut hosts[0]) {}

    hosts[0].refund(&account, true, now);

    assert!(take(&mut hosts[0]));
    assert!(!take(&mut hosts[0]));
}

/// Guards against refunds that fill a bucket beyond the burst of the account.
#[tokio::test(start_paused = true)]
async fn refunds_stay_within_the_burst() {
    let start = Instant::now();
    let mut hosts = hosts(1, start);
    let account = "account".into();
    let now = start + WINDOW;
    let refunds = 200_u32;

    for _ in 0..refunds {
        hosts[0].refund(&account, true, now);
    }
    let mut taken = 0.0;
    while hosts[0].take(&account, Attempt::First, true, now).is_ok() {
        taken += 1.0;
    }

    let allowance = RATE * limits().rate_factor() + limits().extra_burst();
    assert!(taken <= allowance, "{taken} taken, {allowance} allowed");
}

/// Guards against an account that runs out of tokens in a network partition, because hosts keep
/// requesting loans from the home hosts beyond the partition and from no others meanwhile.
#[tokio::test(start_paused = true)]
async fn unresponsive_lender_gets_fewer_requests() {
    let start = Instant::now();
    let mut hosts = hosts(2, start);
    let account = "account".into();
    let mut now = start;
    let mut requested = 0;
    hosts[0].add_waiter(&account);

    while now < start + 4 * WINDOW {
        if let Some(plan) = hosts[0].plan_loan(&account, false, now) {
            hosts[0].record_loan(&account, &plan.lender, None, now, now);
            requested += 1;
        }
        now += Duration::from_millis(50);
    }

    assert!(
        (5..=9).contains(&requested),
        "requested {requested} times in 20 s"
    );
}

/// Guards against refusals so late that the latency objective leaves no time for a retry.
#[test]
fn operations_wait_for_tokens_for_a_small_part_of_their_objective() {
    let urgent = Duration::from_millis(120);
    let slow = Duration::from_secs(4);

    assert!(borrow::wait_limit(urgent) < urgent / 4);
    assert!(borrow::wait_limit(slow) < Duration::from_millis(100));
}
