//! Configuration with shortened key digests, as the operator interface returns it.

use fulmargw_model::{
    client_account::{self, Digest},
    configuration::{self, Version},
    name::Name,
    route::Route,
    service::Service,
};
use serde::Serialize;
use std::collections::BTreeMap;

/// Number of hexadecimal digits shown of a key digest, enough to distinguish keys.
const DIGEST_DIGITS: usize = 8;

/// A configuration with shortened key digests.
#[derive(Debug, Serialize)]
pub struct Configuration<'a> {
    version: Version,
    patch: &'a str,
    services: &'a BTreeMap<Name, Service>,
    accounts: BTreeMap<&'a Name, Account<'a>>,
    routes: &'a BTreeMap<Name, Route>,
}

/// A client account with shortened key digests.
#[derive(Debug, Serialize)]
pub struct Account<'a> {
    name: &'a Name,
    rate: f64,
    burst: f64,
    keys: Vec<String>,
}

impl<'a> From<&'a configuration::Configuration> for Configuration<'a> {
    fn from(configuration: &'a configuration::Configuration) -> Self {
        Self {
            version: configuration.version,
            patch: &configuration.patch,
            services: &configuration.services,
            accounts: configuration
                .accounts
                .iter()
                .map(|(name, account)| (name, account.into()))
                .collect(),
            routes: &configuration.routes,
        }
    }
}

impl<'a> From<&'a client_account::Account> for Account<'a> {
    fn from(account: &'a client_account::Account) -> Self {
        Self {
            name: &account.name,
            rate: account.rate,
            burst: account.burst,
            keys: account.keys.iter().map(shorten).collect(),
        }
    }
}

fn shorten(digest: &Digest) -> String {
    let mut text = digest.to_string();
    text.truncate(DIGEST_DIGITS);
    text + ".."
}
