//! Entry point of the fulmargw program.

use fulmargw::{cli, command};
use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::parse(std::env::args_os()) {
        Ok(command) => command::run(command).into(),
        Err(exit) => exit.into(),
    }
}
