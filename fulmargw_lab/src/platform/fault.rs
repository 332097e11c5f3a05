//! Faults that an experiment injects into the platform.

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use serde::{Deserialize, Serialize};

/// Faults in force.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Whether every call fails with status 503.
    pub down: bool,
    /// Time by which every answer is late, in milliseconds.
    pub slow_ms: u64,
    /// Probability with which the answer to a write that took effect is lost.
    pub lose: f64,
    /// Seed of the choice which answers are lost.
    pub seed: u64,
    /// Time by which the host list lags, in milliseconds.
    pub list_lag_ms: u64,
}

/// Faults and the random numbers that they need.
#[derive(Debug)]
pub struct Injector {
    /// Faults in force.
    pub fault: Fault,
    random: StdRng,
}

impl Injector {
    /// Puts faults in force.
    #[must_use]
    pub fn new(fault: Fault) -> Self {
        let random = StdRng::seed_from_u64(fault.seed);
        Self { fault, random }
    }

    /// Decides whether to lose the next answer.
    pub fn should_lose_response(&mut self) -> bool {
        self.random.random_bool(self.fault.lose.clamp(0.0, 1.0))
    }
}
