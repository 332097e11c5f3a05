//! Version of the program and the commit from which it was built.

use serde::Serialize;
use std::fmt;

/// What the program was built from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Build {
    /// Version of the package.
    pub version: &'static str,
    /// Abbreviated identifier of the commit, followed by `-modified` if the sources differed from it;
    /// `unknown` if it was built without git.
    pub commit: &'static str,
}

/// What this program was built from.
pub const BUILD: Build = Build {
    version: env!("CARGO_PKG_VERSION"),
    commit: env!("FULMARGW_COMMIT"),
};

impl fmt::Display for Build {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ({})", self.version, self.commit)
    }
}

/// Sets the metric that shows what runs.
pub fn record() {
    metrics::gauge!("fulmargw_build_info", "version" => BUILD.version, "commit" => BUILD.commit)
        .set(1.0);
}
