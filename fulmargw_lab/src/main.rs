//! Program that runs a stand-in or an experiment.

use std::{io, process::ExitCode};

#[tokio::main]
async fn main() -> io::Result<ExitCode> {
    let command: fulmargw_lab::cli::Command = argh::from_env();
    command.run().await?;
    Ok(ExitCode::SUCCESS)
}
