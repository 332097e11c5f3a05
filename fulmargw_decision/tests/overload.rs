//! The fair queue under an overload: more statements arrive than the slots can run.
//!
//! The figures are those of a service with 9 slots, 18 ms of work and an objective of 250 ms, which
//! gets 1.7 times what it can run.

use fulmargw_decision::queue::{Capacity, Entry, Queue, Ticket, Urgency};
use fulmargw_model::name::Name;
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

const SLOTS: usize = 9;
const WORK: Duration = Duration::from_millis(18);
const OBJECTIVE: Duration = Duration::from_millis(250);
/// Statements that the slots run in a second.
const PER_SECOND: u32 = 500;
const OVERLOAD: f64 = 1.7;
const DURATION: Duration = Duration::from_secs(6);
const STEP: Duration = Duration::from_millis(1);
const ACCOUNTS: [&str; 3] = ["large", "middle", "small"];

/// Statements of a run, by how they ended.
#[derive(Debug, Default)]
struct Outcome {
    arrived: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

/// Runs the queue for [`DURATION`]. A statement that does not start within its objective is refused.
fn run(load: f64) -> Outcome {
    let base = Instant::now();
    let mut queue = Queue::new(Capacity {
        per_lane: 256,
        total: 1_024,
    });
    let mut outcome = Outcome::default();
    let mut waiting: VecDeque<(Instant, Ticket)> = VecDeque::new();
    let mut busy_until = [base; SLOTS];
    let mut owed = 0.0;
    let mut now = base;
    while now < base + DURATION {
        owed += load * f64::from(PER_SECOND) * STEP.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            outcome.arrived += 1;
            let account = ACCOUNTS[outcome.arrived as usize % ACCOUNTS.len()];
            let (ticket, shed) = queue.push(Entry {
                account: Name::new(account),
                urgency: Urgency::Urgent,
                cost: 1,
                queued_at: now,
                deadline: now + OBJECTIVE * 4,
                item: now,
            });
            outcome.refused += u32::from(shed.is_some());
            waiting.push_back((now, ticket));
        }
        while let Some((_, ticket)) = waiting.pop_front_if(|(at, _)| *at + OBJECTIVE <= now) {
            outcome.refused += u32::from(queue.remove(ticket).is_some());
        }
        for until in busy_until.iter_mut().filter(|until| **until <= now) {
            let Some((arrived_at, ())) = queue.pop(now, |_| Some(())) else {
                break;
            };
            *until = now + WORK;
            if *until <= arrived_at + OBJECTIVE {
                outcome.in_time += 1;
            } else {
                outcome.late += 1;
            }
        }
        now += STEP;
    }
    outcome
}

/// Guards against an overload in which every statement waits as long as its objective allows, so that
/// none is answered in time.
#[test]
fn an_overload_delays_few_statements() {
    let outcome = run(OVERLOAD);

    // An ideal scheduler answers 1 / 1.7 of the statements in time.
    let ideal = f64::from(outcome.arrived) / OVERLOAD;
    assert!(f64::from(outcome.in_time) >= 0.9 * ideal, "{outcome:?}");
    assert!(outcome.late * 20 <= outcome.in_time, "{outcome:?}");
}

/// Guards against refusals and delays while the slots can run everything.
#[test]
fn no_statement_is_refused_without_an_overload() {
    let outcome = run(0.9);

    assert_eq!((outcome.refused, outcome.late), (0, 0));
}
