//! Fair queue: order, fairness between accounts, capacity and deadlines.

use fulmargw_decision::queue::{Capacity, Entry, Queue, Readiness, Urgency};
use fulmargw_model::name::Name;
use quickcheck::quickcheck;
use std::time::Duration;
use tokio::time::Instant;

fn queue(per_lane: usize, total: usize) -> Queue<u32> {
    Queue::new(Capacity { per_lane, total })
}

fn entry(account: &str, urgency: Urgency, item: u32) -> Entry<u32> {
    Entry {
        account: Name::new(account),
        urgency,
        cost: 1,
        queued_at: Instant::now(),
        deadline: Instant::now() + Duration::from_secs(5),
        item,
    }
}

/// Returns the readiness of an item.
fn readiness(is_ready: bool) -> Readiness {
    if is_ready {
        Readiness::Ready
    } else {
        Readiness::NeedsPreparation
    }
}

fn pop(queue: &mut Queue<u32>) -> Option<u32> {
    queue
        .pop(Instant::now(), |_| Some(()))
        .map(|(item, ())| item)
}

quickcheck! {
    /// Guards against items that are lost, duplicated or reordered within their lane.
    fn every_item_is_popped_once_in_lane_order(lanes: Vec<u8>) -> bool {
        let mut queue = queue(1_000, 1_000);
        for (item, lane) in lanes.iter().enumerate() {
            let urgency = if lane & 4 == 0 { Urgency::Urgent } else { Urgency::Browse };
            let account = ["a", "b", "c", "d"][usize::from(lane & 3)];
            queue.push(entry(account, urgency, u32::try_from(item).unwrap()));
        }

        let mut out = Vec::new();
        while let Some(item) = pop(&mut queue) {
            out.push(item);
        }

        let lane = |item: &u32| lanes[usize::try_from(*item).unwrap()] & 7;
        let lanes_in_order = (0..8).all(|wanted| {
            let items: Vec<_> = out.iter().filter(|item| lane(item) == wanted).collect();
            items.is_sorted()
        });
        lanes_in_order && out.len() == lanes.len() && queue.is_empty()
    }

    /// Guards against an account that delays others by sending more requests.
    fn account_waits_for_few_items_of_another(busy_items: u8) -> bool {
        let mut queue = queue(1_000, 1_000);
        for item in 0..u32::from(busy_items) {
            queue.push(entry("busy", Urgency::Urgent, item));
        }
        queue.push(entry("quiet", Urgency::Urgent, 1_000));

        let before = (0..1_000).take_while(|_| pop(&mut queue) != Some(1_000)).count();

        before <= 4
    }

    /// Guards against a queue that exceeds its capacity, and against shed items that `push` does
    /// not return.
    fn capacity_holds_and_shed_items_are_returned(lanes: Vec<u8>) -> bool {
        let mut queue = queue(5, 12);
        let mut shed = 0;
        for lane in &lanes {
            let account = ["a", "b", "c", "d"][usize::from(lane & 3)];
            shed += usize::from(queue.push(entry(account, Urgency::Browse, 0)).1.is_some());
        }

        let lanes_within_capacity = queue.lanes().all(|(_, _, length)| length <= 5);
        lanes_within_capacity && queue.len() <= 12 && queue.len() + shed == lanes.len()
    }
}

/// Guards against starvation of browse requests by urgent ones.
#[test]
fn one_of_eight_dispatched_requests_is_a_browse_request() {
    let mut queue = queue(100, 200);
    for item in 0..64 {
        queue.push(entry("a", Urgency::Urgent, item));
        queue.push(entry("a", Urgency::Browse, 1_000 + item));
    }

    let out: Vec<_> = (0..32).filter_map(|_| pop(&mut queue)).collect();

    assert_eq!(out.iter().filter(|item| **item >= 1_000).count(), 4);
}

/// Guards against an overload in which an account with a short lane loses its requests.
#[test]
fn longest_lane_sheds_its_newest_item() {
    let mut queue = queue(10, 6);
    for item in 0..6 {
        queue.push(entry("busy", Urgency::Urgent, item));
    }

    let (_, shed) = queue.push(entry("quiet", Urgency::Urgent, 100));

    assert_eq!(shed, Some(5));
}

/// Guards against head-of-line blocking by a request for which no server is free.
#[test]
fn item_without_a_free_server_is_skipped() {
    let mut queue = queue(10, 10);
    for item in 0..3 {
        queue.push(entry("a", Urgency::Urgent, item));
    }

    let popped = queue.pop(Instant::now(), |item| (*item == 2).then_some(()));

    assert_eq!(popped, Some((2, ())));
    assert_eq!(queue.len(), 2);
}

/// Guards against the dispatch of a request whose deadline has passed.
#[test]
fn expired_item_is_not_dispatched() {
    let mut queue = queue(10, 10);
    let (ticket, _) = queue.push(entry("a", Urgency::Urgent, 1));

    let popped = queue.pop(Instant::now() + Duration::from_secs(6), |_| Some(()));

    assert_eq!(popped, None);
    assert_eq!(queue.remove(ticket), Some(1));
    assert!(queue.is_empty());
}

/// Guards against a backlog in which most statements need a new connection, whose opening takes a
/// slot for longer than a statement: those with an idle connection go first.
#[test]
fn items_that_can_start_at_once_go_first() {
    let mut queue = queue(10, 20);
    for item in 0..6 {
        queue.push(entry("a", Urgency::Urgent, item));
    }

    let even_is_ready = |item: &u32| Some(((), readiness(item.is_multiple_of(2))));
    let popped = (0..6).filter_map(|_| queue.pop_ready_first(Instant::now(), even_is_ready));
    let order: Vec<u32> = popped.map(|(item, ())| item).collect();

    assert_eq!(order, [0, 2, 4, 1, 3, 5]);
}

/// Guards against less urgent statements that go before urgent ones, because only they have an idle
/// connection.
#[test]
fn urgency_goes_before_readiness() {
    let mut queue = queue(10, 20);
    queue.push(entry("a", Urgency::Browse, 1));
    queue.push(entry("a", Urgency::Urgent, 2));

    let browse_is_ready = |item: &u32| Some(((), readiness(*item == 1)));
    let popped = queue.pop_ready_first(Instant::now(), browse_is_ready);

    assert_eq!(popped, Some((2, ())));
}

/// Guards against an account that loses its turn because other accounts have idle connections: it
/// is still the first one when its item may go.
#[test]
fn an_account_that_waits_for_a_connection_keeps_its_turn() {
    let mut queue = queue(10, 20);
    queue.push(entry("new", Urgency::Urgent, 0));
    for item in 1..=8 {
        queue.push(entry("known", Urgency::Urgent, item));
    }

    let first_is_new = |item: &u32| Some(((), readiness(*item > 0)));
    let before = queue.pop_ready_first(Instant::now(), first_is_new);
    let after = pop(&mut queue);

    assert_eq!(before, Some((1, ())));
    assert_eq!(after, Some(0));
}
