//! Stand-ins of the users' platform, backend servers and clients, and the cases that use them.
//!
//! `standin CASE FOLDER` runs a case from the repository's root, with its record in FOLDER. It exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in
//! the environment the case has no disruption.

mod client;
mod fleet;
mod group;
mod json;
mod memory;
mod record;
mod restart;
mod stop;
mod store;

use record::Record;
use std::{env, fs, path::PathBuf, process, sync::Arc};

/// How a case ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

/// What a case is given.
pub struct Setting {
    pub record: Arc<Record>,
    /// Temporary folder for the settings and logs of the hosts.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        process::exit(2);
    };
    let temporary = env::temp_dir().join(format!("review-2-{}-{}", case, process::id()));
    fs::create_dir_all(&temporary).expect("make a temporary folder");
    let setting = Setting {
        record: Arc::new(Record::create(&PathBuf::from(folder).join("record.txt"))),
        folder: temporary.clone(),
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let outcome = match case.as_str() {
        "stop" => stop::run(&setting),
        "memory" => memory::run(&setting),
        "restart" => restart::run(&setting),
        other => {
            eprintln!("there is no case {other}");
            Outcome::NotRun
        }
    };
    setting.record.tell(&format!("outcome: {outcome:?}"));
    if env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&temporary);
    }
    process::exit(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::NotRun => 2,
    });
}
