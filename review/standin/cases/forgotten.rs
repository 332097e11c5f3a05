//! LOST: all hosts are killed and start again. When the primary crashes, they promote a replica without
//! the commits that were acknowledged before, although the primary comes back with its log.

use super::{sleep_until, writers::Writers};
use crate::{
    Verdict,
    fleet::{Fleet, Host},
    record,
};
use std::{path::Path, thread, time::Duration};

/// Time after which the replica that leaves exits: a little more than the drain timeout.
const EXIT: Duration = Duration::from_millis(7_200);
/// Start and end of the time in which the other replica receives nothing.
const DEAF: [Duration; 2] = [Duration::from_millis(5_000), Duration::from_millis(11_400)];
/// Times at which the hosts are killed, and start again.
const KILL: [Duration; 2] = [Duration::from_millis(7_400), Duration::from_millis(7_900)];
/// Start and end of the crash of the primary.
const CRASH: [Duration; 2] = [Duration::from_millis(9_500), Duration::from_millis(15_900)];

pub fn play(files: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::start(files)?;
    let writers = Writers::start(&fleet);
    thread::sleep(Duration::from_secs(1));
    let start = record::elapsed();
    let (primary, deaf, leaving) = (fleet.group.primary(), 1, 2);
    fleet.group.drain(leaving);
    sleep_until(start + DEAF[0]);
    if has_trouble {
        fleet.group.set_deaf(deaf, true);
    }
    sleep_until(start + EXIT);
    fleet.group.leave(leaving);
    if has_trouble {
        sleep_until(start + KILL[0]);
        fleet.hosts.iter_mut().for_each(Host::kill);
        sleep_until(start + KILL[1]);
        for host in &mut fleet.hosts {
            host.restart()?;
        }
        sleep_until(start + CRASH[0]);
        fleet.group.crash(primary);
        sleep_until(start + DEAF[1]);
        fleet.group.set_deaf(deaf, false);
        sleep_until(start + CRASH[1]);
        fleet.group.restart(primary);
    }
    sleep_until(start + CRASH[1] + Duration::from_secs(6));
    Ok(writers.stop_and_check(&fleet))
}
