//! Metrics recorder that renders the Prometheus text format.
//!
//! It replaces the Prometheus exporter crate, which calibrates a clock for 200 ms at start and so
//! would delay every restart of a host.

use metrics::{
    Counter, Gauge, Histogram, HistogramFn, Key, KeyName, Metadata, SetRecorderError, SharedString,
    Unit,
};
use std::{
    collections::BTreeMap,
    fmt::{self, Write as _},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

/// Upper bounds of histogram buckets, in seconds. The lowest ones resolve the overhead of the
/// proxy, whose target is 0.2 ms; the highest one is above the default request timeout of 5 s.
const BUCKETS_SECONDS: [f64; 14] = [
    0.000_1, 0.000_2, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0, 5.0, 10.0,
];

/// All metrics of the process. Clones share the same metrics.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    /// No other lock is taken while this one is held, so it needs no rank in the lock order.
    families: Arc<Mutex<BTreeMap<String, Family>>>,
}

/// All metrics with the same name, by their rendered labels.
#[derive(Debug)]
enum Family {
    Counter(BTreeMap<String, Arc<AtomicU64>>),
    Gauge(BTreeMap<String, Arc<AtomicU64>>),
    Histogram(BTreeMap<String, Arc<Buckets>>),
}

/// Observations of a histogram. The last bucket counts those above all bounds.
#[derive(Debug, Default)]
struct Buckets {
    counts: [AtomicU64; BUCKETS_SECONDS.len() + 1],
    /// Bits of the `f64` sum of all observations.
    sum: AtomicU64,
}

/// Installs the recorder of the process and returns it.
///
/// # Errors
///
/// Returns an error if a recorder is already installed.
pub fn install() -> Result<Recorder, SetRecorderError<Recorder>> {
    let recorder = Recorder::default();
    metrics::set_global_recorder(recorder.clone())?;
    Ok(recorder)
}

impl Recorder {
    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        for (name, family) in &*self.families() {
            // Writing to a string never fails.
            let _ = family.write(&mut text, name);
        }
        text
    }

    fn families(&self) -> MutexGuard<'_, BTreeMap<String, Family>> {
        self.families.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl metrics::Recorder for Recorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        let mut families = self.families();
        let family = families.entry(key.name().to_owned());
        match family.or_insert_with(|| Family::Counter(BTreeMap::new())) {
            Family::Counter(counters) => {
                Arc::clone(counters.entry(labels(key)).or_default()).into()
            }
            Family::Gauge(_) | Family::Histogram(_) => Counter::noop(),
        }
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        let mut families = self.families();
        let family = families.entry(key.name().to_owned());
        match family.or_insert_with(|| Family::Gauge(BTreeMap::new())) {
            Family::Gauge(gauges) => Arc::clone(gauges.entry(labels(key)).or_default()).into(),
            Family::Counter(_) | Family::Histogram(_) => Gauge::noop(),
        }
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        let mut families = self.families();
        let family = families.entry(key.name().to_owned());
        match family.or_insert_with(|| Family::Histogram(BTreeMap::new())) {
            Family::Histogram(histograms) => {
                Arc::clone(histograms.entry(labels(key)).or_default()).into()
            }
            Family::Counter(_) | Family::Gauge(_) => Histogram::noop(),
        }
    }
}

impl HistogramFn for Buckets {
    fn record(&self, value: f64) {
        let bucket = BUCKETS_SECONDS.partition_point(|bound| *bound < value);
        self.counts[bucket].fetch_add(1, Ordering::Relaxed);
        let add = |bits| Some((f64::from_bits(bits) + value).to_bits());
        // The closure always returns a value, so the update never fails.
        let _ = self
            .sum
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }
}

impl Family {
    fn write(&self, text: &mut String, name: &str) -> fmt::Result {
        match self {
            Self::Counter(counters) => {
                writeln!(text, "# TYPE {name} counter")?;
                for (labels, value) in counters {
                    let value = value.load(Ordering::Relaxed);
                    writeln!(text, "{name}{} {value}", in_braces(labels, ""))?;
                }
            }
            Self::Gauge(gauges) => {
                writeln!(text, "# TYPE {name} gauge")?;
                for (labels, value) in gauges {
                    let value = f64::from_bits(value.load(Ordering::Relaxed));
                    writeln!(text, "{name}{} {value}", in_braces(labels, ""))?;
                }
            }
            Self::Histogram(histograms) => {
                writeln!(text, "# TYPE {name} histogram")?;
                for (labels, buckets) in histograms {
                    buckets.write(text, name, labels)?;
                }
            }
        }
        text.push('\n');
        Ok(())
    }
}

impl Buckets {
    fn write(&self, text: &mut String, name: &str, labels: &str) -> fmt::Result {
        let mut count = 0;
        let bounds = BUCKETS_SECONDS.iter().map(f64::to_string);
        let bounds = bounds.chain(["+Inf".to_owned()]);
        for (bound, bucket) in bounds.zip(&self.counts) {
            count += bucket.load(Ordering::Relaxed);
            let bound = format!("le=\"{bound}\"");
            writeln!(text, "{name}_bucket{} {count}", in_braces(labels, &bound))?;
        }
        let sum = f64::from_bits(self.sum.load(Ordering::Relaxed));
        let labels = in_braces(labels, "");
        writeln!(text, "{name}_sum{labels} {sum}")?;
        writeln!(text, "{name}_count{labels} {count}")
    }
}

/// Renders labels in the order of the key, separated by commas, without braces.
fn labels(key: &Key) -> String {
    let rendered = key.labels().map(|label| {
        let value = label.value().replace('\\', "\\\\");
        let value = value.replace('"', "\\\"").replace('\n', "\\n");
        format!("{}=\"{value}\"", label.key())
    });
    rendered.collect::<Vec<_>>().join(",")
}

/// Returns rendered labels in braces, followed by `extra` if that is not empty.
fn in_braces(labels: &str, extra: &str) -> String {
    let groups = [labels, extra].map(str::to_owned);
    let groups: Vec<String> = groups.into_iter().filter(|it| !it.is_empty()).collect();
    if groups.is_empty() {
        return String::new();
    }
    format!("{{{}}}", groups.join(","))
}
