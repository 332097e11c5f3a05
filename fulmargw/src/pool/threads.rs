//! State of the threads of this process, as the operating system sees it.

use std::{fs, path::Path};

/// Directory with one subdirectory for each thread.
const THREADS_PATH: &str = "/proc/self/task";

/// Describes each thread: name, state, the kernel function in which it waits, and the clock ticks
/// that it has used in user and kernel mode. Empty where `/proc` does not exist.
///
/// A thread that computes is in state `R` and its ticks increase; one that waits for a lock is in
/// state `S` at `futex`; one in state `D` waits for the kernel, and no signal ends it.
#[must_use]
pub fn describe() -> String {
    let Ok(threads) = fs::read_dir(THREADS_PATH) else {
        return String::new();
    };
    let described = threads.filter_map(|thread| describe_thread(&thread.ok()?.path()));
    described.collect::<Vec<_>>().join(", ")
}

fn describe_thread(thread: &Path) -> Option<String> {
    let stat = fs::read_to_string(thread.join("stat")).ok()?;
    // The name is in parentheses, and may have spaces and parentheses in it.
    let (before, after) = stat.rsplit_once(')')?;
    let (_, name) = before.split_once('(')?;
    let fields: Vec<&str> = after.split_whitespace().collect();
    let (state, user, system) = (fields.first()?, fields.get(11)?, fields.get(12)?);
    let waits_in = fs::read_to_string(thread.join("wchan")).unwrap_or_default();
    Some(format!("{name} {state} {waits_in} {user}+{system}"))
}
