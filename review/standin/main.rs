//! Plays one case of the review: `review_case NAME FOLDER`.
//!
//! It starts four hosts with the command of the deploy file and stand-ins of everything around them,
//! writes FOLDER/record.txt, and exits with 1 if the rule was broken, with 0 if it held, and with 2 if
//! the case could not run. With TROUBLE=0 it does the same without the disruption.

mod cases;
mod client;
mod fleet;
mod group;
mod http;
mod json;
mod record;
mod store;

use std::{
    env, fs, panic,
    path::{Path, PathBuf},
    process::ExitCode,
    thread,
    time::Duration,
};

/// Longest duration of a case.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// Whether the rule was broken.
pub enum Verdict {
    Broken,
    Held,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: review_case NAME FOLDER");
        return ExitCode::from(2);
    };
    record::open(&Path::new(folder).join("record.txt"));
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        record::show("result: the case could not run: it took too long");
        record::flush();
        std::process::exit(2);
    });
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let files = env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    let result = fs::create_dir_all(&files)
        .map_err(|cause| cause.to_string())
        .and_then(|()| {
            // A stand-in that cannot start panics.
            let played = panic::catch_unwind(|| play(name, &files, has_trouble));
            played.unwrap_or_else(|_| Err("a stand-in failed".to_owned()))
        });
    let code = match result {
        Ok(Verdict::Broken) => {
            record::show("result: the rule was broken");
            1
        }
        Ok(Verdict::Held) => {
            record::show("result: the rule held");
            0
        }
        Err(cause) => {
            record::show(&format!("result: the case could not run: {cause}"));
            2
        }
    };
    record::flush();
    if env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(&files);
    } else {
        println!("logs of the hosts: {}", files.display());
    }
    ExitCode::from(code)
}

fn play(name: &str, files: &PathBuf, has_trouble: bool) -> Result<Verdict, String> {
    record::show(&format!("case {name}, disruption: {has_trouble}"));
    match name {
        "lost" => cases::lost::play(files, has_trouble),
        "forgotten" => cases::forgotten::play(files, has_trouble),
        "names" => cases::names::play(files, has_trouble),
        "watch" => cases::watch::play(files, has_trouble),
        "revoked" => cases::revoked::play(files, has_trouble),
        _ => Err("unknown case".to_owned()),
    }
}
