//! Recorder of the process's metrics, which renders them as Prometheus text.
//!
//! It is our own because the exporter library calibrates a clock for 200 ms when it starts, by
//! which every restart of a host would be longer.

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

/// Upper bounds of histogram buckets, in seconds. The lowest ones resolve the goal of 0.2 ms
/// for the overhead, the highest one is above the default deadline of a request.
const BUCKETS_SECONDS: [f64; 14] = [
    0.000_1, 0.000_2, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0, 5.0, 10.0,
];

/// The metrics of the process. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    /// Nothing else is locked while this is locked, so it needs no rank.
    families: Arc<Mutex<BTreeMap<String, Family>>>,
}

/// The metrics of one name by their rendered labels.
#[derive(Debug)]
enum Family {
    Counter(BTreeMap<String, Arc<AtomicU64>>),
    Gauge(BTreeMap<String, Arc<AtomicU64>>),
    Histogram(BTreeMap<String, Arc<Buckets>>),
}

/// Counts of observations by bucket; the last one is above all bounds.
#[derive(Debug, Default)]
struct Buckets {
    counts: [AtomicU64; BUCKETS_SECONDS.len() + 1],
    /// Bits of a float.
    sum: AtomicU64,
}

/// Installs the recorder and returns it.
///
/// # Errors
///
/// A recorder is installed already.
pub fn install() -> Result<Recorder, SetRecorderError<Recorder>> {
    let recorder = Recorder::default();
    metrics::set_global_recorder(recorder.clone())?;
    Ok(recorder)
}

impl Recorder {
    /// Renders all metrics.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        for (name, family) in &*self.families() {
            // Writing to a string does not fail.
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
            Family::Counter(known) => Arc::clone(known.entry(labels(key)).or_default()).into(),
            Family::Gauge(_) | Family::Histogram(_) => Counter::noop(),
        }
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        let mut families = self.families();
        let family = families.entry(key.name().to_owned());
        match family.or_insert_with(|| Family::Gauge(BTreeMap::new())) {
            Family::Gauge(known) => Arc::clone(known.entry(labels(key)).or_default()).into(),
            Family::Counter(_) | Family::Histogram(_) => Gauge::noop(),
        }
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        let mut families = self.families();
        let family = families.entry(key.name().to_owned());
        match family.or_insert_with(|| Family::Histogram(BTreeMap::new())) {
            Family::Histogram(known) => Arc::clone(known.entry(labels(key)).or_default()).into(),
            Family::Counter(_) | Family::Gauge(_) => Histogram::noop(),
        }
    }
}

impl HistogramFn for Buckets {
    fn record(&self, value: f64) {
        let bucket = BUCKETS_SECONDS.partition_point(|bound| *bound < value);
        self.counts[bucket].fetch_add(1, Ordering::Relaxed);
        let add = |bits| Some((f64::from_bits(bits) + value).to_bits());
        // The update always has a new value, so it does not fail.
        let _ = self
            .sum
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }
}

impl Family {
    fn write(&self, text: &mut String, name: &str) -> fmt::Result {
        match self {
            Self::Counter(known) => {
                writeln!(text, "# TYPE {name} counter")?;
                for (labels, value) in known {
                    let value = value.load(Ordering::Relaxed);
                    writeln!(text, "{name}{} {value}", braced(labels, ""))?;
                }
            }
            Self::Gauge(known) => {
                writeln!(text, "# TYPE {name} gauge")?;
                for (labels, value) in known {
                    let value = f64::from_bits(value.load(Ordering::Relaxed));
                    writeln!(text, "{name}{} {value}", braced(labels, ""))?;
                }
            }
            Self::Histogram(known) => {
                writeln!(text, "# TYPE {name} histogram")?;
                for (labels, buckets) in known {
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
            writeln!(text, "{name}_bucket{} {count}", braced(labels, &bound))?;
        }
        let sum = f64::from_bits(self.sum.load(Ordering::Relaxed));
        let labels = braced(labels, "");
        writeln!(text, "{name}_sum{labels} {sum}")?;
        writeln!(text, "{name}_count{labels} {count}")
    }
}

/// Renders labels in their order, without braces.
fn labels(key: &Key) -> String {
    let rendered = key.labels().map(|label| {
        let value = label.value().replace('\\', "\\\\");
        let value = value.replace('"', "\\\"").replace('\n', "\\n");
        format!("{}=\"{value}\"", label.key())
    });
    rendered.collect::<Vec<_>>().join(",")
}

/// Returns labels in braces, with a further one if it is not empty.
fn braced(labels: &str, further: &str) -> String {
    let both = [labels, further].map(str::to_owned);
    let both: Vec<String> = both.into_iter().filter(|it| !it.is_empty()).collect();
    if both.is_empty() {
        return String::new();
    }
    format!("{{{}}}", both.join(","))
}
