//! Execution of commands.

pub mod check;
pub mod explain;
pub mod inspect;
pub mod key;
pub mod patch;
pub mod pool;
pub mod serve;
pub mod version;

use crate::{cli::Command, exit::Exit, operator::client};
use serde::Serialize;

/// Runs a command and returns its result.
#[must_use]
pub fn run(command: Command) -> Exit {
    match command {
        Command::Serve(arguments) => serve::run(&arguments),
        Command::Pool(arguments) => pool::run(&arguments),
        Command::Explain(arguments) => explain::run(&arguments),
        Command::Check(arguments) => check::run(&arguments),
        Command::Patch(arguments) => patch::run(&arguments),
        Command::Config(arguments) => inspect::configuration(&arguments),
        Command::State(arguments) => inspect::state(&arguments),
        Command::Key(arguments) => key::run(&arguments),
        Command::Version(arguments) => version::run(&arguments),
    }
}

/// Prints an error of the operator client and returns the corresponding exit.
fn fail(error: &client::Error) -> Exit {
    use crate::operator::message::Rejection;
    eprintln!("fulmargw: {error}");
    match error {
        client::Error::Url(_) => Exit::Usage,
        client::Error::Credential(..) | client::Error::Status { .. } => Exit::Failed,
        client::Error::Unreachable { .. } => Exit::Unreachable,
        client::Error::Rejected(rejection) => match rejection {
            Rejection::Stale { .. } => Exit::Stale,
            Rejection::Invalid { .. } => Exit::Invalid,
            Rejection::Unavailable { .. } => Exit::Unreachable,
            Rejection::Unknown { .. } => Exit::Failed,
        },
    }
}

/// Prints a value as one line of JSON.
fn print_json(value: &impl Serialize) -> Exit {
    match serde_json::to_string(value) {
        Ok(text) => {
            println!("{text}");
            Exit::Done
        }
        Err(cause) => {
            eprintln!("fulmargw: encode the output as JSON: {cause}");
            Exit::Failed
        }
    }
}

/// Runs a future on a new single-threaded runtime.
fn block_on<F: Future<Output = Exit>>(future: F) -> Exit {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(future),
        Err(cause) => {
            eprintln!("fulmargw: start the runtime: {cause}");
            Exit::Failed
        }
    }
}
