//! `fulmargw key`.

use crate::{cli::Key, command::print_json, exit::Exit};
use fulmargw_model::client_account::Digest;
use rand::RngCore as _;
use serde::Serialize;
use std::io::Read as _;

/// Number of random bytes in a key. 256 bits cannot be found from the digest by trial.
const KEY_BYTES: usize = 32;

/// A key and its digest, which is what the configuration contains.
#[derive(Debug, Serialize)]
struct Pair {
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<String>,
    digest: Digest,
}

/// Prints a new key with its digest, or the digest of the key on standard input.
pub(super) fn run(arguments: &Key) -> Exit {
    let pair = if arguments.stdin {
        read()
    } else {
        Ok(generate())
    };
    match pair {
        Ok(pair) => print(&pair, arguments.json),
        Err(cause) => {
            eprintln!("fulmargw: read the key from standard input: {cause}");
            Exit::Failed
        }
    }
}

fn generate() -> Pair {
    let mut bytes = [0; KEY_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    let key = hex::encode(bytes);
    Pair {
        digest: Digest::of(key.as_bytes()),
        key: Some(key),
    }
}

fn read() -> std::io::Result<Pair> {
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text)?;
    let digest = Digest::of(text.trim_end_matches(['\r', '\n']).as_bytes());
    Ok(Pair { key: None, digest })
}

fn print(pair: &Pair, json: bool) -> Exit {
    if json {
        return print_json(pair);
    }
    if let Some(key) = &pair.key {
        println!("key {key}");
    }
    println!("digest {}", pair.digest);
    Exit::Done
}
