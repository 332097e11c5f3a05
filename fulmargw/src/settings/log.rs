//! `[log]`: level, format and destination of log lines.

use super::problem::Findings;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Level, format and destination of log lines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Least severe level that is written.
    pub level: Level,
    /// Format of a line.
    pub format: Format,
    /// Where lines go: `stderr` or the path of a file.
    pub destination: PathBuf,
}

/// Least severe level that is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing is written.
    Off,
    /// Failures that need an operator.
    Error,
    /// Failures that are repaired without one.
    Warn,
    /// Changes of state.
    Info,
    /// Steps of a decision.
    Debug,
    /// Everything.
    Trace,
}

/// Format of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Fields separated by spaces.
    Text,
    /// One JSON object per line.
    Json,
}

/// Destination that stands for standard error.
pub const STDERR: &str = "stderr";

impl Default for Log {
    fn default() -> Self {
        Self {
            level: Level::Info,
            format: Format::Text,
            destination: PathBuf::from(STDERR),
        }
    }
}

impl Log {
    /// Notes the problems of the section.
    pub fn check(&self, findings: &mut Findings) {
        if !self.is_stderr() && !self.destination.is_absolute() {
            let destination = self.destination.display();
            findings.add(
                "log.destination",
                format!("{destination:?} is neither \"stderr\" nor an absolute path"),
            );
        }
    }

    /// Reports whether lines go to standard error.
    #[must_use]
    pub fn is_stderr(&self) -> bool {
        self.destination.as_os_str() == STDERR
    }
}

impl From<Level> for ::log::LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Off => Self::Off,
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
            Level::Trace => Self::Trace,
        }
    }
}
