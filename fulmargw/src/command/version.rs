//! `fulmargw version`.

use crate::{cli::Version, command::print_json, exit::Exit, version::BUILD};

/// Prints the version and the commit.
pub(super) fn run(arguments: &Version) -> Exit {
    if arguments.json {
        return print_json(&BUILD);
    }
    println!("fulmargw {BUILD}");
    Exit::Done
}
