//! Reads the processor time and memory of a process from `/proc`.

use std::{fs, io};

/// Clock ticks per second in `/proc/PID/stat`. Linux fixes this value for user space.
const TICKS_PER_SECOND: f64 = 100.0;

fn malformed(path: &str) -> io::Error {
    io::Error::other(format!("{path} is malformed"))
}

/// Returns the processor time that a process has used, in seconds.
pub fn processor_time(id: u32) -> io::Result<f64> {
    let path = format!("/proc/{id}/stat");
    let text = fs::read_to_string(&path)?;
    // The second field is the name of the program in parentheses, which may contain spaces.
    let (_, fields) = text.rsplit_once(')').ok_or_else(|| malformed(&path))?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
    };
    // Fields 14 (user time) and 15 (system time) of the line.
    let (user, system) = (ticks(11), ticks(12));
    let total = user.zip(system).map(|(user, system)| user + system);
    let total = total.ok_or_else(|| malformed(&path))?;
    Ok(total / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process, in KiB.
pub fn resident_memory(id: u32) -> io::Result<f64> {
    let path = format!("/proc/{id}/status");
    let text = fs::read_to_string(&path)?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    let value = value.and_then(|value| value.parse().ok());
    value.ok_or_else(|| malformed(&path))
}
