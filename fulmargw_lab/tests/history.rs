//! The history checker fails on each kind of bad history.

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

fn current(session: usize, begin_us: u64, seen: &[&str]) -> Event {
    let operation = Operation::Current("k".to_owned());
    event(session, begin_us, operation, values(seen))
}

fn aged(session: usize, begin_us: u64, seen: &[&str]) -> Event {
    let operation = Operation::Aged("k".to_owned());
    event(session, begin_us, operation, values(seen))
}

fn data(entries: &[(&str, &[&str])]) -> Data {
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

/// Guards against a checker that rejects correct histories.
#[test]
fn good_history_passes() {
    let events = [
        append(1, 0, &["k:1", "j:1"], Outcome::Acknowledged),
        append(1, 10, &["k:2"], Outcome::Unknown),
        append(2, 20, &["k:3"], Outcome::Unknown),
        append(2, 30, &["k:4"], Outcome::NotRun),
        current(2, 40, &["k:1", "k:2"]),
        aged(1, 50, &["k:1"]),
        aged(2, 60, &[]),
    ];
    let data = data(&[("k", &["k:1", "k:2"]), ("j", &["j:1"])]);

    assert_eq!(rules(&events, &data), []);
}

/// Guards against a missed loss of an acknowledged write.
#[test]
fn lost_write_is_found() {
    let events = [append(1, 0, &["k:1"], Outcome::Acknowledged)];

    assert_eq!(rules(&events, &data(&[])), [Rule::DurableAck]);
}

/// Guards against a missed second run of a request.
#[test]
fn doubled_write_is_found() {
    let events = [append(1, 0, &["k:1"], Outcome::Unknown)];
    let data = data(&[("k", &["k:1", "k:1"])]);

    assert_eq!(rules(&events, &data), [Rule::AtMostOnce]);
}

/// Guards against a missed false refusal.
#[test]
fn refused_write_that_ran_is_found() {
    let events = [append(1, 0, &["k:1"], Outcome::NotRun)];

    assert_eq!(rules(&events, &data(&[("k", &["k:1"])])), [Rule::NotRun]);
}

/// Guards against a missed answer to another request.
#[test]
fn crossed_answers_are_found() {
    let events = [
        append(1, 0, &["j:1"], Outcome::Acknowledged),
        current(2, 10, &["j:1"]),
        current(2, 20, &["k:nobody"]),
    ];
    let data = data(&[("j", &["j:1"])]);

    assert_eq!(
        rules(&events, &data),
        [Rule::NoForeignValues, Rule::NoForeignValues]
    );
}

/// Guards against a missed stale read within a session.
#[test]
fn missing_own_write_is_found() {
    let events = [
        append(1, 0, &["k:1"], Outcome::Acknowledged),
        aged(1, 10, &[]),
    ];
    let data = data(&[("k", &["k:1"])]);

    assert_eq!(rules(&events, &data), [Rule::ReadYourWrites]);
}

/// Guards against a missed stale current read of another session.
#[test]
fn stale_current_read_is_found() {
    let events = [
        append(1, 0, &["k:1"], Outcome::Acknowledged),
        current(2, 10, &[]),
    ];
    let data = data(&[("k", &["k:1"])]);

    assert_eq!(rules(&events, &data), [Rule::CurrentRead]);
}

/// Guards against a false alarm for a read that overlaps the write.
#[test]
fn overlapping_read_may_miss_the_write() {
    let events = [
        append(1, 0, &["k:1"], Outcome::Acknowledged),
        current(2, 3, &[]),
    ];
    let data = data(&[("k", &["k:1"])]);

    assert_eq!(rules(&events, &data), []);
}

/// Guards against a missed read of data that a failover removes.
#[test]
fn read_of_a_lost_value_is_found() {
    let events = [
        append(1, 0, &["k:1"], Outcome::NotRun),
        append(1, 10, &["k:2"], Outcome::Unknown),
        aged(2, 5, &["k:1"]),
        current(2, 20, &["k:2"]),
    ];

    assert_eq!(
        rules(&events, &data(&[])),
        [Rule::DurableRead, Rule::DurableRead]
    );
}

/// Guards against a missed partial commit.
#[test]
fn partial_transaction_is_found() {
    let events = [append(1, 0, &["k:1", "j:1"], Outcome::Unknown)];

    assert_eq!(rules(&events, &data(&[("k", &["k:1"])])), [Rule::Atomic]);
}

/// Guards against a gap that ends at a write from before the fault.
#[test]
fn write_gap_ends_at_the_first_write_after_the_fault() {
    let events = [
        append(1, 90, &["k:1"], Outcome::Acknowledged),
        append(1, 110, &["k:2"], Outcome::NotRun),
        append(1, 150, &["k:3"], Outcome::Acknowledged),
    ];

    assert_eq!(write_gap(&events, 100), Some(55));
}
