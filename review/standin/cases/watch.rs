//! CONFIG: after an outage of the store, a key that was taken away is still used by machines in touch,
//! later than the bound.

use super::sleep_until;
use crate::{
    Verdict,
    client::Client,
    fleet::{Fleet, KEY, PRIMARY},
    record,
};
use std::{path::Path, thread, time::Duration};

/// Key that is taken away.
const REVOKED: &str = "w81k";
/// Time from a change of the configuration to the outage.
const BEFORE_OUTAGE: Duration = Duration::from_millis(500);
/// Duration of the outage.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// `stabilityWindowMs`: machines are in touch this long after the outage.
const STABILITY_WINDOW: Duration = Duration::from_millis(4_000);
/// `configurationApplyMs`.
const APPLY_BOUND: Duration = Duration::from_millis(3_000);
/// Added to the bounds, so that none is missed by a late clock.
const MARGIN: Duration = Duration::from_millis(20);
/// Time for which the key is tried.
const TRIAL: Duration = Duration::from_secs(9);

pub fn play(files: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::start(files)?;
    fleet.reconfigure(|configuration| configuration.keys.push(REVOKED.to_owned()));
    thread::sleep(Duration::from_secs(5));
    let mut sessions = Vec::new();
    for host in &fleet.hosts {
        sessions.push(Client::open(&host.name, host.front, PRIMARY, REVOKED)?);
    }
    for session in &mut sessions {
        let reply = session.run("READ 1a4");
        if !reply.is_signed() {
            return Err(format!(
                "the key does not work before the change: {reply:?}"
            ));
        }
    }
    fleet.reconfigure(|configuration| configuration.keys.push("n33d".to_owned()));
    thread::sleep(BEFORE_OUTAGE);
    if has_trouble {
        fleet.store.set_away(true);
    }
    thread::sleep(OUTAGE);
    if has_trouble {
        fleet.store.set_away(false);
    }
    let back_at = record::elapsed();
    // The operator's call was under way, and is acknowledged now.
    thread::sleep(Duration::from_millis(30));
    fleet.reconfigure(|configuration| configuration.keys.retain(|key| key != REVOKED));
    let acknowledged_at = record::elapsed();
    let bound = (back_at + STABILITY_WINDOW).max(acknowledged_at + APPLY_BOUND) + MARGIN;
    let trials: Vec<_> = sessions
        .into_iter()
        .map(|session| thread::spawn(move || try_key(session, bound)))
        .collect();
    let late: usize = trials
        .into_iter()
        .map(|trial| trial.join().unwrap_or(0))
        .sum();
    let other = Client::open("other", fleet.hosts[0].front, PRIMARY, KEY);
    if !other.is_ok_and(|mut other| other.run("READ 1a4").is_signed()) {
        return Err("the other key does not work".to_owned());
    }
    record::show(&format!(
        "{late} requests sent after {:.3} ran with the key",
        bound.as_secs_f64()
    ));
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Uses the key until it is refused. Returns how many requests sent after `bound` ran.
fn try_key(mut session: Client, bound: Duration) -> usize {
    let mut late = 0;
    let end = record::elapsed() + TRIAL;
    sleep_until(bound - Duration::from_millis(500));
    while record::elapsed() < end {
        let sent = record::elapsed();
        let reply = session.run("READ 1a4");
        if reply.is_signed() && sent > bound {
            late += 1;
        }
        if reply.is_denied() {
            record::show(&format!("the key is refused: {:?}", reply.end));
            return late;
        }
        thread::sleep(Duration::from_millis(25));
    }
    late
}
