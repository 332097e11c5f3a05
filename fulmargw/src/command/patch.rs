//! `fulmargw patch`.

use crate::{
    cli::Patch,
    command::{block_on, fail, print_json},
    exit::Exit,
    operator::{
        body::Encoding,
        client::{Client, Error},
        message::Accepted,
    },
};
use fulmargw_model::name::Name;
use std::path::Path;

/// Submits a patch file and prints the new version and the hosts that confirmed it.
pub(super) fn run(arguments: &Patch) -> Exit {
    let text = match std::fs::read_to_string(&arguments.patch) {
        Ok(text) => text,
        Err(cause) => {
            eprintln!(
                "fulmargw: read patch file {}: {cause}",
                arguments.patch.display()
            );
            return Exit::Failed;
        }
    };
    block_on(async {
        match submit(arguments, text).await {
            Ok(accepted) if arguments.json => print_json(&accepted),
            Ok(accepted) => print(&accepted),
            Err(error) => {
                if let (true, Error::Rejected(rejection)) = (arguments.json, &error) {
                    print_json(rejection);
                }
                fail(&error)
            }
        }
    })
}

/// Decodes the patch before sending it, so that errors in the file are found without a host.
async fn submit(arguments: &Patch, text: String) -> Result<Accepted, Error> {
    let encoding = encoding(&arguments.patch);
    encoding.decode(&text).map_err(Error::Rejected)?;
    let client = Client::new(&arguments.operator, &arguments.credential_file)?;
    client.patch(encoding, text).await
}

fn encoding(file: &Path) -> Encoding {
    match file.extension() {
        Some(extension) if extension == "json" => Encoding::Json,
        _ => Encoding::Toml,
    }
}

fn print(accepted: &Accepted) -> Exit {
    println!("version {} (patch {})", accepted.version.0, accepted.patch);
    println!("confirmed on: {}", join(&accepted.confirmed));
    if !accepted.pending.is_empty() {
        println!("not confirmed yet on: {}", join(&accepted.pending));
    }
    Exit::Done
}

fn join(names: &[Name]) -> String {
    let names: Vec<&str> = names.iter().map(Name::as_str).collect();
    names.join(", ")
}
