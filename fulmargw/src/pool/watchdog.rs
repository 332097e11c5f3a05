//! Ends a process whose graceful stop exceeds the grace period.
//!
//! The runtime may have one thread, so that a task which blocks or never yields stops every other
//! one, and with it each timeout of the stop. The watchdog therefore has a thread of its own, which
//! receives the signal itself and shares no lock with the runtime.

use super::{lines::Sink, progress::Progress, threads};
use crate::exit::Exit;
use fulmargw_decision::stop::{Plan, Step};
use fulmargw_pool::clock::millis;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
    low_level,
};
use std::{
    io,
    sync::{Arc, mpsc::sync_channel},
    thread::{self, Builder},
    time::Duration,
};
use tokio::time::Instant;

/// Longest time for writing a line of the watchdog. The logger may be what hangs, or standard output.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);

/// Starts the thread that ends this process if a stop exceeds its grace period.
///
/// # Errors
///
/// Returns an error if the operating system rejects the signal handler or the thread.
pub fn start(progress: Arc<Progress>, sink: Sink) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let watch = move || {
        if signals.forever().next().is_some() {
            watch_stop(&progress, &sink);
        }
    };
    Builder::new()
        .name("stop-watchdog".to_owned())
        .spawn(watch)?;
    Ok(())
}

/// Reports the steps that are late, and ends the process at the end of the plan. The process ends
/// before that if the stop is in time.
fn watch_stop(progress: &Progress, sink: &Sink) {
    let start = Instant::now();
    let plan = progress.plan();
    for step in Step::ALL {
        let Some(late_at) = plan.late_at(step) else {
            continue;
        };
        sleep_until(start, late_at);
        if progress.step() <= step {
            let step = progress.step();
            write_within(REPORT_TIMEOUT, sink, move || log_late(plan, step, start));
        }
    }
    sleep_until(start, plan.force_at());
    let step = progress.step();
    write_within(REPORT_TIMEOUT, sink, move || log_forced(plan, step, start));
    // Handlers that run at a normal exit may wait for the thread that hangs.
    low_level::exit(Exit::Overdue.code().into());
}

fn sleep_until(start: Instant, elapsed: Duration) {
    thread::sleep(elapsed.saturating_sub(start.elapsed()));
}

fn log_late(plan: Plan, step: Step, start: Instant) {
    log::warn!(
        event = "stop_late", step = step.name(), elapsed_ms = millis(start.elapsed()),
        end_ms = millis(plan.end(step)), grace_ms = millis(plan.grace()),
        threads = threads::describe();
        "a step of the graceful stop takes longer than its part of the grace period"
    );
}

fn log_forced(plan: Plan, step: Step, start: Instant) {
    log::error!(
        event = "stop_forced", step = step.name(), elapsed_ms = millis(start.elapsed()),
        grace_ms = millis(plan.grace()), threads = threads::describe();
        "the graceful stop has not ended within the grace period; ending the process"
    );
}

/// Logs and writes lines on another thread, and waits for them no longer than `limit`.
fn write_within(limit: Duration, sink: &Sink, log: impl FnOnce() + Send + 'static) {
    let (done, ended) = sync_channel(1);
    let sink = sink.clone();
    let write = move || {
        // First the lines from before the hang, which may have filled the buffer.
        sink.flush();
        log();
        sink.finish(limit);
        // Nobody waits any more after the limit.
        let _ = done.send(());
    };
    if Builder::new()
        .name("stop-report".to_owned())
        .spawn(write)
        .is_ok()
    {
        // After the limit the line is lost; the end of the process is not.
        let _ = ended.recv_timeout(limit);
    }
}
