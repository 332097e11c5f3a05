//! `fulmargw check`.

use crate::{
    cli::Check,
    command::print_json,
    exit::Exit,
    pool,
    settings::{Settings, problem::Error},
};

/// Checks a settings file and prints each problem.
pub(super) fn run(arguments: &Check) -> Exit {
    let result = if arguments.pool {
        pool::settings::load(&arguments.settings).map(drop)
    } else {
        Settings::load(&arguments.settings).map(drop)
    };
    if arguments.json {
        return check_json(result.err());
    }
    match result {
        Ok(()) => {
            println!("{}: valid", arguments.settings.display());
            Exit::Done
        }
        Err(error) => {
            eprintln!("{error}");
            exit(&error)
        }
    }
}

fn check_json(error: Option<Error>) -> Exit {
    match error {
        None => print_json(&[(); 0]),
        Some(Error::Invalid(problems)) => {
            print_json(&problems);
            Exit::Invalid
        }
        Some(error @ Error::Unreadable { .. }) => {
            eprintln!("fulmargw: {error}");
            exit(&error)
        }
    }
}

/// Returns the exit that corresponds to an error of the settings.
pub(super) fn exit(error: &Error) -> Exit {
    match error {
        Error::Unreadable { .. } => Exit::Failed,
        Error::Invalid(_) => Exit::Invalid,
    }
}
