//! Logger that writes text or JSON lines, each with the host and its availability zone.

use crate::settings::{host::Host, log::Format, log::Log};
use ::log::{
    Level, Record,
    kv::{self, Key, Value, VisitSource},
};
use fern::{Dispatch, FormatCallback};
use fulmargw_model::name::Name;
use serde::Serialize;
use std::{collections::BTreeMap, fmt, io};
use tokio::time::Instant;

/// Failures to install the logger.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// open log file {0}: {1}
    Open(String, io::Error),
    /// install the logger: {0}
    Install(::log::SetLoggerError),
}

impl std::error::Error for Error {}

/// The process that writes the lines: its host, availability zone and start time.
#[derive(Debug, Clone)]
struct Origin {
    host: Name,
    zone: Name,
    start: Instant,
}

/// One line of the JSON format.
#[derive(Debug, Serialize)]
struct Line<'a> {
    uptime_ms: u128,
    level: &'static str,
    host: &'a str,
    zone: &'a str,
    target: &'a str,
    message: String,
    #[serde(flatten)]
    fields: BTreeMap<String, String>,
}

/// Installs the logger of the process.
///
/// # Errors
///
/// Returns an error if the log file cannot be opened or a logger is already installed.
pub fn install(log: &Log, host: &Host) -> Result<(), Error> {
    let dispatch = dispatch(log, host);
    let dispatch = if log.is_stderr() {
        dispatch.chain(io::stderr())
    } else {
        let file = fern::log_file(&log.destination)
            .map_err(|cause| Error::Open(log.destination.display().to_string(), cause))?;
        dispatch.chain(file)
    };
    dispatch.apply().map_err(Error::Install)
}

/// Reports whether a target belongs to this program. Of other targets only warnings and errors
/// are logged, because libraries log every call at level info.
fn is_own(target: &str) -> bool {
    target.starts_with("fulmargw") || target.starts_with("platform")
}

/// Returns a logger with the level and format of the settings, without a destination.
pub fn dispatch(log: &Log, host: &Host) -> Dispatch {
    dispatch_for(log, host.name.clone(), host.zone.clone())
}

/// Returns the same for a host with this name and availability zone.
pub fn dispatch_for(log: &Log, host: Name, zone: Name) -> Dispatch {
    let origin = Origin {
        host,
        zone,
        start: Instant::now(),
    };
    let format = log.format;
    Dispatch::new()
        .level(log.level.into())
        .filter(|metadata| is_own(metadata.target()) || metadata.level() <= Level::Warn)
        .format(move |out, message, record| match format {
            Format::Text => write_text(&origin, out, message, record),
            Format::Json => write_json(&origin, out, message, record),
        })
}

fn write_text(origin: &Origin, out: FormatCallback, message: &fmt::Arguments, record: &Record) {
    let uptime = origin.start.elapsed().as_secs_f64();
    let mut suffix = String::new();
    for (key, value) in fields(record) {
        suffix.extend([" ", &key, "=", &value]);
    }
    out.finish(format_args!(
        "{uptime:.3} {} {} {} {}: {message}{suffix}",
        record.level(),
        origin.host,
        origin.zone,
        record.target(),
    ));
}

fn write_json(origin: &Origin, out: FormatCallback, message: &fmt::Arguments, record: &Record) {
    let line = Line {
        uptime_ms: origin.start.elapsed().as_millis(),
        level: record.level().as_str(),
        host: origin.host.as_str(),
        zone: origin.zone.as_str(),
        target: record.target(),
        message: message.to_string(),
        fields: fields(record),
    };
    if let Ok(text) = serde_json::to_string(&line) {
        out.finish(format_args!("{text}"));
    }
}

/// Key-value pairs of a record.
#[derive(Debug, Default)]
struct Fields(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

fn fields(record: &Record) -> BTreeMap<String, String> {
    let mut fields = Fields::default();
    // `Fields` accepts every pair, so only a source that provides no pairs can fail.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}
