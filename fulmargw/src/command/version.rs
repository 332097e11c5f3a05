//! `fulmargw version`.

use crate::{cli::Version, command::print_json, exit::Exit};
use serde::Serialize;

/// Version of the program.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Output of `fulmargw version --json`.
#[derive(Debug, Serialize)]
struct Output {
    version: &'static str,
}

/// Prints the version.
pub(super) fn run(arguments: &Version) -> Exit {
    if arguments.json {
        return print_json(&Output { version: VERSION });
    }
    println!("fulmargw {VERSION}");
    Exit::Done
}
