//! `fulmargw config` and `fulmargw state`.

use crate::{
    cli::{Config, State},
    command::{block_on, fail, print_json},
    exit::Exit,
    operator::{
        client::{Client, Error},
        selection::Selection,
    },
};
use serde_json::Value;
use std::path::Path;

/// Prints the configuration in force on a host.
pub(super) fn configuration(arguments: &Config) -> Exit {
    let Config {
        operator,
        credential_file,
        json,
    } = arguments;
    block_on(async {
        match get(operator, credential_file, "/configuration").await {
            Ok(value) => print(&value, *json),
            Err(error) => fail(&error),
        }
    })
}

/// Prints the state dump of a host, or the part that the options select.
pub(super) fn state(arguments: &State) -> Exit {
    let State {
        operator,
        credential_file,
        request,
        service,
        json,
    } = arguments;
    let selection = Selection {
        request: request.clone(),
        service: service.clone(),
    };
    block_on(async {
        match get(operator, credential_file, "/state").await {
            Ok(dump) => match selection.apply(dump) {
                Ok(selected) => print(&selected, *json),
                Err(missing) => {
                    eprintln!("fulmargw: /state at {operator}: {missing}");
                    Exit::Failed
                }
            },
            Err(error) => fail(&error),
        }
    })
}

fn print(value: &Value, json: bool) -> Exit {
    if json {
        return print_json(value);
    }
    println!("{value:#}");
    Exit::Done
}

async fn get(operator: &str, credential_file: &Path, path: &'static str) -> Result<Value, Error> {
    Client::new(operator, credential_file)?.get(path).await
}
