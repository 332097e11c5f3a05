//! LOST: the second of two equal failures of a primary promotes a replica without the acknowledged
//! commits, although the primary comes back with its log as after the first one.

use super::{sleep_until, writers::Writers};
use crate::{Verdict, fleet::Fleet, record};
use std::{path::Path, thread, time::Duration};

/// Time between the two failures.
const INTERVAL: Duration = Duration::from_secs(25);
/// Time after which the replica that leaves exits: a little more than the drain timeout.
const EXIT: Duration = Duration::from_millis(7_200);
/// Start and end of the time in which the other replica receives nothing.
const DEAF: [Duration; 2] = [Duration::from_millis(3_200), Duration::from_millis(9_400)];
/// Start and end of the crash of the primary.
const CRASH: [Duration; 2] = [Duration::from_millis(7_500), Duration::from_millis(13_900)];

pub fn play(files: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let fleet = Fleet::start(files)?;
    let writers = Writers::start(&fleet);
    thread::sleep(Duration::from_secs(1));
    let start = record::elapsed();
    play_failure(&fleet, start, 1, 2, has_trouble);
    sleep_until(start + INTERVAL - Duration::from_secs(6));
    let joined = fleet.group.add(fleet.address(53, 6_000));
    record::show(&format!(
        "server {} joins as a replica",
        fleet.group.id(joined)
    ));
    play_failure(&fleet, start + INTERVAL, 1, joined, has_trouble);
    sleep_until(start + INTERVAL + CRASH[1] + Duration::from_secs(5));
    Ok(writers.stop_and_check(&fleet))
}

/// One replica leaves as planned. Meanwhile the other one, `deaf`, receives nothing, and the primary
/// crashes and comes back with its log.
fn play_failure(fleet: &Fleet, start: Duration, deaf: usize, leaving: usize, has_trouble: bool) {
    let primary = fleet.group.primary();
    sleep_until(start);
    fleet.group.drain(leaving);
    sleep_until(start + DEAF[0]);
    if has_trouble {
        fleet.group.set_deaf(deaf, true);
    }
    sleep_until(start + EXIT);
    fleet.group.leave(leaving);
    sleep_until(start + CRASH[0]);
    if has_trouble {
        fleet.group.crash(primary);
    }
    sleep_until(start + DEAF[1]);
    if has_trouble {
        fleet.group.set_deaf(deaf, false);
    }
    sleep_until(start + CRASH[1]);
    if has_trouble {
        fleet.group.restart(primary);
    }
}
