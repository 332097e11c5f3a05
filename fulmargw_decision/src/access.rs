//! Authorisation of callers by route, client account and API key.

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
    /// Service that executes the requests.
    pub service: Name,
    /// Consistency class of the requests.
    pub class: Class,
    /// Whether a request may be executed more than once.
    pub repeat: Repeat,
    /// Whether the route requires an API key.
    pub key_required: bool,
    /// Account name that the caller presented; ignored by an open route.
    presented_account: Name,
    /// Digest of the API key that the caller presented, if any.
    key: Option<Digest>,
}

impl Grant {
    /// Repeats the decision under a newer configuration, using the digest of the presented key.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::Route`] if the route was removed, and [`Reason::Key`] if the key was
    /// withdrawn or the account may no longer use the route.
    pub fn revalidate(&self, configuration: &Configuration) -> Result<Self, Refusal> {
        decide(
            configuration,
            &self.route,
            self.presented_account.clone(),
            self.key,
        )
    }
}

/// Decides whether a caller may use a route. An open route requires no API key.
///
/// # Errors
///
/// Returns [`Reason::Route`] if the route is not configured, and [`Reason::Key`] in every other
/// case, so that a refusal does not reveal which accounts exist.
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
    presented_account: Name,
    key: Option<Digest>,
) -> Result<Grant, Refusal> {
    let route = configuration
        .routes
        .get(route)
        .ok_or(refusal(Reason::Route))?;
    let account = match &route.access {
        Access::Open(account) => account.clone(),
        Access::Accounts(accounts) => {
            let listed = accounts.contains(&presented_account);
            let accepted = key.is_some_and(|key| accepts(configuration, &presented_account, &key));
            if !(listed && accepted) {
                return Err(refusal(Reason::Key));
            }
            presented_account.clone()
        }
    };
    Ok(grant(route, account, presented_account, key))
}

/// Compares a digest with every key of an account. Each comparison takes constant time.
fn accepts(configuration: &Configuration, account: &Name, key: &Digest) -> bool {
    let account = configuration.accounts.get(account);
    let keys = account.map_or(&[][..], |account| &account.keys);
    keys.iter()
        .fold(false, |accepted, digest| accepted | digest.matches(key))
}

fn grant(route: &Route, account: Name, presented_account: Name, key: Option<Digest>) -> Grant {
    Grant {
        route: route.name.clone(),
        account,
        service: route.service.clone(),
        class: route.class,
        repeat: route.repeat,
        key_required: matches!(route.access, Access::Accounts(_)),
        presented_account,
        key,
    }
}

/// Returns a refusal without a retry time, because a retry with the same key can succeed only
/// after a configuration change.
fn refusal(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after: Duration::ZERO,
    }
}
