//! A serving process: its parts, its start and its graceful stop.

pub mod answer;
pub mod control;
pub mod error;
pub mod listener;
pub mod parts;
pub mod process;
pub mod signal;
pub mod state;
pub mod stop;
pub mod task;

use crate::{
    log, recorder,
    serve::{error::Error, process::Process, signal::Signals},
    settings::Settings,
};

/// Serves callers until a signal arrives or a part fails, and then stops.
///
/// # Errors
///
/// The step that failed and its peer, or that the stop took too long.
pub async fn run(settings: &Settings) -> Result<(), Error> {
    log::install(&settings.log, &settings.host).map_err(Error::Log)?;
    let metrics = recorder::install().map_err(Error::Metrics)?;
    let mut signals = Signals::install().map_err(Error::Signals)?;
    let mut process = Process::start(settings, metrics).await?;
    let end = tokio::select! {
        () = signals.next() => Ok(()),
        failed = process.tasks.failure() => Err(failed),
    };
    tokio::select! {
        biased;
        () = signals.next() => Err(Error::Interrupted),
        stopped = stop::stop(process) => end.and(stopped),
    }
}
