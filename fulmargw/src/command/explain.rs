//! `fulmargw explain`.

use crate::{cli::Explain, exit::Exit};
use serde::Deserialize;
use std::{collections::BTreeMap, fs, io, path::Path};

/// One log line.
#[derive(Debug, Deserialize)]
struct Line {
    /// Milliseconds since the start of the process, which the logger writes as a number.
    uptime_ms: u64,
    host: String,
    message: String,
    #[serde(flatten)]
    fields: BTreeMap<String, serde_json::Value>,
}

/// Fields that say nothing to a reader of one request.
const HIDDEN: [&str; 3] = ["level", "target", "zone"];

/// Prints the lines of a request, and the changes of belief of the same process around them.
pub(super) fn run(arguments: &Explain) -> Exit {
    let mut found = false;
    for file in &arguments.files {
        match explain(file, arguments) {
            Ok(lines) => {
                found |= !lines.is_empty();
                for line in lines {
                    println!("{line}");
                }
            }
            Err(cause) => {
                eprintln!("fulmargw: read log file {}: {cause}", file.display());
                return Exit::Failed;
            }
        }
    }
    if found {
        return Exit::Done;
    }
    eprintln!("fulmargw: no line has request {}", arguments.request);
    Exit::Failed
}

fn explain(file: &Path, arguments: &Explain) -> io::Result<Vec<String>> {
    let text = fs::read_to_string(file)?;
    let mut lines = Vec::new();
    for life in lives(&text) {
        let of_request = |line: &&Line| line.text("request") == Some(&arguments.request);
        let times: Vec<u64> = life
            .iter()
            .filter(of_request)
            .map(|line| line.uptime_ms)
            .collect();
        let (Some(first), Some(last)) = (times.first(), times.last()) else {
            continue;
        };
        let from = first.saturating_sub(arguments.around_ms);
        let to = last.saturating_add(arguments.around_ms);
        let session = session_of(&life, arguments);
        let shown = life.iter().filter(|line| {
            let near = (from..=to).contains(&line.uptime_ms);
            of_request(line) || (near && line.is_belief(session))
        });
        lines.extend(shown.map(Line::show));
    }
    Ok(lines)
}

/// Returns the session of the request, whose lines without a request belong to it as well.
fn session_of<'a>(life: &'a [Line], arguments: &Explain) -> Option<&'a str> {
    life.iter()
        .find(|line| line.text("request") == Some(&arguments.request))
        .and_then(|line| line.text("session"))
}

/// Splits a log into the lives of its process, because the uptime starts again with each. Lines
/// that are not JSON are of other programs.
fn lives(text: &str) -> Vec<Vec<Line>> {
    let mut lives: Vec<Vec<Line>> = vec![Vec::new()];
    for line in text.lines() {
        let Ok(line) = serde_json::from_str::<Line>(line) else {
            continue;
        };
        if line.text("event") == Some("start") {
            lives.push(Vec::new());
        }
        if let Some(life) = lives.last_mut() {
            life.push(line);
        }
    }
    lives
}

impl Line {
    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Reports whether the line tells of what the process believes, or of the session.
    fn is_belief(&self, session: Option<&str>) -> bool {
        match self.text("session") {
            Some(own) => Some(own) == session && self.text("request").is_none(),
            None => true,
        }
    }

    fn show(&self) -> String {
        let mut text = format!("{:>8} ms {} {}", self.uptime_ms, self.host, self.message);
        for (field, value) in &self.fields {
            if !HIDDEN.contains(&field.as_str()) {
                let value = value
                    .as_str()
                    .map_or_else(|| value.to_string(), str::to_owned);
                text.extend([" ", field, "=", &value]);
            }
        }
        text
    }
}
