//! The configuration as operators see it, with shortened key digests.

use fulmargw_model::{
    client_account::{self, Digest},
    configuration::{self, Version},
    name::Name,
    route::Route,
    service::Service,
};
use serde::Serialize;
use std::collections::BTreeMap;

/// Hexadecimal digits of a key digest that are shown; enough to tell keys apart.
const SHOWN_DIGITS: usize = 8;

/// A configuration without whole key digests.
#[derive(Debug, Serialize)]
pub struct Configuration<'a> {
    version: Version,
    patch: &'a str,
    services: &'a BTreeMap<Name, Service>,
    accounts: BTreeMap<&'a Name, Account<'a>>,
    routes: &'a BTreeMap<Name, Route>,
}

/// A client account without whole key digests.
#[derive(Debug, Serialize)]
pub struct Account<'a> {
    name: &'a Name,
    rate: f64,
    burst: f64,
    keys: Vec<String>,
}

impl<'a> From<&'a configuration::Configuration> for Configuration<'a> {
    fn from(whole: &'a configuration::Configuration) -> Self {
        Self {
            version: whole.version,
            patch: &whole.patch,
            services: &whole.services,
            accounts: whole
                .accounts
                .iter()
                .map(|(name, account)| (name, account.into()))
                .collect(),
            routes: &whole.routes,
        }
    }
}

impl<'a> From<&'a client_account::Account> for Account<'a> {
    fn from(whole: &'a client_account::Account) -> Self {
        Self {
            name: &whole.name,
            rate: whole.rate,
            burst: whole.burst,
            keys: whole.keys.iter().map(shorten).collect(),
        }
    }
}

fn shorten(digest: &Digest) -> String {
    let mut text = digest.to_string();
    text.truncate(SHOWN_DIGITS);
    text + ".."
}
