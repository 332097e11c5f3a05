//! Rates of client accounts over all hosts.

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

/// Lets one host borrow from the one that it would ask.
fn borrow(hosts: &mut [Admission], borrower: usize, now: Instant) {
    let account = Name::new("account");
    hosts[borrower].wait(&account);
    if let Some(question) = hosts[borrower].question(&account, true, now) {
        let number = question.lender.as_str().rsplit('-').next();
        let lender: usize = number.and_then(|it| it.parse().ok()).expect("a host");
        let lent = hosts[lender].lend(&account, question.tokens, &question.settled, true, now);
        hosts[borrower].receive(&account, &question.lender, Some(lent), now, now);
    }
    hosts[borrower].stop_waiting(&account);
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
        .take(&account, Attempt::Again, true, now)
        .is_ok()
}

/// Guards against an account that gets more than its rate and burst over all hosts, however
/// its operations are spread and tokens are lent.
#[test]
fn all_hosts_together_keep_to_the_rate() {
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

/// Guards against operations inside the rate that are refused because their host is no home of
/// the account, or all come to one host.
#[tokio::test(start_paused = true)]
async fn one_host_reaches_most_of_the_rate() {
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

/// Guards against a host without a share that admits on its own.
#[tokio::test(start_paused = true)]
async fn a_host_without_a_share_admits_nothing_of_its_own() {
    let start = Instant::now();
    let mut hosts = hosts(1, start);
    let account = Name::new("account");
    let later = start + Duration::from_secs(10);

    let taken = hosts[0].take(&account, Attempt::First, false, later);
    let lent = hosts[0].lend(&account, 1.0, &[], false, later);

    assert!(taken.is_err());
    assert_eq!(lent.0, None);
}

/// Guards against callers who use up the rate of their account with operations that were refused
/// because no server was free.
#[tokio::test(start_paused = true)]
async fn operations_that_did_not_run_cost_nothing() {
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

/// Guards against refunds that let an account exceed its burst.
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

    let tolerated = RATE * limits().quota_factor() + limits().quota_extra();
    assert!(taken <= tolerated, "{taken} taken, {tolerated} tolerated");
}

/// Guards against an account without tokens on one side of a cut, because hosts ask the homes on
/// the other side again and again and nobody else meanwhile.
#[tokio::test(start_paused = true)]
async fn a_lender_that_stays_silent_is_asked_less_often() {
    let start = Instant::now();
    let mut hosts = hosts(2, start);
    let account = "account".into();
    let mut now = start;
    let mut asked = 0;
    hosts[0].wait(&account);

    while now < start + 4 * WINDOW {
        if let Some(question) = hosts[0].question(&account, false, now) {
            hosts[0].receive(&account, &question.lender, None, now, now);
            asked += 1;
        }
        now += Duration::from_millis(50);
    }

    assert!((5..=9).contains(&asked), "asked {asked} times in 20 s");
}

/// Guards against refusals that come when too little of the latency objective is left to try again.
#[test]
fn operations_wait_for_tokens_a_small_part_of_their_objective() {
    let urgent = Duration::from_millis(120);
    let slow = Duration::from_secs(4);

    assert!(borrow::patience(urgent) < urgent / 4);
    assert!(borrow::patience(slow) < Duration::from_millis(100));
}
