//! Replication terms and log positions of a database group.

use crate::name::Name;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt, str::FromStr};

/// The term of a primary; each promotion starts a greater one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// A position in the replicated log: the term and index of the last entry.
///
/// There is no `Ord` because [`Position::satisfies`] is only a partial order; a lexicographic
/// comparison would be wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Position {
    /// Term of the last entry.
    pub term: Term,
    /// Index of the last entry; the first entry has index 1.
    pub index: u64,
}

impl Position {
    /// Reports whether a server at this position has the acknowledged write at `wanted`.
    ///
    /// A log of a later term extends the acknowledged prefix of earlier terms, so both the
    /// term and the index must reach the wanted ones. An equal index in an earlier term can
    /// belong to a tail that was never acknowledged.
    #[must_use]
    pub fn satisfies(self, wanted: Self) -> bool {
        self.term >= wanted.term && self.index >= wanted.index
    }

    /// Returns the least position that satisfies both, for a session that wrote at both.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        Self {
            term: self.term.max(other.term),
            index: self.index.max(other.index),
        }
    }

    /// Returns the one that was acknowledged later, of two positions that were acknowledged in the
    /// same group.
    ///
    /// A promotion that lost commits may start a later term at a smaller index. What was
    /// acknowledged in that term includes all that is left of the earlier ones.
    #[must_use]
    pub fn later(self, other: Self) -> Self {
        if (other.term, other.index) > (self.term, self.index) {
            other
        } else {
            self
        }
    }
}

/// The log positions that a session's reads must include, by service.
///
/// The text form is a comma-separated list of `service/term/index`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Positions(BTreeMap<Name, Position>);

impl Positions {
    /// Maximum number of services that a session may name.
    pub const MAX_SERVICES: usize = 16;

    /// Returns the required position of a service; [`Position::default`] requires nothing.
    #[must_use]
    pub fn required(&self, service: &Name) -> Position {
        self.0.get(service).copied().unwrap_or_default()
    }

    /// Raises the required position of a service to include `position`.
    pub fn advance(&mut self, service: &Name, position: Position) {
        let required = self.0.entry(service.clone()).or_default();
        *required = required.join(position);
    }

    /// Raises the position of each service in `other` to include its position there.
    pub fn merge(&mut self, other: &Self) {
        for (service, position) in &other.0 {
            self.advance(service, *position);
        }
    }
}

impl fmt::Display for Positions {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for (service, position) in &self.0 {
            write!(
                formatter,
                "{separator}{service}/{}/{}",
                position.term.0, position.index
            )?;
            separator = ",";
        }
        Ok(())
    }
}

/// Errors in the text form of [`Positions`].
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// session position {0:?} is not service/term/index
    Malformed(String),
    /// a session names more than 16 services
    TooMany,
}

impl std::error::Error for Error {}

impl FromStr for Positions {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut session = Self::default();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (service, position) = parse_entry(part)?;
            session.advance(&service, position);
            if session.0.len() > Self::MAX_SERVICES {
                return Err(Error::TooMany);
            }
        }
        Ok(session)
    }
}

fn parse_entry(part: &str) -> Result<(Name, Position), Error> {
    let malformed = || Error::Malformed(part.chars().take(Name::MAX_BYTES).collect());
    let mut fields = part.split('/');
    let service = Name::new(fields.next().unwrap_or_default().trim());
    let mut number = || fields.next().and_then(|field| field.trim().parse().ok());
    let term = number().ok_or_else(malformed)?;
    let index = number().ok_or_else(malformed)?;
    if fields.next().is_some() || !service.is_valid() {
        return Err(malformed());
    }
    Ok((
        service,
        Position {
            term: Term(term),
            index,
        },
    ))
}
