//! Contact of hosts with the witnesses of a service.

use fulmargw_decision::contact::{
    MARGIN, Requests, VALIDITY, WitnessReport, is_majority, is_quorum, time_until_lapsed, witnesses,
};
use fulmargw_model::name::Name;
use quickcheck::quickcheck;
use std::time::Duration;

fn host(number: u8) -> Name {
    Name::new(&format!("host-{number}"))
}

fn report(requests: &[(u8, u64)], known_for: Duration) -> WitnessReport {
    let requests = requests.iter();
    let requests = requests.map(|(number, age_ms)| (host(*number), Duration::from_millis(*age_ms)));
    WitnessReport {
        requests: requests.collect(),
        known_for,
    }
}

/// Time since the start of a witness that has forgotten nothing.
const LONG: Duration = Duration::from_mins(1);

quickcheck! {
    /// Guards against a host that proves its contact by witnesses none of which has confirmed the barrier.
    fn a_majority_and_a_quorum_have_a_witness_in_common(responded: u8, confirmed: u8, count: u8) -> bool {
        let [responded, confirmed, count] = [responded, confirmed, count].map(usize::from);
        let both = is_majority(responded, count) && is_quorum(confirmed, count);
        !both || responded + confirmed > count
    }

    /// Guards against hosts that choose different witnesses, and against a service without any.
    fn the_order_of_the_hosts_does_not_matter(numbers: Vec<u8>) -> bool {
        let service = Name::new("ledger");
        let mut hosts: Vec<Name> = numbers.iter().map(|number| host(*number)).collect();
        hosts.sort_unstable();
        hosts.dedup();
        let chosen = witnesses(&service, &hosts);
        hosts.reverse();
        chosen == witnesses(&service, &hosts) && chosen.is_empty() == hosts.is_empty()
    }
}

/// Guards against a promotion that is called while a host which has not confirmed may pass on commits.
#[test]
fn a_host_that_has_not_confirmed_is_waited_for() {
    let hosts = [host(0), host(1), host(2)];
    let reports = [
        report(&[(0, 10), (2, 900)], LONG),
        report(&[(1, 20), (2, 500)], LONG),
    ];

    let wait = time_until_lapsed(&reports, &hosts, |it| *it != host(2));

    let left = (VALIDITY + MARGIN).saturating_sub(Duration::from_millis(500));
    assert_eq!(wait, Some((left, Some(host(2)))));
}

/// Guards against promotions that wait for hosts which pass on no commits of the service, such as dead ones.
#[test]
fn a_host_without_requests_is_not_waited_for() {
    let hosts = [host(0), host(1), host(2)];
    let reports = [report(&[(0, 10), (1, 900)], LONG)];

    let wait = time_until_lapsed(&reports, &hosts, |it| *it != host(2));

    assert_eq!(wait, None);
}

/// Guards against a witness that has started again and forgotten the request of a host.
#[test]
fn a_witness_that_has_just_started_is_waited_for_unless_all_hosts_have_confirmed() {
    let hosts = [host(0), host(1), host(2)];
    let age = Duration::from_secs(1);
    let reports = [report(&[], age)];

    let incomplete = time_until_lapsed(&reports, &hosts, |it| *it != host(2));
    let complete = time_until_lapsed(&reports, &hosts, |_| true);

    assert_eq!(
        incomplete,
        Some(((VALIDITY + MARGIN).saturating_sub(age), None))
    );
    assert_eq!(complete, None);
}

/// Guards against a request that is forgotten while it may still prove contact.
#[test]
fn requests_are_known_until_they_prove_nothing() {
    let mut requests = Requests::default();
    requests.record(host(0), Duration::from_secs(10));
    requests.record(host(1), Duration::from_secs(10) + VALIDITY);

    let ages = requests.ages(Duration::from_secs(10) + VALIDITY + MARGIN);
    let later = requests.ages(Duration::from_secs(11) + VALIDITY + MARGIN);

    assert_eq!(ages.len(), 2);
    assert_eq!(later, [(host(1), Duration::from_secs(1) + MARGIN)]);
}
