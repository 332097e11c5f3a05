//! Recorder of the process's metrics.

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use std::time::Duration;

/// Upper bounds of histogram buckets, in seconds. The lowest ones resolve the goal of 0.2 ms
/// for the overhead, the highest one is above the default deadline of a request.
const BUCKETS_SECONDS: [f64; 14] = [
    0.000_1, 0.000_2, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0, 5.0, 10.0,
];

/// Time between two runs of the upkeep that bounds the recorder's memory.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Installs the recorder and returns the handle that renders it.
///
/// # Errors
///
/// A recorder is installed already.
pub fn install() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new()
        .set_buckets(&BUCKETS_SECONDS)?
        .install_recorder()
}

/// Keeps the memory of the recorder bounded, until it is cancelled.
pub async fn keep(handle: PrometheusHandle) {
    let mut interval = tokio::time::interval(UPKEEP_INTERVAL);
    loop {
        interval.tick().await;
        handle.run_upkeep();
    }
}
