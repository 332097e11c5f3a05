//! `fulmargw pool`.

use crate::{
    cli::Pool,
    command::check,
    exit::Exit,
    pool::{self, process::Process},
};
use tokio::runtime::Builder;

/// Proxies callers until a signal stops the process.
pub(super) fn run(arguments: &Pool) -> Exit {
    let file = arguments
        .settings
        .clone()
        .or_else(platform::location::settings_path);
    let Some(file) = file else {
        eprintln!("fulmargw: no settings file is given");
        return Exit::Usage;
    };
    let settings = match pool::settings::load(&file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return check::exit(&error);
        }
    };
    let runtime = if settings.limits.cores > 1 {
        Builder::new_multi_thread()
            .worker_threads(settings.limits.cores as usize)
            .enable_all()
            .build()
    } else {
        Builder::new_current_thread().enable_all().build()
    };
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(cause) => {
            eprintln!("fulmargw: start the runtime: {cause}");
            return Exit::Failed;
        }
    };
    let process = match Process::start(&settings) {
        Ok(process) => process,
        Err(error) => {
            eprintln!("fulmargw: {error}");
            return Exit::Failed;
        }
    };
    let served = runtime.block_on(pool::run(settings, &file, &process));
    process.end_runtime();
    // Tasks that are still running after the stop timeout must not keep the process alive.
    runtime.shutdown_background();
    process.finish();
    match served {
        Ok(()) => Exit::Done,
        Err(error) => {
            eprintln!("fulmargw: {error}");
            Exit::Failed
        }
    }
}
