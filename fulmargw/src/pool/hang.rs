//! Blocks the runtime on purpose, for the tests of the watchdog. Only debug builds have it.

use fulmargw_decision::stop::Step;

/// Environment variable with the name of the step at which the runtime blocks.
#[cfg(debug_assertions)]
const VARIABLE: &str = "FULMARGW_TEST_HANG_AT";

/// Blocks the calling thread for ever if a test asks for it at this step.
#[cfg(debug_assertions)]
pub fn at(step: Step) {
    if std::env::var(VARIABLE).is_ok_and(|name| name == step.name()) {
        loop {
            std::thread::park();
        }
    }
}

/// Does nothing in release builds.
#[cfg(not(debug_assertions))]
pub fn at(_: Step) {}
