//! Authorisation of callers by route, client account and key.

use fulmargw_model::{
    client_account::Digest,
    configuration::Configuration,
    name::Name,
    outcome::{Reason, Refusal},
    request::{Class, Repeat},
    route::{Access, Route},
};
use std::time::Duration;

/// The permission of a caller to use a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Route that the caller uses.
    pub route: Name,
    /// Client account that requests count against.
    pub account: Name,
    /// Service that answers.
    pub service: Name,
    /// Consistency that the requests need.
    pub class: Class,
    /// Whether a request may be repeated.
    pub repeat: Repeat,
    /// Whether the route required a key.
    pub key_required: bool,
    /// Account name that the caller gave, which an open route does not use.
    claimed: Name,
    /// Digest of the key that the caller presented, if any.
    key: Option<Digest>,
}

impl Grant {
    /// Decides again under a newer configuration, from the digest of the presented key.
    ///
    /// # Errors
    ///
    /// With [`Reason::Route`] if the route is gone, and with [`Reason::Key`] if the key was
    /// withdrawn or the account may no longer use the route.
    pub fn revalidate(&self, configuration: &Configuration) -> Result<Self, Refusal> {
        decide(configuration, &self.route, self.claimed.clone(), self.key)
    }
}

/// Decides whether a caller may use a route. An open route needs no key.
///
/// # Errors
///
/// With [`Reason::Route`] if the route is not configured, and with [`Reason::Key`] in every
/// other case, so that a refusal does not tell which accounts exist.
pub fn authorize(
    configuration: &Configuration,
    route: &str,
    account: &str,
    key: Option<&[u8]>,
) -> Result<Grant, Refusal> {
    let digest = key.map(Digest::of);
    decide(configuration, &route.into(), account.into(), digest)
}

fn decide(
    configuration: &Configuration,
    route: &Name,
    claimed: Name,
    key: Option<Digest>,
) -> Result<Grant, Refusal> {
    let route = configuration
        .routes
        .get(route)
        .ok_or(refusal(Reason::Route))?;
    let account = match &route.access {
        Access::Open(account) => account.clone(),
        Access::Accounts(accounts) => {
            let listed = accounts.contains(&claimed);
            let accepted = key.is_some_and(|key| accepts(configuration, &claimed, &key));
            if !(listed && accepted) {
                return Err(refusal(Reason::Key));
            }
            claimed.clone()
        }
    };
    Ok(grant(route, account, claimed, key))
}

/// Compares a digest with every key of an account, in constant time per key.
fn accepts(configuration: &Configuration, account: &Name, key: &Digest) -> bool {
    let account = configuration.accounts.get(account);
    let keys = account.map_or(&[][..], |account| &account.keys);
    keys.iter()
        .fold(false, |accepted, digest| accepted | digest.matches(key))
}

fn grant(route: &Route, account: Name, claimed: Name, key: Option<Digest>) -> Grant {
    Grant {
        route: route.name.clone(),
        account,
        service: route.service.clone(),
        class: route.class,
        repeat: route.repeat,
        key_required: matches!(route.access, Access::Accounts(_)),
        claimed,
        key,
    }
}

/// A new try with the same key succeeds only after a change of the configuration, so there
/// is no time after which to retry.
fn refusal(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after: Duration::ZERO,
    }
}
