//! The check of a history finds each kind of violation, and accepts correct histories.

use fulmargw_lab::history::{
    check::{Data, Rule, check, write_gap},
    event::{Event, Operation, Outcome, Write},
};

fn event(session: usize, begin_us: u64, operation: Operation, outcome: Outcome) -> Event {
    Event {
        session,
        account: "a".to_owned(),
        host: "h".to_owned(),
        operation,
        begin_us,
        end_us: begin_us + 5,
        outcome,
        error: String::new(),
    }
}

fn append(session: usize, begin_us: u64, values: &[&str], outcome: Outcome) -> Event {
    let write = |value: &&str| Write {
        key: value.split(':').next().unwrap_or_default().to_owned(),
        value: (*value).to_owned(),
    };
    let writes = values.iter().map(write).collect();
    event(session, begin_us, Operation::Append(writes), outcome)
}

fn values(values: &[&str]) -> Outcome {
    Outcome::Values(values.iter().map(|value| (*value).to_owned()).collect())
}

fn current(session: usize, begin_us: u64, returned: &[&str]) -> Event {
    let operation = Operation::Current("k".to_owned());
    event(session, begin_us, operation, values(returned))
}

fn aged(session: usize, begin_us: u64, returned: &[&str]) -> Event {
    let operation = Operation::Aged("k".to_owned());
    event(session, begin_us, operation, values(returned))
}

fn final_data(entries: &[(&str, &[&str])]) -> Data {
    let list = |values: &[&str]| values.iter().map(|value| (*value).to_owned()).collect();
    let entries = entries.iter();
    entries
        .map(|(key, values)| ((*key).to_owned(), list(values)))
        .collect()
}

fn rules(events: &[Event], data: &Data) -> Vec<Rule> {
    let violations = check(events, data);
    violations.iter().map(|violation| violation.rule).collect()
}

/// Guards against a check that rejects a correct history.
#[test]
fn correct_history_passes() {
    let events = [
        append(1, 0, &["k:1", "j:1"], Outcome::Acknowledged),
        append(1, 10, &["k:2"], Outcome::Unknown),
        append(2, 20, &["k:3"], Outcome::Unknown),
        append(2, 30, &["k:4"], Outcome::NotRun),
        current(2, 40, &["k:1", "k:2"]),
        aged(1, 50, &["k:1"]),
        aged(2, 60, &[]),
    ];
    let data = final_data(&[("k", &["k:1", "k:2"]), ("j", &["j:1"])]);

    assert_eq!(rules(&events, &data), []);
}

/// Guards against a check that misses the loss of an acknowledged write.
#[test]
fn lost_write_is_found() {
    let events = [append(1, 0, &["k:1"], Outcome::Acknowledged)];

    assert_eq!(rules(&events, &final_data(&[])), [Rule::DurableAck]);
}

/// Guards against a check that misses a write that ran twice.
#[test]
fn doubled_write_is_found() {
    let events = [append(1, 0, &["k:1"], Outcome::Unknown)];
    let data = final_data(&[("k", &["k:1", "k:1"])]);

    assert_eq!(rules(&events, &data), [Rule::AtMostOnce]);
}

/// Guards against a check that misses a rejected write that ran nevertheless.
#[test]
fn rejected_write_that_ran_is_found() {
    let events = [append(1, 0, &["k:1"], Outcome::NotRun)];

    assert_eq!(
        rules(&events, &final_data(&[("k", &["k:1"])])),
        [Rule::NotRun]
    );
}

/// Guards against a check that misses responses with values of another key or of no write.
#[test]
fn foreign_values_are_found() {
    let events = [
        append(1, 0, &["j:1"], Outcome::Acknowledged),
        current(2, 10, &["j:1"]),
        current(2, 20, &["k:nobody"]),
    ];
    let data = final_data(&[("j", &["j:1"])]);

    assert_eq!(
        rules(&events, &data),
        [Rule::NoForeignValues, Rule::NoForeignValues]
    );
}

/// Guards against a check that misses a read without an earlier write of the same session.
#[test]
fn missing_own_write_is_found() {
    let events = [
        append(1, 0, &["k:1"], Outcome::Acknowledged),
        aged(1, 10, &[]),
    ];
    let data = final_data(&[("k", &["k:1"])]);

    assert_eq!(rules(&events, &data), [Rule::ReadYourWrites]);
}

/// Guards against a check that misses a stale current read of another session.
#[test]
fn stale_current_read_is_found() {
    let events = [
        append(1, 0, &["k:1"], Outcome::Acknowledged),
        current(2, 10, &[]),
    ];
    let data = final_data(&[("k", &["k:1"])]);

    assert_eq!(rules(&events, &data), [Rule::CurrentRead]);
}

/// Guards against a false alarm for a read that began before the write ended.
#[test]
fn overlapping_read_may_miss_the_write() {
    let events = [
        append(1, 0, &["k:1"], Outcome::Acknowledged),
        current(2, 3, &[]),
    ];
    let data = final_data(&[("k", &["k:1"])]);

    assert_eq!(rules(&events, &data), []);
}

/// Guards against a check that misses reads of values that are lost later, as in a failover.
#[test]
fn read_of_a_lost_value_is_found() {
    let events = [
        append(1, 0, &["k:1"], Outcome::NotRun),
        append(1, 10, &["k:2"], Outcome::Unknown),
        aged(2, 5, &["k:1"]),
        current(2, 20, &["k:2"]),
    ];

    assert_eq!(
        rules(&events, &final_data(&[])),
        [Rule::DurableRead, Rule::DurableRead]
    );
}

/// Guards against a check that misses a transaction of which only a part was committed.
#[test]
fn partial_transaction_is_found() {
    let events = [append(1, 0, &["k:1", "j:1"], Outcome::Unknown)];

    assert_eq!(
        rules(&events, &final_data(&[("k", &["k:1"])])),
        [Rule::Atomic]
    );
}

/// Guards against a write gap that ends with a write that began before the fault.
#[test]
fn write_gap_ends_at_the_first_write_after_the_fault() {
    let events = [
        append(1, 90, &["k:1"], Outcome::Acknowledged),
        append(1, 110, &["k:2"], Outcome::NotRun),
        append(1, 150, &["k:3"], Outcome::Acknowledged),
    ];

    assert_eq!(write_gap(&events, 100), Some(55));
}
