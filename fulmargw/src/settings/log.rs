//! `[log]`: level, format and destination of log lines.

use super::problem::Findings;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Level, format and destination of log lines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Least severe level that is logged.
    pub level: Level,
    /// Format of a line.
    pub format: Format,
    /// Destination of the lines: `stderr` or the absolute path of a file.
    pub destination: PathBuf,
}

/// Level of severity. Lines of this level and of more severe ones are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Logs nothing.
    Off,
    /// Failures that need an operator.
    Error,
    /// Failures from which the process recovers without an operator.
    Warn,
    /// Changes of state.
    Info,
    /// Steps of decisions.
    Debug,
    /// All lines.
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

/// Destination that means standard error.
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
    /// Checks the section and adds its problems to `findings`.
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
