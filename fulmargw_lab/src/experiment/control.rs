//! Measures the cost of the control plane by the number of hosts.

use super::{
    operator, process,
    report::{Report, float},
    testbed::{Settings, Testbed},
};
use crate::fleet::layout::Options;
use fulmargw_model::configuration::Change;
use std::{io, time::Duration};
use tokio::time::{self, Instant};

/// Numbers of hosts that are compared.
const SIZES: [u8; 4] = [4, 8, 16, 32];
/// Time after the start of a fleet in which all hosts join it.
const JOIN_DURATION: Duration = Duration::from_secs(2);
/// Duration of a measurement.
const MEASURED_DURATION: Duration = Duration::from_secs(4);
/// Interval between two configuration changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Measures a fleet of each size, first idle and then with configuration changes.
pub async fn run(settings: &Settings, report: &mut Report) -> io::Result<()> {
    report.note(
        "per host process unless stated; idle means no callers; each host probes one group of \
         3 backend servers, whose connection limit is raised so that every host has 4"
            .to_owned(),
    );
    for _ in settings.seeds() {
        for hosts in SIZES {
            let testbed = settings.fleet_with(|options| Options {
                hosts,
                max_connections: options.max_connections.max(u32::from(hosts) * 4),
                ..options
            });
            let testbed = testbed.await?;
            time::sleep(JOIN_DURATION).await;
            let before = Sample::take(&testbed).await?;
            time::sleep(MEASURED_DURATION).await;
            let after = Sample::take(&testbed).await?;
            after.add_figures(&before, &format!("{hosts} hosts, idle"), report);
            let before = after;
            make_changes(&testbed).await?;
            let after = Sample::take(&testbed).await?;
            after.add_figures(&before, &format!("{hosts} hosts, 1 change/s"), report);
            testbed.end()?;
        }
    }
    Ok(())
}

/// Makes one configuration change a second for the duration of a measurement.
async fn make_changes(testbed: &Testbed) -> io::Result<()> {
    let end = Instant::now() + MEASURED_DURATION;
    let mut next = Instant::now();
    let mut number = 0;
    while next < end {
        time::sleep_until(next).await;
        let rate = 10.0 + float(number);
        let account = operator::account("changing", "key", rate, rate);
        let changes = vec![Change::PutAccount(account)];
        testbed
            .operator
            .change(&format!("change-{number}"), changes)
            .await?;
        next += CHANGE_INTERVAL;
        number += 1;
    }
    time::sleep_until(end).await;
    Ok(())
}

/// Counters of all hosts and of the platform at one time, summed over the hosts.
#[derive(Debug)]
struct Sample {
    at: Instant,
    hosts: f64,
    bytes: f64,
    messages: f64,
    store_reads: f64,
    store_writes: f64,
    processor_time_s: f64,
    memory_kib: f64,
    greatest_memory_kib: f64,
}

impl Sample {
    /// Reads all counters.
    async fn take(testbed: &Testbed) -> io::Result<Self> {
        let counts = testbed.operator.platform_counts().await?;
        let names = testbed.host_names();
        let mut sample = Self {
            at: Instant::now(),
            hosts: float(names.len()),
            bytes: 0.0,
            messages: 0.0,
            store_reads: float(usize::try_from(counts.reads).unwrap_or(usize::MAX)),
            store_writes: float(usize::try_from(counts.writes).unwrap_or(usize::MAX)),
            processor_time_s: 0.0,
            memory_kib: 0.0,
            greatest_memory_kib: 0.0,
        };
        for name in &names {
            let id = testbed.process_id(name)?;
            sample.processor_time_s += process::processor_time(id)?;
            let memory = process::resident_memory(id)?;
            sample.memory_kib += memory;
            sample.greatest_memory_kib = sample.greatest_memory_kib.max(memory);
        }
        for host in 0..names.len() {
            let metrics = testbed.operator.metrics(host).await?;
            sample.bytes += metrics.sum("fulmargw_control_bytes_total", &[]);
            sample.messages += metrics.sum("fulmargw_control_messages_total", &[]);
        }
        Ok(sample)
    }

    fn add_figures(&self, before: &Self, name: &str, report: &mut Report) {
        let elapsed = self.at.duration_since(before.at).as_secs_f64();
        let per_host = |now: f64, then: f64| (now - then) / elapsed / self.hosts;
        let mut add = |figure: &str, unit, value| {
            report.add(&format!("{name}: {figure}"), unit, value);
        };
        add("control traffic", "B/s", per_host(self.bytes, before.bytes));
        add(
            "control messages",
            "1/s",
            per_host(self.messages, before.messages),
        );
        let reads = per_host(self.store_reads, before.store_reads);
        add("store reads", "1/s", reads);
        add("store reads of all hosts", "1/s", reads * self.hosts);
        let writes = per_host(self.store_writes, before.store_writes);
        add("store writes of all hosts", "1/s", writes * self.hosts);
        let processor = per_host(self.processor_time_s, before.processor_time_s) * 100.0;
        add("processor", "% of a core", processor);
        add(
            "resident memory",
            "MiB",
            self.memory_kib / self.hosts / 1024.0,
        );
        add(
            "greatest resident memory",
            "MiB",
            self.greatest_memory_kib / 1024.0,
        );
    }
}
