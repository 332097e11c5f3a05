//! CONFIG: a session goes on to write with a key that was taken away, in a transaction that it began
//! before, later than the bound.

use crate::{
    Verdict,
    client::Client,
    fleet::{Fleet, PRIMARY},
    record,
};
use std::{path::Path, thread, time::Duration};

/// Key that is taken away.
const REVOKED: &str = "w81k";
/// `configurationApplyMs`.
const APPLY_BOUND: Duration = Duration::from_millis(3_000);
/// Pause between two statements; transactions may be idle for 3 s.
const PAUSE: Duration = Duration::from_millis(1_000);
/// Statements of the transaction.
const STATEMENTS: usize = 11;

pub fn play(files: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::start(files)?;
    fleet.reconfigure(|configuration| configuration.keys.push(REVOKED.to_owned()));
    thread::sleep(Duration::from_secs(5));
    let mut session = Client::open("session", fleet.hosts[0].front, PRIMARY, REVOKED)?;
    let begun = session.run("BEGIN").is_complete() && session.run("WRITE 1a4 first").is_signed();
    if !begun {
        return Err("the transaction does not begin".to_owned());
    }
    if has_trouble {
        fleet.reconfigure(|configuration| configuration.keys.retain(|key| key != REVOKED));
    }
    let bound = record::elapsed() + APPLY_BOUND;
    let mut late = 0;
    for number in 1..=STATEMENTS {
        thread::sleep(PAUSE);
        let sent = record::elapsed();
        let text = format!("WRITE 1a4 data-{number}");
        let reply = session.run(if number == STATEMENTS {
            "COMMIT"
        } else {
            &text
        });
        if reply.is_signed() && has_trouble && sent > bound {
            record::show(&format!(
                "request {} ran with the key: {:?}",
                reply.id, reply.end
            ));
            late += 1;
        }
        if !reply.is_signed() {
            record::show(&format!("the transaction ends: {:?}", reply.end));
            break;
        }
    }
    record::show(&format!(
        "{late} requests ran with the key later than {:.3}",
        bound.as_secs_f64()
    ));
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
