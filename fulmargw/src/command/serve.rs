//! `fulmargw serve`.

use crate::{cli::Serve, command::check, exit::Exit, settings::Settings};

/// Serves callers until a signal stops the process.
pub(super) fn run(arguments: &Serve) -> Exit {
    match Settings::load(&arguments.settings) {
        Ok(_settings) => Exit::Failed,
        Err(error) => {
            eprintln!("{error}");
            check::exit(&error)
        }
    }
}
