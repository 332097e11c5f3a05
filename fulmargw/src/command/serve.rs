//! `fulmargw serve`.

use crate::{cli::Serve, command::check, exit::Exit, serve, settings::Settings};
use std::io;
use tokio::runtime::Runtime;

/// Serves callers until a signal stops the process.
pub(super) fn run(arguments: &Serve) -> Exit {
    let settings = match Settings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return check::exit(&error);
        }
    };
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(cause) => return fail(&cause),
    };
    let served = runtime.block_on(serve::run(&settings));
    // Tasks that are still running after the stop timeout must not keep the process alive.
    runtime.shutdown_background();
    match served {
        Ok(()) => Exit::Done,
        Err(error) => {
            eprintln!("fulmargw: {error}");
            Exit::Failed
        }
    }
}

fn fail(cause: &io::Error) -> Exit {
    eprintln!("fulmargw: start the runtime: {cause}");
    Exit::Failed
}
