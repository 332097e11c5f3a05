//! Recorder and text of metrics.

use fulmargw::recorder::Recorder;
use metrics::{counter, gauge, histogram, with_local_recorder};
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

fn rendered(record: impl FnOnce()) -> String {
    let recorder = Recorder::default();
    with_local_recorder(&recorder, record);
    recorder.render()
}

/// Guards against metrics that a scraper cannot read.
#[test]
fn metrics_are_rendered_as_text() {
    let text = rendered(|| {
        counter!("requests_total", "code" => "a \"b\"").increment(2);
        counter!("requests_total", "code" => "c").increment(1);
        gauge!("hosts").set(2.5);
    });

    let expected = "# TYPE hosts gauge\nhosts 2.5\n\n# TYPE requests_total counter\n\
                    requests_total{code=\"a \\\"b\\\"\"} 2\nrequests_total{code=\"c\"} 1\n\n";
    assert_eq!(text, expected);
}

/// Guards against buckets that do not add up, and against observations above all bounds.
#[test]
fn buckets_count_what_is_not_above_their_bound() {
    let text = rendered(|| {
        for seconds in [0.000_1, 0.03, 20.0] {
            histogram!("seconds", "kind" => "read").record(seconds);
        }
    });

    for line in [
        "seconds_bucket{kind=\"read\",le=\"0.0001\"} 1",
        "seconds_bucket{kind=\"read\",le=\"0.02\"} 1",
        "seconds_bucket{kind=\"read\",le=\"0.05\"} 2",
        "seconds_bucket{kind=\"read\",le=\"10\"} 2",
        "seconds_bucket{kind=\"read\",le=\"+Inf\"} 3",
        "seconds_sum{kind=\"read\"} 20.0301",
        "seconds_count{kind=\"read\"} 3",
    ] {
        assert!(text.lines().any(|it| it == line), "{line} in {text}");
    }
}

/// Guards against a metric that is used as two kinds and ends the process.
#[test]
fn a_name_keeps_its_first_kind() {
    let text = rendered(|| {
        counter!("requests").increment(1);
        gauge!("requests").set(7.0);
    });

    assert_eq!(text, "# TYPE requests counter\nrequests 1\n\n");
}

/// Guards against a slow start of every process: a host that restarts must serve at once. The
/// time of this thread on the processor does not depend on other processes.
#[test]
fn the_recorder_is_made_at_once() {
    let spent = || clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("read a clock");
    let before = spent();

    let text = rendered(|| counter!("requests").increment(1));

    assert!(!text.is_empty());
    assert!(Duration::from(spent() - before) < Duration::from_millis(50));
}
