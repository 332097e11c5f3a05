//! Decides on whose behalf a session may run statements, by its database and its API key.

use super::{failure::Failure, state::Caller};
use crate::{catalog::Route, configuration::Configuration};
use fulmargw_model::{abort, client_account::Digest, execution::Code, name::Name};

/// Why a caller may not run statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// No route has the name of the database.
    UnknownDatabase,
    /// The route requires an API key, and no account owns this one.
    InvalidKey,
}

impl Denial {
    /// Returns the refusal of a new session.
    pub(super) fn of_session(self) -> Failure {
        match self {
            Self::UnknownDatabase => Failure::new(
                Code::UnknownDatabase,
                "no route has the name of the database",
            ),
            Self::InvalidKey => Failure::new(Code::Denied, "the API key is not valid"),
        }
    }

    /// Returns the refusal of a statement in an open session, which was allowed before.
    pub(super) fn of_statement(self) -> Failure {
        match self {
            Self::UnknownDatabase => Failure::new(Code::UnknownDatabase, "the route was removed"),
            Self::InvalidKey => Failure::new(Code::Denied, abort::Cause::KeyWithdrawn.text()),
        }
    }
}

/// Returns the route of a database and on whose behalf a caller with this key uses it.
///
/// # Errors
///
/// If the configuration does not allow it.
pub fn authorize<'a>(
    configuration: &'a Configuration,
    database: &Name,
    key: &Digest,
) -> Result<(&'a Route, Caller), Denial> {
    let route = configuration.catalog.routes.get(database);
    let route = route.ok_or(Denial::UnknownDatabase)?;
    match configuration.keys.account(key) {
        Some(account) => Ok((route, Caller::with_key(account))),
        None if route.is_open => Ok((route, Caller::keyless())),
        None => Err(Denial::InvalidKey),
    }
}
