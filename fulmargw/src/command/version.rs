//! `fulmargw version`.

use crate::{cli::Version, command::print_json, exit::Exit};
use serde::Serialize;

/// Version of the program.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Version in the form that scripts read.
#[derive(Debug, Serialize)]
struct Answer {
    version: &'static str,
}

/// Prints the version.
pub(super) fn run(arguments: &Version) -> Exit {
    if arguments.json {
        return print_json(&Answer { version: VERSION });
    }
    println!("fulmargw {VERSION}");
    Exit::Done
}
