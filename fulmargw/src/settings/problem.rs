//! Problems of a settings file.

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
    /// File that was read.
    pub file: PathBuf,
    /// Line of the key or of its section, counted from 1.
    pub line: usize,
    /// Section and key, joined by a dot; empty if the file is not TOML at all.
    pub key: String,
    /// What is wrong, with the accepted range or form.
    pub cause: String,
}

impl Problem {
    /// Gives findings the file and the lines of their keys.
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

/// Problems found by the checks of the sections, by key.
#[derive(Debug, Default)]
pub struct Findings(Vec<(String, String)>);

impl Findings {
    /// Notes a problem of a key.
    pub fn add(&mut self, key: &str, cause: impl Display) {
        self.0.push((key.to_owned(), cause.to_string()));
    }

    /// Notes a problem unless `value` is in `range`.
    pub fn range<T: PartialOrd + Display>(
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

/// The settings cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The file could not be read.
    Unreadable {
        /// File that was asked for.
        file: PathBuf,
        /// Reason given by the operating system.
        cause: String,
    },
    /// The content is not valid.
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
