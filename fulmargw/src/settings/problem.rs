//! Problems found in a settings file.

use serde::Serialize;
use std::{
    fmt,
    fmt::Display,
    ops::RangeInclusive,
    path::{Path, PathBuf},
};

/// A problem with one key of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Path of the settings file.
    pub file: PathBuf,
    /// Line of the key, or of its section if the key is missing, counted from 1.
    pub line: usize,
    /// Section and key, joined by a dot; empty if the file is not valid TOML.
    pub key: String,
    /// Description of the problem, with the valid range or form.
    pub cause: String,
}

impl Problem {
    /// Adds the file and line numbers to findings.
    #[must_use]
    pub fn locate(file: &Path, text: &str, findings: Findings) -> Vec<Self> {
        let located = findings.0.into_iter().map(|(key, cause)| Self {
            file: file.to_owned(),
            line: super::locate::line(text, &key),
            key,
            cause,
        });
        located.collect()
    }
}

impl Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        write!(formatter, "{file}:{}: ", self.line)?;
        if !self.key.is_empty() {
            write!(formatter, "{}: ", self.key)?;
        }
        formatter.write_str(&self.cause)
    }
}

/// Keys with problems and their causes, as the checks of the sections found them.
#[derive(Debug, Default)]
pub struct Findings(Vec<(String, String)>);

impl Findings {
    /// Adds a problem of a key.
    pub fn add(&mut self, key: &str, cause: impl Display) {
        self.0.push((key.to_owned(), cause.to_string()));
    }

    /// Adds a problem of a key unless `value` is in `range`.
    pub fn check_range<T: PartialOrd + Display>(
        &mut self,
        key: &str,
        value: &T,
        range: &RangeInclusive<T>,
    ) {
        if !range.contains(value) {
            let (start, end) = (range.start(), range.end());
            self.add(key, format!("{value} is not between {start} and {end}"));
        }
    }
}

/// Reasons why settings cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The file could not be read.
    Unreadable {
        /// Path of the settings file.
        file: PathBuf,
        /// Reason given by the operating system.
        cause: String,
    },
    /// The settings are invalid.
    Invalid(Vec<Problem>),
}

impl Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { file, cause } => {
                write!(formatter, "read settings file {}: {cause}", file.display())
            }
            Self::Invalid(problems) => {
                let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
                formatter.write_str(&lines.join("\n"))
            }
        }
    }
}

impl std::error::Error for Error {}
