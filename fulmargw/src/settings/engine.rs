//! `[engine]`: workers, probes, queues and timeouts.

pub use fulmargw_engine::settings::Settings as Engine;

use super::problem::Findings;

/// Checks the section and adds its problems to `findings`.
pub fn check(engine: &Engine, findings: &mut Findings) {
    let durations = [
        ("probe_interval_ms", engine.probe_interval_ms, 10..=10_000),
        ("probe_timeout_ms", engine.probe_timeout_ms, 10..=10_000),
        ("connect_timeout_ms", engine.connect_timeout_ms, 10..=10_000),
        (
            "statement_timeout_ms",
            engine.statement_timeout_ms,
            10..=600_000,
        ),
        (
            "replica_patience_ms",
            engine.replica_patience_ms,
            0..=10_000,
        ),
        (
            "transaction_limit_ms",
            engine.transaction_limit_ms,
            100..=3_600_000,
        ),
        // 1,500 ms after a host lost its lease, peers use its share of the connections.
        ("lease_grace_ms", engine.lease_grace_ms, 0..=1_400),
    ];
    for (key, value, range) in durations {
        findings.check_range(&format!("engine.{key}"), &value, &range);
    }
    let counts = [
        ("worker_count", engine.worker_count, 1..=65_536),
        ("lane_bound", engine.lane_bound, 1..=65_536),
        ("queue_bound", engine.queue_bound, 1..=1_048_576),
    ];
    for (key, value, range) in counts {
        findings.check_range(&format!("engine.{key}"), &value, &range);
    }
}
