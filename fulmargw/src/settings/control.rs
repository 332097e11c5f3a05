//! `[control]`: lease, membership, rates and configuration.

pub use fulmargw_control::settings::Settings as Control;

use super::problem::Findings;

/// Checks the section and adds its problems to `findings`. A lease lasts 1,500 ms, so the intervals
/// must allow several confirmations within that time.
pub fn check(control: &Control, findings: &mut Findings) {
    let durations = [
        ("confirm_interval_ms", control.confirm_interval_ms, 10..=500),
        ("poll_interval_ms", control.poll_interval_ms, 50..=2_000),
        ("store_timeout_ms", control.store_timeout_ms, 10..=30_000),
        ("suspect_ms", control.suspect_ms, 1_000..=60_000),
        (
            "vanished_after_ms",
            control.vanished_after_ms,
            10_000..=3_600_000,
        ),
        ("admit_wait_ms", control.admit_wait_ms, 0..=60_000),
        ("borrow_interval_ms", control.borrow_interval_ms, 1..=1_000),
    ];
    for (key, value, range) in durations {
        findings.check_range(&format!("control.{key}"), &value, &range);
    }
    findings.check_range("control.holders", &control.holders, &(1..=1_000));
}
