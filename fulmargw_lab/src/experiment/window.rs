//! The check of admissions against a rate and a burst, for all windows.

use super::report::float;
use tokio::time::Instant;

/// A request that was admitted at an unknown time between two times.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    /// The client sent the request.
    pub begin: Instant,
    /// The client had the answer.
    pub end: Instant,
}

/// Returns the greatest number of certain admissions in any window, as a fraction of
/// `rate * window + burst`.
///
/// A request counts for a window if it began and ended within it. It was then admitted within
/// the window, so a fraction above 1 proves that too much was admitted.
#[must_use]
pub fn peak_ratio(spans: &[Span], rate: f64, burst: f64) -> f64 {
    let mut by_end = spans.to_vec();
    by_end.sort_by_key(|span| span.end);
    let shares = spans.iter().map(|first| {
        let within = by_end.iter().filter(|span| span.begin >= first.begin);
        let share = |(index, span): (usize, &Span)| {
            let window = span.end.saturating_duration_since(first.begin);
            float(index + 1) / (rate * window.as_secs_f64() + burst)
        };
        within.enumerate().map(share).fold(0.0, f64::max)
    });
    shares.fold(0.0, f64::max)
}
