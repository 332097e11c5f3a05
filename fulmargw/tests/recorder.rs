//! Metrics recorder and its Prometheus text.

use fulmargw::recorder::Recorder;
use metrics::{counter, gauge, histogram, with_local_recorder};
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Runs `record` with a new recorder and returns the rendered metrics.
fn render(record: impl FnOnce()) -> String {
    let recorder = Recorder::default();
    with_local_recorder(&recorder, record);
    recorder.render()
}

/// Guards against text that a scraper cannot parse.
#[test]
fn metrics_are_rendered_as_text() {
    let text = render(|| {
        counter!("requests_total", "code" => "a \"b\"").increment(2);
        counter!("requests_total", "code" => "c").increment(1);
        gauge!("hosts").set(2.5);
    });

    let expected = "# TYPE hosts gauge\nhosts 2.5\n\n# TYPE requests_total counter\n\
                    requests_total{code=\"a \\\"b\\\"\"} 2\nrequests_total{code=\"c\"} 1\n\n";
    assert_eq!(text, expected);
}

/// Guards against buckets that are not cumulative, and against a panic for observations above all
/// bounds.
#[test]
fn buckets_are_cumulative() {
    let text = render(|| {
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

/// Guards against a panic when a name is used for two kinds of metric.
#[test]
fn metric_keeps_its_first_kind() {
    let text = render(|| {
        counter!("requests").increment(1);
        gauge!("requests").set(7.0);
    });

    assert_eq!(text, "# TYPE requests counter\nrequests 1\n\n");
}

/// Guards against a recorder that delays the start: a restarted host must serve immediately. The
/// test measures the CPU time of the thread, which does not depend on other processes.
#[test]
fn recorder_is_created_without_delay() {
    let cpu_time = || clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("read a clock");
    let before = cpu_time();

    let text = render(|| counter!("requests").increment(1));

    assert!(!text.is_empty());
    assert!(Duration::from(cpu_time() - before) < Duration::from_millis(50));
}
