//! Calculations of the experiments, without processes.

use fulmargw_lab::{
    experiment::{
        deployment::Deployment,
        report::{Figure, Goal, Report, quantile},
        stream::{Outcome, Record},
        window::{Span, peak_ratio},
    },
    history::event::{self, Operation, Write},
};
use std::time::Duration;
use tokio::time::Instant;

/// Returns requests that begin at these times and take `took`, all in milliseconds.
fn spans(start: Instant, begins: &[u64], took: u64) -> Vec<Span> {
    let span = |begin: &u64| {
        let begin = start + Duration::from_millis(*begin);
        let end = begin + Duration::from_millis(took);
        Span { begin, end }
    };
    begins.iter().map(span).collect()
}

fn figure(values: &[f64], goal: Goal) -> Figure {
    Figure {
        name: "gap".to_owned(),
        unit: "s",
        values: values.to_vec(),
        goal: Some(goal),
    }
}

fn append(outcome: Outcome) -> Record {
    let (key, value) = ("k".to_owned(), "k:0-1".to_owned());
    let now = Instant::now();
    Record {
        stream: 0,
        host: ([127, 0, 0, 1], 1).into(),
        operation: Operation::Append(vec![Write { key, value }]),
        begin: now,
        end: now,
        outcome,
    }
}

/// Guards against a short window in which too much was admitted and that a long one hides.
#[test]
fn excess_in_a_short_window_is_found() {
    let start = Instant::now();
    let mut begins: Vec<u64> = (0..100).map(|number| number * 200).collect();
    begins.extend([10_001; 12]);

    let share = peak_ratio(&spans(start, &begins, 1), 10.0, 5.0);

    assert!(share > 2.0, "12 of about 5 in one millisecond: {share}");
}

/// Guards against an alarm for requests that waited and may have been admitted apart.
#[test]
fn requests_that_overlap_a_window_do_not_count() {
    let start = Instant::now();
    let begins: Vec<u64> = (0..50).map(|number| number * 20).collect();

    let share = peak_ratio(&spans(start, &begins, 10_000), 10.0, 5.0);

    assert!(share < 0.5, "all end within a second, after 10 s: {share}");
}

/// Guards against a goal that the median meets and the worst run misses.
#[test]
fn goal_is_judged_by_the_worst_value() {
    let met = figure(&[0.4, 1.0], Goal::AtMost(1.0)).is_met();
    let late = figure(&[0.4, 0.4, 1.1], Goal::AtMost(1.0)).is_met();
    let low = figure(&[0.94, 0.99], Goal::AtLeast(0.95)).is_met();
    let unmeasured = figure(&[], Goal::AtMost(1.0)).is_met();

    assert_eq!((met, late, low), (Some(true), Some(false), Some(false)));
    assert_eq!(unmeasured, None);
}

/// Guards against a missing or non-finite value that counts as a met goal.
#[test]
fn value_that_is_no_number_meets_no_goal() {
    let least = figure(&[f64::NAN], Goal::AtLeast(0.95)).is_met();
    let most = figure(&[f64::NAN], Goal::AtMost(1.0)).is_met();

    assert_eq!((least, most), (Some(false), Some(false)));
}

/// Guards against a p99 that is one value too low or too high.
#[test]
fn quantile_is_the_nearest_rank() {
    let hundred: Vec<f64> = (1..=100).map(f64::from).collect();

    let p99 = quantile(&hundred, 0.99);
    let median = quantile(&hundred, 0.5);
    let single = quantile(&[7.0], 0.99);

    assert_eq!((p99, median, single), (Some(99.0), Some(50.0), Some(7.0)));
    assert_eq!(quantile(&[], 0.5), None);
}

/// Guards against a last line that no program can read.
#[test]
fn last_line_of_a_report_is_one_json_object() {
    let commit = "abc".to_owned();
    let mut report = Report::new("failover".to_owned(), Deployment::Wattlebird, 7, commit);
    report.add_with_goal("gap", "s", Goal::AtMost(1.0), 0.25);
    report.add_with_goal("gap", "s", Goal::AtMost(1.0), 0.5);
    report.add("not a number", "s", f64::NAN);
    let mut output = Vec::new();

    report.print(&mut output).expect("print");

    let text = String::from_utf8(output).expect("UTF-8");
    let last = text.lines().last().expect("a line");
    let value: serde_json::Value = serde_json::from_str(last).expect("JSON");
    assert_eq!(value["deployment"], "wattlebird");
    assert_eq!(value["figures"]["gap"]["max"], 0.5);
    assert_eq!(value["figures"]["gap"]["met"], true);
}

/// Guards against an unknown outcome that the history checker takes for a refusal, which would
/// hide that a refused write ran.
#[test]
fn outcomes_keep_their_meaning_for_the_history_checker() {
    let epoch = Instant::now();
    let outcomes = [
        Outcome::Succeeded(Vec::new()),
        Outcome::Rejected("53400".to_owned()),
        Outcome::Unreachable,
        Outcome::Unknown("timeout".to_owned()),
    ];

    let events = outcomes.map(|outcome| append(outcome).event(epoch).outcome);

    let expected = [
        event::Outcome::Acknowledged,
        event::Outcome::NotRun,
        event::Outcome::NotRun,
        event::Outcome::Unknown,
    ];
    assert_eq!(events, expected);
}
