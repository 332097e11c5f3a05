//! Checks admitted requests against a rate and a burst, over all time windows.

use super::report::float;
use tokio::time::Instant;

/// Period in which a request was admitted at an unknown time.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    /// Start of the request, at or before the time at which the client sent it.
    pub begin: Instant,
    /// Time at which the client had received the response.
    pub end: Instant,
}

/// Returns the greatest ratio, over all time windows, of the requests that were certainly admitted
/// in a window to `rate * window + burst`.
///
/// Only requests that began and ended in the window count, as they were certainly admitted in it. A
/// ratio above 1 therefore proves that too many requests were admitted.
#[must_use]
pub fn peak_ratio(spans: &[Span], rate: f64, burst: f64) -> f64 {
    let mut by_end = spans.to_vec();
    by_end.sort_by_key(|span| span.end);
    let ratios = spans.iter().map(|first| {
        let within = by_end.iter().filter(|span| span.begin >= first.begin);
        let ratio = |(index, span): (usize, &Span)| {
            let window = span.end.saturating_duration_since(first.begin);
            float(index + 1) / (rate * window.as_secs_f64() + burst)
        };
        within.enumerate().map(ratio).fold(0.0, f64::max)
    });
    ratios.fold(0.0, f64::max)
}
