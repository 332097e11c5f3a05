//! Session settings of callers, the `fulmar.*` parameters.

use crate::error::Failure;
use fulmargw_model::{
    position::Positions,
    request::{Class, Id},
};
use std::time::Duration;

/// A session setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variable {
    /// Log positions that reads must include.
    Position,
    /// Request identifier of the next write.
    RequestId,
    /// Maximum staleness of aged reads, in milliseconds.
    MaxAge,
}

impl Variable {
    /// Common prefix of the names, without the dot.
    pub const PREFIX: &str = "fulmar";

    /// Finds a setting by the part of its name after the prefix and the dot.
    #[must_use]
    pub fn find(name: &str) -> Option<Self> {
        let variables = [Self::Position, Self::RequestId, Self::MaxAge];
        let matches = |variable: &Self| {
            let suffix = &variable.name()[Self::PREFIX.len() + 1..];
            suffix.eq_ignore_ascii_case(name)
        };
        variables.into_iter().find(matches)
    }

    /// Returns the full name.
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
    /// Log positions that reads must include.
    pub positions: Positions,
    request_id: Option<Id>,
    max_age: Option<Duration>,
}

impl Variables {
    /// Changes a setting to a value in text form; an empty value restores the default.
    ///
    /// A position can only advance those of the session, so that the session always reads its own
    /// writes.
    ///
    /// # Errors
    ///
    /// If the value is malformed; the setting is then unchanged.
    pub fn set(&mut self, variable: Variable, value: &str) -> Result<(), Failure> {
        let malformed = || Failure::malformed_value(variable.name());
        match variable {
            Variable::Position if value.is_empty() => self.positions = Positions::default(),
            Variable::Position => {
                let mut positions = self.positions.clone();
                positions.merge(&value.parse().map_err(|_| malformed())?);
                // Parsing limits the number of services, and the merged positions must not exceed
                // that limit either.
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

    /// Returns the value of a setting in text form.
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

    /// Takes the identifier set by the caller, or else creates a random one. An identifier is valid
    /// for a single write.
    pub fn take_request_id(&mut self) -> Id {
        self.request_id.take().unwrap_or_else(Id::random)
    }

    /// Lowers the maximum staleness of a class to that of the session, if it is smaller.
    #[must_use]
    pub fn limit_age(&self, class: Class) -> Class {
        match (class, self.max_age) {
            (Class::Aged(age), Some(limit)) => Class::Aged(age.min(limit)),
            _ => class,
        }
    }
}
