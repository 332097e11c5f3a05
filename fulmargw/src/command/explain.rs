//! `fulmargw explain`.

use crate::{cli::Explain, exit::Exit};
use serde::Deserialize;
use std::{collections::BTreeMap, fs, io, path::Path};

/// One JSON log line.
#[derive(Debug, Deserialize)]
struct Line {
    /// Milliseconds since the start of the process. The logger writes it as a number, unlike the
    /// other fields.
    uptime_ms: u64,
    host: String,
    message: String,
    #[serde(flatten)]
    fields: BTreeMap<String, serde_json::Value>,
}

/// Fields that are not printed, because they do not help to explain a request.
const HIDDEN: [&str; 3] = ["level", "target", "zone"];

/// Prints the log lines of a request and the state changes of the same process around them.
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
    for instance in split_instances(&text) {
        let of_request = |line: &&Line| line.text("request") == Some(&arguments.request);
        let times: Vec<u64> = instance
            .iter()
            .filter(of_request)
            .map(|line| line.uptime_ms)
            .collect();
        let (Some(first), Some(last)) = (times.first(), times.last()) else {
            continue;
        };
        let from = first.saturating_sub(arguments.around_ms);
        let to = last.saturating_add(arguments.around_ms);
        let session = session_of(&instance, arguments);
        let shown = instance.iter().filter(|line| {
            let is_near = (from..=to).contains(&line.uptime_ms);
            of_request(line) || (is_near && line.is_context(session))
        });
        lines.extend(shown.map(Line::render));
    }
    Ok(lines)
}

/// Returns the session of the request. Lines of the session that name no request, such as its end,
/// belong to the explanation as well.
fn session_of<'a>(instance: &'a [Line], arguments: &Explain) -> Option<&'a str> {
    instance
        .iter()
        .find(|line| line.text("request") == Some(&arguments.request))
        .and_then(|line| line.text("session"))
}

/// Splits a log into the instances of the process, because the uptime starts at 0 in each. Skips
/// lines that are not JSON; other programs wrote them.
fn split_instances(text: &str) -> Vec<Vec<Line>> {
    let mut instances: Vec<Vec<Line>> = vec![Vec::new()];
    for line in text.lines() {
        let Ok(line) = serde_json::from_str::<Line>(line) else {
            continue;
        };
        if line.text("event") == Some("start") {
            instances.push(Vec::new());
        }
        if let Some(instance) = instances.last_mut() {
            instance.push(line);
        }
    }
    instances
}

impl Line {
    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Reports whether the line belongs to no session, such as a change of a server's health, or
    /// to this session but to none of its requests.
    fn is_context(&self, session: Option<&str>) -> bool {
        match self.text("session") {
            Some(line_session) => Some(line_session) == session && self.text("request").is_none(),
            None => true,
        }
    }

    fn render(&self) -> String {
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
