//! The process of `fulmargw serve`: its components, start and graceful stop.

pub mod bounds;
pub mod components;
pub mod control;
pub mod error;
pub mod listener;
pub mod process;
pub mod responder;
pub mod signal;
pub mod state;
pub mod stop;
pub mod task;

use crate::{
    log, recorder,
    serve::{error::Error, process::Process, signal::Signals},
    settings::Settings,
    version,
};

/// Serves callers until a signal arrives or a listener fails, and then stops gracefully.
///
/// # Errors
///
/// Returns an error if a step of the start or a listener fails, if the stop takes too long, or if
/// a second signal interrupts it.
pub async fn run(settings: &Settings) -> Result<(), Error> {
    log::install(&settings.log, &settings.host).map_err(Error::Log)?;
    let metrics = recorder::install().map_err(Error::Metrics)?;
    version::record();
    let mut signals = Signals::install().map_err(Error::Signals)?;
    let mut process = Process::start(settings, metrics).await?;
    let served = tokio::select! {
        () = signals.next() => Ok(()),
        error = process.tasks.failure() => Err(error),
    };
    tokio::select! {
        biased;
        () = signals.next() => Err(Error::Interrupted),
        stopped = stop::stop(process) => served.and(stopped),
    }
}
