//! Runtime checks of the invariants that the design page names.

/// Logs and counts a violated invariant, and panics if `strict` is set.
///
/// # Panics
///
/// Panics if the invariant does not hold and `strict` is set.
pub fn check(strict: bool, invariant: &'static str, holds: bool) {
    if holds {
        return;
    }
    metrics::counter!("fulmargw_invariant_violations_total", "invariant" => invariant).increment(1);
    log::error!("invariant {invariant} is violated");
    assert!(!strict, "invariant {invariant} is violated");
}
