//! Faults that tests and experiments inject into the platform.

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use serde::{Deserialize, Serialize};

/// The faults of the platform; the default is none.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Whether every call fails with status 503.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// Probability that the response to a write that took effect is lost.
    pub lose: f64,
    /// Seed of the random choice of lost responses.
    pub seed: u64,
    /// Time by which the returned host list lags behind the current one, in milliseconds.
    pub list_lag_ms: u64,
}

/// Faults and the random number generator that they use.
#[derive(Debug)]
pub struct Injector {
    /// Injected faults.
    pub fault: Fault,
    random: StdRng,
}

impl Injector {
    /// Creates an injector whose random choices depend only on the seed of `fault`.
    #[must_use]
    pub fn new(fault: Fault) -> Self {
        let random = StdRng::seed_from_u64(fault.seed);
        Self { fault, random }
    }

    /// Decides at random whether the next response is lost.
    pub fn should_lose_response(&mut self) -> bool {
        self.random.random_bool(self.fault.lose.clamp(0.0, 1.0))
    }
}
