//! Session settings that callers see as `fulmar.*` parameters.

use crate::error::Failure;
use fulmargw_model::{
    position::Positions,
    request::{Class, Id},
};
use std::time::Duration;

/// A session setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variable {
    /// Positions that reads must include.
    Position,
    /// Identifier of the next write.
    RequestId,
    /// Greatest accepted age of aged reads, in milliseconds.
    MaxAge,
}

impl Variable {
    /// Prefix of the names.
    pub const PREFIX: &str = "fulmar";

    /// Finds a setting by the part of its name after the prefix.
    #[must_use]
    pub fn find(name: &str) -> Option<Self> {
        let variables = [Self::Position, Self::RequestId, Self::MaxAge];
        let matches = |variable: &Self| {
            let own = &variable.name()[Self::PREFIX.len() + 1..];
            own.eq_ignore_ascii_case(name)
        };
        variables.into_iter().find(matches)
    }

    /// Returns the whole name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Position => "fulmar.position",
            Self::RequestId => "fulmar.request_id",
            Self::MaxAge => "fulmar.max_age_ms",
        }
    }
}

/// The settings of one session.
#[derive(Debug, Clone, Default)]
pub struct Variables {
    /// Positions that reads must include.
    pub positions: Positions,
    request_id: Option<Id>,
    max_age: Option<Duration>,
}

impl Variables {
    /// Changes a setting from its text form; an empty text restores the default.
    ///
    /// A position only raises those of the session, so that it keeps reading its own writes.
    ///
    /// # Errors
    ///
    /// If the value is malformed; the setting keeps its value then.
    pub fn set(&mut self, variable: Variable, value: &str) -> Result<(), Failure> {
        let malformed = || Failure::malformed_value(variable.name());
        match variable {
            Variable::Position if value.is_empty() => self.positions = Positions::default(),
            Variable::Position => {
                let mut positions = self.positions.clone();
                positions.merge(&value.parse().map_err(|_| malformed())?);
                // The text form has a limit of services, which the union must keep as well.
                self.positions = positions.to_string().parse().map_err(|_| malformed())?;
            }
            Variable::RequestId if value.is_empty() => self.request_id = None,
            Variable::RequestId => {
                self.request_id = Some(Id::parse(value).ok_or_else(malformed)?);
            }
            Variable::MaxAge if value.is_empty() => self.max_age = None,
            Variable::MaxAge => {
                let milliseconds = value.parse().map_err(|_| malformed())?;
                self.max_age = Some(Duration::from_millis(milliseconds));
            }
        }
        Ok(())
    }

    /// Returns the text form of a setting.
    #[must_use]
    pub fn show(&self, variable: Variable) -> String {
        match variable {
            Variable::Position => self.positions.to_string(),
            Variable::RequestId => {
                let id = self.request_id.as_ref();
                id.map(Id::to_string).unwrap_or_default()
            }
            Variable::MaxAge => {
                let age = self.max_age.map(|age| age.as_millis().to_string());
                age.unwrap_or_default()
            }
        }
    }

    /// Takes the identifier for a write; each one serves a single write.
    pub fn take_request_id(&mut self) -> Id {
        self.request_id.take().unwrap_or_else(Id::random)
    }

    /// Lowers the age that a route accepts.
    #[must_use]
    pub fn limit_age(&self, class: Class) -> Class {
        match (class, self.max_age) {
            (Class::Aged(age), Some(limit)) => Class::Aged(age.min(limit)),
            _ => class,
        }
    }
}
