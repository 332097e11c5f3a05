//! `fulmargw config` and `fulmargw state`.

use {
    crate::{
        cli::{Config, State},
        command::{block_on, fail, print_json},
        exit::Exit,
        operator::client::{Client, Error},
    },
    std::path::Path,
};

/// Prints the configuration in force on a host.
pub(super) fn configuration(arguments: &Config) -> Exit {
    let Config {
        operator,
        credential_file,
        json,
    } = arguments;
    block_on(show(operator, credential_file, "/configuration", *json))
}

/// Prints the state dump of a host.
pub(super) fn state(arguments: &State) -> Exit {
    let State {
        operator,
        credential_file,
        json,
    } = arguments;
    block_on(show(operator, credential_file, "/state", *json))
}

async fn show(peer: &str, credential_file: &Path, path: &'static str, json: bool) -> Exit {
    match get(peer, credential_file, path).await {
        Ok(value) if json => print_json(&value),
        Ok(value) => {
            println!("{value:#}");
            Exit::Done
        }
        Err(error) => fail(&error),
    }
}

async fn get(
    peer: &str,
    credential_file: &Path,
    path: &'static str,
) -> Result<serde_json::Value, Error> {
    Client::new(peer, credential_file)?.get(path).await
}
