//! Adaptive concurrency limits: finds how many statements a backend server runs well at a time.
//!
//! Response times are compared on a logarithmic scale with what is usual for their kind, so that
//! kinds of very different length share one measure and a heavy tail moves it little. A limit is
//! lowered only while statements that were sent to a busy server take longer than those sent to the
//! same server with few others at the same time. A server that is slow at any load keeps its limit:
//! fewer statements at a time would only cost throughput.

use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time constant of the measured levels. Changes of a server show within a few of them.
const MEMORY: Duration = Duration::from_secs(2);
/// Time without a sample after which a level under load, or with few statements, starts anew. Levels
/// of different times must not be compared: the server may have changed between them. It is longer
/// than a probe.
const MAX_GAP: Duration = Duration::from_secs(1);
/// Interval between two probes of a server that always runs as many statements as it may.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// Interval between two changes of a limit.
const WINDOW: Duration = Duration::from_millis(250);
/// Number of samples, after their decay, below which a level is not known.
const MIN_SAMPLES: f64 = 6.0;
/// Number of samples of ordinary speed that the estimate of a server's slowness begins with. Single
/// long statements of a server with little work do not make it slow.
const PRIOR_SAMPLES: f64 = 4.0;
/// Ratio of response times under load to those with few other statements at which a limit falls.
const CONGESTED_RATIO: f64 = 1.6;
/// Ratio up to which a limit may rise. The gap to [`CONGESTED_RATIO`] bounds oscillation.
const CALM_RATIO: f64 = 1.25;
/// Factor by which congestion lowers a limit in one window.
const CONGESTION_FACTOR: f64 = 0.9;
/// Factor by which rejections and timeouts lower a limit in one window.
const REJECTION_FACTOR: f64 = 0.7;
/// Slowness below which a server counts as ordinary, so that noise does not move statements.
const ORDINARY_SLOWNESS: f64 = 1.6;
/// Rate at which the usual response time of a kind follows samples, in natural logarithms a second.
/// It is slow beside [`MEMORY`], so that a server is known to be slow before that becomes usual.
const USUAL_RATE: f64 = 0.05;
/// The same rate for samples of servers that are slow now.
const SLOW_USUAL_RATE: f64 = 0.005;
/// Longest time that counts as one between two samples of a kind.
const MAX_SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after congestion for which a limit rises by one in each [`PROBE_INTERVAL`] at most, instead
/// of one in each window: the server is likely to get congested at the same limit again.
const CAUTION: Duration = Duration::from_secs(30);
/// Number of windows that a probe lasts. Statements sent before it end during the first ones.
const PROBE_WINDOWS: u32 = 3;
/// Number of first samples of a kind over which its usual response time is the mean.
const LEARNING_SAMPLES: u32 = 20;

/// Usual response times of the kinds of statements of one service.
#[derive(Debug, Clone, Default)]
pub struct Usual<K> {
    kinds: BTreeMap<K, Median>,
}

/// Running estimate of the median of a logarithm.
#[derive(Debug, Clone, Copy)]
struct Median {
    value: f64,
    samples: u32,
    updated_at: Instant,
}

impl Median {
    fn add(&mut self, value: f64, rate: f64, now: Instant) {
        self.samples = self.samples.saturating_add(1);
        let interval = now.saturating_duration_since(self.updated_at);
        let step = rate * interval.min(MAX_SAMPLE_INTERVAL).as_secs_f64();
        let distance = value - self.value;
        self.value += if self.samples <= LEARNING_SAMPLES {
            distance / f64::from(self.samples)
        } else {
            distance.clamp(-step, step)
        };
        self.updated_at = now;
    }
}

impl<K: Ord> Usual<K> {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self {
            kinds: BTreeMap::new(),
        }
    }

    /// Compares a response time with what is usual for its kind.
    ///
    /// Samples of a server that is slow now hardly change what is usual.
    pub fn compare(
        &mut self,
        kind: K,
        elapsed: Duration,
        is_slow: bool,
        now: Instant,
    ) -> Comparison {
        let value = elapsed.max(Duration::from_micros(1)).as_secs_f64().ln();
        let usual = self.kinds.entry(kind).or_insert(Median {
            value,
            samples: 0,
            updated_at: now,
        });
        let excess = value - usual.value;
        let rate = if is_slow { SLOW_USUAL_RATE } else { USUAL_RATE };
        usual.add(value, rate, now);
        Comparison { excess }
    }
}

/// A response time compared with the usual one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Comparison {
    /// Natural logarithm of the ratio.
    excess: f64,
}

/// Mean of samples that decays with time.
#[derive(Debug, Clone, Copy)]
struct Level {
    sum: f64,
    weight: f64,
    updated_at: Instant,
}

impl Level {
    fn new(now: Instant) -> Self {
        Self {
            sum: 0.0,
            weight: 0.0,
            updated_at: now,
        }
    }

    fn decay(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }

    fn add(&mut self, value: f64, now: Instant) {
        let decay = self.decay(now);
        self.sum = self.sum * decay + value;
        self.weight = self.weight * decay + 1.0;
        self.updated_at = now;
    }

    /// Adds a sample; starts anew if the last one is older than [`MAX_GAP`].
    fn add_contiguous(&mut self, value: f64, now: Instant) {
        if now.saturating_duration_since(self.updated_at) > MAX_GAP {
            *self = Self::new(now);
        }
        self.add(value, now);
    }

    /// Returns the mean, if enough samples up to now are known.
    fn mean(&self, now: Instant) -> Option<f64> {
        let is_recent = now.saturating_duration_since(self.updated_at) <= MAX_GAP;
        let is_known = is_recent && self.weight * self.decay(now) >= MIN_SAMPLES;
        is_known.then(|| self.sum / self.weight)
    }

    /// Returns the mean together with [`PRIOR_SAMPLES`] samples of zero.
    fn mean_with_prior(&self, now: Instant) -> f64 {
        let decay = self.decay(now);
        self.sum * decay / (self.weight * decay + PRIOR_SAMPLES)
    }
}

/// A change of a limit, with its evidence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// Limit before.
    pub previous: u32,
    /// Limit from now on.
    pub limit: u32,
    /// Ratio of response times under load to those with few other statements, if both are known.
    pub load_ratio: Option<f64>,
    /// Rejections and timeouts in the last window.
    pub rejections: u32,
}

/// The concurrency limit of one backend server.
#[derive(Debug, Clone)]
pub struct Limiter {
    limit: f64,
    max: u32,
    /// Samples that were sent with few other statements.
    low: Level,
    /// Samples that were sent under load.
    high: Level,
    all: Level,
    window_start: Instant,
    /// Time of the last probe, or since which there was load to compare.
    probed_at: Instant,
    /// Time of the last congestion.
    congested_at: Option<Instant>,
    /// Time of the last rise of the limit.
    raised_at: Instant,
    /// Windows for which the limit is still halved, to see how fast the server is with fewer
    /// statements.
    probe_windows: u32,
    /// Whether a statement was sent at the limit in this window.
    was_reached: bool,
    rejections: u32,
}

impl Limiter {
    /// Creates the limiter of a server that may run up to `max` statements, at least one.
    #[must_use]
    pub fn new(max: u32, now: Instant) -> Self {
        let max = max.max(1);
        Self {
            limit: f64::from(max),
            max,
            low: Level::new(now),
            high: Level::new(now),
            all: Level::new(now),
            window_start: now,
            probed_at: now,
            congested_at: None,
            raised_at: now,
            probe_windows: 0,
            was_reached: false,
            rejections: 0,
        }
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit is between 1 and a u32"
    )]
    fn limit_outside_probes(&self) -> u32 {
        (self.limit as u32).clamp(1, self.max)
    }

    /// Returns the maximum number of statements at a time, from 1 to the maximum.
    #[must_use]
    pub fn limit(&self) -> u32 {
        let limit = self.limit_outside_probes();
        if self.probe_windows > 0 {
            limit.div_ceil(2)
        } else {
            limit
        }
    }

    /// Sets the maximum. A limit that was at the old maximum rises with it.
    pub fn set_max(&mut self, max: u32) {
        let max = max.max(1);
        if self.limit >= f64::from(self.max) || self.limit > f64::from(max) {
            self.limit = f64::from(max);
        }
        self.max = max;
    }

    /// Returns how many times as long as usual the server takes for a statement; 1 if it is about
    /// as fast as usual, or not enough is known.
    #[must_use]
    pub fn slowness(&self, now: Instant) -> f64 {
        let slowness = self.all.mean_with_prior(now).exp();
        if slowness < ORDINARY_SLOWNESS {
            1.0
        } else {
            slowness
        }
    }

    /// Records a statement that is being sent while `running` statements run, itself included.
    pub fn record_sent(&mut self, running: u32) {
        self.was_reached |= running >= self.limit();
    }

    /// Records a response to a statement that was sent while `running` statements ran, itself
    /// included.
    pub fn record_response(&mut self, sample: Comparison, running: u32, now: Instant) {
        self.all.add(sample.excess, now);
        let is_low = running <= self.limit_outside_probes().div_ceil(2);
        let level = if is_low {
            &mut self.low
        } else {
            &mut self.high
        };
        level.add_contiguous(sample.excess, now);
    }

    /// Records that the server rejected a statement for lack of a slot, or did not respond in time.
    pub fn record_rejection(&mut self) {
        self.rejections += 1;
    }

    /// Changes the limit if a window has passed. Returns the change, if there was one.
    pub fn adjust(&mut self, now: Instant) -> Option<Change> {
        if now.saturating_duration_since(self.window_start) < WINDOW {
            return None;
        }
        let previous = self.limit_outside_probes();
        let load_ratio = self.load_ratio(now);
        let rejections = self.rejections;
        if self.probe_windows > 0 && load_ratio.is_none() {
            self.probe_windows -= 1;
        } else {
            self.limit = self.next_limit(load_ratio, now);
            self.probe_windows = self.plan_probe(load_ratio, now);
        }
        self.window_start = now;
        self.was_reached = false;
        self.rejections = 0;
        let limit = self.limit_outside_probes();
        (limit != previous).then_some(Change {
            previous,
            limit,
            load_ratio,
            rejections,
        })
    }

    /// Returns the number of windows of a probe that begins now, or zero. A server that runs less
    /// than it may at times needs none, and one without load is not probed.
    fn plan_probe(&mut self, load_ratio: Option<f64>, now: Instant) -> u32 {
        if load_ratio.is_some() || !self.was_reached {
            self.probed_at = now;
            return 0;
        }
        if now.saturating_duration_since(self.probed_at) < PROBE_INTERVAL {
            return 0;
        }
        self.probed_at = now;
        PROBE_WINDOWS
    }

    fn next_limit(&mut self, load_ratio: Option<f64>, now: Instant) -> f64 {
        let is_congested = load_ratio.is_some_and(|ratio| ratio > CONGESTED_RATIO);
        let is_calm = load_ratio.is_none_or(|ratio| ratio < CALM_RATIO);
        let changed = if self.rejections > 0 {
            self.limit * REJECTION_FACTOR
        } else if is_congested {
            self.congested_at = Some(now);
            self.limit * CONGESTION_FACTOR
        } else if self.was_reached && is_calm && self.may_rise(now) {
            self.raised_at = now;
            self.limit + 1.0
        } else {
            self.limit
        };
        changed.clamp(1.0, f64::from(self.max))
    }

    fn may_rise(&self, now: Instant) -> bool {
        let was_congested = self
            .congested_at
            .is_some_and(|at| now.saturating_duration_since(at) < CAUTION);
        !was_congested || now.saturating_duration_since(self.raised_at) >= PROBE_INTERVAL
    }

    /// Returns the ratio of response times under load to those with few other statements.
    fn load_ratio(&self, now: Instant) -> Option<f64> {
        let high = self.high.mean(now)?;
        let low = self.low.mean(now)?;
        Some((high - low).exp())
    }
}
