//! Calculations of the experiments, without running processes.

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

/// Returns requests that begin at `begins` after `start` and take `duration`, all in milliseconds.
fn spans(start: Instant, begins: &[u64], duration: u64) -> Vec<Span> {
    let span = |begin: &u64| {
        let begin = start + Duration::from_millis(*begin);
        let end = begin + Duration::from_millis(duration);
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

/// Guards against a check that misses excess admissions in a short window because longer windows
/// are within the limit.
#[test]
fn excess_in_a_short_window_is_found() {
    let start = Instant::now();
    let mut begins: Vec<u64> = (0..100).map(|number| number * 200).collect();
    begins.extend([10_001; 12]);

    let ratio = peak_ratio(&spans(start, &begins, 1), 10.0, 5.0);

    assert!(ratio > 2.0, "12 of about 5 in one millisecond: {ratio}");
}

/// Guards against a false alarm for requests that waited long, so that they may have been admitted
/// at different times.
#[test]
fn requests_that_overlap_a_window_do_not_count() {
    let start = Instant::now();
    let begins: Vec<u64> = (0..50).map(|number| number * 20).collect();

    let ratio = peak_ratio(&spans(start, &begins, 10_000), 10.0, 5.0);

    assert!(ratio < 0.5, "all end within a second, after 10 s: {ratio}");
}

/// Guards against a report that a goal was met when the median meets it and the worst value misses
/// it.
#[test]
fn goal_is_compared_with_the_worst_value() {
    let met = figure(&[0.4, 1.0], Goal::AtMost(1.0)).is_met();
    let late = figure(&[0.4, 0.4, 1.1], Goal::AtMost(1.0)).is_met();
    let low = figure(&[0.94, 0.99], Goal::AtLeast(0.95)).is_met();
    let unmeasured = figure(&[], Goal::AtMost(1.0)).is_met();

    assert_eq!((met, late, low), (Some(true), Some(false), Some(false)));
    assert_eq!(unmeasured, None);
}

/// Guards against a value of NaN that counts as a met goal.
#[test]
fn nan_meets_no_goal() {
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

/// Guards against a report whose last line is not valid JSON.
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

/// Guards against an unknown outcome that is converted to a rejection, or a rejection to an unknown
/// outcome, which would hide that a rejected write ran.
#[test]
fn outcomes_keep_their_meaning_in_a_history() {
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
