//! PINNED: two sessions prepare different shapes under names of their own, and the second one runs
//! the shape of the first one.

use crate::{
    Verdict,
    client::Client,
    fleet::{Fleet, KEY, PRIMARY},
    record,
};
use std::{collections::HashMap, path::Path};

/// Shapes of the first session.
const FIRST: [&str; 2] = ["WRITE pay in", "READ q2c all"];
/// Shapes of the second session.
const SECOND: [&str; 2] = ["WRITE pay_in", "READ q2c_all"];
/// Shapes of the second session without the collision.
const DISTINCT: [&str; 2] = ["WRITE payout", "READ q3d"];

pub fn play(files: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let fleet = Fleet::start(files)?;
    let mut prepared = HashMap::new();
    let second = if has_trouble { SECOND } else { DISTINCT };
    for (number, shapes) in [FIRST, second].into_iter().enumerate() {
        let host = &fleet.hosts[number];
        let name = format!("session-{}", number + 1);
        let mut client = Client::open(&name, host.front, PRIMARY, KEY)?;
        for shape in shapes {
            let reply = client.run(&format!("PREPARE s1 {shape}"));
            if !reply.is_complete() {
                return Err(format!("PREPARE s1 {shape}: {reply:?}"));
            }
            let arguments = if shape.starts_with("WRITE") {
                "1a4 xkqpwnzd"
            } else {
                "1a4"
            };
            let reply = client.run(&format!("EXECUTE s1 {arguments}"));
            record::show(&format!(
                "{name} prepared '{shape}' and gets {:?}",
                reply.end
            ));
            prepared.insert(reply.id, shape);
        }
    }
    let mut verdict = Verdict::Held;
    for (id, ran) in fleet.group.executed() {
        let Some(shape) = prepared.get(&id) else {
            continue;
        };
        if *shape != ran {
            record::show(&format!(
                "{id}: the client prepared '{shape}', the server ran '{ran}'"
            ));
            verdict = Verdict::Broken;
        }
    }
    Ok(verdict)
}
